//! Markers tie an answer to the request it belongs to.
//!
//! A request carries `marker=NAME` somewhere in its path or body. The stand-ins
//! record it, and their answers repeat it with a running counter, so that the
//! caller can tell a whole answer of its own from any other.

const KEY: &str = "marker=";
const LENGTH_KEY: &str = "length=";

/// Marker in the given text; empty if there is none.
pub fn find(text: &str) -> String {
    value_after(text, KEY).to_owned()
}

/// Number of tokens that the request asks the engine stand-in to generate.
pub fn requested_tokens(text: &str) -> Option<u64> {
    value_after(text, LENGTH_KEY).parse().ok()
}

/// Text that makes the engine stand-in generate `tokens` under `marker`.
pub fn prompt(marker: &str, tokens: u64) -> String {
    format!("{KEY}{marker} {LENGTH_KEY}{tokens}")
}

/// One token of the engine stand-in's answer.
pub fn token(marker: &str, index: u64) -> String {
    format!("{marker}:{index} ")
}

/// Text of a whole answer of `tokens` tokens.
pub fn answer(marker: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token(marker, index)).collect()
}

fn value_after<'a>(text: &'a str, key: &str) -> &'a str {
    let Some(at) = text.find(key) else {
        return "";
    };
    let value = &text[at + key.len()..];
    let end = value.find(|c: char| !c.is_ascii_alphanumeric() && c != '-').unwrap_or(value.len());
    &value[..end]
}
