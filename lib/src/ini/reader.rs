//! Typed access to the keys of a section, with checks of every value.

use std::ops::RangeInclusive;
use std::str::FromStr;

use super::error::{BadValueSnafu, ConflictSnafu, MissingKeySnafu, UnknownKeySnafu};
use super::{IniError, IniKey, IniSection, Position};

/// Reads the keys of a section and records each error.
///
/// A method that finds an error records it and returns a placeholder. The caller
/// discards its result if any error was recorded.
pub struct SectionReader<'a> {
    section: &'a IniSection,
    errors: &'a mut Vec<IniError>,
    /// Names of the keys that were read.
    known: Vec<&'static str>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader that appends errors to `errors`.
    pub fn new(section: &'a IniSection, errors: &'a mut Vec<IniError>) -> SectionReader<'a> {
        SectionReader { section, errors, known: Vec::new() }
    }

    /// Returns an optional key.
    pub fn key(&mut self, name: &'static str) -> Option<&'a IniKey> {
        self.known.push(name);
        self.section.key(name)
    }

    /// Returns the text of a required key, which must not be empty.
    pub fn text(&mut self, name: &'static str) -> String {
        match self.key(name) {
            Some(key) if key.value.is_empty() => {
                self.record_bad_value(key, "a value");
                String::new()
            }
            Some(key) => key.value.clone(),
            None => {
                self.record_missing(name);
                String::new()
            }
        }
    }

    /// Returns the text of a key, or `default` if the key is missing.
    pub fn text_or(&mut self, name: &'static str, default: &str) -> String {
        self.key(name).map_or_else(|| default.to_owned(), |key| key.value.clone())
    }

    /// Returns the parsed value of a required key, or `None` after an error.
    ///
    /// `expected` describes a valid value for the error's hint.
    pub fn parse<T: FromStr>(&mut self, name: &'static str, expected: &str) -> Option<T> {
        if self.section.key(name).is_none() {
            self.record_missing(name);
        }
        self.parse_optional(name, expected)
    }

    /// Returns the parsed value of an optional key, or `None` if it is missing or invalid.
    ///
    /// `expected` describes a valid value for the error's hint.
    pub fn parse_optional<T: FromStr>(&mut self, name: &'static str, expected: &str) -> Option<T> {
        let key = self.key(name)?;
        match key.value.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                self.record_bad_value(key, expected);
                None
            }
        }
    }

    /// Returns the number of a required key, which must lie in `range`.
    pub fn number(&mut self, name: &'static str, range: RangeInclusive<u64>) -> u64 {
        if self.section.key(name).is_none() {
            self.record_missing(name);
        }
        self.optional_number(name, range).unwrap_or_default()
    }

    /// Returns the number of a key, which must lie in `range`, or `default` if it is missing.
    pub fn number_or(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        self.optional_number(name, range).unwrap_or(default)
    }

    /// Returns the number of an optional key, which must lie in `range`.
    pub fn optional_number(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let key = self.key(name)?;
        match key.value.replace('_', "").parse() {
            Ok(value) if range.contains(&value) => Some(value),
            _ => {
                let expected = format!("a number from {} to {}", range.start(), range.end());
                self.record_bad_value(key, &expected);
                None
            }
        }
    }

    /// Returns the option that a key names, or `default` if the key is missing.
    ///
    /// The key is required if there is no default.
    ///
    /// # Panics
    ///
    /// Panics if `options` is empty.
    pub fn choice<T: Copy>(
        &mut self,
        name: &'static str,
        options: &[(&str, T)],
        default: Option<T>,
    ) -> T {
        let fallback = default.unwrap_or(options[0].1);
        let Some(key) = self.key(name) else {
            if default.is_none() {
                self.record_missing(name);
            }
            return fallback;
        };
        if let Some((_, value)) = options.iter().find(|(option, _)| *option == key.value) {
            return *value;
        }
        let names: Vec<&str> = options.iter().map(|(option, _)| *option).collect();
        self.record_bad_value(key, &format!("one of {}", names.join(", ")));
        fallback
    }

    /// Returns whether a key is `yes` rather than `no`, or `default` if the key is missing.
    pub fn flag(&mut self, name: &'static str, default: bool) -> bool {
        self.choice(name, &[("yes", true), ("no", false)], Some(default))
    }

    /// Returns comma-separated names, sorted and without duplicates; empty if the key is missing.
    pub fn list(&mut self, name: &'static str) -> Vec<String> {
        let Some(key) = self.key(name) else {
            return Vec::new();
        };
        let items = key.value.split(',').map(str::trim).filter(|item| !item.is_empty());
        let mut items: Vec<String> = items.map(str::to_owned).collect();
        items.sort_unstable();
        items.dedup();
        items
    }

    /// Records that a key's value is invalid; `expected` describes a valid one for the hint.
    pub fn record_bad_value(&mut self, key: &IniKey, expected: &str) {
        let (at, name, value) = (key.at.clone(), &key.name, &key.value);
        self.record(BadValueSnafu { at, key: name, value, expected }.build());
    }

    /// Records that a key conflicts with another value.
    pub fn record_conflict(&mut self, name: &str, detail: &str, hint: &str) {
        let at = self.position(name);
        self.record(ConflictSnafu { at, detail, hint }.build());
    }

    /// Records an error of the section as a whole.
    pub fn record_section_conflict(&mut self, detail: &str, hint: &str) {
        let at = self.section.at.clone();
        self.record(ConflictSnafu { at, detail, hint }.build());
    }

    /// Records any other error.
    pub fn record(&mut self, error: IniError) {
        self.errors.push(error);
    }

    /// Returns the position of a key, or of the section if the key is missing.
    pub fn position(&self, name: &str) -> Position {
        self.section.key(name).map_or_else(|| self.section.at.clone(), |key| key.at.clone())
    }

    /// Ends the reading and records an error for every key that was not read.
    pub fn finish(self) {
        for key in &self.section.keys {
            if self.known.contains(&key.name.as_str()) {
                continue;
            }
            let known: Vec<String> = self.known.iter().map(|name| (*name).to_owned()).collect();
            let (at, section) = (key.at.clone(), &self.section.name);
            self.errors.push(UnknownKeySnafu { at, section, key: &key.name, known }.build());
        }
    }

    /// Records that a key is missing.
    pub fn record_missing(&mut self, name: &str) {
        let (at, section) = (self.section.at.clone(), &self.section.name);
        self.record(MissingKeySnafu { at, section, key: name }.build());
    }
}
