//! The operator's settings file.

use std::path::Path;

use rosemarymoor_lib::ini::{IniDocument, IniError, IniErrors, IniSection, SectionReader};

const DEFAULT_SHARDS: u64 = 64;
const MAX_SHARDS: u64 = 65_536;
const SECTIONS: &[&str] = &["operator", "platform", "budgets"];

/// Who operates the fleet, and where the platform's services are.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// Recorded as the author of changes.
    pub name: String,
    pub fleet_key: String,
    pub kv_url: String,
    pub hosts_url: String,
    /// Number of ledger shards, as in the settings of the daemons.
    pub shards: u32,
}

impl OperatorSettings {
    /// Reads and checks a settings file.
    pub fn open(path: &Path) -> Result<OperatorSettings, IniErrors> {
        let document = IniDocument::open(path)?;
        let mut errors = Vec::new();
        for section in &document.sections {
            if !SECTIONS.contains(&section.name.as_str()) {
                errors.push(unknown_section(section));
            }
        }
        let settings = read(&document, &mut errors);
        if errors.is_empty() { Ok(settings) } else { Err(IniErrors(errors)) }
    }
}

fn read(document: &IniDocument, errors: &mut Vec<IniError>) -> OperatorSettings {
    let operator = section(document, "operator");
    let mut reader = SectionReader::new(&operator, errors);
    let name = reader.text("name");
    let fleet_key = reader.text("fleet_key");
    reader.finish();
    let platform = section(document, "platform");
    let mut reader = SectionReader::new(&platform, errors);
    let kv_url = reader.text("kv");
    let hosts_url = reader.text("hosts");
    reader.finish();
    let budgets = section(document, "budgets");
    let mut reader = SectionReader::new(&budgets, errors);
    let shards = reader.number_or("shards", 1..=MAX_SHARDS, DEFAULT_SHARDS) as u32;
    reader.finish();
    OperatorSettings { name, fleet_key, kv_url, hosts_url, shards }
}

/// Section by name; an empty one if the file has none, so that its keys are missed.
fn section(document: &IniDocument, name: &str) -> IniSection {
    let mut empty = IniSection { name: name.to_owned(), ..IniSection::default() };
    empty.at.file = document.file.clone();
    empty.at.line = 1;
    document.section(name).cloned().unwrap_or(empty)
}

fn unknown_section(section: &IniSection) -> IniError {
    IniError::UnknownSection {
        at: section.at.clone(),
        section: section.name.clone(),
        known: SECTIONS.iter().map(|name| (*name).to_owned()).collect(),
    }
}
