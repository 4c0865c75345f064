//! Settings of the processes for direct delivery.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use log::LevelFilter;
use rosemarymoor_lib::dispatch::regions::RegionMap;
use rosemarymoor_lib::dispatch::retry_budget::FleetRetryLimits;
use rosemarymoor_lib::ini::{
    IniDocument, IniError, IniErrors, IniSection, Position, SectionReader,
};
use rosemarymoor_lib::peer_memory::DEFAULT_PROCESS_BYTES;

use crate::settings::{LOG_LEVELS, SettingsError, record_unknown_sections};

/// Role of a process for direct delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectRole {
    /// Receives callers' requests and sends them to targets.
    Entry,
    /// Holds budgets and relays store calls, beside a target.
    BudgetServer,
}

impl DirectRole {
    /// Returns the name in the settings and in the fleet's own list.
    pub const fn name(self) -> &'static str {
        match self {
            DirectRole::Entry => "direct-entry",
            DirectRole::BudgetServer => "budget-server",
        }
    }
}

/// Names of the roles in the settings.
pub const DIRECT_ROLES: &[(&str, DirectRole)] = &[
    (DirectRole::Entry.name(), DirectRole::Entry),
    (DirectRole::BudgetServer.name(), DirectRole::BudgetServer),
];

/// Settings of one process for direct delivery.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// Name of the host.
    pub name: String,
    pub role: DirectRole,
    pub data_center: String,
    pub log_level: LevelFilter,
    /// Memory that the process may take, in bytes; the command line may name another than the default.
    pub memory_bytes: usize,
    /// Address for callers; only of entries.
    pub callers: Option<SocketAddr>,
    /// Address for the balancer's readiness checks; only of entries.
    pub ready: Option<SocketAddr>,
    /// Address for calls of other processes of the fleet.
    pub internal: SocketAddr,
    /// Address for scrapers of metrics.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Limits of retries for the whole fleet.
    pub retries: FleetRetryLimits,
    /// Longest time between a request to stop and the end of the process.
    pub grace: Duration,
    /// Address of the target beside a budget server; `None` if its load is not read.
    pub target: Option<SocketAddr>,
    /// Regions of the data centres; empty if the settings name none.
    pub regions: RegionMap,
}

const ADDRESS_EXPECTED: &str = "an IP address with a port, as 10.0.0.1:7000";
const NUMBER_EXPECTED: &str = "a number, as 0.2";
const SECONDS_EXPECTED: &str = "a number of seconds, at most 86400";
const REGION_EXPECTED: &str = "the name of the data centre's region";
const SECTIONS: &[&str] = &["process", "listen", "platform", "retries", "target", "regions"];

/// Retries allowed for each request, if the settings name no ratio.
const DEFAULT_RETRY_RATIO: f64 = 0.2;

/// Retries allowed in each window beside the ratio, if the settings name no constant.
const DEFAULT_RETRY_CONSTANT: f64 = 50.0;

/// Length of the retry window in seconds, if the settings name none.
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;

/// Time limit of a stop in seconds, if the settings name none.
const DEFAULT_GRACE_S: f64 = 8.0;

/// Longest time that the settings may name, in seconds.
const MAX_SECONDS: f64 = 86_400.0;

const MS_PER_S: f64 = 1_000.0;

impl DirectSettings {
    /// Returns whether a document names a role for direct delivery.
    pub fn is_direct(document: &IniDocument) -> bool {
        document
            .section("process")
            .and_then(|section| section.key("role"))
            .is_some_and(|role| DIRECT_ROLES.iter().any(|(name, _)| *name == role.value))
    }

    /// Reads and checks a settings file; fails with every error found.
    pub fn open(path: &Path) -> Result<DirectSettings, SettingsError> {
        let document = IniDocument::open(path).map_err(|errors| SettingsError { errors })?;
        DirectSettings::from_document(&document)
    }

    /// Checks a parsed settings file; fails with every error found.
    pub fn from_document(document: &IniDocument) -> Result<DirectSettings, SettingsError> {
        let mut errors = Vec::new();
        record_unknown_sections(document, SECTIONS, &mut errors);
        match read_settings(document, &mut errors) {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(SettingsError { errors: IniErrors(errors) }),
        }
    }
}

