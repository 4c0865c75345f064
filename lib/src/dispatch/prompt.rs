//! Prompt of a request, as the parts that other prompts may begin with.

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

/// Returns the tokens of all parts.
pub fn all_tokens(parts: &[PromptPart]) -> u64 {
    parts.iter().map(|part| part.tokens).sum()
}
