//! What the target of a request is selected by.

use super::prompt::PromptPart;

/// Properties of a request that its target is selected by.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// Service whose targets are candidates.
    pub service: &'a str,
    /// Software version that the target must have; `None` if any will do.
    pub software: Option<&'a str>,
    /// Data centres that the target may be in, sorted; `None` if any will do.
    pub allowed_data_centers: Option<&'a [String]>,
    /// Data centre of this entry.
    pub data_center: &'a str,
    /// Parts of the prompt in their order; empty for calls without a prompt.
    pub prompt: &'a [PromptPart],
    /// Largest number of tokens that the request keeps in a target's memory; 0 if not known.
    pub tokens: u64,
    /// Random number that orders the targets of calls and draws the further candidates.
    pub random: u64,
    /// Whether targets are left out for which a permit would have to be asked for.
    pub without_asking: bool,
    /// Number of entries, whose unobserved requests add to the targets' load.
    pub entry_count: u64,
}
