//! Who watches the store, and who takes the configuration from whom.
//!
//! Every host works this out from the platform's list alone. Within a data
//! centre hosts are ranked by a digest of their names. The first ranks watch the
//! store; every other host has a parent of a lower rank in its own data centre
//! and one in another. Watchers have parents, too: watchers of two other data
//! centres, which feed them while their own way to the store is cut.

use crate::host_list::{Host, HostState};
use crate::id::digest128;

/// Hosts of a data centre that watch the store.
pub const WATCHERS_PER_DATA_CENTER: usize = 2;
/// Hosts that share one parent in each of two data centres.
const FAN_OUT: usize = 8;

/// A host's place in the spread.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigSources {
    /// Whether the host watches the store.
    pub watches_store: bool,
    /// Hosts from which it takes newer revisions, in different data centres
    /// where there are several.
    pub parents: Vec<Host>,
}

/// Works out the place of `name` in `data_center`, with up to `parents` parents.
pub fn select_sources(
    hosts: &[Host],
    name: &str,
    data_center: &str,
    parents: usize,
) -> ConfigSources {
    let ranked = rank(hosts, name);
    let own: Vec<&Host> = in_data_center(&ranked, data_center);
    let own_rank = digest128(&[name]);
    let position = own.partition_point(|host| digest128(&[&host.name]) < own_rank);
    let watches_store = position < WATCHERS_PER_DATA_CENTER;
    let mut chosen: Vec<&Host> = Vec::new();
    if !watches_store {
        chosen.push(own[(position - WATCHERS_PER_DATA_CENTER) / FAN_OUT]);
    }
    for (turn, other) in other_data_centers(&ranked, data_center).into_iter().enumerate() {
        if chosen.len() >= parents {
            break;
        }
        let hosts = in_data_center(&ranked, other);
        // Watchers cross their ranks; else each rank would be a closed circle.
        let rank = match watches_store {
            true => (position + turn) % WATCHERS_PER_DATA_CENTER,
            false => (position - WATCHERS_PER_DATA_CENTER) / FAN_OUT,
        };
        chosen.push(hosts[rank.min(hosts.len() - 1)]);
    }
    // A fleet of one data centre has its second parents there, too.
    let first_spare =
        if watches_store { 0 } else { (position - WATCHERS_PER_DATA_CENTER) / FAN_OUT + 1 };
    let spare = own.iter().cycle().skip(first_spare).take(own.len()).copied();
    let spare: Vec<&Host> = spare.filter(|host| !chosen.contains(host)).collect();
    let missing = parents.saturating_sub(chosen.len());
    chosen.extend(spare.into_iter().take(missing));
    chosen.truncate(parents);
    ConfigSources { watches_store, parents: chosen.into_iter().cloned().collect() }
}

/// One watcher of each data centre, for a host that starts.
pub fn bootstrap_watchers(hosts: &[Host], name: &str) -> Vec<Host> {
    let ranked = rank(hosts, name);
    let mut data_centers: Vec<&str> = ranked.iter().map(|host| host.data_center.as_str()).collect();
    data_centers.sort_unstable();
    data_centers.dedup();
    let first = |data_center: &&str| in_data_center(&ranked, data_center).first().copied().cloned();
    data_centers.iter().filter_map(first).collect()
}

/// Live hosts but `name`, by the digest of their names.
fn rank<'a>(hosts: &'a [Host], name: &str) -> Vec<&'a Host> {
    let mut ranked: Vec<&Host> =
        hosts.iter().filter(|host| host.state == HostState::Live && host.name != name).collect();
    ranked.sort_by_cached_key(|host| digest128(&[&host.name]));
    ranked
}

fn in_data_center<'a>(ranked: &[&'a Host], data_center: &str) -> Vec<&'a Host> {
    ranked.iter().filter(|host| host.data_center == data_center).copied().collect()
}

/// Other data centres in a ring of their names, from the next one on.
fn other_data_centers<'a>(ranked: &[&'a Host], data_center: &str) -> Vec<&'a str> {
    let mut others: Vec<&str> = ranked.iter().map(|host| host.data_center.as_str()).collect();
    others.sort_unstable();
    others.dedup();
    others.retain(|other| *other != data_center);
    let next = others.partition_point(|other| *other < data_center);
    others.rotate_left(next);
    others
}
