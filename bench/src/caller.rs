//! HTTP client of the measures: sends each call to an entry, retries it through the
//! next entry, and checks that the answer is complete and belongs to the call.

use std::time::{Duration, Instant};

use reqwest::{Client, RequestBuilder, Response};
use rosemarymoor_lib::http_client::{self, ConnectionReuse};
use rosemarymoor_testutils::application::ApplicationAnswer;
use rosemarymoor_testutils::fleet::FleetPlan;
use rosemarymoor_testutils::marker;
use serde_json::{Value, json};

const CHARGE_HEADER: &str = "rosemarymoor-charge";
const REFUSAL_HEADER: &str = "rosemarymoor-refusal";
/// Wait before the first retry; grows by the same amount with each further one.
const RETRY_BACKOFF: Duration = Duration::from_millis(250);
/// Fixed price of a submission, in tokens; has to match the fleet's route `submission`.
pub const SUBMISSION_TOKENS: u64 = 50;
/// Data of the event that closes a complete stream.
const DONE_EVENT: &str = "[DONE]";

/// Result codes of refusals caused by the budget.
///
/// The code for an unknown budget is among them, since every budget that the callers
/// name exists.
pub const BUDGET_REFUSAL_CODES: &[u16] = &[1005, 2001, 2002];

/// Kinds of requests; each has its own route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Long streamed chat completion.
    Dossier,
    /// Chat completion of medium length.
    Digest,
    /// Short chat completion.
    Quick,
    /// Free application call that may run more than once.
    Status,
    /// Application call at a fixed price that must run at most once.
    Submission,
}

impl CallKind {
    /// Returns the name of the route.
    pub fn route(self) -> &'static str {
        match self {
            CallKind::Dossier => "dossier",
            CallKind::Digest => "digest",
            CallKind::Quick => "quick",
            CallKind::Status => "status",
            CallKind::Submission => "submission",
        }
    }
}

/// Request with the caller's limits on attempts and time.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifies the call in the prompt, in the answer and in the runs that the
    /// stand-ins record; also its idempotency key.
    pub marker: String,
    pub kind: CallKind,
    /// Number of the workspace in the fleet's plan.
    pub workspace: usize,
    /// Index of the budget in the fleet's plan.
    pub budget: usize,
    pub budget_name: String,
    /// Number of tokens that the prompt asks the engine stand-in to generate.
    pub tokens: u64,
    /// Limit on generated tokens that the request states.
    pub max_tokens: u64,
    /// Whether the answer is requested as an event stream.
    pub stream: bool,
    /// Start of the prompt, which several calls may share.
    pub prefix: String,
    /// Largest number of attempts; each goes through the next entry under the same
    /// idempotency key.
    pub max_attempts: u32,
    /// Time limit of one attempt.
    pub timeout: Duration,
}

impl Call {
    fn prompt(&self) -> String {
        format!("{}{}", self.prefix, marker::prompt(&self.marker, self.tokens))
    }

    fn chat_body(&self) -> Vec<u8> {
        let body = json!({
            "model": self.kind.route(),
            "max_tokens": self.max_tokens,
            "stream": self.stream,
            "messages": [{ "role": "user", "content": self.prompt() }],
        });
        body.to_string().into_bytes()
    }

    /// Returns an upper bound of the call's cost, in tokens.
    pub fn worst_case_tokens(&self) -> u64 {
        match self.kind {
            CallKind::Status => 0,
            CallKind::Submission => SUBMISSION_TOKENS,
            _ => self.chat_body().len() as u64 + self.max_tokens,
        }
    }

    /// Returns the number of tokens in a complete answer.
    fn expected_tokens(&self) -> u64 {
        self.tokens.min(self.max_tokens)
    }
}