fn read_settings(document: &IniDocument, errors: &mut Vec<IniError>) -> Option<DirectSettings> {
    let empty = empty_section(document);
    let section = |name: &str| document.section(name).unwrap_or(&empty);

    let mut reader = SectionReader::new(section("process"), errors);
    let name = reader.text("name");
    let role = reader.choice("role", DIRECT_ROLES, None);
    let data_center = reader.text("data_center");
    let log_level = reader.choice("log_level", LOG_LEVELS, Some(LevelFilter::Info));
    reader.finish();

    let mut reader = SectionReader::new(section("listen"), errors);
    let (callers, ready) = match role {
        DirectRole::Entry => {
            (reader.parse("callers", ADDRESS_EXPECTED), reader.parse("ready", ADDRESS_EXPECTED))
        }
        DirectRole::BudgetServer => (None, None),
    };
    let internal = reader.parse("internal", ADDRESS_EXPECTED);
    let metrics = reader.parse_optional("metrics", ADDRESS_EXPECTED);
    reader.finish();

    let mut reader = SectionReader::new(section("platform"), errors);
    let store = reader.parse("store", ADDRESS_EXPECTED);
    let grace_s = seconds_or(&mut reader, "grace_s", DEFAULT_GRACE_S);
    reader.finish();

    let mut reader = SectionReader::new(section("retries"), errors);
    let ratio = non_negative_or(&mut reader, "ratio", DEFAULT_RETRY_RATIO);
    let constant = non_negative_or(&mut reader, "constant", DEFAULT_RETRY_CONSTANT);
    let window_s = seconds_or(&mut reader, "window_s", DEFAULT_RETRY_WINDOW_S);
    reader.finish();

    let target = read_target(document, role, errors);
    let regions = read_regions(section("regions"), errors);

    Some(DirectSettings {
        name,
        role,
        data_center,
        log_level,
        memory_bytes: DEFAULT_PROCESS_BYTES,
        callers,
        ready,
        internal: internal?,
        metrics,
        store: store?,
        retries: FleetRetryLimits {
            ratio,
            constant: constant as u64,
            window_ms: (window_s * MS_PER_S) as u64,
        },
        grace: Duration::from_secs_f64(grace_s),
        target,
        regions,
    })
}

/// Reads the section of the target beside a budget server, if there is one.
fn read_target(
    document: &IniDocument,
    role: DirectRole,
    errors: &mut Vec<IniError>,
) -> Option<SocketAddr> {
    let section = document.section("target")?;
    let mut reader = SectionReader::new(section, errors);
    if role == DirectRole::Entry {
        let hint = "remove it, or set `role = budget-server`";
        reader.record_section_conflict("an entry has no `[target]` section", hint);
        return None;
    }
    let address = reader.parse("address", ADDRESS_EXPECTED);
    reader.finish();
    address
}

/// Reads the section whose keys are the data centres and whose values are their regions.
fn read_regions(section: &IniSection, errors: &mut Vec<IniError>) -> RegionMap {
    let mut reader = SectionReader::new(section, errors);
    let mut regions = Vec::new();
    for key in &section.keys {
        if key.value.is_empty() {
            reader.record_bad_value(key, REGION_EXPECTED);
        }
        regions.push((key.name.clone(), key.value.clone()));
    }
    RegionMap::new(regions)
}

fn empty_section(document: &IniDocument) -> IniSection {
    let at = Position { file: document.file.clone(), line: 1 };
    IniSection { name: String::new(), at, keys: Vec::new() }
}

/// Reads a number that is not negative, or the default if the key is missing.
fn non_negative_or(reader: &mut SectionReader<'_>, name: &'static str, default: f64) -> f64 {
    number_or(reader, name, default, f64::MAX, NUMBER_EXPECTED)
}

/// Reads a time of at most [`MAX_SECONDS`], or the default if the key is missing.
fn seconds_or(reader: &mut SectionReader<'_>, name: &'static str, default: f64) -> f64 {
    number_or(reader, name, default, MAX_SECONDS, SECONDS_EXPECTED)
}

/// Reads a number from 0 to `max`, or the default if the key is missing.
fn number_or(
    reader: &mut SectionReader<'_>,
    name: &'static str,
    default: f64,
    max: f64,
    expected: &'static str,
) -> f64 {
    let Some(key) = reader.key(name) else { return default };
    match key.value.parse::<f64>() {
        Ok(value) if (0.0..=max).contains(&value) => value,
        _ => {
            reader.record_bad_value(key, expected);
            default
        }
    }
}
