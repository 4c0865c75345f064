//! Settings file of the operator: who operates the fleet, and the platform's services.

use std::path::Path;

use rosemarymoor_lib::ini::{IniDocument, IniError, IniErrors, IniSection, SectionReader};

const DEFAULT_SHARDS: u64 = 64;
const MAX_SHARDS: u64 = 65_536;
const SECTIONS: &[&str] = &["operator", "platform", "budgets"];

/// Operator's name, the fleet key and the URLs of the platform's services.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// Name recorded as the author of changes to the configuration.
    pub name: String,
    /// Secret that all processes of the fleet share, in base64.
    pub fleet_key: String,
    /// URL of the key-value service.
    pub kv_url: String,
    /// URL of the host list.
    pub hosts_url: String,
    /// Number of ledger shards; it has to equal that in the daemons' settings.
    pub shards: u32,
}

impl OperatorSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails with the errors found in the file, each with its position.
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

/// Returns a section by name. For an absent section this is an empty one at the start of
/// the file, so that its required keys are reported as missing.
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
