//! Converts INI sections to a configuration and checks every value.

use super::references::check_references;
use super::{BudgetSettings, Config, PolicyName, Route, Target, TargetKind, Workspace};
use crate::ini::{IniError, IniErrors, IniKey, IniSection, SectionReader};
use crate::wire::{Class, Price};

// Kinds of section, the first word of a section's name.
pub(super) const WORKSPACE: &str = "workspace";
pub(super) const BUDGET: &str = "budget";
pub(super) const ROUTE: &str = "route";
pub(super) const TARGET: &str = "target";

pub(super) const TARGET_KINDS: &[(&str, TargetKind)] =
    &[("engine", TargetKind::Engine), ("application", TargetKind::Application)];
pub(super) const CLASSES: &[(&str, Class)] = &[
    ("quick", Class::Quick),
    ("long", Class::Long),
    ("check", Class::Check),
    ("action", Class::Action),
];
pub(super) const POLICIES: &[(&str, PolicyName)] = &[
    ("uniform", PolicyName::Uniform),
    ("two-choices", PolicyName::TwoChoices),
    ("bounded-rendezvous", PolicyName::BoundedRendezvous),
];

const SECTION_FORMS: &[&str] =
    &["workspace NAME", "budget WORKSPACE/NAME", "route NAME", "target NAME"];
/// Maximum length of a name, in ASCII characters.
const MAX_NAME_LENGTH: usize = 64;
const MAX_LIST_ITEMS: usize = 4_096;
const DIGEST_HEX_DIGITS: usize = 64;
const MAX_WEIGHT: u64 = 1_000;
const MAX_BUDGET_TOKENS: u64 = 1_000_000_000_000_000;
const MAX_REQUEST_TOKENS: u64 = 10_000_000;
const MAX_SLOTS: u64 = 65_536;
const DEFAULT_MAX_BODY_BYTES: u64 = 1 << 20;
/// Stays below the largest frame between processes, which also carries a request's envelope.
const MAX_BODY_BYTES: u64 = 16 << 20;
const MIN_DEADLINE_MS: u64 = 50;
const MAX_DEADLINE_MS: u64 = 86_400_000;
const MAX_RETRY_WINDOW_MS: u64 = 7 * 86_400_000;
const DEFAULT_RETRY_WINDOW_MS: u64 = 600_000;
const DEFAULT_RETRY_PERCENT: u64 = 10;
const DEFAULT_MAX_TOKENS: u64 = 1_024;

/// Converts merged sections; returns every error with its file, line and hint.
pub(super) fn read_sections(sections: &[IniSection]) -> Result<Config, IniErrors> {
    let mut cfg = Config::default();
    let mut errors = Vec::new();
    for section in sections {
        match section.kind() {
            WORKSPACE if is_named(section) => {
                cfg.workspaces.push(read_workspace(section, &mut errors));
            }
            BUDGET if section.label().contains('/') => {
                cfg.budgets.push(read_budget(section, &mut errors));
            }
            ROUTE if is_named(section) => cfg.routes.push(read_route(section, &mut errors)),
            TARGET if is_named(section) => cfg.targets.push(read_target(section, &mut errors)),
            _ => errors.push(unknown_section(section)),
        }
    }
    cfg.sort();
    check_references(&cfg, sections, &mut errors);
    if errors.is_empty() { Ok(cfg) } else { Err(IniErrors(errors)) }
}

fn is_named(section: &IniSection) -> bool {
    !section.label().is_empty()
}

fn unknown_section(section: &IniSection) -> IniError {
    IniError::UnknownSection {
        at: section.at.clone(),
        section: section.name.clone(),
        known: SECTION_FORMS.iter().map(|form| (*form).to_owned()).collect(),
    }
}

fn read_workspace(section: &IniSection, errors: &mut Vec<IniError>) -> Workspace {
    let mut reader = SectionReader::new(section, errors);
    let name = read_name(&mut reader, section.label());
    let key_digests = read_digests(&mut reader);
    let routes = read_list(&mut reader, "routes");
    let default_budget = reader.key("default_budget").map(|key| key.value.clone());
    let weight = reader.number_or("weight", 1..=MAX_WEIGHT, 1) as u32;
    reader.finish();
    Workspace { name, key_digests, routes, default_budget, weight }
}

fn read_budget(section: &IniSection, errors: &mut Vec<IniError>) -> BudgetSettings {
    let mut reader = SectionReader::new(section, errors);
    let (workspace, name) = section.label().split_once('/').unwrap_or_default();
    let workspace = read_name(&mut reader, workspace);
    let name = read_name(&mut reader, name);
    let initial_tokens = reader.number("initial_tokens", 0..=MAX_BUDGET_TOKENS);
    reader.finish();
    BudgetSettings { workspace, name, initial_tokens }
}

fn read_route(section: &IniSection, errors: &mut Vec<IniError>) -> Route {
    let mut reader = SectionReader::new(section, errors);
    let name = read_name(&mut reader, section.label());
    let kind = reader.choice("kind", TARGET_KINDS, None);
    let class = reader.choice("class", CLASSES, None);
    let repeatable = read_repeatable(&mut reader, class);
    let targets = read_list(&mut reader, "targets");
    if reader.key("targets").is_none() {
        reader.record_missing("targets");
    }
    let model = read_model(&mut reader, kind);
    let price = read_price(&mut reader, kind);
    let max_body_bytes =
        reader.number_or("max_body_bytes", 1..=MAX_BODY_BYTES, DEFAULT_MAX_BODY_BYTES);
    let max_prompt_tokens = reader.optional_number("max_prompt_tokens", 1..=MAX_REQUEST_TOKENS);
    let max_tokens = read_max_tokens(&mut reader, kind);
    let deadline_range = MIN_DEADLINE_MS..=MAX_DEADLINE_MS;
    let deadline_ms = reader.number_or("deadline_ms", deadline_range, default_deadline_ms(class));
    let window = 0..=MAX_RETRY_WINDOW_MS;
    let retry_window_ms = reader.number_or("retry_window_ms", window, DEFAULT_RETRY_WINDOW_MS);
    let policy = reader.choice("policy", POLICIES, Some(PolicyName::BoundedRendezvous));
    let retry_percent = reader.number_or("retry_percent", 0..=100, DEFAULT_RETRY_PERCENT) as u32;
    reader.finish();
    Route {
        name,
        kind,
        class,
        repeatable,
        targets,
        model,
        price,
        max_body_bytes,
        max_prompt_tokens,
        max_tokens,
        deadline_ms,
        retry_window_ms,
        policy,
        retry_percent,
    }
}

