//! Parts of a chat request's prompt that other requests may share: its messages but the last one.

use serde::Deserialize;
use serde_json::Value;

use crate::id::digest128;

/// Maximum number of parts of one prompt.
const MAX_PARTS: usize = 64;

#[derive(Deserialize)]
struct ChatBody {
    messages: Vec<Value>,
}

/// Returns the digests of the parts of a request's prompt, without repetitions; none for a body that is
/// no chat request.
pub fn prompt_parts(body: &[u8]) -> Vec<u128> {
    let Ok(ChatBody { messages }) = serde_json::from_slice(body) else { return Vec::new() };
    let shared = messages.len().saturating_sub(1).min(MAX_PARTS);
    let mut parts: Vec<u128> = messages[..shared].iter().map(digest).collect();
    parts.sort();
    parts.dedup();
    parts
}

fn digest(message: &Value) -> u128 {
    digest128(&["prompt-part", &message.to_string()])
}
