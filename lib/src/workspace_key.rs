//! Keys by which the callers of a workspace authenticate.
//!
//! The configuration contains only their digests, so that reading it grants no access.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use rand::Rng;

/// Number of random bytes in a key.
const KEY_BYTES: usize = 32;
/// Prefix by which secret scanners recognise a key.
const PREFIX: &str = "rmk_";

/// Returns a new random key.
pub fn generate() -> String {
    let bytes: [u8; KEY_BYTES] = rand::rng().random();
    format!("{PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes))
}

/// Returns the BLAKE3 digest of a key in hexadecimal, as stored in the configuration.
pub fn digest(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
