//! Handling of one completion request by the engine stand-in.
//!
//! A request waits for a slot, prefills its prompt, generates tokens and is answered as one
//! body or as a stream of events.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response};
use rosemarymoor_lib::id::digest128;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};

use super::{EngineFaults, EngineRun, POISON_TEXT, RunState, Shared, drop_connection, json};
use crate::marker;
use crate::server::{Body, DropConnection, Reply, empty, read_body, streamed_body};

/// Number of prompt bytes that the stand-in counts as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Number of leading bytes of a prompt that identify its prefix in the cache.
const PREFIX_BYTES: usize = 256;
/// Tokens generated for a prompt without `length=N`.
const DEFAULT_TOKENS: u64 = 16;
/// Limit of tokens for a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 1 << 20;
/// Maximum number of tokens in one step, between two waits.
const MAX_STEP_TOKENS: u64 = 16;
/// Interval at which a hanging run checks whether it was cancelled.
const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of tokens or events that wait to be forwarded.
const CHANNEL_CAPACITY: usize = 256;

/// Parsed completion request.
struct Completion {
    request: String,
    attempt: u32,
    priority: u8,
    prompt: String,
    marker: String,
    /// Tokens to generate, already limited by `max_tokens`.
    tokens: u64,
    finish_reason: &'static str,
    stream: bool,
    include_usage: bool,
    /// Whether the request crashes the engine.
    poison: bool,
}

/// Request identity and marker in the answer, which an injected fault takes from another
/// request.
struct AnswerIdentity {
    request: String,
    attempt: u32,
    marker: String,
}

/// Progress of a run, sent to the task that answers.
enum GeneratedItem {
    /// Token at this position, from 0.
    Token(u64),
    /// End of the run after this number of tokens.
    End(u64),
}

/// Runs a completion request and answers it.
pub(super) async fn complete(shared: &Arc<Shared>, req: Request<Incoming>) -> Reply {
    let Some(completion) = parse(req).await? else {
        return Ok(empty(400));
    };
    let faults = shared.faults();
    let identity = identity(shared, &completion, &faults);
    let (tx, mut rx) = mpsc::channel(CHANNEL_CAPACITY);
    let (started_tx, started_rx) = oneshot::channel();
    let (stream, include_usage) = (completion.stream, completion.include_usage);
    let finish_reason = completion.finish_reason;
    let prompt_tokens = prompt_tokens(&completion.prompt);
    let answer_delay = shared.rng.random_bool(faults.late).then_some(faults.late_by);
    let drop_reply = shared.rng.random_bool(faults.drop_reply);
    tokio::spawn(generate(shared.clone(), completion, faults, tx, started_tx));
    started_rx.await.map_err(drop_connection)?;
    if let Some(late_by) = answer_delay {
        tokio::time::sleep(late_by).await;
    }
    if stream && !drop_reply {
        let usage = include_usage.then_some(prompt_tokens);
        return Ok(stream_answer(identity, rx, usage, finish_reason));
    }
    let mut text = String::new();
    while let Some(item) = rx.recv().await {
        match item {
            GeneratedItem::Token(index) => text.push_str(&marker::token(&identity.marker, index)),
            GeneratedItem::End(_) if drop_reply => return Err(DropConnection),
            GeneratedItem::End(tokens) => {
                let body = complete_answer(&text, prompt_tokens, tokens, finish_reason);
                return Ok(with_identity(json(200, &body), &identity));
            }
        }
    }
    Err(DropConnection)
}

