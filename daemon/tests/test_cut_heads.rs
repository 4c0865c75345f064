//! Answers whose target stops in the middle of their head and closes: no caller gets one that looks
//! complete, on each route and with each framing, from an entry for direct delivery and from a sidecar.

#[allow(dead_code)]
mod sidecar_env;

use rosemarymoor_platform_standins::caller::CallerRequest;
use rosemarymoor_platform_standins::fixtures::{
    all_events, call, fleet, script, stream_request, target,
};
use rosemarymoor_platform_standins::target::{
    ReceivedRequest, Script, Step, TargetStandIn, chunk, last_chunk,
};
use sidecar_env::{Platform, action_request, model_request};

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// How the body of an answer is framed.
#[derive(Clone, Copy)]
enum Framing {
    Length,
    Chunks,
    Close,
}

/// Returns an answer with these head lines before the ones of its framing, and the length of its head.
fn framed(lines: &str, framing: Framing, body: &str) -> (Vec<u8>, usize) {
    let (framing, body) = match framing {
        Framing::Length => {
            (format!("Content-Length: {}\r\n", body.len()), body.as_bytes().to_vec())
        }
        Framing::Chunks => {
            let chunks = [chunk(body), last_chunk()].concat();
            ("Transfer-Encoding: chunked\r\n".to_owned(), chunks)
        }
        Framing::Close => ("Connection: close\r\n".to_owned(), body.as_bytes().to_vec()),
    };
    let head = format!("HTTP/1.1 200 OK\r\n{lines}{framing}\r\n").into_bytes();
    let length = head.len();
    ([head, body].concat(), length)
}

/// Returns the number at the end of a request's path.
fn cut_of(received: &ReceivedRequest) -> usize {
    let path = received.request_line().split(' ').nth(1).unwrap_or_default();
    path.rsplit(['/', '=']).next().and_then(|cut| cut.parse().ok()).unwrap_or(0)
}

/// Sends as many bytes of an answer as its path says, and closes the connection.
fn cut_answer(received: &ReceivedRequest, framing: Framing) -> Vec<Step> {
    let id = received.attempt_id();
    let (answer, _) = framed(&signed_lines(id), framing, &all_events(3));
    vec![Step::Send(answer[..cut_of(received).min(answer.len())].to_vec()), Step::Close]
}

fn signed_lines(id: &str) -> String {
    format!("Attempt-Id: {id}\r\nServer-Seal: seal-{id}\r\nContent-Type: text/event-stream\r\n")
}

/// Sends a request for each length of a part of the head; none may be answered as complete.
async fn check_entry(path: &str, framing: Framing) {
    let target = target(move |received| cut_answer(received, framing)).await;
    let fleet = fleet(BINARY, &target).await;
    // All identities have the same length.
    let (_, head) = framed(&signed_lines("r0000"), framing, "");
    for cut in 0..head {
        let (id, path) = (format!("r{cut:04}"), format!("{path}{cut}"));
        let req = match path.starts_with("/safe") || path.starts_with("/unsafe") {
            true => CallerRequest::post(&path, &id),
            false => stream_request(&path, &id),
        };
        let answer = call(&fleet, &req).await;
        assert_ne!(answer.status, 200, "{cut} of {head} bytes: {}", answer.head);
        let has_arrived =
            target.received().iter().any(|received| received.attempt_id() == id.as_str());
        assert!(has_arrived, "{cut} of {head} bytes: {}", answer.head);
    }
    let answer = call(&fleet, &stream_request("/resume/100000", "whole")).await;
    assert_eq!(answer.status, 200, "a whole answer arrives");
}

/// Names each route and framing.
macro_rules! entry_cases {
    ($($case:ident: $path:literal, $framing:ident;)*) => {
        mod an_entry_passes_on_no_answer_whose_head_was_cut {
            use super::*;

            $(#[tokio::test]
            async fn $case() {
                check_entry($path, Framing::$framing).await;
            })*
        }
    };
}

entry_cases! {
    safe_with_a_length: "/safe/", Length;
    safe_in_chunks: "/safe/", Chunks;
    safe_until_the_close: "/safe/", Close;
    unsafe_with_a_length: "/unsafe/", Length;
    unsafe_in_chunks: "/unsafe/", Chunks;
    unsafe_until_the_close: "/unsafe/", Close;
    stream_with_a_length: "/stream/", Length;
    stream_in_chunks: "/stream/", Chunks;
    stream_until_the_close: "/stream/", Close;
    resumable_with_a_length: "/resume/", Length;
    resumable_in_chunks: "/resume/", Chunks;
    resumable_until_the_close: "/resume/", Close;
}

const MODEL_BODY: &str = "data: {}\n\ndata: [DONE]\n\n";

/// Lines of a sidecar's target without the identities, which differ in length.
const TARGET_LINES: &str = "Content-Type: text/event-stream\r\n";

/// Answers a run with its identities and `cut` bytes of the rest, and other calls with status 404.
fn cut_for_sidecar(framing: Framing, cut: usize) -> Script {
    script(move |received| {
        let ids = (received.header("x-request-id"), received.header("x-attempt"));
        let (Some(request), Some(attempt)) = ids else {
            let missing = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
            return vec![Step::Send(missing.to_vec())];
        };
        let ids = format!("X-Request-Id: {request}\r\nX-Attempt: {attempt}\r\n");
        let lines = format!("{ids}{TARGET_LINES}");
        let (answer, _) = framed(&lines, framing, MODEL_BODY);
        vec![Step::Send(answer[..(ids.len() + cut).min(answer.len())].to_vec()), Step::Close]
    })
}

/// Runs a model request and an action for some lengths of a part of the head.
async fn check_sidecar(framing: Framing) {
    let (whole, head) = framed(TARGET_LINES, framing, MODEL_BODY);
    let mut platform = Platform::start().await;
    // The whole answer shows that the cuts are what fails the others.
    for cut in (0..head).step_by(7).chain([head - 3, head - 2, head - 1, whole.len()]) {
        let target = TargetStandIn::spawn(cut_for_sidecar(framing, cut)).await.unwrap();
        let name = format!("engine-{cut}");
        let sidecar = platform.sidecar(&name, format!("http://{}", target.address())).await;
        let output = sidecar.run(&model_request(&name, &format!("m{cut}"), 4)).await;
        assert_eq!(output.is_complete(), cut >= head, "model, {cut} of {head} bytes");
        if cut < head {
            let output = sidecar.run(&action_request(&name, &format!("a{cut}"))).await;
            assert!(!output.is_complete(), "action, {cut} of {head} bytes");
        }
    }
}

/// Names each framing.
macro_rules! sidecar_cases {
    ($($case:ident: $framing:ident;)*) => {
        mod a_sidecar_passes_on_no_answer_whose_head_was_cut {
            use super::*;

            $(#[tokio::test]
            async fn $case() {
                check_sidecar(Framing::$framing).await;
            })*
        }
    };
}

sidecar_cases! {
    with_a_length: Length;
    in_chunks: Chunks;
    until_the_close: Close;
}
