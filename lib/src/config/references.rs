//! Checks the references and constraints between sections of a configuration.

use super::sections::{BUDGET, ROUTE, TARGET, WORKSPACE};
use super::{Config, Route, Target, Workspace};
use crate::ini::{IniError, IniSection, Position};

/// Records every reference to a missing or unsuitable item, and every host or key used twice.
pub(super) fn check_references(cfg: &Config, sections: &[IniSection], errors: &mut Vec<IniError>) {
    let mut check = ReferenceCheck { cfg, sections, errors };
    cfg.workspaces.iter().for_each(|workspace| check.check_workspace(workspace));
    check.check_budgets();
    cfg.routes.iter().for_each(|route| check.check_route(route));
    check.check_shared_hosts();
    check.check_shared_keys();
}

/// Pass over a configuration that collects errors.
struct ReferenceCheck<'a> {
    cfg: &'a Config,
    sections: &'a [IniSection],
    errors: &'a mut Vec<IniError>,
}

impl ReferenceCheck<'_> {
    fn check_workspace(&mut self, workspace: &Workspace) {
        let section = format!("{WORKSPACE} {}", workspace.name);
        for route in &workspace.routes {
            if self.cfg.route(route).is_none() {
                let known = self.cfg.routes.iter().map(|route| route.name.clone()).collect();
                self.record_dangling(&section, "routes", ROUTE, route, known);
            }
        }
        if let Some(budget) = &workspace.default_budget
            && self.cfg.budget(&workspace.name, budget).is_none()
        {
            let own = self.cfg.budgets.iter().filter(|budget| budget.workspace == workspace.name);
            let known = own.map(|budget| budget.name.clone()).collect();
            self.record_dangling(&section, "default_budget", BUDGET, budget, known);
        }
    }

    fn check_budgets(&mut self) {
        for budget in &self.cfg.budgets {
            if self.cfg.workspace(&budget.workspace).is_none() {
                let section = format!("{BUDGET} {}/{}", budget.workspace, budget.name);
                let known =
                    self.cfg.workspaces.iter().map(|workspace| workspace.name.clone()).collect();
                self.record_dangling(&section, "", WORKSPACE, &budget.workspace, known);
            }
        }
    }

    fn check_route(&mut self, route: &Route) {
        let section = format!("{ROUTE} {}", route.name);
        for name in &route.targets {
            match self.cfg.target(name) {
                Some(target) => self.check_route_target(&section, route, target),
                None => {
                    let known = self.cfg.targets.iter().map(|target| target.name.clone()).collect();
                    self.record_dangling(&section, "targets", TARGET, name, known);
                }
            }
        }
    }

    fn check_route_target(&mut self, section: &str, route: &Route, target: &Target) {
        if route.kind != target.kind {
            let detail = format!(
                "target `{}` is an {}, the route needs an {}",
                target.name, target.kind, route.kind
            );
            self.record_conflict(
                section,
                "targets",
                detail,
                "list targets of the route's own kind",
            );
            return;
        }
        let is_version = |model: &str| model.split('@').next() == Some(route.model.as_str());
        let loads_model =
            target.models.iter().any(|model| *model == route.model || is_version(model));
        if !target.models.is_empty() && !loads_model {
            let detail = format!("target `{}` does not load model `{}`", target.name, route.model);
            self.record_conflict(section, "model", detail, "add it to the target's `models`");
        }
    }

    fn check_shared_hosts(&mut self) {
        let mut targets: Vec<&Target> = self.cfg.targets.iter().collect();
        targets.sort_by(|a, b| a.host.cmp(&b.host));
        for pair in targets.windows(2) {
            if pair[0].host == pair[1].host && !pair[0].host.is_empty() {
                let detail =
                    format!("target `{}` is on host `{}`, too", pair[0].name, pair[0].host);
                let section = format!("{TARGET} {}", pair[1].name);
                self.record_conflict(
                    &section,
                    "host",
                    detail,
                    "give each target a host of its own",
                );
            }
        }
    }

    fn check_shared_keys(&mut self) {
        let mut keys: Vec<(&str, &str)> = Vec::new();
        for workspace in &self.cfg.workspaces {
            let digests = workspace.key_digests.iter();
            keys.extend(digests.map(|digest| (digest.as_str(), workspace.name.as_str())));
        }
        keys.sort_unstable();
        for pair in keys.windows(2) {
            if pair[0].0 == pair[1].0 {
                let detail = format!("workspace `{}` has the same key", pair[0].1);
                let section = format!("{WORKSPACE} {}", pair[1].1);
                self.record_conflict(
                    &section,
                    "key_digests",
                    detail,
                    "give each workspace its own key",
                );
            }
        }
    }

    fn record_dangling(
        &mut self,
        section: &str,
        key: &str,
        kind: &str,
        name: &str,
        known: Vec<String>,
    ) {
        let at = self.position(section, key);
        let (kind, name) = (kind.to_owned(), name.to_owned());
        self.errors.push(IniError::Dangling { at, kind, name, known });
    }

    fn record_conflict(&mut self, section: &str, key: &str, detail: String, hint: &str) {
        let at = self.position(section, key);
        self.errors.push(IniError::Conflict { at, detail, hint: hint.to_owned() });
    }

    /// Returns the position of a key, or of its section if the key is missing.
    fn position(&self, section: &str, key: &str) -> Position {
        let found = self.sections.binary_search_by(|other| other.name.as_str().cmp(section));
        let found = found.ok().map(|at| &self.sections[at]);
        found.map_or_else(Position::default, |section| {
            section.key(key).map_or_else(|| section.at.clone(), |key| key.at.clone())
        })
    }
}