/// Parses a completion request; returns `None` if its body is not JSON.
async fn parse(req: Request<Incoming>) -> Result<Option<Completion>, DropConnection> {
    let header = |name: &str| {
        let value = req.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let request = header("x-request-id");
    let attempt = header("x-attempt").parse().unwrap_or(0);
    let priority = header("x-priority").parse().unwrap_or(0);
    let body = read_body(req).await?;
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return Ok(None);
    };
    let messages = body["messages"].as_array().cloned().unwrap_or_default();
    let texts = messages.iter().filter_map(|message| message["content"].as_str());
    let prompt = texts.collect::<Vec<_>>().join("\n");
    let requested = marker::requested_tokens(&prompt).unwrap_or(DEFAULT_TOKENS);
    let limit = body["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS);
    Ok(Some(Completion {
        request,
        attempt,
        priority,
        marker: marker::find(&prompt),
        tokens: requested.min(limit),
        finish_reason: if requested > limit { "length" } else { "stop" },
        stream: body["stream"].as_bool().unwrap_or(false),
        include_usage: body["stream_options"]["include_usage"].as_bool().unwrap_or(false),
        poison: prompt.contains(POISON_TEXT),
        prompt,
    }))
}

fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the identity to answer with: the request's own, or that of another run if the
/// fault for crossed answers occurs.
fn identity(shared: &Shared, completion: &Completion, faults: &EngineFaults) -> AnswerIdentity {
    let own = AnswerIdentity {
        request: completion.request.clone(),
        attempt: completion.attempt,
        marker: completion.marker.clone(),
    };
    if !shared.rng.random_bool(faults.crossed) {
        return own;
    }
    let runs = shared.runs.lock().expect("no holder panics");
    let other = runs.iter().rev().find(|run| run.request != completion.request);
    other.map_or(own, |run| AnswerIdentity {
        request: run.request.clone(),
        attempt: run.attempt,
        marker: run.marker.clone(),
    })
}

/// Waits for a slot, runs the completion and sends its progress to `tx`.
async fn generate(
    shared: Arc<Shared>,
    completion: Completion,
    faults: EngineFaults,
    tx: mpsc::Sender<GeneratedItem>,
    started_tx: oneshot::Sender<()>,
) {
    let acquired = shared.slots.acquire(completion.priority);
    let slot = tokio::select! {
        slot = acquired => slot,
        () = tx.closed() => None,
    };
    let Some(_slot) = slot else {
        return;
    };
    let run = start_run(&shared, &completion);
    if completion.poison {
        shared.crashes.lock().expect("no holder panics").push(completion.marker);
        shared.crash_notify.notify_one();
        // Keeps the connection open until the crash has closed the port, so that a caller
        // whose connection breaks cannot connect and be served again before the restart.
        tx.closed().await;
        return;
    }
    let _ = started_tx.send(());
    let end = generate_tokens(&shared, &completion, &faults, run, &tx).await;
    let mut tokens = 0;
    shared.update_run(run, |run| {
        tokens = run.completion_tokens;
        if run.state == RunState::Running {
            run.state = end;
            run.finished_at = Some(Instant::now());
        }
    });
    let _ = tx.send(GeneratedItem::End(tokens)).await;
}

/// Records a new run, updates the prefix cache and returns the run's index.
fn start_run(shared: &Shared, completion: &Completion) -> usize {
    let prefix = completion.prompt.as_bytes();
    let prefix = String::from_utf8_lossy(&prefix[..prefix.len().min(PREFIX_BYTES)]);
    let prefix_hit = shared.touch_prefix(digest128(&[prefix.as_bytes()]));
    let mut runs = shared.runs.lock().expect("no holder panics");
    runs.push(EngineRun {
        request: completion.request.clone(),
        attempt: completion.attempt,
        marker: completion.marker.clone(),
        started_at: Instant::now(),
        finished_at: None,
        prompt_tokens: prompt_tokens(&completion.prompt),
        completion_tokens: 0,
        prefix_hit,
        state: RunState::Running,
    });
    runs.len() - 1
}

/// Prefills the prompt and generates the tokens in steps; returns how the run ended.
async fn generate_tokens(
    shared: &Shared,
    completion: &Completion,
    faults: &EngineFaults,
    run: usize,
    tx: &mpsc::Sender<GeneratedItem>,
) -> RunState {
    let (mut prefix_hit, mut prompt_tokens) = (false, 0);
    shared.update_run(run, |run| (prefix_hit, prompt_tokens) = (run.prefix_hit, run.prompt_tokens));
    let uncached_tokens = if prefix_hit { prompt_tokens / 10 } else { prompt_tokens };
    tokio::time::sleep(shared.settings.prefill_time * uncached_tokens as u32).await;
    let hang_at = shared.rng.random_bool(faults.hang).then_some(completion.tokens / 2);
    let step = completion.tokens.div_ceil(8).clamp(1, MAX_STEP_TOKENS);
    let mut next = 0;
    while next < completion.tokens {
        let count = step.min(completion.tokens - next);
        tokio::time::sleep(step_time(shared, faults, count)).await;
        while hang_at.is_some_and(|at| next >= at) {
            if tx.is_closed() || shared.is_cancelled(&completion.request) {
                return RunState::Cancelled;
            }
            tokio::time::sleep(CANCEL_CHECK_INTERVAL).await;
        }
        let mut state = RunState::Running;
        shared.update_run(run, |run| {
            state = run.state;
            if state == RunState::Running {
                run.completion_tokens += count;
            }
        });
        if state != RunState::Running {
            return state;
        }
        for index in next..next + count {
            if tx.send(GeneratedItem::Token(index)).await.is_err() {
                return RunState::Cancelled;
            }
        }
        next += count;
        if shared.is_cancelled(&completion.request) {
            return RunState::Cancelled;
        }
    }
    RunState::Finished
}

/// Returns the time to generate `tokens` tokens at the current load.
fn step_time(shared: &Shared, faults: &EngineFaults, tokens: u64) -> Duration {
    let concurrent = shared.slots.running().saturating_sub(1);
    let slowdown = 1.0 + f64::from(concurrent) * shared.settings.batch_slowdown;
    let factor = if faults.time_factor > 0.0 { faults.time_factor } else { 1.0 };
    shared.settings.token_time.mul_f64(tokens as f64 * slowdown * factor)
}

fn usage(prompt_tokens: u64, completion_tokens: u64) -> Value {
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    })
}

