//! Upper bound on the tokens of a model request, and the request body that enforces it.
//!
//! The prompt has at most one token per byte of the caller's body: the JSON syntax
//! around each message is longer than what a chat template adds. The tokens of
//! other content, such as images, do not depend on its length, so it needs an upper
//! bound on prompt tokens that the operator guarantees for the route.

use serde_json::{Map, Value, json};
use snafu::Snafu;

use crate::config::Route;
use crate::result_code::{Refusal, ResultCode};
use crate::routing::PREFIX_BYTES;

/// Reason why no bound can be computed for a chat request.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum BoundError {
    #[snafu(display("the body is not a JSON object: {detail}"))]
    NotAnObject { detail: String },
    #[snafu(display("`{field}` must be {expected}"))]
    BadField { field: &'static str, expected: &'static str },
    #[snafu(display("the route needs a vouched prompt bound for content of type `{kind}`"))]
    UnboundedContent { kind: String },
    #[snafu(display("{requested} tokens were asked for and the route allows {allowed}"))]
    TooManyTokens { requested: u64, allowed: u64 },
}

impl From<BoundError> for Refusal {
    fn from(err: BoundError) -> Refusal {
        let code = match err {
            BoundError::TooManyTokens { .. } => ResultCode::MaxTokensTooLarge,
            _ => ResultCode::BadRequest,
        };
        Refusal::new(code, err.to_string())
    }
}

/// Parsed body of a chat-completions request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatRequest {
    fields: Map<String, Value>,
    /// Length of the body as the caller sent it, in bytes.
    sent_bytes: u64,
}

/// Chat request for an engine, with an upper bound on its tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BoundedChat {
    /// JSON body for the engine.
    pub body: Vec<u8>,
    /// Whether the engine streams its answer.
    pub stream: bool,
    /// Beginning of the prompt's text, used for prefix affinity.
    pub prefix: Vec<u8>,
    /// Upper bound on the sum of prompt and generated tokens.
    pub worst_case_tokens: u64,
}

impl ChatRequest {
    /// Parses a JSON object; the last value of a duplicate field counts.
    pub fn parse(body: &[u8]) -> Result<ChatRequest, BoundError> {
        let fields = match serde_json::from_slice(body) {
            Ok(Value::Object(fields)) => fields,
            Ok(_) => return NotAnObjectSnafu { detail: "another type stands there" }.fail(),
            Err(err) => return NotAnObjectSnafu { detail: err.to_string() }.fail(),
        };
        Ok(ChatRequest { fields, sent_bytes: body.len() as u64 })
    }

    /// Returns field `model`, which names the route.
    pub fn model(&self) -> Result<&str, BoundError> {
        self.text("model")?.ok_or(BoundError::BadField { field: "model", expected: "a string" })
    }

    /// Returns field `user`, which may name the budget to charge.
    pub fn user(&self) -> Result<Option<&str>, BoundError> {
        self.text("user")
    }

    /// Checks the request against the limits of `route` and rewrites the fields that enforce them.
    pub fn into_bounded(mut self, route: &Route) -> Result<BoundedChat, BoundError> {
        self.check_messages(route.max_prompt_tokens.is_some())?;
        let stream = self.flag("stream")?;
        let generated = self.generated_bound(route)?;
        let prompt = match route.max_prompt_tokens {
            Some(max) if self.has_only_text() => max.min(self.sent_bytes),
            Some(max) => max,
            None => self.sent_bytes,
        };
        let prefix = self.prompt_prefix();
        self.rewrite(route, generated, stream);
        let body = Value::Object(self.fields).to_string().into_bytes();
        let choices = generated.choices;
        let worst_case_tokens = prompt.saturating_add(generated.max_tokens.saturating_mul(choices));
        Ok(BoundedChat { body, stream, prefix, worst_case_tokens })
    }

    /// Sets the engine's model and token limit, and asks for usage on a streamed answer.
    fn rewrite(&mut self, route: &Route, generated: GeneratedBound, stream: bool) {
        if !route.model.is_empty() {
            self.fields.insert("model".to_owned(), json!(route.model));
        }
        self.fields.remove("max_completion_tokens");
        self.fields.insert("max_tokens".to_owned(), json!(generated.max_tokens));
        self.fields.remove("stream_options");
        if stream {
            let options = json!({ "include_usage": true });
            self.fields.insert("stream_options".to_owned(), options);
        }
    }

