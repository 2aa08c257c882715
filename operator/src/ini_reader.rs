//! Reads typed values from an INI file and collects all errors.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use ini::Ini;
use mimosabay_core::name::Name;

use crate::name_check::{self, NAME_RULE};
use crate::secret::Secret;
use crate::settings_error::SettingError;

const ADDRESS_RULE: &str = "an IP address and a port from 1 to 65535, such as 127.0.0.1:8080";

/// Default, bounds and unit of an integer setting.
pub(crate) struct Number {
    pub(crate) default: u64,
    pub(crate) range: RangeInclusive<u64>,
    pub(crate) unit: &'static str,
}

/// A parsed file, the keys that were read from it, and the errors found so far.
pub(crate) struct IniReader {
    ini: Ini,
    /// Line numbers, from 1, of each section's headers.
    section_lines: BTreeMap<String, Vec<usize>>,
    /// Line numbers, from 1, of each key by section and key.
    key_lines: BTreeMap<(String, String), Vec<usize>>,
    /// Keys that were read, by section. All other keys of the file are errors.
    requested_keys: BTreeMap<&'static str, BTreeSet<&'static str>>,
    errors: Vec<SettingError>,
}

impl IniReader {
    /// Parses the syntax of a file.
    pub(crate) fn new(text: &str) -> Result<Self, SettingError> {
        let ini = Ini::load_from_str_noescape(text).map_err(|error| SettingError {
            line: Some(error.line),
            section: String::new(),
            key: String::new(),
            problem: error.msg.trim_end_matches('.').to_owned(),
            allowed: "sections `[name]`, lines `key = value`, comment lines with `;` or `#`".into(),
        })?;
        let mut reader = Self {
            ini,
            section_lines: BTreeMap::new(),
            key_lines: BTreeMap::new(),
            requested_keys: BTreeMap::new(),
            errors: Vec::new(),
        };
        reader.index_lines(text);
        Ok(reader)
    }

    /// Reads a required name.
    pub(crate) fn name(&mut self, section: &'static str, key: &'static str) -> Name {
        let Some(value) = self.required_value(section, key, NAME_RULE) else {
            return Name::default();
        };
        if !name_check::is_name(&value) {
            self.add_invalid_value(section, key, &value, NAME_RULE);
        }
        value.into()
    }

    /// Reads a name, or returns `default` if the key is absent.
    pub(crate) fn name_or(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: &str,
    ) -> Name {
        match self.read_value(section, key) {
            Some(_) => self.name(section, key),
            None => default.into(),
        }
    }

    /// Reads a required address.
    pub(crate) fn address(&mut self, section: &'static str, key: &'static str) -> SocketAddr {
        match self.required_value(section, key, ADDRESS_RULE) {
            Some(value) => self.parse_address(section, key, &value),
            None => placeholder_address(),
        }
    }

    /// Reads an address that may be absent.
    pub(crate) fn optional_address(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<SocketAddr> {
        let value = self.read_value(section, key)?;
        Some(self.parse_address(section, key, &value))
    }

    /// Reads a required secret. Error messages never contain its value.
    pub(crate) fn secret(
        &mut self,
        section: &'static str,
        key: &'static str,
        min_chars: usize,
    ) -> Secret {
        let rule = format!("at least {min_chars} characters");
        let value = self.required_value(section, key, &rule).unwrap_or_default();
        let chars = value.chars().count();
        if (1..min_chars).contains(&chars) {
            self.add_error(section, key, format!("has {chars} characters"), &rule);
        }
        Secret::new(value)
    }

    /// Reads an integer, or returns its default if the key is absent.
    pub(crate) fn number(
        &mut self,
        section: &'static str,
        key: &'static str,
        number: &Number,
    ) -> u64 {
        let Some(value) = self.read_value(section, key) else {
            return number.default;
        };
        match value.parse::<u64>() {
            Ok(parsed) if number.range.contains(&parsed) => parsed,
            _ => {
                let (min, max) = (number.range.start(), number.range.end());
                let rule = format!("a whole number of {} from {min} to {max}", number.unit);
                self.add_invalid_value(section, key, &value, &rule);
                number.default
            }
        }
    }

    /// Reads one of a fixed set of values, or returns `default` if the key is absent.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        section: &'static str,
        key: &'static str,
        names: &[(&str, T)],
        default: T,
    ) -> T {
        let Some(value) = self.read_value(section, key) else {
            return default;
        };
        if let Some((_, choice)) = names.iter().find(|(name, _)| *name == value) {
            return *choice;
        }
        let allowed: Vec<_> = names.iter().map(|(name, _)| *name).collect();
        self.add_invalid_value(section, key, &value, &allowed.join(", "));
        default
    }

