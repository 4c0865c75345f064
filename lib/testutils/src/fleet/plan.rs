//! Size and settings of a fleet, and the configuration that follows from them.

use std::path::PathBuf;
use std::time::Duration;

use rosemarymoor_lib::config::{
    BudgetSettings, Config, PolicyName, Route, Target, TargetKind, Workspace,
};
use rosemarymoor_lib::wire::{Class, Price};

use crate::engine::EngineSettings;

/// Model that every engine serves.
const MODEL: &str = "stand-in";
const MAX_BODY_BYTES: u64 = 1 << 20;
const MAX_TOKENS: u64 = 4_096;
const RETRY_WINDOW_MS: u64 = 600_000;
const LONG_DEADLINE_MS: u64 = 120_000;
const QUICK_DEADLINE_MS: u64 = 10_000;
/// Fixed price of one call of the route `submission`.
const SUBMISSION_TOKENS: u64 = 50;

/// One budget of the fleet's configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetPlan {
    /// Number of the workspace that owns the budget.
    pub workspace: usize,
    /// Name of the budget within the workspace.
    pub name: String,
    /// Initial tokens.
    pub tokens: u64,
}

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Path of the daemon's executable.
    pub binary: PathBuf,
    /// Seed of the stand-ins' random faults.
    pub seed: u64,
    /// Number of entries.
    pub entries: usize,
    /// Number of engines, each with a sidecar.
    pub engines: usize,
    /// Number of applications, each with a sidecar.
    pub applications: usize,
    /// Data centres, to which the hosts of each kind are assigned in turn.
    pub data_centers: Vec<String>,
    /// Region of every host.
    pub region: String,
    /// Number of workspaces.
    pub workspaces: usize,
    /// Budgets of all workspaces; a workspace's first one is its default.
    pub budgets: Vec<BudgetPlan>,
    /// Number of shards of the budget ledger.
    pub shards: u32,
    /// Name of the budget grant policy in the processes' settings.
    pub policy: String,
    /// Routing policy of every route.
    pub routing: PolicyName,
    /// Size and speed of every engine.
    pub engine: EngineSettings,
    /// Time that a call of an application takes.
    pub application_service_time: Duration,
    /// Delay after which a change of the host list becomes visible.
    pub host_list_lag: Duration,
    /// Time limit for a process to drain, in milliseconds.
    pub drain_ms: u64,
    /// Number of hosts from which each process receives the configuration.
    pub config_parents: u32,
    /// Log level of the processes.
    pub log_level: String,
    /// Whether the processes reach each other and the platform through the fault proxy.
    pub proxied: bool,
}

impl FleetPlan {
    /// Returns the plan of a small fleet in three data centres, without budgets.
    pub fn new(binary: PathBuf, seed: u64) -> FleetPlan {
        FleetPlan {
            binary,
            seed,
            entries: 3,
            engines: 4,
            applications: 2,
            data_centers: ["leics", "notts", "derby"].map(str::to_owned).to_vec(),
            region: "midlands".to_owned(),
            workspaces: 2,
            budgets: Vec::new(),
            shards: 8,
            policy: "adaptive".to_owned(),
            routing: PolicyName::BoundedRendezvous,
            engine: EngineSettings::default(),
            application_service_time: Duration::from_millis(10),
            host_list_lag: Duration::from_secs(2),
            drain_ms: 30_000,
            config_parents: 2,
            log_level: "info".to_owned(),
            proxied: true,
        }
    }

    /// Returns the name of a workspace.
    pub fn workspace_name(number: usize) -> String {
        format!("workspace-{number:04}")
    }

    /// Returns the key that authenticates callers of a workspace.
    pub fn workspace_key(number: usize) -> String {
        format!("key-{number:04}")
    }

    /// Returns the host name of an entry.
    pub fn entry_host(number: usize) -> String {
        format!("entry-{number:03}")
    }

    /// Returns the host name of a target's sidecar.
    pub fn sidecar_host(target: &str) -> String {
        format!("host-{target}")
    }

    /// Returns the name of an engine.
    pub fn engine_name(number: usize) -> String {
        format!("engine-{number:03}")
    }

    /// Returns the name of an application.
    pub fn application_name(number: usize) -> String {
        format!("application-{number:03}")
    }

