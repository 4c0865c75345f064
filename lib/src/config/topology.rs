//! Selects each host's sources of configurations: the store or parent hosts.
//!
//! Every host computes this from the platform's host list alone. Within a data
//! centre, hosts are ranked by a digest of their names. The first ranks watch the
//! store; every other host has a parent of a lower rank in its own data centre
//! and one in another. Watchers also have parents: watchers of two other data
//! centres, which supply them while they cannot reach the store.

use crate::host_list::{Host, HostState};
use crate::id::digest128;

/// Number of hosts in each data centre that watch the store.
pub const WATCHERS_PER_DATA_CENTER: usize = 2;
/// Number of hosts of one data centre that share the same parents.
const FAN_OUT: usize = 8;

/// Sources from which a host obtains newer revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigSources {
    /// Whether the host watches the store.
    pub watches_store: bool,
    /// Hosts to poll for newer revisions, in different data centres where there are several.
    pub parents: Vec<Host>,
}

/// Selects the sources of host `name` in `data_center`, with at most `parent_count` parents.
pub fn select_sources(
    hosts: &[Host],
    name: &str,
    data_center: &str,
    parent_count: usize,
) -> ConfigSources {
    let ranked = rank(hosts, name);
    let own: Vec<&Host> = in_data_center(&ranked, data_center);
    let own_rank = digest128(&[name]);
    let position = own.partition_point(|host| digest128(&[&host.name]) < own_rank);
    let watches_store = position < WATCHERS_PER_DATA_CENTER;
    let mut selected: Vec<&Host> = Vec::new();
    if !watches_store {
        selected.push(own[(position - WATCHERS_PER_DATA_CENTER) / FAN_OUT]);
    }
    for (offset, other) in other_data_centers(&ranked, data_center).into_iter().enumerate() {
        if selected.len() >= parent_count {
            break;
        }
        let hosts = in_data_center(&ranked, other);
        // Watchers alternate ranks between data centres; otherwise watchers of one rank would
        // form a cycle that is cut off from the other ranks.
        let rank = match watches_store {
            true => (position + offset) % WATCHERS_PER_DATA_CENTER,
            false => (position - WATCHERS_PER_DATA_CENTER) / FAN_OUT,
        };
        selected.push(hosts[rank.min(hosts.len() - 1)]);
    }
    // Missing parents, as in a fleet of one data centre, come from the host's own data centre.
    let first_fallback =
        if watches_store { 0 } else { (position - WATCHERS_PER_DATA_CENTER) / FAN_OUT + 1 };
    let fallback = own.iter().cycle().skip(first_fallback).take(own.len()).copied();
    let fallback: Vec<&Host> = fallback.filter(|host| !selected.contains(host)).collect();
    let missing = parent_count.saturating_sub(selected.len());
    selected.extend(fallback.into_iter().take(missing));
    selected.truncate(parent_count);
    ConfigSources { watches_store, parents: selected.into_iter().cloned().collect() }
}

/// Returns one watcher of each data centre, for a starting host to poll.
pub fn bootstrap_watchers(hosts: &[Host], name: &str) -> Vec<Host> {
    let ranked = rank(hosts, name);
    let mut data_centers: Vec<&str> = ranked.iter().map(|host| host.data_center.as_str()).collect();
    data_centers.sort_unstable();
    data_centers.dedup();
    let first = |data_center: &&str| in_data_center(&ranked, data_center).first().copied().cloned();
    data_centers.iter().filter_map(first).collect()
}

/// Returns the live hosts except `name`, sorted by the digest of their names.
fn rank<'a>(hosts: &'a [Host], name: &str) -> Vec<&'a Host> {
    let mut ranked: Vec<&Host> =
        hosts.iter().filter(|host| host.state == HostState::Live && host.name != name).collect();
    ranked.sort_by_cached_key(|host| digest128(&[&host.name]));
    ranked
}

fn in_data_center<'a>(ranked: &[&'a Host], data_center: &str) -> Vec<&'a Host> {
    ranked.iter().filter(|host| host.data_center == data_center).copied().collect()
}

/// Returns the other data centres in cyclic order of their names, starting after `data_center`.
fn other_data_centers<'a>(ranked: &[&'a Host], data_center: &str) -> Vec<&'a str> {
    let mut others: Vec<&str> = ranked.iter().map(|host| host.data_center.as_str()).collect();
    others.sort_unstable();
    others.dedup();
    others.retain(|other| *other != data_center);
    let next = others.partition_point(|other| *other < data_center);
    others.rotate_left(next);
    others
}