fn complete_answer(text: &str, prompt_tokens: u64, tokens: u64, finish_reason: &str) -> Value {
    let message = json!({ "role": "assistant", "content": text });
    json!({
        "object": "chat.completion",
        "choices": [{ "index": 0, "message": message, "finish_reason": finish_reason }],
        "usage": usage(prompt_tokens, tokens),
    })
}

fn stream_answer(
    identity: AnswerIdentity,
    mut rx: mpsc::Receiver<GeneratedItem>,
    usage_prompt_tokens: Option<u64>,
    finish_reason: &'static str,
) -> Response<Body> {
    let (body_tx, body_rx) = mpsc::channel(CHANNEL_CAPACITY);
    let resp = Response::builder()
        .status(200)
        .header("content-type", "text/event-stream")
        .body(streamed_body(body_rx))
        .expect("status and headers are valid");
    let resp = with_identity(resp, &identity);
    tokio::spawn(async move {
        while let Some(item) = rx.recv().await {
            let (events, last) = match item {
                GeneratedItem::Token(index) => {
                    (token_event(&marker::token(&identity.marker, index)), false)
                }
                GeneratedItem::End(tokens) => {
                    (closing_events(usage_prompt_tokens, tokens, finish_reason), true)
                }
            };
            if body_tx.send(Ok(Bytes::from(events))).await.is_err() || last {
                return;
            }
        }
        // The run stopped without `GeneratedItem::End`, as it does in a crash.
        let _ = body_tx.send(Err(io::ErrorKind::ConnectionReset.into())).await;
    });
    resp
}

fn token_event(text: &str) -> String {
    let chunk = json!({
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": { "content": text }, "finish_reason": null }],
    });
    format!("data: {chunk}\n\n")
}

/// Returns the last events of a stream: the finish reason, the usage if it was requested,
/// and `[DONE]`.
fn closing_events(prompt_tokens: Option<u64>, tokens: u64, finish_reason: &str) -> String {
    let last = json!({
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": {}, "finish_reason": finish_reason }],
    });
    let usage_event = prompt_tokens.map_or(String::new(), |prompt_tokens| {
        let chunk = json!({
            "object": "chat.completion.chunk",
            "choices": [],
            "usage": usage(prompt_tokens, tokens),
        });
        format!("data: {chunk}\n\n")
    });
    format!("data: {last}\n\n{usage_event}data: [DONE]\n\n")
}

/// Adds the headers that echo the request identity and the attempt.
fn with_identity(mut resp: Response<Body>, identity: &AnswerIdentity) -> Response<Body> {
    if let Ok(request) = identity.request.parse() {
        resp.headers_mut().insert("x-request-id", request);
    }
    resp.headers_mut().insert("x-attempt", identity.attempt.into());
    resp
}
