//! Settings of an entry or a sidecar, read from the INI file that the process is started with.

use std::net::SocketAddr;
use std::path::Path;

use log::LevelFilter;
use rosemarymoor_lib::fleet_key::FleetKey;
use rosemarymoor_lib::host_list::Role;
use rosemarymoor_lib::ini::{
    IniDocument, IniError, IniErrors, IniSection, Position, SectionReader,
};
use snafu::Snafu;

/// Settings of one entry or sidecar process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host in the platform's host list.
    pub name: String,
    pub role: Role,
    pub data_center: String,
    pub region: String,
    /// Address at which peers are served over QUIC.
    pub quic: SocketAddr,
    /// Address of the HTTP server for health, readiness and metrics; an entry also serves callers
    /// there.
    pub http: SocketAddr,
    /// Base URL of the key-value service.
    pub kv_url: String,
    /// URL of the host list.
    pub hosts_url: String,
    /// Secret that all processes of the fleet share, in base64.
    pub fleet_key: String,
    pub log_level: LevelFilter,
    /// Longest time for which a graceful stop waits for running requests, in milliseconds.
    pub drain_ms: u64,
    pub budgets: BudgetsSettings,
    /// Number of hosts from which this one receives newer configurations.
    pub config_parents: usize,
    /// Present for role sidecar.
    pub target: Option<TargetSettings>,
}

/// Settings of the budget system.
#[derive(Clone, Debug)]
pub struct BudgetsSettings {
    /// Number of ledger shards in the store; equal for the whole fleet.
    pub shards: u32,
    /// Grant policy: `adaptive`, `static-split` or `per-request`.
    pub policy: String,
}

/// Settings of the target behind a sidecar.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Name of the target in the configuration.
    pub name: String,
    /// Base URL of the target.
    pub url: String,
}

/// Why a settings file is invalid.
#[derive(Debug, Snafu)]
#[snafu(display("{errors}"))]
pub struct SettingsError {
    /// All errors that were found, with file, line and hint.
    pub errors: IniErrors,
}

/// Largest number of ledger shards.
const MAX_SHARDS: u64 = 65_536;
/// Number of ledger shards if the settings name none.
const DEFAULT_SHARDS: u64 = 64;
/// Longest drain that may be configured, in milliseconds.
const MAX_DRAIN_MS: u64 = 86_400_000;
/// Largest number of hosts from which configurations are received.
const MAX_CONFIG_PARENTS: u64 = 4;
/// Number of hosts from which configurations are received, if the settings name none.
const DEFAULT_CONFIG_PARENTS: u64 = 2;
/// Longest drain if the settings name none, in milliseconds.
const DEFAULT_DRAIN_MS: u64 = 600_000;

const ROLES: &[(&str, Role)] = &[("entry", Role::Entry), ("sidecar", Role::Sidecar)];
/// Names of the log levels in settings files.
pub(crate) const LOG_LEVELS: &[(&str, LevelFilter)] = &[
    ("error", LevelFilter::Error),
    ("warn", LevelFilter::Warn),
    ("info", LevelFilter::Info),
    ("debug", LevelFilter::Debug),
    ("trace", LevelFilter::Trace),
];
const BUDGET_POLICIES: &[(&str, &str)] =
    &[("adaptive", "adaptive"), ("static-split", "static-split"), ("per-request", "per-request")];
const SECTIONS: &[&str] = &["process", "platform", "budgets", "config", "target"];

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors that the file contains.
    pub fn open(path: &Path) -> Result<Settings, SettingsError> {
        let document = IniDocument::open(path).map_err(|errors| SettingsError { errors })?;
        Settings::from_document(&document)
    }

    /// Reads settings from a parsed file.
    ///
    /// # Errors
    ///
    /// Returns all errors that the document contains.
    pub fn from_document(document: &IniDocument) -> Result<Settings, SettingsError> {
        let mut errors = Vec::new();
        record_unknown_sections(document, SECTIONS, &mut errors);
        let settings = read(document, &mut errors);
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(SettingsError { errors: IniErrors(errors) }),
        }
    }
}

/// Records an error for each section that is not among the `known` ones.
pub(crate) fn record_unknown_sections(
    document: &IniDocument,
    known: &[&str],
    errors: &mut Vec<IniError>,
) {
    for section in &document.sections {
        if known.contains(&section.name.as_str()) {
            continue;
        }
        errors.push(IniError::UnknownSection {
            at: section.at.clone(),
            section: section.name.clone(),
            known: known.iter().map(|name| (*name).to_owned()).collect(),
        });
    }
}

