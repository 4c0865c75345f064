//! Renders a configuration as INI text, with defaults written out.

use std::fmt::Write;

use super::sections::{BUDGET, CLASSES, POLICIES, ROUTE, TARGET, TARGET_KINDS, WORKSPACE};
use super::{Config, Route, Target, Workspace};
use crate::wire::Price;

impl Config {
    /// Returns INI text that parses to this configuration, apart from its revision.
    pub fn to_ini(&self) -> String {
        let mut text = String::new();
        self.workspaces.iter().for_each(|workspace| render_workspace(workspace, &mut text));
        for budget in &self.budgets {
            start_section(&mut text, BUDGET, &format!("{}/{}", budget.workspace, budget.name));
            write_key(&mut text, "initial_tokens", budget.initial_tokens);
        }
        self.routes.iter().for_each(|route| render_route(route, &mut text));
        self.targets.iter().for_each(|target| render_target(target, &mut text));
        text
    }
}

fn render_workspace(workspace: &Workspace, text: &mut String) {
    start_section(text, WORKSPACE, &workspace.name);
    write_key(text, "key_digests", workspace.key_digests.join(", "));
    write_key(text, "routes", workspace.routes.join(", "));
    if let Some(budget) = &workspace.default_budget {
        write_key(text, "default_budget", budget);
    }
    write_key(text, "weight", workspace.weight);
}

fn render_route(route: &Route, text: &mut String) {
    start_section(text, ROUTE, &route.name);
    write_key(text, "kind", name_of(TARGET_KINDS, route.kind));
    write_key(text, "class", name_of(CLASSES, route.class));
    write_key(text, "repeatable", yes_no(route.repeatable));
    write_key(text, "targets", route.targets.join(", "));
    if !route.model.is_empty() {
        write_key(text, "model", &route.model);
    }
    match route.price {
        Price::Usage => write_key(text, "price", "usage"),
        Price::Fixed(tokens) => write_key(text, "price", tokens),
    }
    write_key(text, "max_body_bytes", route.max_body_bytes);
    if let Some(tokens) = route.max_prompt_tokens {
        write_key(text, "max_prompt_tokens", tokens);
    }
    write_key(text, "max_tokens", route.max_tokens);
    write_key(text, "deadline_ms", route.deadline_ms);
    write_key(text, "retry_window_ms", route.retry_window_ms);
    write_key(text, "policy", name_of(POLICIES, route.policy));
    write_key(text, "retry_percent", route.retry_percent);
}

fn render_target(target: &Target, text: &mut String) {
    start_section(text, TARGET, &target.name);
    write_key(text, "kind", name_of(TARGET_KINDS, target.kind));
    write_key(text, "host", &target.host);
    write_key(text, "data_center", &target.data_center);
    write_key(text, "region", &target.region);
    write_key(text, "slots", target.slots);
    write_key(text, "quick_slots", target.quick_slots);
    write_key(text, "checks_fencing", yes_no(target.checks_fencing));
    if !target.models.is_empty() {
        write_key(text, "models", target.models.join(", "));
    }
}

/// Writes a section header, after an empty line unless it is the first.
fn start_section(text: &mut String, kind: &str, name: &str) {
    let separator = if text.is_empty() { "" } else { "\n" };
    let _ = writeln!(text, "{separator}[{kind} {name}]");
}

/// Writes one `key = value` line.
fn write_key(text: &mut String, key: &str, value: impl std::fmt::Display) {
    let _ = writeln!(text, "{key} = {value}");
}

fn yes_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}

fn name_of<T: PartialEq>(options: &[(&'static str, T)], value: T) -> &'static str {
    options.iter().find(|(_, option)| *option == value).map_or("", |(name, _)| name)
}
