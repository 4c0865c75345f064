//! Reads a configuration from a folder of INI files, merged in the order of their names.
//!
//! A later file overrides single keys of an earlier one. Each key keeps the file
//! and line of its value, so that errors point there.

use std::path::{Path, PathBuf};

use crate::ini::{IniDocument, IniError, IniErrors, IniSection};

use super::Config;
use super::sections::read_sections;

const EXTENSION: &str = "ini";

/// Valid configuration with the origin of each value.
#[derive(Clone, Debug)]
pub struct ConfigFolder {
    pub config: Config,
    /// Merged sections, sorted by name; each key has the file and line of its value.
    pub sections: Vec<IniSection>,
}

impl ConfigFolder {
    /// Reads, merges and checks every `.ini` file of a folder.
    ///
    /// # Errors
    ///
    /// Returns every error found if a file cannot be read or parsed, a value is invalid,
    /// or the folder has no `.ini` file.
    pub fn open(path: &Path) -> Result<ConfigFolder, IniErrors> {
        let mut documents = Vec::new();
        let mut errors = Vec::new();
        for file in ini_files(path)? {
            match IniDocument::open(&file) {
                Ok(document) => documents.push(document),
                Err(found) => errors.extend(found.0),
            }
        }
        if documents.is_empty() && errors.is_empty() {
            return Err(empty_folder(path).into());
        }
        if !errors.is_empty() {
            return Err(IniErrors(errors));
        }
        ConfigFolder::merge(documents)
    }

    /// Merges and checks documents; later ones override keys of earlier ones.
    pub fn merge(documents: Vec<IniDocument>) -> Result<ConfigFolder, IniErrors> {
        let sections = merge_sections(documents);
        let config = read_sections(&sections)?;
        Ok(ConfigFolder { config, sections })
    }
}

fn ini_files(path: &Path) -> Result<Vec<PathBuf>, IniErrors> {
    let unreadable = |source| {
        let file = path.display().to_string();
        IniErrors::from(IniError::Read { file, source })
    };
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path).map_err(unreadable)? {
        let file = entry.map_err(unreadable)?.path();
        if file.extension().is_some_and(|extension| extension == EXTENSION) {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

fn empty_folder(path: &Path) -> IniError {
    let source = std::io::Error::new(std::io::ErrorKind::NotFound, "the folder has no .ini file");
    IniError::Read { file: path.display().to_string(), source }
}

fn merge_sections(documents: Vec<IniDocument>) -> Vec<IniSection> {
    let mut sections: Vec<IniSection> =
        documents.into_iter().flat_map(|document| document.sections).collect();
    // The sort is stable, so that sections of the same name stay in the order of their files.
    sections.sort_by(|a, b| a.name.cmp(&b.name));
    let mut merged: Vec<IniSection> = Vec::with_capacity(sections.len());
    for section in sections {
        match merged.last_mut() {
            Some(earlier) if earlier.name == section.name => override_keys(earlier, section),
            _ => merged.push(section),
        }
    }
    merged
}

fn override_keys(earlier: &mut IniSection, later: IniSection) {
    for key in later.keys {
        match earlier.keys.iter_mut().find(|existing| existing.name == key.name) {
            Some(existing) => *existing = key,
            None => earlier.keys.push(key),
        }
    }
}