fn read_target(section: &IniSection, errors: &mut Vec<IniError>) -> Target {
    let mut reader = SectionReader::new(section, errors);
    let name = read_name(&mut reader, section.label());
    let kind = reader.choice("kind", TARGET_KINDS, None);
    let host = reader.text("host");
    let data_center = reader.text("data_center");
    let region = reader.text("region");
    let slots = reader.number("slots", 1..=MAX_SLOTS) as u32;
    let quick_slots = reader.number_or("quick_slots", 0..=MAX_SLOTS, 0) as u32;
    let checks_fencing = reader.flag("checks_fencing", false);
    let models = read_list(&mut reader, "models");
    if quick_slots >= slots && slots > 0 {
        reader.record_conflict(
            "quick_slots",
            "all slots are kept for class quick",
            "give fewer than `slots`",
        );
    }
    if kind == TargetKind::Application && !models.is_empty() {
        reader.record_conflict("models", "an application loads no models", "remove the key");
    }
    reader.finish();
    Target { name, kind, host, data_center, region, slots, quick_slots, checks_fencing, models }
}

fn read_name(reader: &mut SectionReader<'_>, name: &str) -> String {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || !name.chars().all(allowed) {
        let detail = format!("`{name}` is not a name");
        let hint = format!("use up to {MAX_NAME_LENGTH} letters, digits, `-`, `_` and `.`");
        reader.record_section_conflict(&detail, &hint);
    }
    name.to_owned()
}

fn read_list(reader: &mut SectionReader<'_>, name: &'static str) -> Vec<String> {
    let items = reader.list(name);
    if items.len() > MAX_LIST_ITEMS {
        let detail = format!("`{name}` lists {} names", items.len());
        reader.record_conflict(name, &detail, &format!("list at most {MAX_LIST_ITEMS}"));
    }
    items
}

fn read_digests(reader: &mut SectionReader<'_>) -> Vec<String> {
    if reader.key("key_digests").is_none() {
        reader.record_missing("key_digests");
    }
    let digests: Vec<String> =
        read_list(reader, "key_digests").iter().map(|digest| digest.to_lowercase()).collect();
    let is_digest = |text: &String| {
        text.len() == DIGEST_HEX_DIGITS && text.chars().all(|c| c.is_ascii_hexdigit())
    };
    if !digests.iter().all(is_digest) {
        // The message leaves the value out because it may be the key itself.
        reader.record_conflict(
            "key_digests",
            "`key_digests` holds something that is not a BLAKE3 digest",
            "write the digests that `rosemarymoor keygen --workspace` prints, not the keys",
        );
    }
    digests
}

fn read_repeatable(reader: &mut SectionReader<'_>, class: Class) -> bool {
    let repeatable = reader.flag("repeatable", class != Class::Action);
    if repeatable && class == Class::Action {
        reader.record_conflict(
            "repeatable",
            "an action runs at most once",
            "remove the key, or choose `class = check`",
        );
    }
    repeatable
}

fn read_model(reader: &mut SectionReader<'_>, kind: TargetKind) -> String {
    match kind {
        TargetKind::Engine => reader.text("model"),
        TargetKind::Application => {
            if reader.key("model").is_some() {
                reader.record_conflict(
                    "model",
                    "an application route has no model",
                    "remove the key",
                );
            }
            String::new()
        }
    }
}

fn read_max_tokens(reader: &mut SectionReader<'_>, kind: TargetKind) -> u64 {
    match kind {
        TargetKind::Engine => {
            reader.number_or("max_tokens", 1..=MAX_REQUEST_TOKENS, DEFAULT_MAX_TOKENS)
        }
        TargetKind::Application => reader.number_or("max_tokens", 0..=0, 0),
    }
}

fn read_price(reader: &mut SectionReader<'_>, kind: TargetKind) -> Price {
    let Some(key) = reader.key("price") else {
        if kind == TargetKind::Application {
            reader.record_missing("price");
        }
        return Price::Usage;
    };
    match parse_price(key, kind) {
        Some(price) => price,
        None => {
            let expected = match kind {
                TargetKind::Engine => "`usage` or a number of tokens",
                TargetKind::Application => "a number of tokens",
            };
            reader.record_bad_value(key, expected);
            Price::Usage
        }
    }
}

fn parse_price(key: &IniKey, kind: TargetKind) -> Option<Price> {
    if key.value == "usage" {
        return (kind == TargetKind::Engine).then_some(Price::Usage);
    }
    let tokens = key.value.replace('_', "").parse().ok()?;
    (tokens <= MAX_REQUEST_TOKENS).then_some(Price::Fixed(tokens))
}

fn default_deadline_ms(class: Class) -> u64 {
    match class {
        Class::Quick => 10_000,
        Class::Long => 600_000,
        Class::Check => 5_000,
        Class::Action => 30_000,
    }
}
