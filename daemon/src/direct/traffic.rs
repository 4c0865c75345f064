//! Recent traffic of an entry, for the order in which it refuses requests when it is overloaded.

use rosemarymoor_lib::dispatch::order::early_repeats::EarlyRepeats;
use rosemarymoor_lib::dispatch::order::workspace_rates::WorkspaceRates;

/// Recent traffic by workspace and by refused request.
#[derive(Debug, Default)]
pub struct Traffic {
    pub rates: WorkspaceRates,
    pub repeats: EarlyRepeats,
}
