//! Answers, refusals, retries and charges of an entry with scripted sidecars.

mod entry_env;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use entry_env::*;
use rosemarymoor_lib::config::Route;
use rosemarymoor_lib::http_client::{self, ConnectionReuse};
use rosemarymoor_lib::result_code::ResultCode;
use rosemarymoor_lib::wire::{PeerRequest, RunFrame};
use rosemarymoor_testutils::kv::Outage;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Time limit for a stop, far below the drain time of one hour in the settings of the entry.
const STOP_TIMEOUT: Duration = Duration::from_secs(120);
const SSE: &str = "text/event-stream";
const FIRST: &str = "data: {\"n\":1}\n\n";
const SECOND: &str = "data: {\"n\":2}\n\n";
const DONE: &str = "data: [DONE]\n\n";

#[tokio::test]
async fn a_complete_answer_is_charged_and_carries_its_request_id() {
    let env = EntryEnvironment::start(vec![vec![complete_answer("{\"ok\":1}", 42)]]).await;
    let response = env.chat(false).send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["rosemarymoor-charge"], "42");
    assert_eq!(response.headers()["content-type"], "application/json");
    let PeerRequest::Run(run) = env.received(0).remove(0) else { panic!("no run") };
    assert_eq!(response.headers()["rosemarymoor-request"], run.request.to_string());
    assert_eq!(response.text().await.unwrap(), "{\"ok\":1}");
    assert_eq!(env.wait_settled(1).await, [Some(42)]);
    let body: serde_json::Value = serde_json::from_slice(&run.call.body).unwrap();
    assert_eq!(body["model"], "engine-model");
    assert_eq!(body["max_tokens"], 50);
    let reserved = env.gate.reserved.lock().unwrap()[0].tokens;
    assert_eq!(reserved, chat_body(false).len() as u64 + 50);
}

#[tokio::test]
async fn an_application_call_keeps_its_method_path_and_body() {
    let env = EntryEnvironment::start(vec![vec![complete_answer("filed", 5)]]).await;
    let response = env.submit("case 7").send().await.unwrap();
    assert_eq!(response.text().await.unwrap(), "filed");
    let PeerRequest::Run(run) = env.received(0).remove(0) else { panic!("no run") };
    assert_eq!(run.call.method, "PUT");
    assert_eq!(run.call.path, "/cases/7?round=2");
    assert_eq!(run.call.content_type, "text/x-case");
    assert_eq!(run.call.body, b"case 7");
    assert_eq!(env.gate.reserved.lock().unwrap()[0].tokens, 5);
}

#[tokio::test]
async fn a_complete_stream_ends_in_done() {
    let length = FIRST.len() + DONE.len();
    let script = vec![head(SSE), data(0, FIRST), data(FIRST.len() as u64, DONE), end(9, length)];
    let env = EntryEnvironment::start(vec![vec![script]]).await;
    let response = env.chat(true).send().await.unwrap();
    assert_eq!(response.headers()["content-type"], SSE);
    assert_eq!(response.text().await.unwrap(), format!("{FIRST}{DONE}"));
    assert_eq!(env.wait_settled(1).await, [Some(9)]);
}

#[tokio::test]
async fn an_interrupted_stream_resumes_at_its_offset() {
    let interrupted = vec![head(SSE), data(0, FIRST)];
    let at = FIRST.len() as u64;
    let rest = vec![
        head(SSE),
        data(at, SECOND),
        data(at + SECOND.len() as u64, DONE),
        end(7, FIRST.len() + SECOND.len() + DONE.len()),
    ];
    let env = EntryEnvironment::start(vec![vec![interrupted, rest]]).await;
    let text = env.chat(true).send().await.unwrap().text().await.unwrap();
    assert_eq!(text, format!("{FIRST}{SECOND}{DONE}"));
    let PeerRequest::Resume(resume) = env.received(0).remove(1) else { panic!("no resume") };
    assert_eq!(resume.offset, at);
    assert_eq!(env.wait_settled(1).await, [Some(7)]);
}