fn read(document: &IniDocument, errors: &mut Vec<IniError>) -> Option<Settings> {
    let empty =
        IniSection { name: "budgets".to_owned(), at: document_start(document), keys: Vec::new() };
    let process = required_section(document, "process", errors);
    let platform = required_section(document, "platform", errors);
    let budgets = read_budgets(document.section("budgets").unwrap_or(&empty), errors);
    let config_parents = read_config(document.section("config").unwrap_or(&empty), errors);
    let (process, platform) = (process?, platform?);
    let (kv_url, hosts_url) = read_platform(platform, errors);

    let mut reader = SectionReader::new(process, errors);
    let name = reader.text("name");
    let role = reader.choice("role", ROLES, None);
    let data_center = reader.text("data_center");
    let region = reader.text("region");
    let quic = reader.parse("quic", ADDRESS_EXPECTED);
    let http = reader.parse("http", ADDRESS_EXPECTED);
    let fleet_key = read_fleet_key(&mut reader);
    let log_level = reader.choice("log_level", LOG_LEVELS, Some(LevelFilter::Info));
    let drain_ms = reader.number_or("drain_ms", 0..=MAX_DRAIN_MS, DEFAULT_DRAIN_MS);
    reader.finish();

    let target = read_target(document, role, errors);
    Some(Settings {
        name,
        role,
        data_center,
        region,
        quic: quic?,
        http: http?,
        kv_url,
        hosts_url,
        fleet_key,
        log_level,
        drain_ms,
        budgets,
        config_parents,
        target,
    })
}

/// Expected form of an address, for error messages.
const ADDRESS_EXPECTED: &str = "an IP address with a port, as 10.0.0.1:7000";

fn read_platform(section: &IniSection, errors: &mut Vec<IniError>) -> (String, String) {
    let mut reader = SectionReader::new(section, errors);
    let kv_url = read_url(&mut reader, "kv");
    let hosts_url = read_url(&mut reader, "hosts");
    reader.finish();
    (kv_url, hosts_url)
}

fn read_budgets(section: &IniSection, errors: &mut Vec<IniError>) -> BudgetsSettings {
    let mut reader = SectionReader::new(section, errors);
    let shards = reader.number_or("shards", 1..=MAX_SHARDS, DEFAULT_SHARDS) as u32;
    let policy = reader.choice("policy", BUDGET_POLICIES, Some("adaptive")).to_owned();
    reader.finish();
    BudgetsSettings { shards, policy }
}

fn read_config(section: &IniSection, errors: &mut Vec<IniError>) -> usize {
    let mut reader = SectionReader::new(section, errors);
    let parents = reader.number_or("parents", 1..=MAX_CONFIG_PARENTS, DEFAULT_CONFIG_PARENTS);
    reader.finish();
    parents as usize
}

fn read_target(
    document: &IniDocument,
    role: Role,
    errors: &mut Vec<IniError>,
) -> Option<TargetSettings> {
    let section = match role {
        Role::Sidecar => required_section(document, "target", errors)?,
        Role::Entry => {
            let section = document.section("target")?;
            errors.push(IniError::Conflict {
                at: section.at.clone(),
                detail: "an entry has no `[target]` section".to_owned(),
                hint: "remove it, or set `role = sidecar`".to_owned(),
            });
            return None;
        }
    };
    let mut reader = SectionReader::new(section, errors);
    let name = reader.text("name");
    let url = read_url(&mut reader, "url");
    reader.finish();
    Some(TargetSettings { name, url })
}

fn read_fleet_key(reader: &mut SectionReader<'_>) -> String {
    let text = reader.text("fleet_key");
    if !text.is_empty() && FleetKey::from_base64(&text).is_err() {
        // The key is left out of the message because messages may be logged.
        reader.record_conflict(
            "fleet_key",
            "`fleet_key` is not a fleet key",
            "write the line that `rosemarymoor keygen` prints",
        );
    }
    text
}

fn read_url(reader: &mut SectionReader<'_>, name: &'static str) -> String {
    let text = reader.text(name);
    let is_url = reqwest::Url::parse(&text)
        .is_ok_and(|url| matches!(url.scheme(), "http" | "https") && url.has_host());
    if let Some(key) = reader.key(name)
        && !text.is_empty()
        && !is_url
    {
        reader.record_bad_value(key, "a URL, as http://10.0.0.1:2379");
    }
    text
}

/// Returns a section, or records that it is missing.
fn required_section<'a>(
    document: &'a IniDocument,
    name: &str,
    errors: &mut Vec<IniError>,
) -> Option<&'a IniSection> {
    let section = document.section(name);
    if section.is_none() {
        let at = document_start(document);
        errors.push(IniError::MissingSection { at, section: name.to_owned() });
    }
    section
}

/// Returns the position that is reported for an error without a line of its own.
fn document_start(document: &IniDocument) -> Position {
    Position { file: document.file.clone(), line: 1 }
}
