//! Plan of a placer round: compares the models that targets report with the configured ones.

use crate::config::{Config, Target, TargetKind};
use crate::host_list::{Host, HostState, Role};
use crate::id::digest128;
use crate::target_client::{OrderAction, TargetLoad, TargetOrder};

/// Number of entries that attempt to acquire the placer lease, which limits the load on the store.
const MAX_CANDIDATES: usize = 3;

/// Returns whether the host may attempt to acquire the placer lease.
///
/// Hosts with different host lists may disagree; the lease and the fencing number
/// still allow only one placer.
pub fn is_candidate(hosts: &[Host], name: &str) -> bool {
    let is_live_entry = |host: &&Host| host.role == Role::Entry && host.state == HostState::Live;
    let mut entries: Vec<&Host> = hosts.iter().filter(is_live_entry).collect();
    entries.sort_by_cached_key(|host| digest128(&["placer", &host.name]));
    entries.iter().take(MAX_CANDIDATES).any(|host| host.name == name)
}

/// Load report of a target, with the target's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    pub target: String,
    pub load: TargetLoad,
}

/// Order for a target, with the target's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    pub target: String,
    pub order: TargetOrder,
}

/// Returns the next order for each reporting engine whose models differ from the configuration.
///
/// Missing models are loaded before surplus ones are unloaded, one model per
/// target and round, so that a target keeps serving during the change. Targets
/// that are leaving or have no models in the configuration get no order.
pub fn plan_orders(cfg: &Config, reports: &[TargetReport], fencing: u64) -> Vec<PlannedOrder> {
    let mut plans = Vec::new();
    for report in reports {
        let Some(target) = cfg.target(&report.target) else { continue };
        let is_managed = target.kind == TargetKind::Engine && !target.models.is_empty();
        if !is_managed || report.load.leaving {
            continue;
        }
        if let Some(action) = next_action(target, &report.load) {
            let order = TargetOrder { fencing, action };
            plans.push(PlannedOrder { target: target.name.clone(), order });
        }
    }
    plans
}

/// Returns the order that loads a missing model or, if there is none, unloads a surplus one.
fn next_action(target: &Target, load: &TargetLoad) -> Option<OrderAction> {
    let missing = target.models.iter().find(|desired| !is_loaded(desired, load));
    if let Some(desired) = missing {
        let (model, version) = split_version(desired);
        let (model, version) = (model.to_owned(), version.to_owned());
        return Some(OrderAction::LoadModel { model, version });
    }
    let surplus = load.models.iter().find(|loaded| !is_desired(loaded, target))?;
    Some(OrderAction::UnloadModel { model: surplus.clone() })
}

fn is_loaded(desired: &str, load: &TargetLoad) -> bool {
    load.models.iter().any(|loaded| matches_model(desired, loaded))
}

fn is_desired(loaded: &str, target: &Target) -> bool {
    target.models.iter().any(|desired| matches_model(desired, loaded))
}

/// Returns whether a loaded model is the desired one; without a version, any version matches.
fn matches_model(desired: &str, loaded: &str) -> bool {
    desired == loaded || (!desired.contains('@') && split_version(loaded).0 == desired)
}

/// Splits `model@version`; the version is empty if there is none.
fn split_version(model: &str) -> (&str, &str) {
    model.split_once('@').unwrap_or((model, ""))
}