#[tokio::test]
async fn a_failed_stream_ends_in_an_error_event() {
    let script =
        vec![head(SSE), data(0, FIRST), data(15, DONE), refused(ResultCode::TargetFailed, 3)];
    let env = EntryEnvironment::start(vec![vec![script]]).await;
    let text = env.chat(true).send().await.unwrap().text().await.unwrap();
    let rest = text.strip_prefix(FIRST).unwrap();
    let problem = rest.strip_prefix("event: error\ndata: ").unwrap();
    let problem: serde_json::Value = serde_json::from_str(problem).unwrap();
    assert_eq!(problem["code"], 5001);
    assert_eq!(problem["kind"], "partial");
    assert_eq!(env.wait_settled(1).await, [Some(3)]);
}

#[tokio::test]
async fn a_failure_before_the_first_byte_is_retried_at_another_target() {
    let failed = vec![head(SSE), refused(ResultCode::TargetFailed, 0)];
    let other = vec![head(SSE), data(0, DONE), end(4, DONE.len())];
    let env = EntryEnvironment::start(vec![vec![failed], vec![other]]).await;
    let text = env.chat(true).send().await.unwrap().text().await.unwrap();
    assert_eq!(text, DONE);
    assert_eq!(env.wait_settled(1).await, [Some(4)]);
}

#[tokio::test]
async fn frames_of_another_request_are_dropped() {
    let other = RunFrame::Data { offset: 0, bytes: b"theirs".to_vec() };
    let mut script = complete_answer("ours", 1);
    script.insert(2, SidecarStep::SendOfOtherRequest(other));
    let env = EntryEnvironment::start(vec![vec![script]]).await;
    let response = env.chat(false).send().await.unwrap();
    assert_eq!(response.text().await.unwrap(), "ours");
    let metrics = env.client.get(format!("{}/metrics", env.base)).send().await.unwrap();
    assert!(metrics.text().await.unwrap().contains("frames_dropped_total"));
}

#[tokio::test]
async fn a_stream_whose_caller_disconnects_is_cancelled_and_charged() {
    let script = vec![
        head(SSE),
        data(0, FIRST),
        SidecarStep::AwaitCancel,
        SidecarStep::Send(RunFrame::End { charge: 6, length: FIRST.len() as u64 }),
    ];
    let env = EntryEnvironment::start(vec![vec![script]]).await;
    let mut response = env.chat(true).send().await.unwrap();
    assert_eq!(response.chunk().await.unwrap().unwrap(), FIRST);
    drop(response);
    assert_eq!(env.wait_settled(1).await, [Some(6)]);
}

