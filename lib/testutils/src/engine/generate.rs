//! One completion of the engine stand-in.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response};
use rosemarymoor_lib::id::digest128;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};

use super::{EngineFaults, EngineRun, POISON, RunEnd, Shared, dropped, json};
use crate::marker;
use crate::server::{Body, DropConnection, Reply, empty, read_body, streamed_body};

/// Bytes that the stand-in counts as one prompt token.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes of a prompt that decide whether its prefix is cached.
const PREFIX_BYTES: usize = 256;
const DEFAULT_TOKENS: u64 = 16;
const UNBOUNDED_TOKENS: u64 = 1 << 20;
const MAX_STEP_TOKENS: u64 = 16;
const CANCEL_CHECK: Duration = Duration::from_millis(20);
const CHANNEL_ITEMS: usize = 256;

/// Completion as it was asked for.
struct Completion {
    request: String,
    attempt: u32,
    priority: u8,
    prompt: String,
    marker: String,
    tokens: u64,
    finish_reason: &'static str,
    stream: bool,
    include_usage: bool,
    poison: bool,
}

/// Identity and text that the answer shows; another request's if crossed.
struct Shown {
    request: String,
    attempt: u32,
    marker: String,
}

enum Item {
    Token(u64),
    End(u64),
}

pub(super) async fn complete(shared: &Arc<Shared>, req: Request<Incoming>) -> Reply {
    let Some(completion) = parse(req).await? else {
        return Ok(empty(400));
    };
    let faults = shared.faults();
    let shown = shown(shared, &completion, &faults);
    let (tx, mut rx) = mpsc::channel(CHANNEL_ITEMS);
    let (started_tx, started_rx) = oneshot::channel();
    let (stream, include_usage) = (completion.stream, completion.include_usage);
    let finish_reason = completion.finish_reason;
    let prompt_tokens = prompt_tokens(&completion.prompt);
    let hold = shared.rng.random_bool(faults.late).then_some(faults.late_by);
    let drop_reply = shared.rng.random_bool(faults.drop_reply);
    tokio::spawn(generate(shared.clone(), completion, faults, tx, started_tx));
    started_rx.await.map_err(dropped)?;
    if let Some(late_by) = hold {
        tokio::time::sleep(late_by).await;
    }
    if stream && !drop_reply {
        let usage = include_usage.then_some(prompt_tokens);
        return Ok(stream_answer(shown, rx, usage, finish_reason));
    }
    let mut text = String::new();
    while let Some(item) = rx.recv().await {
        match item {
            Item::Token(index) => text.push_str(&marker::token(&shown.marker, index)),
            Item::End(_) if drop_reply => return Err(DropConnection),
            Item::End(tokens) => {
                let body = whole_answer(&text, prompt_tokens, tokens, finish_reason);
                return Ok(echo(json(200, &body), &shown));
            }
        }
    }
    Err(DropConnection)
}

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
    let wanted = marker::requested_tokens(&prompt).unwrap_or(DEFAULT_TOKENS);
    let limit = body["max_tokens"].as_u64().unwrap_or(UNBOUNDED_TOKENS);
    Ok(Some(Completion {
        request,
        attempt,
        priority,
        marker: marker::find(&prompt),
        tokens: wanted.min(limit),
        finish_reason: if wanted > limit { "length" } else { "stop" },
        stream: body["stream"].as_bool().unwrap_or(false),
        include_usage: body["stream_options"]["include_usage"].as_bool().unwrap_or(false),
        poison: prompt.contains(POISON),
        prompt,
    }))
}

fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

fn shown(shared: &Shared, completion: &Completion, faults: &EngineFaults) -> Shown {
    let own = Shown {
        request: completion.request.clone(),
        attempt: completion.attempt,
        marker: completion.marker.clone(),
    };
    if !shared.rng.random_bool(faults.crossed) {
        return own;
    }
    let runs = shared.runs.lock().expect("no holder panics");
    let other = runs.iter().rev().find(|run| run.request != completion.request);
    other.map_or(own, |run| Shown {
        request: run.request.clone(),
        attempt: run.attempt,
        marker: run.marker.clone(),
    })
}

async fn generate(
    shared: Arc<Shared>,
    completion: Completion,
    faults: EngineFaults,
    tx: mpsc::Sender<Item>,
    started_tx: oneshot::Sender<()>,
) {
    let waiting = shared.slots.acquire(completion.priority);
    let slot = tokio::select! {
        slot = waiting => slot,
        () = tx.closed() => None,
    };
    let Some(_slot) = slot else {
        return;
    };
    let run = start_run(&shared, &completion);
    if completion.poison {
        shared.crashes.lock().expect("no holder panics").push(completion.marker);
        shared.crash.notify_one();
        // A crash closes the port no later than the connection, so that nobody
        // who sees the connection break can still be served.
        tx.closed().await;
        return;
    }
    let _ = started_tx.send(());
    let end = generate_tokens(&shared, &completion, &faults, run, &tx).await;
    let mut tokens = 0;
    shared.update_run(run, |run| {
        tokens = run.completion_tokens;
        if run.end == RunEnd::Running {
            run.end = end;
            run.finished = Some(Instant::now());
        }
    });
    let _ = tx.send(Item::End(tokens)).await;
}

