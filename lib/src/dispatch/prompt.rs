//! Prompt of a request, as the parts that other prompts may begin with.

/// Tokens whose prefill takes as long as the attention of a million token pairs.
const TOKENS_PER_M_PAIRS: f64 = 30.0;

/// Part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Digest of the part's name.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u64,
}

/// Returns the number of parts that other prompts may share: all but the last, or the only one.
pub fn shared_count(parts: &[PromptPart]) -> usize {
    parts.len().saturating_sub(1).max(parts.len().min(1))
}

/// Returns the last part that other prompts may share.
pub fn last_shared(parts: &[PromptPart]) -> Option<PromptPart> {
    parts[..shared_count(parts)].last().copied()
}

/// Returns the tokens of all parts, at most [`u64::MAX`].
pub fn all_tokens(parts: &[PromptPart]) -> u64 {
    parts.iter().map(|part| part.tokens).fold(0, u64::saturating_add)
}

/// Estimates the work to prefill the new tokens of a prompt, as the number of tokens of a short
/// prompt that take as long.
///
/// It grows faster than the prompt, since each token attends to all earlier ones.
pub fn prefill_work(new_tokens: u64, all_tokens: u64) -> u64 {
    let (new, all) = (new_tokens as f64, all_tokens as f64);
    let pairs = new * (all - new / 2.0);
    (new + pairs / 1e6 * TOKENS_PER_M_PAIRS) as u64
}
