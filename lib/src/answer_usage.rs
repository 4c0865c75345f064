//! Token usage of an engine's answer, parsed from the bytes as they are forwarded.

use serde::Deserialize;

use crate::dispatch::event_stream::is_event_line;

/// Media type of a streamed answer.
pub const EVENT_STREAM: &str = "text/event-stream";

const DATA_FIELD: &[u8] = b"data:";
/// Data of the event that ends a streamed answer.
const DONE: &[u8] = b"[DONE]";
/// Maximum length of a parsed line, in bytes; a longer one is skipped.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Tokens that an answer used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// Prompt and completion tokens as the engine reported them.
    Reported(u64),
    /// Generated chunks, used where the engine reported no usage.
    Counted(u64),
}

impl Usage {
    /// Returns the tokens to charge, at most the reserved ones.
    pub fn charge(self, reserved: u64) -> u64 {
        match self {
            Usage::Reported(tokens) | Usage::Counted(tokens) => tokens.min(reserved),
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

/// Measures the usage of one answer from the bytes of its body.
pub struct UsageMeter {
    streamed: bool,
    /// Beginning of a line whose end has not arrived.
    line: Vec<u8>,
    /// Whether the line that has begun is too long.
    is_line_too_long: bool,
    chunks: u64,
    reported: Option<u64>,
    done: bool,
    /// Whether the latest event lacks its blank line.
    is_inside_event: bool,
    /// Bytes of the latest part before a line that no event has; `None` without such a line.
    bytes_before_other_text: Option<usize>,
}

impl UsageMeter {
    /// Returns a meter for an answer with this media type.
    pub fn new(content_type: &str) -> UsageMeter {
        let streamed = content_type.trim_start().starts_with(EVENT_STREAM);
        UsageMeter {
            streamed,
            line: Vec::new(),
            is_line_too_long: false,
            chunks: 0,
            reported: None,
            done: false,
            is_inside_event: false,
            bytes_before_other_text: None,
        }
    }

    /// Parses the next bytes of the body.
    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.streamed {
            return;
        }
        let mut bytes_before = 0;
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.is_line_too_long |= self.line.len() + part.len() > MAX_LINE_BYTES;
            if !self.is_line_too_long {
                self.line.extend_from_slice(part);
            }
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                if !std::mem::take(&mut self.is_line_too_long) {
                    if !is_event_line(&line) {
                        self.bytes_before_other_text = Some(bytes_before);
                        return;
                    }
                    self.parse_line(&line);
                }
            }
            bytes_before += part.len();
        }
    }

    /// Returns how many bytes of the latest part come before a line that no event has; `None`
    /// without such a line, after which the answer is no stream of events any more.
    pub fn bytes_before_other_text(&self) -> Option<usize> {
        self.bytes_before_other_text
    }

    /// Returns whether the body may end here; a streamed answer has to end with the whole event
    /// `[DONE]`.
    pub fn is_complete(&self) -> bool {
        !self.streamed || self.done && !self.is_inside_event && self.line.is_empty()
    }

    /// Returns whether a body that ended with its connection is complete: an engine's answer is a
    /// stream or one JSON value.
    pub fn is_whole(&self, body: &[u8]) -> bool {
        self.is_complete()
            && (self.streamed || serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok())
    }

    /// Returns the usage of an answer that has ended; `body` is all that was received of it.
    pub fn finish(&self, body: &[u8]) -> Usage {
        let parse_body = || {
            let event: Event = serde_json::from_slice(body).ok()?;
            event.usage.as_ref().map(UsageReport::tokens)
        };
        let reported = if self.streamed { self.reported } else { parse_body() };
        reported.map_or(Usage::Counted(self.chunks), Usage::Reported)
    }

    /// Parses one line of an event stream.
    fn parse_line(&mut self, line: &[u8]) {
        self.is_inside_event = !line.trim_ascii_end().is_empty();
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