#[tokio::test]
async fn a_refused_reservation_is_not_charged_and_reported_as_not_run() {
    let env = EntryEnvironment::start_with(vec![vec![]], route("draft"), 10).await;
    let (status, kind, problem) = problem(env.chat(false).send().await.unwrap()).await;
    assert_eq!((status, kind.as_str()), (402, "not-run"));
    assert_eq!(problem["code"], 2001);
    assert!(env.received(0).is_empty());
    assert!(env.gate.settled.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_stop_lets_streams_finish_and_closes_the_gate() {
    let permits = Arc::new(Semaphore::new(0));
    let script = vec![
        head(SSE),
        data(0, FIRST),
        SidecarStep::AwaitPermit(permits.clone()),
        data(FIRST.len() as u64, DONE),
        end(2, FIRST.len() + DONE.len()),
    ];
    let env = EntryEnvironment::start(vec![vec![script]]).await;
    let mut response = env.chat(true).send().await.unwrap();
    assert_eq!(response.chunk().await.unwrap().unwrap(), FIRST);
    let EntryEnvironment { entry, gate, client, base, .. } = env;
    let stopping = tokio::spawn(entry.stop());
    let ready = format!("{base}/ready");
    while client.get(&ready).send().await.unwrap().status() != 503 {}
    let chat = client.post(format!("{base}{CHAT}")).bearer_auth(KEY).body(chat_body(false));
    let (_, _, refusal) = problem(chat.send().await.unwrap()).await;
    assert_eq!(refusal["code"], 3005);
    assert!(!*gate.closed.lock().unwrap() && !stopping.is_finished());
    permits.add_permits(1);
    assert_eq!(response.text().await.unwrap(), DONE, "the rest of the stream arrives");
    assert!(stopping.await.unwrap());
    assert!(*gate.closed.lock().unwrap());
}

#[tokio::test]
async fn an_idle_connection_does_not_delay_a_stop() {
    let env = EntryEnvironment::start(vec![vec![]]).await;
    let EntryEnvironment { entry, base, .. } = env;
    let pooled = http_client::open(ConnectionReuse::Pooled);
    let ready = pooled.get(format!("{base}/ready")).send().await.unwrap();
    assert_eq!(ready.text().await.unwrap(), "ready\n");
    let stopped = tokio::time::timeout(STOP_TIMEOUT, entry.stop()).await;
    assert_eq!(stopped, Ok(true));
}

#[tokio::test]
async fn a_repeated_action_gets_the_first_answer() {
    let env = EntryEnvironment::start(vec![vec![complete_answer("filed", 5)]]).await;
    for _ in 0..2 {
        let response = env.submit("case 7").send().await.unwrap();
        assert_eq!(response.headers()["rosemarymoor-charge"], "5");
        assert_eq!(response.text().await.unwrap(), "filed");
    }
    assert_eq!(env.received(0).iter().filter(|req| matches!(req, PeerRequest::Run(_))).count(), 1);
    assert_eq!(env.wait_settled(2).await, [Some(5), Some(0)]);
}

#[tokio::test]
async fn a_retry_joins_an_action_whose_answer_was_lost() {
    let unknown = vec![refused(ResultCode::FateUnknown, 0)];
    let env =
        EntryEnvironment::start(vec![vec![vec![], unknown, complete_answer("filed", 0)]]).await;
    let submit = || env.submit("case 7").header("idempotency-key", "k7").send();
    let (status, kind, refusal) = problem(submit().await.unwrap()).await;
    assert_eq!((status, kind.as_str()), (502, "may-have-run"));
    assert_eq!(refusal["code"], 4001);
    let retried = submit().await.unwrap();
    assert_eq!(retried.headers()["rosemarymoor-charge"], "5");
    assert_eq!(retried.text().await.unwrap(), "filed");
    assert_eq!(env.received(0).iter().filter(|req| matches!(req, PeerRequest::Run(_))).count(), 1);
    assert_eq!(env.wait_settled(2).await, [None, Some(0)]);
}

#[tokio::test]
async fn an_action_that_a_sidecar_refused_runs_at_another() {
    let full = vec![refused(ResultCode::QueueFull, 0)];
    let env = EntryEnvironment::start(vec![vec![full], vec![complete_answer("filed", 5)]]).await;
    let response = env.submit("case 7").send().await.unwrap();
    assert_eq!(response.text().await.unwrap(), "filed");
    assert_eq!(env.wait_settled(1).await, [Some(5)]);
}

#[tokio::test]
async fn a_refused_action_may_be_sent_again() {
    let full = vec![refused(ResultCode::QueueFull, 0)];
    let env = EntryEnvironment::start(vec![vec![full, complete_answer("filed", 5)]]).await;
    let (_, kind, refusal) = problem(env.submit("case 7").send().await.unwrap()).await;
    assert_eq!((kind.as_str(), &refusal["code"]), ("not-run", &3002.into()));
    let again = env.submit("case 7").send().await.unwrap();
    assert_eq!(again.text().await.unwrap(), "filed");
}

#[tokio::test]
async fn an_action_does_not_run_without_the_store() {
    let env = EntryEnvironment::start(vec![vec![complete_answer("filed", 5)]]).await;
    env.kv.set_faults(|faults| faults.outage = Some(Outage::Refuse));
    let (status, kind, refusal) = problem(env.submit("case 7").send().await.unwrap()).await;
    assert_eq!((status, kind.as_str()), (503, "not-run"));
    assert_eq!(refusal["code"], 3006);
    assert!(env.received(0).is_empty());
    env.kv.set_faults(|faults| faults.outage = None);
    let again = env.submit("case 7").send().await.unwrap();
    assert_eq!(again.text().await.unwrap(), "filed");
}

#[tokio::test]
async fn an_idempotency_key_is_refused_for_a_different_request() {
    let env = EntryEnvironment::start(vec![vec![complete_answer("filed", 5)]]).await;
    let submit = |body: &str| env.submit(body).header("idempotency-key", "k7").send();
    assert_eq!(submit("case 7").await.unwrap().status(), 200);
    let (_, _, refusal) = problem(submit("case 8").await.unwrap()).await;
    assert_eq!(refusal["code"], 1008);
}

#[tokio::test]
async fn a_draining_entry_still_answers_retries_of_actions() {
    let hang = vec![head(SSE), data(0, FIRST), SidecarStep::Hang];
    let env = EntryEnvironment::start(vec![vec![complete_answer("filed", 5), hang]]).await;
    assert_eq!(env.submit("case 7").send().await.unwrap().status(), 200);
    let mut stream = env.chat(true).send().await.unwrap();
    assert_eq!(stream.chunk().await.unwrap().unwrap(), FIRST);
    let (retry, fresh) = (env.submit("case 7"), env.submit("case 8"));
    let EntryEnvironment { entry, client, base, kv, .. } = env;
    let stopping = tokio::spawn(entry.stop());
    let ready = format!("{base}/ready");
    while client.get(&ready).send().await.unwrap().status() != 503 {}
    assert_eq!(retry.send().await.unwrap().text().await.unwrap(), "filed");
    let (_, _, refusal) = problem(fresh.send().await.unwrap()).await;
    assert_eq!(refusal["code"], 3005);
    drop((stream, kv));
    assert!(stopping.await.unwrap());
}

/// Guards against a request whose body comes slowly and that runs though the entry has stopped admission.
#[tokio::test]
async fn a_request_that_is_whole_after_the_drain_began_is_refused() {
    let hang = vec![head(SSE), data(0, FIRST), SidecarStep::Hang];
    let env = EntryEnvironment::start(vec![vec![hang, complete_answer("late", 5)]]).await;
    let mut stream = env.chat(true).send().await.unwrap();
    assert_eq!(stream.chunk().await.unwrap().unwrap(), FIRST);
    let body = chat_body(false);
    let (first, rest) = body.split_at(20);
    let mut slow = TcpStream::connect(env.base.strip_prefix("http://").unwrap()).await.unwrap();
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{first}",
        body.len()
    );
    slow.write_all(head.as_bytes()).await.unwrap();
    // The entry has read the head once it answers a later call.
    let ready = format!("{}/ready", env.base);
    assert_eq!(env.client.get(&ready).send().await.unwrap().status(), 200);
    let EntryEnvironment { entry, client, .. } = env;
    let stopping = tokio::spawn(entry.stop());
    while client.get(&ready).send().await.unwrap().status() != 503 {}
    slow.write_all(rest.as_bytes()).await.unwrap();
    drop(stream);
    let mut answer = String::new();
    slow.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("\"code\":3005"), "{answer}");
    assert!(stopping.await.unwrap());
}

