//! Markers that identify the request to which an answer belongs.
//!
//! A request carries `marker=NAME` somewhere in its path or body. The stand-ins record
//! the name and repeat it in their answers. The engine stand-in numbers each repetition, so
//! that a caller detects a truncated answer as well as the answer to another request.

const KEY: &str = "marker=";
const LENGTH_KEY: &str = "length=";

/// Returns the marker in `text`, or an empty string if there is none.
pub fn find(text: &str) -> String {
    value_after(text, KEY).to_owned()
}

/// Returns the number of tokens that `text` asks the engine stand-in to generate.
pub fn requested_tokens(text: &str) -> Option<u64> {
    value_after(text, LENGTH_KEY).parse().ok()
}

/// Returns a prompt that makes the engine stand-in generate `tokens` tokens with `marker`.
pub fn prompt(marker: &str, tokens: u64) -> String {
    format!("{KEY}{marker} {LENGTH_KEY}{tokens}")
}

/// Returns the token at position `index`, from 0, of the engine stand-in's answer.
pub fn token(marker: &str, index: u64) -> String {
    format!("{marker}:{index} ")
}

/// Returns the text of a complete answer of `tokens` tokens.
pub fn answer(marker: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token(marker, index)).collect()
}

/// Returns the letters, digits and hyphens that follow the first `key`, or an empty string.
fn value_after<'a>(text: &'a str, key: &str) -> &'a str {
    let Some(start) = text.find(key) else {
        return "";
    };
    let value = &text[start + key.len()..];
    let end = value.find(|c: char| !c.is_ascii_alphanumeric() && c != '-').unwrap_or(value.len());
    &value[..end]
}
