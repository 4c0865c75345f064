//! Role sidecar: the only gate to one target.

use crate::settings::Settings;

/// Runs a sidecar until it has drained; answers the exit code.
pub async fn run(_settings: Settings) -> i32 {
    0
}