/// Time after the end of a stop by which its process is gone.
const EXIT_TIME: Duration = Duration::from_millis(500);

/// Returns the refusal of a request that waits when the drain's limit is reached, and the charges.
async fn refusal_at_limit(
    script: Vec<SidecarStep>,
    holds: bool,
) -> (String, serde_json::Value, Vec<Option<u64>>) {
    let env = EntryEnvironment::start_draining(vec![vec![script]], 300).await;
    env.gate.holds.store(holds, Ordering::Relaxed);
    let sending = tokio::spawn(env.chat(false).send());
    while env.gate.reserved.lock().unwrap().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let EntryEnvironment { entry, gate, .. } = env;
    assert!(!entry.stop().await, "the request outlasts the drain");
    let answer = tokio::time::timeout(EXIT_TIME, sending).await;
    let answer = answer.expect("no answer before the process ends").unwrap().unwrap();
    let (_, kind, refusal) = problem(answer).await;
    let charges = gate.settled.lock().unwrap().clone();
    (kind, refusal["code"].clone(), charges)
}

/// Names each request that is cut off at the limit, with its refusal and its charges.
macro_rules! cut_off_requests {
    ($($name:ident: $script:expr, $holds:literal => $kind:literal, $code:literal, $charges:expr;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let charges: &[Option<u64>] = &$charges;
            let (kind, code, charged) = refusal_at_limit($script, $holds).await;
            assert_eq!((kind.as_str(), &code, &charged[..]), ($kind, &$code.into(), charges));
        })*
    };
}