/// Outcome of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer to this call arrived.
    Answered {
        /// Charge in tokens, if the answer names one.
        charge: Option<u64>,
    },
    /// The fleet refused the request.
    Refused {
        /// Number of the result code, zero if the body names none.
        code: u16,
        /// Refusal kind, such as `not-run`; empty if the answer names none.
        kind: String,
    },
    /// No connection to the entry could be established.
    Unreachable,
    /// No answer arrived, or one whose cut-off is visible to the caller.
    Broken,
    /// An answer arrived that looks complete but is not.
    Truncated,
    /// The answer to another request arrived.
    Crossed,
}

impl Outcome {
    /// Returns whether the request was refused as not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Outcome::Refused { kind, .. } if kind == "not-run")
    }

    /// Returns whether the request was refused because of its budget.
    pub fn is_budget_refusal(&self) -> bool {
        matches!(self, Outcome::Refused { code, .. } if BUDGET_REFUSAL_CODES.contains(code))
    }

    fn is_retryable(&self) -> bool {
        match self {
            Outcome::Unreachable | Outcome::Broken => true,
            // Codes below 2003 reject the request itself or its budget. A poisoned
            // request (3007) or an answer that is gone (4004) fails the same way again.
            Outcome::Refused { code, .. } => *code >= 2003 && !matches!(code, 3007 | 4004),
            _ => false,
        }
    }
}

/// One attempt of a call through one entry.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Index of the entry.
    pub entry: usize,
    pub started_at: Instant,
    pub finished_at: Instant,
    pub outcome: Outcome,
}

/// Call with all its attempts.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub call: Call,
    /// Attempts in the order in which they were made; at least one.
    pub attempts: Vec<Attempt>,
}

impl CallRecord {
    /// Returns the last attempt.
    pub fn last_attempt(&self) -> &Attempt {
        self.attempts.last().expect("a call has at least one attempt")
    }

    /// Returns whether the caller received its complete answer.
    pub fn is_answered(&self) -> bool {
        matches!(self.last_attempt().outcome, Outcome::Answered { .. })
    }

    /// Returns the charge that the answer named, in tokens.
    pub fn charge(&self) -> Option<u64> {
        match self.last_attempt().outcome {
            Outcome::Answered { charge } => charge,
            _ => None,
        }
    }

    /// Returns when the first attempt started.
    pub fn started_at(&self) -> Instant {
        self.attempts[0].started_at
    }

    /// Returns the time from the start of the first attempt to the end of the last.
    pub fn latency(&self) -> Duration {
        self.last_attempt().finished_at - self.started_at()
    }
}

/// HTTP client for the entries of a fleet; clones share connections.
#[derive(Clone)]
pub struct Callers {
    client: Client,
    /// Base URLs of the entries.
    entries: Vec<String>,
}

impl Callers {
    /// Opens a client for entries with the given base URLs.
    pub fn open(entries: Vec<String>) -> Callers {
        Callers { client: http_client::open(ConnectionReuse::Pooled), entries }
    }

    /// Returns the number of entries.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Makes a call, starting with the entry at the given index, and retries it while
    /// its outcome is retryable and attempts are left.
    pub async fn call(&self, call: Call, first_entry: usize) -> CallRecord {
        let mut attempts = Vec::new();
        for index in 0..call.max_attempts {
            if index > 0 {
                tokio::time::sleep(RETRY_BACKOFF * index).await;
            }
            let entry = (first_entry + index as usize) % self.entries.len();
            let started_at = Instant::now();
            let outcome = self.attempt(&call, &self.entries[entry]).await;
            let is_retryable = outcome.is_retryable();
            attempts.push(Attempt { entry, started_at, finished_at: Instant::now(), outcome });
            if !is_retryable {
                break;
            }
        }
        CallRecord { call, attempts }
    }

    async fn attempt(&self, call: &Call, entry: &str) -> Outcome {
        let req = self.build_request(call, entry);
        let key = FleetPlan::workspace_key(call.workspace);
        let req = req
            .bearer_auth(key)
            .header("Rosemarymoor-Budget", &call.budget_name)
            .header("Idempotency-Key", &call.marker)
            .timeout(call.timeout);
        match req.send().await {
            Ok(resp) => read_answer(call, resp).await,
            Err(err) if err.is_connect() => Outcome::Unreachable,
            Err(_) => Outcome::Broken,
        }
    }