fn start_run(shared: &Shared, completion: &Completion) -> usize {
    let prefix = completion.prompt.as_bytes();
    let prefix = String::from_utf8_lossy(&prefix[..prefix.len().min(PREFIX_BYTES)]);
    let prefix_hit = shared.touch_prefix(digest128(&[prefix.as_bytes()]));
    let mut runs = shared.runs.lock().expect("no holder panics");
    runs.push(EngineRun {
        request: completion.request.clone(),
        attempt: completion.attempt,
        marker: completion.marker.clone(),
        started: Instant::now(),
        finished: None,
        prompt_tokens: prompt_tokens(&completion.prompt),
        completion_tokens: 0,
        prefix_hit,
        end: RunEnd::Running,
    });
    runs.len() - 1
}

async fn generate_tokens(
    shared: &Shared,
    completion: &Completion,
    faults: &EngineFaults,
    run: usize,
    tx: &mpsc::Sender<Item>,
) -> RunEnd {
    let (mut hit, mut prompt_tokens) = (false, 0);
    shared.update_run(run, |run| (hit, prompt_tokens) = (run.prefix_hit, run.prompt_tokens));
    let fresh_tokens = if hit { prompt_tokens / 10 } else { prompt_tokens };
    tokio::time::sleep(shared.settings.prefill_time * fresh_tokens as u32).await;
    let hang_at = shared.rng.random_bool(faults.hang).then_some(completion.tokens / 2);
    let step = completion.tokens.div_ceil(8).clamp(1, MAX_STEP_TOKENS);
    let mut next = 0;
    while next < completion.tokens {
        let count = step.min(completion.tokens - next);
        tokio::time::sleep(step_time(shared, faults, count)).await;
        while hang_at.is_some_and(|at| next >= at) {
            if tx.is_closed() || shared.is_cancelled(&completion.request) {
                return RunEnd::Cancelled;
            }
            tokio::time::sleep(CANCEL_CHECK).await;
        }
        let mut end = RunEnd::Running;
        shared.update_run(run, |run| {
            end = run.end;
            if end == RunEnd::Running {
                run.completion_tokens += count;
            }
        });
        if end != RunEnd::Running {
            return end;
        }
        for index in next..next + count {
            if tx.send(Item::Token(index)).await.is_err() {
                return RunEnd::Cancelled;
            }
        }
        next += count;
        if shared.is_cancelled(&completion.request) {
            return RunEnd::Cancelled;
        }
    }
    RunEnd::Finished
}

fn step_time(shared: &Shared, faults: &EngineFaults, tokens: u64) -> Duration {
    let beside = shared.slots.running().saturating_sub(1);
    let slowdown = 1.0 + f64::from(beside) * shared.settings.batch_slowdown;
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

fn whole_answer(text: &str, prompt_tokens: u64, tokens: u64, finish_reason: &str) -> Value {
    let message = json!({ "role": "assistant", "content": text });
    json!({
        "object": "chat.completion",
        "choices": [{ "index": 0, "message": message, "finish_reason": finish_reason }],
        "usage": usage(prompt_tokens, tokens),
    })
}

fn stream_answer(
    shown: Shown,
    mut rx: mpsc::Receiver<Item>,
    usage_of: Option<u64>,
    finish_reason: &'static str,
) -> Response<Body> {
    let (body_tx, body_rx) = mpsc::channel(CHANNEL_ITEMS);
    let resp = Response::builder()
        .status(200)
        .header("content-type", "text/event-stream")
        .body(streamed_body(body_rx))
        .expect("status and headers are valid");
    let resp = echo(resp, &shown);
    tokio::spawn(async move {
        while let Some(item) = rx.recv().await {
            let (events, last) = match item {
                Item::Token(index) => (token_event(&marker::token(&shown.marker, index)), false),
                Item::End(tokens) => (closing_events(usage_of, tokens, finish_reason), true),
            };
            if body_tx.send(Ok(Bytes::from(events))).await.is_err() || last {
                return;
            }
        }
        // The generator stopped without an end, as in a crash.
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

fn echo(mut resp: Response<Body>, shown: &Shown) -> Response<Body> {
    if let Ok(request) = shown.request.parse() {
        resp.headers_mut().insert("x-request-id", request);
    }
    resp.headers_mut().insert("x-attempt", shown.attempt.into());
    resp
}