    /// Returns the data centre of a host, given its number among the hosts of its kind.
    pub fn data_center(&self, number: usize) -> &str {
        &self.data_centers[number % self.data_centers.len()]
    }

    /// Returns the configuration of the fleet.
    pub fn config(&self) -> Config {
        let engines = (0..self.engines).map(FleetPlan::engine_name).collect::<Vec<_>>();
        let applications =
            (0..self.applications).map(FleetPlan::application_name).collect::<Vec<_>>();
        let mut cfg = Config {
            revision: 0,
            workspaces: (0..self.workspaces).map(|number| self.workspace(number)).collect(),
            budgets: self.budgets.iter().map(budget).collect(),
            routes: vec![
                self.model_route("digest", Class::Long, LONG_DEADLINE_MS, &engines),
                self.model_route("dossier", Class::Long, LONG_DEADLINE_MS, &engines),
                self.model_route("quick", Class::Quick, QUICK_DEADLINE_MS, &engines),
                self.application_route("status", Class::Check, &applications),
                self.application_route("submission", Class::Action, &applications),
            ],
            targets: Vec::new(),
        };
        for (number, name) in engines.iter().enumerate() {
            cfg.targets.push(self.target(name, TargetKind::Engine, number));
        }
        for (number, name) in applications.iter().enumerate() {
            cfg.targets.push(self.target(name, TargetKind::Application, number));
        }
        cfg.sort();
        cfg
    }

    fn workspace(&self, number: usize) -> Workspace {
        let key = FleetPlan::workspace_key(number);
        let routes = ["digest", "dossier", "quick", "status", "submission"];
        let default_budget = self.budgets.iter().find(|budget| budget.workspace == number);
        Workspace {
            name: FleetPlan::workspace_name(number),
            key_digests: vec![blake3::hash(key.as_bytes()).to_hex().to_string()],
            routes: routes.map(str::to_owned).to_vec(),
            default_budget: default_budget.map(|budget| budget.name.clone()),
            weight: 1,
        }
    }

    fn model_route(&self, name: &str, class: Class, deadline_ms: u64, targets: &[String]) -> Route {
        Route {
            name: name.to_owned(),
            kind: TargetKind::Engine,
            class,
            repeatable: true,
            targets: targets.to_vec(),
            model: MODEL.to_owned(),
            price: Price::Usage,
            max_body_bytes: MAX_BODY_BYTES,
            max_prompt_tokens: None,
            max_tokens: MAX_TOKENS,
            deadline_ms,
            retry_window_ms: RETRY_WINDOW_MS,
            policy: self.routing,
            retry_percent: 10,
        }
    }

    fn application_route(&self, name: &str, class: Class, targets: &[String]) -> Route {
        let action = class == Class::Action;
        Route {
            name: name.to_owned(),
            kind: TargetKind::Application,
            class,
            repeatable: !action,
            targets: targets.to_vec(),
            model: String::new(),
            price: Price::Fixed(if action { SUBMISSION_TOKENS } else { 0 }),
            max_body_bytes: MAX_BODY_BYTES,
            max_prompt_tokens: None,
            max_tokens: 0,
            deadline_ms: QUICK_DEADLINE_MS,
            retry_window_ms: RETRY_WINDOW_MS,
            policy: self.routing,
            retry_percent: 10,
        }
    }

    fn target(&self, name: &str, kind: TargetKind, number: usize) -> Target {
        let engine = kind == TargetKind::Engine;
        Target {
            name: name.to_owned(),
            kind,
            host: FleetPlan::sidecar_host(name),
            data_center: self.data_center(number).to_owned(),
            region: self.region.clone(),
            slots: if engine { self.engine.slots } else { 64 },
            quick_slots: if engine { self.engine.slots / 4 } else { 0 },
            checks_fencing: self.engine.checks_fencing,
            models: if engine { vec![MODEL.to_owned()] } else { Vec::new() },
        }
    }
}

fn budget(plan: &BudgetPlan) -> BudgetSettings {
    BudgetSettings {
        workspace: FleetPlan::workspace_name(plan.workspace),
        name: plan.name.clone(),
        initial_tokens: plan.tokens,
    }
}