    fn build_request(&self, call: &Call, entry: &str) -> RequestBuilder {
        let marker = &call.marker;
        let route = call.kind.route();
        let content_type = ("content-type", "application/json");
        match call.kind {
            CallKind::Status => {
                self.client.get(format!("{entry}/v1/apps/{route}/bookings?marker={marker}"))
            }
            CallKind::Submission => self
                .client
                .post(format!("{entry}/v1/apps/{route}/bookings"))
                .header(content_type.0, content_type.1)
                .body(json!({ "note": format!("marker={marker}") }).to_string()),
            _ => self
                .client
                .post(format!("{entry}/v1/chat/completions"))
                .header(content_type.0, content_type.1)
                .body(call.chat_body()),
        }
    }
}

async fn read_answer(call: &Call, resp: Response) -> Outcome {
    let header = |name: &str| {
        let value = resp.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let charge = header(CHARGE_HEADER).and_then(|text| text.parse().ok());
    let refusal = header(REFUSAL_HEADER);
    let is_success = resp.status().is_success();
    let Ok(body) = resp.bytes().await else {
        return Outcome::Broken;
    };
    if !is_success || refusal.is_some() {
        return parse_refusal(&body, refusal);
    }
    match call.kind {
        CallKind::Status | CallKind::Submission => check_application_answer(call, &body, charge),
        _ if call.stream => check_stream(call, &String::from_utf8_lossy(&body)),
        _ => check_complete(call, &body, charge),
    }
}

fn parse_refusal(body: &[u8], kind: Option<String>) -> Outcome {
    let problem: Value = serde_json::from_slice(body).unwrap_or_default();
    let code = problem["code"].as_u64().unwrap_or(0) as u16;
    let kind = kind.or(problem["kind"].as_str().map(str::to_owned));
    Outcome::Refused { code, kind: kind.unwrap_or_default() }
}

fn check_application_answer(call: &Call, body: &[u8], charge: Option<u64>) -> Outcome {
    match serde_json::from_slice::<ApplicationAnswer>(body) {
        Ok(answer) if answer.marker == call.marker => Outcome::Answered { charge },
        Ok(_) => Outcome::Crossed,
        Err(_) => Outcome::Truncated,
    }
}

fn check_complete(call: &Call, body: &[u8], charge: Option<u64>) -> Outcome {
    let answer: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = answer["choices"][0]["message"]["content"].as_str().unwrap_or_default();
    check_text(call, text, charge)
}

fn check_text(call: &Call, text: &str, charge: Option<u64>) -> Outcome {
    if text == marker::answer(&call.marker, call.expected_tokens()) {
        return Outcome::Answered { charge };
    }
    let tokens = text.split(' ').filter(|token| !token.is_empty());
    let foreign_tokens =
        tokens.filter(|token| token.split(':').next() != Some(call.marker.as_str()));
    if foreign_tokens.count() > 0 { Outcome::Crossed } else { Outcome::Truncated }
}

fn check_stream(call: &Call, body: &str) -> Outcome {
    let mut text = String::new();
    let mut charge = None;
    let mut is_done = false;
    for event in body.split("\n\n") {
        if event.starts_with("event: error") {
            let data = event.split("data: ").nth(1).unwrap_or_default();
            return parse_refusal(data.as_bytes(), None);
        }
        let data = event.strip_prefix("data: ").unwrap_or_default();
        if data == DONE_EVENT {
            is_done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        charge = chunk["usage"]["total_tokens"].as_u64().or(charge);
    }
    // The caller can tell from the missing closing event that the stream was cut off.
    if is_done { check_text(call, &text, charge) } else { Outcome::Broken }
}
