//! Writes a configuration as INI, every key spelled out.

use std::fmt::Write;

use super::sections::{BUDGET, CLASSES, KINDS, POLICIES, ROUTE, TARGET, WORKSPACE};
use super::{Config, Route, Target, Workspace};
use crate::wire::Price;

impl Config {
    /// INI text that reads back as this configuration.
    pub fn to_ini(&self) -> String {
        let mut text = String::new();
        self.workspaces.iter().for_each(|workspace| render_workspace(workspace, &mut text));
        for budget in &self.budgets {
            start(&mut text, BUDGET, &format!("{}/{}", budget.workspace, budget.name));
            line(&mut text, "initial_tokens", budget.initial_tokens);
        }
        self.routes.iter().for_each(|route| render_route(route, &mut text));
        self.targets.iter().for_each(|target| render_target(target, &mut text));
        text
    }
}

fn render_workspace(workspace: &Workspace, text: &mut String) {
    start(text, WORKSPACE, &workspace.name);
    line(text, "key_digests", workspace.key_digests.join(", "));
    line(text, "routes", workspace.routes.join(", "));
    if let Some(budget) = &workspace.default_budget {
        line(text, "default_budget", budget);
    }
    line(text, "weight", workspace.weight);
}

fn render_route(route: &Route, text: &mut String) {
    start(text, ROUTE, &route.name);
    line(text, "kind", name_of(KINDS, route.kind));
    line(text, "class", name_of(CLASSES, route.class));
    line(text, "repeatable", yes_no(route.repeatable));
    line(text, "targets", route.targets.join(", "));
    if !route.model.is_empty() {
        line(text, "model", &route.model);
    }
    match route.price {
        Price::Usage => line(text, "price", "usage"),
        Price::Fixed(tokens) => line(text, "price", tokens),
    }
    line(text, "max_body_bytes", route.max_body_bytes);
    if let Some(tokens) = route.max_prompt_tokens {
        line(text, "max_prompt_tokens", tokens);
    }
    line(text, "max_tokens", route.max_tokens);
    line(text, "deadline_ms", route.deadline_ms);
    line(text, "retry_window_ms", route.retry_window_ms);
    line(text, "policy", name_of(POLICIES, route.policy));
    line(text, "retry_percent", route.retry_percent);
}

fn render_target(target: &Target, text: &mut String) {
    start(text, TARGET, &target.name);
    line(text, "kind", name_of(KINDS, target.kind));
    line(text, "host", &target.host);
    line(text, "data_center", &target.data_center);
    line(text, "region", &target.region);
    line(text, "slots", target.slots);
    line(text, "quick_slots", target.quick_slots);
    line(text, "checks_fencing", yes_no(target.checks_fencing));
    if !target.models.is_empty() {
        line(text, "models", target.models.join(", "));
    }
}

fn start(text: &mut String, kind: &str, name: &str) {
    let gap = if text.is_empty() { "" } else { "\n" };
    let _ = writeln!(text, "{gap}[{kind} {name}]");
}

fn line(text: &mut String, key: &str, value: impl std::fmt::Display) {
    let _ = writeln!(text, "{key} = {value}");
}

fn yes_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}

fn name_of<T: PartialEq>(options: &[(&'static str, T)], value: T) -> &'static str {
    options.iter().find(|(_, option)| *option == value).map_or("", |(name, _)| name)
}
