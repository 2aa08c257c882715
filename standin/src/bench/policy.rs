//! Policies that are compared: settings of the same decisions.

/// Section of the instances' settings.
const SECTION: &str = "policy";

/// A setting in the section `policy`: name, key and value.
const PARTS: [(&str, &str, &str); 6] = [
    ("random", "placement", "random"),
    ("least-loaded", "placement", "least-loaded"),
    ("rendezvous", "placement", "rendezvous"),
    ("fifo", "queue", "fifo"),
    ("static-share", "budget", "static-share"),
    ("lru", "eviction", "lru"),
];

/// A policy such as `product`, `random` or `least-loaded+lru`.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Its name as given.
    pub name: String,
    settings: Vec<(&'static str, &'static str)>,
}

impl Policy {
    /// Reads a policy; parts that differ from the product are joined by `+`.
    pub fn parse(name: &str) -> Option<Self> {
        let parts = name.split('+').filter(|part| *part != "product");
        let settings = parts.map(|part| {
            let known = PARTS.iter().find(|(known, ..)| *known == part);
            known.map(|(_, key, value)| (*key, *value))
        });
        Some(Self {
            name: name.to_owned(),
            settings: settings.collect::<Option<_>>()?,
        })
    }

    /// The names that may be joined.
    pub fn names() -> String {
        let parts = PARTS.iter().map(|(name, ..)| *name);
        let all: Vec<&str> = std::iter::once("product").chain(parts).collect();
        all.join(", ")
    }

    /// The settings of the instances: section, key and value.
    pub(super) fn settings(&self) -> Vec<(&'static str, &'static str, String)> {
        let settings = self.settings.iter();
        settings
            .map(|(key, value)| (SECTION, *key, (*value).to_owned()))
            .collect()
    }
}
