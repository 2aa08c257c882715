//! Policies to compare: different settings of the same decisions.

/// Section of the instances' settings file that contains the policy.
const SETTINGS_SECTION: &str = "policy";

/// Settings in the section `policy`: name of the setting, key and value.
const NAMED_SETTINGS: [(&str, &str, &str); 6] = [
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
    /// Name on the command line.
    pub name: String,
    settings: Vec<(&'static str, &'static str)>,
}

impl Policy {
    /// Parses a policy. Settings that differ from the product's defaults are joined by `+`.
    pub fn parse(name: &str) -> Option<Self> {
        let parts = name.split('+').filter(|part| *part != "product");
        let settings = parts.map(|part| {
            let known = NAMED_SETTINGS.iter().find(|(known, ..)| *known == part);
            known.map(|(_, key, value)| (*key, *value))
        });
        Some(Self {
            name: name.to_owned(),
            settings: settings.collect::<Option<_>>()?,
        })
    }

    /// Returns the allowed names, separated by commas.
    pub fn names() -> String {
        let parts = NAMED_SETTINGS.iter().map(|(name, ..)| *name);
        let all: Vec<&str> = std::iter::once("product").chain(parts).collect();
        all.join(", ")
    }

    /// Returns the settings of the instances: section, key and value.
    pub(super) fn settings(&self) -> Vec<(&'static str, &'static str, String)> {
        let settings = self.settings.iter();
        settings
            .map(|(key, value)| (SETTINGS_SECTION, *key, (*value).to_owned()))
            .collect()
    }
}
