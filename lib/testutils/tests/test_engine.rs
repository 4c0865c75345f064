//! Tests of the engine stand-in: complete and streamed answers, cancellation, crashes and
//! fencing.

use std::time::Duration;

use reqwest::{Client, Response};
use rosemarymoor_lib::http_client::{self, ConnectionReuse};
use rosemarymoor_testutils::engine::{EngineSettings, EngineStandIn, RunState};
use rosemarymoor_testutils::marker;
use serde_json::{Value, json};

const SEED: u64 = 5;
const TOKENS: u64 = 24;
/// Maximum wait for an event that has to happen.
const TIMEOUT: Duration = Duration::from_secs(20);

struct Environment {
    engine: EngineStandIn,
    client: Client,
}

async fn open(settings: EngineSettings) -> Environment {
    let engine = EngineStandIn::bind(settings, SEED).await.unwrap();
    Environment { engine, client: http_client::open(ConnectionReuse::Never) }
}

impl Environment {
    /// Sends a completion request as request 7, attempt 2.
    async fn complete(
        &self,
        text: &str,
        max_tokens: u64,
        stream: bool,
    ) -> reqwest::Result<Response> {
        let body = json!({
            "max_tokens": max_tokens,
            "stream": stream,
            "stream_options": { "include_usage": true },
            "messages": [{ "role": "user", "content": text }],
        });
        let url = format!("{}/v1/chat/completions", self.engine.server().url());
        let req = self.client.post(url).header("x-request-id", "7").header("x-attempt", "2");
        req.body(body.to_string()).send().await
    }

    /// Sends an order with a fencing number and returns the HTTP status.
    async fn order(&self, fencing: u64) -> u16 {
        let order = json!({ "fencing": fencing, "action": { "unload_model": { "model": "m" } } });
        let url = format!("{}/orders", self.engine.server().url());
        self.client.post(url).body(order.to_string()).send().await.unwrap().status().as_u16()
    }
}

#[tokio::test]
async fn a_complete_answer_is_bounded_and_reports_its_usage() {
    let env = open(EngineSettings::default()).await;
    let resp = env.complete(&marker::prompt("m-1", TOKENS), 10, false).await.unwrap();
    assert_eq!(resp.headers()["x-request-id"], "7");
    assert_eq!(resp.headers()["x-attempt"], "2");
    let answer: Value = resp.json().await.unwrap();
    assert_eq!(answer["choices"][0]["message"]["content"], marker::answer("m-1", 10));
    assert_eq!(answer["choices"][0]["finish_reason"], "length");
    let run = &env.engine.runs()[0];
    assert_eq!((run.completion_tokens, run.state), (10, RunState::Finished));
    assert_eq!(answer["usage"]["total_tokens"], run.tokens());
}

#[tokio::test]
async fn a_streamed_answer_ends_with_usage_and_done() {
    let env = open(EngineSettings::default()).await;
    let resp = env.complete(&marker::prompt("m-2", TOKENS), 100, true).await.unwrap();
    let text = resp.text().await.unwrap();
    let chunks = text.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let content: String = chunks
        .filter_map(|chunk| serde_json::from_str::<Value>(chunk).ok())
        .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect();
    assert_eq!(content, marker::answer("m-2", TOKENS));
    assert!(text.contains("\"usage\"") && text.trim_end().ends_with("data: [DONE]"), "{text}");
}

#[tokio::test]
async fn a_cancelled_run_stops_and_counts_what_it_generated() {
    let token_time = Duration::from_millis(20);
    let env = open(EngineSettings { token_time, ..EngineSettings::default() }).await;
    let resp = env.complete(&marker::prompt("m-3", 10_000), 10_000, true).await.unwrap();
    let url = format!("{}/cancel/7", env.engine.server().url());
    env.client.post(url).send().await.unwrap();
    let text = tokio::time::timeout(TIMEOUT, resp.text()).await.unwrap().unwrap();
    let run = &env.engine.runs()[0];
    assert_eq!(run.state, RunState::Cancelled);
    assert!(run.completion_tokens < 10_000);
    assert!(text.contains(&format!("\"completion_tokens\":{}", run.completion_tokens)), "{text}");
}

#[tokio::test]
async fn a_poison_request_crashes_the_engine_which_restarts() {
    let restart_after = Duration::from_millis(50);
    let env = open(EngineSettings { restart_after, ..EngineSettings::default() }).await;
    let poison = format!("poison {}", marker::prompt("m-4", TOKENS));
    assert!(env.complete(&poison, 100, false).await.is_err());
    assert_eq!(env.engine.crashes(), ["m-4"]);
    let answered = async {
        while env.complete(&marker::prompt("m-5", 1), 1, false).await.is_err() {
            tokio::time::sleep(restart_after).await;
        }
    };
    tokio::time::timeout(TIMEOUT, answered).await.unwrap();
    assert_eq!(env.engine.runs().last().unwrap().marker, "m-5");
}

#[tokio::test]
async fn a_crossed_answer_shows_another_identity() {
    let env = open(EngineSettings::default()).await;
    env.complete(&marker::prompt("m-6", 1), 1, false).await.unwrap();
    env.engine.set_faults(|faults| faults.crossed = 1.0);
    let url = format!("{}/v1/chat/completions", env.engine.server().url());
    let body = json!({ "messages": [{ "content": marker::prompt("m-7", 1) }] }).to_string();
    let req = env.client.post(url).header("x-request-id", "8").body(body);
    let resp = req.send().await.unwrap();
    assert_eq!(resp.headers()["x-request-id"], "7");
    assert!(resp.text().await.unwrap().contains("m-6:0"));
}

macro_rules! fencing {
    ($($name:ident: $checks:literal => $status:literal;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let checks_fencing = $checks;
                let env = open(EngineSettings { checks_fencing, ..EngineSettings::default() }).await;
                assert_eq!(env.order(5).await, 200);
                assert_eq!(env.order(4).await, $status);
            }
        )*
    };
}

fencing! {
    an_engine_that_checks_refuses_an_old_order: true => 409;
    an_engine_that_does_not_check_executes_an_old_order: false => 200;
}
