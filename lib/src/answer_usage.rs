//! Token usage of an engine's answer, read while it passes.

use serde::Deserialize;

/// Media type of a streamed answer.
pub const EVENT_STREAM: &str = "text/event-stream";

const DATA_FIELD: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";
const MAX_LINE_BYTES: usize = 1 << 20;

/// What an answer consumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// Prompt and completion tokens as the engine reported them.
    Reported(u64),
    /// Chunks that were generated, since the engine reported nothing.
    Counted(u64),
}

impl Usage {
    /// Tokens to charge, never above `reserve`.
    pub fn charge(self, reserve: u64) -> u64 {
        match self {
            Usage::Reported(tokens) | Usage::Counted(tokens) => tokens.min(reserve),
        }
    }
}

#[derive(Deserialize)]
struct UsageReport {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    usage: Option<UsageReport>,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Delta {
    content: Option<String>,
}

/// Reads usage from the bytes of an answer.
pub struct UsageMeter {
    streamed: bool,
    line: Vec<u8>,
    chunks: u64,
    reported: Option<u64>,
    done: bool,
}

impl UsageMeter {
    /// Meter for an answer of this media type.
    pub fn new(content_type: &str) -> UsageMeter {
        let streamed = content_type.trim_start().starts_with(EVENT_STREAM);
        UsageMeter { streamed, line: Vec::new(), chunks: 0, reported: None, done: false }
    }

    /// Reads the next bytes of the body.
    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.streamed {
            return;
        }
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.line.len() + part.len() <= MAX_LINE_BYTES {
                self.line.extend_from_slice(part);
            }
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.read_line(&line);
            }
        }
    }

    /// Whether the body may end here: a streamed answer ends with its marker.
    pub fn is_complete(&self) -> bool {
        !self.streamed || self.done
    }

    /// Usage of an answer that has ended; `body` is all that came of it.
    pub fn finish(&self, body: &[u8]) -> Usage {
        let whole = || {
            let event: Event = serde_json::from_slice(body).ok()?;
            event.usage.as_ref().map(UsageReport::tokens)
        };
        let reported = if self.streamed { self.reported } else { whole() };
        reported.map_or(Usage::Counted(self.chunks), Usage::Reported)
    }

    fn read_line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(DATA_FIELD) else { return };
        let data = data.trim_ascii();
        if data == DONE {
            self.done = true;
            return;
        }
        let Ok(event) = serde_json::from_slice::<Event>(data) else { return };
        if event.choices.iter().any(Choice::has_content) {
            self.chunks += 1;
        }
        if let Some(usage) = event.usage {
            self.reported = Some(usage.tokens());
        }
    }
}

impl UsageReport {
    fn tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.completion_tokens)
    }
}

impl Choice {
    fn has_content(&self) -> bool {
        self.delta.content.as_ref().is_some_and(|content| !content.is_empty())
    }
}
