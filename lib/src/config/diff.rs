//! Differences between two configurations, as shown to an operator before a change.

use std::cmp::Ordering;

use derive_more::Display;
use serde::Serialize;

use super::Config;

/// How an item differs from the other configuration's.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DifferenceKind {
    #[display("added")]
    Added,
    #[display("removed")]
    Removed,
    #[display("changed")]
    Changed,
}

/// Item that differs between two configurations.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{kind} [{section}]")]
pub struct Difference {
    pub kind: DifferenceKind,
    /// Name of the item's INI section, for example `route dossier`.
    pub section: String,
}

impl Config {
    /// Returns the items that were added, removed or changed in `other`; ignores the revisions.
    pub fn differences(&self, other: &Config) -> Vec<Difference> {
        let mut found = Vec::new();
        compare(
            &self.workspaces,
            &other.workspaces,
            |x| x.name.as_str(),
            |name| format!("workspace {name}"),
            &mut found,
        );
        compare(
            &self.budgets,
            &other.budgets,
            |x| (x.workspace.as_str(), x.name.as_str()),
            |(workspace, name)| format!("budget {workspace}/{name}"),
            &mut found,
        );
        compare(
            &self.routes,
            &other.routes,
            |x| x.name.as_str(),
            |name| format!("route {name}"),
            &mut found,
        );
        compare(
            &self.targets,
            &other.targets,
            |x| x.name.as_str(),
            |name| format!("target {name}"),
            &mut found,
        );
        found
    }
}

/// Records the differences between two tables that are sorted by `key`.
fn compare<'a, T: PartialEq, K: Ord>(
    old: &'a [T],
    new: &'a [T],
    key: impl Fn(&'a T) -> K,
    section: impl Fn(K) -> String,
    found: &mut Vec<Difference>,
) {
    let mut record = |kind, item| found.push(Difference { kind, section: section(key(item)) });
    let (mut i, mut j) = (0, 0);
    while i < old.len() || j < new.len() {
        let order = match (old.get(i), new.get(j)) {
            (Some(a), Some(b)) => key(a).cmp(&key(b)),
            (Some(_), None) => Ordering::Less,
            _ => Ordering::Greater,
        };
        match order {
            Ordering::Less => record(DifferenceKind::Removed, &old[i]),
            Ordering::Greater => record(DifferenceKind::Added, &new[j]),
            Ordering::Equal if old[i] != new[j] => record(DifferenceKind::Changed, &new[j]),
            Ordering::Equal => {}
        }
        i += usize::from(order != Ordering::Greater);
        j += usize::from(order != Ordering::Less);
    }
}
