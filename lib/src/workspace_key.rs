//! Keys that authenticate the callers of a workspace.
//!
//! The configuration holds digests only, so that reading it gives no access.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use rand::Rng;

/// Random bytes in a key.
const KEY_BYTES: usize = 32;
/// Prefix by which secret scanners recognise a key.
const PREFIX: &str = "rmk_";

/// Fresh key for a caller.
pub fn generate() -> String {
    let bytes: [u8; KEY_BYTES] = rand::rng().random();
    format!("{PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes))
}

/// Digest of a key as the configuration holds it: BLAKE3 in hexadecimal.
pub fn digest(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