cut_off_requests! {
    a_request_that_waits_for_tokens_at_the_limit_has_not_run: Vec::new(), true => "not-run", 3005, [];
    a_request_that_runs_at_the_limit_may_have_run:
        vec![SidecarStep::Send(RunFrame::Accepted), SidecarStep::AwaitCancel, refused(ResultCode::AnswerCutOff, 7)],
        false => "may-have-run", 4001, [Some(7)];
}

#[tokio::test]
async fn a_later_refusal_does_not_hide_that_a_target_failed() {
    let failed = vec![refused(ResultCode::TargetFailed, 0)];
    let unreachable = vec![refused(ResultCode::TargetUnreachable, 0)];
    let env = EntryEnvironment::start(vec![vec![failed], vec![unreachable]]).await;
    let (_, kind, refusal) = problem(env.chat(false).send().await.unwrap()).await;
    assert_eq!((kind.as_str(), &refusal["code"]), ("may-have-run", &4001.into()));
}

/// Starts an entry whose model route must run at most once, with one sidecar.
async fn start_unrepeatable(scripts: Vec<Vec<SidecarStep>>, deadline_ms: u64) -> EntryEnvironment {
    let model = Route { repeatable: false, deadline_ms, ..route("draft") };
    EntryEnvironment::start_with(vec![scripts], model, 1_000_000).await
}

#[tokio::test]
async fn a_stream_that_must_not_repeat_ends_in_an_error_event() {
    let script = vec![head(SSE), data(0, FIRST), refused(ResultCode::TargetFailed, 3)];
    let env = start_unrepeatable(vec![script], 20_000).await;
    let text = env.chat(true).send().await.unwrap().text().await.unwrap();
    let rest = text.strip_prefix(FIRST).unwrap();
    let problem = rest.strip_prefix("event: error\ndata: ").unwrap();
    let problem: serde_json::Value = serde_json::from_str(problem).unwrap();
    assert_eq!((&problem["code"], &problem["kind"]), (&5001.into(), &"partial".into()));
}

#[tokio::test]
async fn a_joined_stream_that_fails_ends_in_an_error_event() {
    let unknown = vec![refused(ResultCode::FateUnknown, 0)];
    let joined = vec![head(SSE), data(0, FIRST), refused(ResultCode::TargetFailed, 0)];
    let env = start_unrepeatable(vec![unknown, joined], 20_000).await;
    let chat = || env.chat(true).header("idempotency-key", "k1").send();
    assert_eq!(chat().await.unwrap().status(), 502);
    let text = chat().await.unwrap().text().await.unwrap();
    let rest = text.strip_prefix(FIRST).unwrap();
    assert!(rest.starts_with("event: error\ndata: "), "{rest}");
    assert!(rest.contains("\"code\":5001"), "{rest}");
}

#[tokio::test]
async fn a_retry_that_cannot_succeed_is_not_invited() {
    let unknown = vec![refused(ResultCode::FateUnknown, 0)];
    let gone = vec![refused(ResultCode::AnswerGone, 0)];
    let env = EntryEnvironment::start(vec![vec![unknown, gone]]).await;
    let submit = || env.submit("case 7").header("idempotency-key", "k7").send();
    let first = submit().await.unwrap();
    assert!(first.headers().contains_key("retry-after"), "a retry may learn the fate");
    let second = submit().await.unwrap();
    assert!(!second.headers().contains_key("retry-after"));
    assert_eq!(problem(second).await.2["code"], 4004);
}

/// The store takes the claim and answers nothing until the delivery has given up. The delivery
/// then finds its own claim, under which nothing runs.
#[tokio::test]
async fn a_delivery_does_not_join_its_own_claim() {
    let env = start_unrepeatable(vec![complete_answer("drafted", 5)], 3_000).await;
    env.kv.set_faults(|faults| faults.lose_answers = 1.0);
    let sending = env.chat(false).send();
    let storing = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        env.kv.set_faults(|faults| faults.outage = Some(Outage::Drop));
        tokio::time::sleep(Duration::from_millis(1_600)).await;
        env.kv.set_faults(|faults| *faults = Default::default());
    };
    let (response, ()) = tokio::join!(sending, storing);
    let (status, kind, refusal) = problem(response.unwrap()).await;
    assert_eq!((status, kind.as_str(), &refusal["code"]), (503, "not-run", &3006.into()));
    assert!(env.received(0).is_empty());
}