    /// Records an error about a key.
    pub(crate) fn add_error(&mut self, section: &str, key: &str, problem: String, allowed: &str) {
        let id = (section.to_owned(), key.to_owned());
        let line = self.key_lines.get(&id).and_then(|lines| lines.first());
        self.errors.push(SettingError {
            line: line.copied(),
            section: id.0,
            key: id.1,
            problem,
            allowed: allowed.to_owned(),
        });
    }

    /// Adds an error for each unknown or repeated section and key of the file, and returns all
    /// errors.
    pub(crate) fn finish(mut self) -> Vec<SettingError> {
        self.check_sections();
        self.check_keys();
        self.errors
    }

    fn read_value(&mut self, section: &'static str, key: &'static str) -> Option<String> {
        self.requested_keys.entry(section).or_default().insert(key);
        self.ini.get_from(Some(section), key).map(str::to_owned)
    }

    fn required_value(
        &mut self,
        section: &'static str,
        key: &'static str,
        allowed: &str,
    ) -> Option<String> {
        let value = self
            .read_value(section, key)
            .filter(|value| !value.is_empty());
        if value.is_none() {
            self.add_error(section, key, "is missing".into(), allowed);
        }
        value
    }

    fn add_invalid_value(&mut self, section: &str, key: &str, value: &str, allowed: &str) {
        self.add_error(section, key, format!("`{value}` is not valid"), allowed);
    }

    fn parse_address(&mut self, section: &str, key: &str, value: &str) -> SocketAddr {
        match value.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => address,
            _ => {
                self.add_invalid_value(section, key, value, ADDRESS_RULE);
                placeholder_address()
            }
        }
    }

    fn index_lines(&mut self, text: &str) {
        let mut section = String::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = section_name(line) {
                name.clone_into(&mut section);
                let lines = self.section_lines.entry(section.clone()).or_default();
                lines.push(index + 1);
            } else if let Some(key) = key_name(line) {
                let id = (section.clone(), key.to_owned());
                self.key_lines.entry(id).or_default().push(index + 1);
            }
        }
    }

    fn check_sections(&mut self) {
        let known: Vec<_> = self.requested_keys.keys().copied().collect();
        for (section, lines) in &self.section_lines {
            let (line, problem, allowed) = if !known.contains(&section.as_str()) {
                (lines[0], "is not a section".to_owned(), known.join(", "))
            } else if let Some(second) = lines.get(1) {
                // The parser does not read the keys below a repeated header.
                let problem = format!("is already defined on line {}", lines[0]);
                (*second, problem, "one line for each section".to_owned())
            } else {
                continue;
            };
            self.errors.push(SettingError {
                line: Some(line),
                section: section.clone(),
                key: String::new(),
                problem,
                allowed,
            });
        }
    }

    fn check_keys(&mut self) {
        for ((section, key), lines) in &self.key_lines {
            let Some(known) = self.requested_keys.get(section.as_str()) else {
                if section.is_empty() {
                    self.errors.push(key_outside_section_error(key, lines));
                }
                continue;
            };
            let (line, problem, allowed) = if !known.contains(key.as_str()) {
                let known: Vec<_> = known.iter().copied().collect();
                (lines[0], "is not a key".to_owned(), known.join(", "))
            } else if let Some(second) = lines.get(1) {
                let problem = format!("is already defined on line {}", lines[0]);
                (*second, problem, "one line for each key".to_owned())
            } else {
                continue;
            };
            self.errors.push(SettingError {
                line: Some(line),
                section: section.clone(),
                key: key.clone(),
                problem,
                allowed,
            });
        }
    }
}

fn key_outside_section_error(key: &str, lines: &[usize]) -> SettingError {
    SettingError {
        line: lines.first().copied(),
        section: String::new(),
        key: key.to_owned(),
        problem: "is outside of a section".into(),
        allowed: "keys below a `[section]` line".into(),
    }
}

fn section_name(line: &str) -> Option<&str> {
    let rest = line.strip_prefix('[')?;
    let (name, _) = rest.split_once(']')?;
    Some(name.trim())
}

fn key_name(line: &str) -> Option<&str> {
    if line.starts_with([';', '#']) {
        return None;
    }
    let end = line.find(['=', ':'])?;
    Some(line[..end].trim())
}

fn placeholder_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}