    /// Returns the first [`PREFIX_BYTES`] bytes of the messages' text.
    ///
    /// Parameters such as `max_tokens` are left out, since an engine's prefix cache
    /// does not depend on them.
    fn prompt_prefix(&self) -> Vec<u8> {
        let messages = self.fields.get("messages").and_then(Value::as_array);
        let mut prefix = Vec::new();
        for message in messages.into_iter().flatten() {
            append_text(&message["role"], &mut prefix);
            append_text(&message["content"], &mut prefix);
            if prefix.len() >= PREFIX_BYTES {
                break;
            }
        }
        prefix.truncate(PREFIX_BYTES);
        prefix
    }

    fn check_messages(&self, has_prompt_bound: bool) -> Result<(), BoundError> {
        let messages = match self.fields.get("messages") {
            Some(Value::Array(messages)) if !messages.is_empty() => messages,
            _ => return BadFieldSnafu { field: "messages", expected: "a non-empty array" }.fail(),
        };
        messages.iter().try_for_each(|message| check_message(message, has_prompt_bound))
    }

    /// Returns whether all parts of the messages are text, whose tokens its length bounds.
    fn has_only_text(&self) -> bool {
        let messages = self.fields.get("messages").and_then(Value::as_array);
        let parts =
            messages.into_iter().flatten().filter_map(|message| message["content"].as_array());
        parts.flatten().all(|part| part["type"] == "text")
    }

    /// Returns the limits on generated tokens, which the route's `max_tokens` bounds in total.
    fn generated_bound(&self, route: &Route) -> Result<GeneratedBound, BoundError> {
        let requested = match (self.count("max_tokens")?, self.count("max_completion_tokens")?) {
            (Some(one), Some(other)) => one.min(other),
            (one, other) => one.or(other).unwrap_or(route.max_tokens),
        };
        let choices = self.count("n")?.unwrap_or(1).max(self.count("best_of")?.unwrap_or(1));
        let total = requested.saturating_mul(choices);
        if total > route.max_tokens {
            return TooManyTokensSnafu { requested: total, allowed: route.max_tokens }.fail();
        }
        Ok(GeneratedBound { max_tokens: requested, choices })
    }

    /// Returns an optional string field.
    fn text(&self, field: &'static str) -> Result<Option<&str>, BoundError> {
        match self.fields.get(field) {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(_) => BadFieldSnafu { field, expected: "a string" }.fail(),
        }
    }

    /// Returns an optional boolean field, false by default.
    fn flag(&self, field: &'static str) -> Result<bool, BoundError> {
        match self.fields.get(field) {
            None | Some(Value::Null) => Ok(false),
            Some(Value::Bool(flag)) => Ok(*flag),
            Some(_) => BadFieldSnafu { field, expected: "true or false" }.fail(),
        }
    }

    /// Returns an optional field with a positive integer.
    fn count(&self, field: &'static str) -> Result<Option<u64>, BoundError> {
        match self.fields.get(field) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => match value.as_u64() {
                Some(count) if count > 0 => Ok(Some(count)),
                _ => BadFieldSnafu { field, expected: "a positive integer" }.fail(),
            },
        }
    }
}

/// Limits on the tokens that an engine generates for a request.
#[derive(Clone, Copy)]
struct GeneratedBound {
    /// Tokens of each choice.
    max_tokens: u64,
    choices: u64,
}

/// Appends the text of a role or of a message's content.
fn append_text(value: &Value, text: &mut Vec<u8>) {
    match value {
        Value::String(part) => text.extend_from_slice(part.as_bytes()),
        Value::Array(parts) => parts.iter().for_each(|part| append_text(&part["text"], text)),
        _ => {}
    }
}

fn check_message(message: &Value, has_prompt_bound: bool) -> Result<(), BoundError> {
    let Value::Object(message) = message else {
        return BadFieldSnafu { field: "messages", expected: "an array of objects" }.fail();
    };
    match message.get("content") {
        None | Some(Value::Null | Value::String(_)) => Ok(()),
        Some(Value::Array(parts)) => {
            parts.iter().try_for_each(|part| check_part(part, has_prompt_bound))
        }
        Some(_) => BadFieldSnafu { field: "content", expected: "a string or an array" }.fail(),
    }
}

/// Checks a part of a message; parts other than text need a prompt bound of the route.
fn check_part(part: &Value, has_prompt_bound: bool) -> Result<(), BoundError> {
    match part.get("type").and_then(Value::as_str) {
        Some("text") => Ok(()),
        Some(_) if has_prompt_bound => Ok(()),
        Some(kind) => UnboundedContentSnafu { kind }.fail(),
        None => BadFieldSnafu { field: "type", expected: "a string" }.fail(),
    }
}
