//! Parses INI files for settings and configurations, with the position of each key.
//!
//! rust-ini parses the text but records no line numbers, so a scan of the same text
//! finds the line of each section and key. A section or key that occurs twice in
//! one file is rejected, which makes the match unambiguous. Values are taken
//! literally: without quotes or escapes, and comments need lines of their own.

mod error;
mod reader;

pub use error::{IniError, IniErrors};
pub use reader::SectionReader;

use std::path::Path;

use derive_more::Display;
use ini::{Ini, ParseOption};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use error::{DuplicateSnafu, OutsideSectionSnafu, ReadSnafu, SyntaxSnafu};

/// File and line of a section or key.
#[derive(
    Clone, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{file}:{line}")]
pub struct Position {
    pub file: String,
    /// Line number, counted from one.
    pub line: u32,
}

/// Key with its value and position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct IniKey {
    pub name: String,
    pub value: String,
    pub at: Position,
}

/// Section with its keys in the order of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct IniSection {
    pub name: String,
    pub at: Position,
    pub keys: Vec<IniKey>,
}

impl IniSection {
    /// Returns a key by name.
    pub fn key(&self, name: &str) -> Option<&IniKey> {
        self.keys.iter().find(|key| key.name == name)
    }

    /// Returns the first word of the section's name, such as `route` in `[route dossier]`.
    pub fn kind(&self) -> &str {
        self.name.split_whitespace().next().unwrap_or_default()
    }

    /// Returns the rest of the section's name, such as `dossier` in `[route dossier]`.
    pub fn label(&self) -> &str {
        let name = self.name.trim_start();
        name[self.kind().len()..].trim()
    }
}

/// Sections of a file in the order of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IniDocument {
    /// Name of the file, used in error messages.
    pub file: String,
    pub sections: Vec<IniSection>,
}

impl IniDocument {
    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, and as [`IniDocument::parse`] does.
    pub fn open(path: &Path) -> Result<IniDocument, IniErrors> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .context(ReadSnafu { file: file.clone() })
            .map_err(IniErrors::from)?;
        IniDocument::parse(&file, &text)
    }

    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// Returns the first syntax error, or else every duplicate section or key and every key
    /// before the first section.
    pub fn parse(file: &str, text: &str) -> Result<IniDocument, IniErrors> {
        check_lines(file, text)?;
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            enabled_indented_mutiline_value: false,
            enabled_preserve_key_leading_whitespace: false,
        };
        let values = Ini::load_from_str_opt(text, options).map_err(|err| {
            let at = Position { file: file.to_owned(), line: err.line as u32 };
            SyntaxSnafu { at, detail: err.msg.to_string() }.build()
        })?;
        let mut scan = Scan {
            file,
            raw_section_name: "",
            document: IniDocument::default(),
            errors: Vec::new(),
        };
        for (index, line) in text.lines().enumerate() {
            scan.line(index as u32 + 1, line.trim(), &values);
        }
        scan.finish()
    }

    /// Returns a section by name.
    pub fn section(&self, name: &str) -> Option<&IniSection> {
        self.sections.iter().find(|section| section.name == name)
    }
}

/// Rejects lines that rust-ini would continue on the next line.
fn check_lines(file: &str, text: &str) -> Result<(), IniError> {
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        let is_section = line.starts_with('[');
        let detail = match is_section {
            true if !line.ends_with(']') => "the section's `]` is missing",
            false if !is_blank(line) && !line.contains(['=', ':']) => "there is no `=`",
            _ => continue,
        };
        let at = Position { file: file.to_owned(), line: index as u32 + 1 };
        return SyntaxSnafu { at, detail }.fail();
    }
    Ok(())
}

fn is_blank(line: &str) -> bool {
    line.is_empty() || line.starts_with([';', '#'])
}

/// Scan over the lines that records the positions of sections and keys.
struct Scan<'a> {
    file: &'a str,
    /// Name of the current section before its white space is normalised.
    raw_section_name: &'a str,
    document: IniDocument,
    errors: Vec<IniError>,
}

impl<'a> Scan<'a> {
    fn line(&mut self, number: u32, line: &'a str, values: &Ini) {
        let at = Position { file: self.file.to_owned(), line: number };
        let line = line.trim_start_matches('\u{feff}');
        if is_blank(line) {
            return;
        }
        match line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            Some(name) => self.section(name.trim(), at),
            None => self.key(line, at, values),
        }
    }

    fn section(&mut self, name: &'a str, at: Position) {
        self.raw_section_name = name;
        let name = name.split_whitespace().collect::<Vec<_>>().join(" ");
        self.document.sections.push(IniSection { name, at, keys: Vec::new() });
    }

    fn key(&mut self, line: &str, at: Position, values: &Ini) {
        let name = line.split(['=', ':']).next().unwrap_or_default().trim();
        let Some(section) = self.document.sections.last_mut() else {
            self.errors.push(OutsideSectionSnafu { at, key: name }.build());
            return;
        };
        if let Some(first) = section.key(name) {
            let first = first.at.clone();
            self.errors.push(DuplicateSnafu { at, name, first }.build());
            return;
        }
        let value = values.get_from(Some(self.raw_section_name), name);
        let value = value.unwrap_or_default().trim().to_owned();
        section.keys.push(IniKey { name: name.to_owned(), value, at });
    }

    fn check_duplicate_sections(&mut self) {
        let mut sorted: Vec<&IniSection> = self.document.sections.iter().collect();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        for pair in sorted.windows(2) {
            if pair[0].name == pair[1].name {
                let (at, first) = (pair[1].at.clone(), pair[0].at.clone());
                self.errors.push(DuplicateSnafu { at, name: &pair[1].name, first }.build());
            }
        }
    }

    fn finish(mut self) -> Result<IniDocument, IniErrors> {
        self.check_duplicate_sections();
        self.document.file = self.file.to_owned();
        if self.errors.is_empty() { Ok(self.document) } else { Err(IniErrors(self.errors)) }
    }
}
