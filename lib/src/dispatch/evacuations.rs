//! Data centres that the operator evacuates: their targets get nothing new.
//!
//! What is in force stays in force while the store does not answer, and until a list of a store that
//! was not restored a moment ago, or a deletion, says otherwise: a store that was restored from a
//! copy may lack what was written in the lost seconds.

/// Change of the evacuated data centres.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The evacuation of this data centre has begun.
    Began(String),
    /// The evacuation of this data centre was taken back.
    Ended(String),
}

/// Evacuated data centres, as one entry knows them.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Sorted.
    data_centers: Vec<String>,
    /// Whether the next list may lack evacuations that are in force.
    next_list_is_partial: bool,
}

impl Evacuations {
    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_center: &str) -> bool {
        self.position(data_center).is_ok()
    }

    /// Returns the number of evacuated data centres.
    pub fn count(&self) -> usize {
        self.data_centers.len()
    }

    /// Applies a new evacuation; `None` if it was in force already.
    pub fn begin(&mut self, data_center: &str) -> Option<EvacuationChange> {
        let at = self.position(data_center).err()?;
        self.data_centers.insert(at, data_center.to_owned());
        Some(EvacuationChange::Began(data_center.to_owned()))
    }

    /// Takes an evacuation back; `None` if there was none.
    pub fn end(&mut self, data_center: &str) -> Option<EvacuationChange> {
        let at = self.position(data_center).ok()?;
        Some(EvacuationChange::Ended(self.data_centers.remove(at)))
    }

    /// Applies a complete list read from the store; returns what it changes.
    pub fn replace(&mut self, mut listed: Vec<String>) -> Vec<EvacuationChange> {
        listed.sort();
        let is_partial = std::mem::take(&mut self.next_list_is_partial);
        let is_unlisted =
            |data_center: &String| !is_partial && listed.binary_search(data_center).is_err();
        let ended: Vec<String> =
            self.data_centers.iter().filter(|name| is_unlisted(name)).cloned().collect();
        let mut changes: Vec<EvacuationChange> =
            ended.iter().filter_map(|data_center| self.end(data_center)).collect();
        changes.extend(listed.iter().filter_map(|data_center| self.begin(data_center)));
        changes
    }

    /// Records that the store was restored from a copy: its first list ends no evacuation.
    pub fn store_restored(&mut self) {
        self.next_list_is_partial = true;
    }

    fn position(&self, data_center: &str) -> Result<usize, usize> {
        self.data_centers.binary_search_by(|name| name.as_str().cmp(data_center))
    }
}
