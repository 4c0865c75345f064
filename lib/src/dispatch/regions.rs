//! Regions of the data centres, for requests that may only be served in some regions.
//!
//! A data centre whose region is not known serves no such request.

/// Regions of all data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionMap {
    /// Data centres with their regions, sorted.
    regions: Vec<(String, String)>,
}

impl RegionMap {
    /// Builds a map from unsorted pairs of a data centre and its region.
    pub fn new(mut regions: Vec<(String, String)>) -> RegionMap {
        regions.sort();
        RegionMap { regions }
    }

    /// Returns the data centres, sorted, that lie in a region of each list; `None` if no list names
    /// a region, so that any data centre will do.
    pub fn allowed_data_centers(&self, lists: &[&[String]]) -> Option<Vec<String>> {
        if lists.iter().all(|list| list.is_empty()) {
            return None;
        }
        let is_allowed =
            |region: &String| lists.iter().all(|list| list.is_empty() || list.contains(region));
        let allowed = self.regions.iter().filter(|(_, region)| is_allowed(region));
        Some(allowed.map(|(data_center, _)| data_center.clone()).collect())
    }
}
