//! Compares what targets should have loaded with what they report; pure.

use crate::config::{Config, Target, TargetKind};
use crate::host_list::{Host, HostState, Role};
use crate::id::digest128;
use crate::target_client::{OrderAction, TargetLoad, TargetOrder};

/// Entries that stand by to become the placer, so that the store is not asked by all.
const CANDIDATES: usize = 3;

/// Whether a host stands by to become the placer, by the platform's list.
///
/// Hosts whose lists differ may disagree; only the lease and the number decide.
pub fn is_candidate(hosts: &[Host], name: &str) -> bool {
    let serves = |host: &&Host| host.role == Role::Entry && host.state == HostState::Live;
    let mut entries: Vec<&Host> = hosts.iter().filter(serves).collect();
    entries.sort_by_cached_key(|host| digest128(&["placer", &host.name]));
    entries.iter().take(CANDIDATES).any(|host| host.name == name)
}

/// Load report of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    pub target: String,
    pub load: TargetLoad,
}

/// Order for one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    pub target: String,
    pub order: TargetOrder,
}

/// Orders that bring each reporting engine to the models that it should have.
///
/// A missing model is loaded before a surplus one is unloaded, and only one
/// model a round, so that a target keeps serving while it changes. A target that
/// leaves, or whose models the configuration does not name, is left alone.
pub fn plan_orders(cfg: &Config, reports: &[TargetReport], fencing: u64) -> Vec<PlannedOrder> {
    let mut plans = Vec::new();
    for report in reports {
        let Some(target) = cfg.target(&report.target) else { continue };
        let governed = target.kind == TargetKind::Engine && !target.models.is_empty();
        if !governed || report.load.leaving {
            continue;
        }
        if let Some(action) = next_action(target, &report.load) {
            let order = TargetOrder { fencing, action };
            plans.push(PlannedOrder { target: target.name.clone(), order });
        }
    }
    plans
}

fn next_action(target: &Target, load: &TargetLoad) -> Option<OrderAction> {
    let missing = target.models.iter().find(|wanted| !is_loaded(wanted, load));
    if let Some(wanted) = missing {
        let (model, version) = split_version(wanted);
        let (model, version) = (model.to_owned(), version.to_owned());
        return Some(OrderAction::LoadModel { model, version });
    }
    let surplus = load.models.iter().find(|loaded| !is_wanted(loaded, target))?;
    Some(OrderAction::UnloadModel { model: surplus.clone() })
}

fn is_loaded(wanted: &str, load: &TargetLoad) -> bool {
    load.models.iter().any(|loaded| fits(wanted, loaded))
}

fn is_wanted(loaded: &str, target: &Target) -> bool {
    target.models.iter().any(|wanted| fits(wanted, loaded))
}

/// A wanted model without a version is content with any.
fn fits(wanted: &str, loaded: &str) -> bool {
    wanted == loaded || (!wanted.contains('@') && split_version(loaded).0 == wanted)
}

fn split_version(model: &str) -> (&str, &str) {
    model.split_once('@').unwrap_or((model, ""))
}
