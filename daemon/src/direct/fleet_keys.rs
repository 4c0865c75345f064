//! Keys of the fleet's own list in the store: its processes, and requests that crash targets.

/// Prefix of the fleet's own list in the store.
pub const PEER_PREFIX: &str = "fleet/";

/// Prefix of poisoned requests within the fleet's own list.
const POISONED_PREFIX: &str = "poisoned/";

/// Returns the key of a host's record.
pub fn peer_key(role: &str, name: &str) -> String {
    format!("{PEER_PREFIX}{role}/{name}")
}

/// Returns the key of a poisoned request.
pub fn poisoned_key(fingerprint: u128) -> String {
    format!("{PEER_PREFIX}{POISONED_PREFIX}{fingerprint:032x}")
}

/// Returns the fingerprint in the key of a poisoned request; `None` for other keys.
pub fn poisoned_fingerprint(key: &str) -> Option<&str> {
    key.strip_prefix(PEER_PREFIX)?.strip_prefix(POISONED_PREFIX)
}
