//! Malformed and hostile input to real processes: an entry refuses it with a result code or closes
//! the connection, and no process stops.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use rosemarymoor_testutils::fleet::{BudgetPlan, Fleet, FleetPlan};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

/// Limit of the wait for a response.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of packets sent to each process.
const GARBAGE_PACKETS: usize = 200;
const CHAT: &str = "POST /v1/chat/completions";
const APP: &str = "POST /v1/apps/submission/x";
const KEY: &str = "Authorization: Bearer key-0000\r\n";
const JSON: &str = "Content-Type: application/json\r\n";

/// Expected outcome of an input.
enum Expect {
    /// A problem document with this code.
    Code(u16),
    /// Any response of this status.
    Status(u16),
    /// A response with a status of at least 400, or a connection closed without a response.
    Refused,
}

/// Row of the table.
struct Case {
    name: &'static str,
    /// Bytes sent over the connection.
    bytes: Vec<u8>,
    expect: Expect,
}

/// Builds the table from rows of the form `name: bytes => expected outcome`.
macro_rules! cases {
    ($($name:ident: $bytes:expr => $expect:expr;)*) => {
        vec![$(Case { name: stringify!($name), bytes: $bytes, expect: $expect },)*]
    };
}

/// Returns the bytes of a request.
fn request(line: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "{line} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Returns a chat request with this body.
fn chat(body: &str) -> Vec<u8> {
    request(CHAT, &format!("{KEY}{JSON}"), body.as_bytes())
}

/// Returns a chat request with these fields besides the model.
fn fields(fields: &str) -> Vec<u8> {
    chat(&format!("{{\"model\":\"quick\",{fields}}}"))
}

/// Returns a chat request with one valid message, followed by the fields in `rest`.
fn with_messages(rest: &str) -> Vec<u8> {
    fields(&format!("\"messages\":[{{\"role\":\"user\",\"content\":\"hi\"}}]{rest}"))
}

/// Returns a request to the application route `submission`.
fn submit(headers: &str, body: &[u8]) -> Vec<u8> {
    request(APP, &format!("{KEY}{headers}"), body)
}

fn repeat(text: &str, count: usize) -> String {
    text.repeat(count)
}

fn table() -> Vec<Case> {
    use Expect::*;
    cases! {
        no_key: request(CHAT, JSON, b"{}") => Code(1003);
        unknown_key: request(CHAT, "Authorization: Bearer nobody\r\n", b"{}") => Code(1003);
        empty_key: request(CHAT, "Authorization: Bearer \r\n", b"{}") => Code(1003);
        other_scheme: request(CHAT, "Authorization: Basic a2V5\r\n", b"{}") => Code(1003);
        long_key: request(CHAT, &format!("Authorization: Bearer {}\r\n", repeat("k", 4_000)), b"") => Code(1003);
        key_in_wrong_case: request(CHAT, "Authorization: Bearer KEY-0000\r\n", b"{}") => Code(1003);
        empty_body: chat("") => Code(1001);
        not_json: chat("hello") => Code(1001);
        cut_json: chat("{\"model\":\"quick\",\"messages\":[") => Code(1001);
        json_array: chat("[]") => Code(1001);
        json_number: chat("7") => Code(1001);
        json_null: chat("null") => Code(1001);
        deep_json: chat(&repeat("[", 100_000)) => Code(1001);
        invalid_utf8: request(CHAT, &format!("{KEY}{JSON}"), b"{\"model\":\"\xff\xfe\"}") => Code(1001);
        nul_bytes: request(CHAT, &format!("{KEY}{JSON}"), &[0; 64]) => Code(1001);
        no_model: chat("{\"messages\":[]}") => Code(1001);
        model_is_number: chat("{\"model\":7}") => Code(1001);
        unknown_model: chat("{\"model\":\"nothing\",\"messages\":[]}") => Code(1004);
        application_as_model: chat("{\"model\":\"submission\",\"messages\":[]}") => Code(1004);
        no_messages: chat("{\"model\":\"quick\"}") => Code(1001);
        empty_messages: fields("\"messages\":[]") => Code(1001);
        messages_is_text: fields("\"messages\":\"hi\"") => Code(1001);
        message_is_text: fields("\"messages\":[\"hi\"]") => Code(1001);
        content_is_number: fields("\"messages\":[{\"role\":\"user\",\"content\":7}]") => Code(1001);
        part_without_type: fields("\"messages\":[{\"content\":[{}]}]") => Code(1001);
        image_without_bound: fields("\"messages\":[{\"content\":[{\"type\":\"image_url\"}]}]") => Code(1001);
        negative_max_tokens: with_messages(",\"max_tokens\":-1") => Code(1001);
        zero_max_tokens: with_messages(",\"max_tokens\":0") => Code(1001);
        fractional_max_tokens: with_messages(",\"max_tokens\":1.5") => Code(1001);
        text_max_tokens: with_messages(",\"max_tokens\":\"9\"") => Code(1001);
        huge_max_tokens: with_messages(",\"max_tokens\":18446744073709551615") => Code(1007);
        many_choices: with_messages(",\"max_tokens\":4096,\"n\":4096") => Code(1007);
        overflowing_choices: with_messages(",\"max_tokens\":9223372036854775807,\"n\":9223372036854775807") => Code(1007);
        stream_is_text: with_messages(",\"stream\":\"yes\"") => Code(1001);
        user_is_number: with_messages(",\"user\":7") => Code(1001);
        unknown_budget: with_messages(",\"user\":\"nobody\"") => Code(1005);
        unknown_budget_header: request(CHAT, &format!("{KEY}Rosemarymoor-Budget: nobody\r\n"), b"{\"model\":\"quick\",\"messages\":[{\"content\":\"x\"}]}") => Code(1005);
        empty_budget_header: submit("Rosemarymoor-Budget: \r\n", b"x") => Code(1001);
        long_budget_header: submit(&format!("Rosemarymoor-Budget: {}\r\n", repeat("b", 200)), b"x") => Code(1001);
        empty_idempotency_key: submit("Idempotency-Key: \r\n", b"x") => Code(1001);
        long_idempotency_key: submit(&format!("Idempotency-Key: {}\r\n", repeat("k", 300)), b"x") => Code(1001);
        oversized_chat: chat(&repeat("x", (1 << 20) + 1)) => Code(1002);
        oversized_submission: submit("", &vec![b'x'; (1 << 20) + 1]) => Code(1002);
        unknown_application: request("POST /v1/apps/nothing/x", KEY, b"x") => Code(1004);
        model_as_application: request("POST /v1/apps/quick/x", KEY, b"x") => Code(1004);
        unknown_path: request("GET /nothing", KEY, b"") => Code(1004);
        wrong_method: request("GET /v1/chat/completions", KEY, b"") => Code(1004);
        unknown_method: request("BREW /v1/chat/completions", KEY, b"") => Refused;
        header_flood: request(CHAT, &repeat("X-Flood: 1\r\n", 5_000), b"") => Refused;
        huge_header: request(CHAT, &format!("X-Huge: {}\r\n", repeat("h", 1 << 20)), b"") => Refused;
        huge_path: request(&format!("GET /{}", repeat("p", 1 << 20)), "", b"") => Refused;
        bad_content_length: b"POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nContent-Length: x\r\n\r\n".to_vec() => Refused;
        bad_chunk: format!("{CHAT} HTTP/1.1\r\nHost: e\r\n{KEY}Transfer-Encoding: chunked\r\n\r\nZZ\r\n").into_bytes() => Refused;
        not_http: b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".to_vec() => Refused;
        bad_version: b"GET / HTTP/9.9\r\n\r\n".to_vec() => Refused;
        control_characters: b"GET /\x01\x02 HTTP/1.1\r\nHost: e\r\n\r\n".to_vec() => Refused;
        slow_body: format!("{CHAT} HTTP/1.1\r\nHost: e\r\nConnection: close\r\n{KEY}Content-Length: 100\r\n\r\n{{\"model\":\"quick\",").into_bytes() => Code(1009);
        health_still_answers: request("GET /health", "", b"") => Status(200);
    }
}

/// Sends raw bytes and reads until the connection closes or a response is complete.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The write fails if the process closes the connection before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    let mut chunk = [0; 4_096];
    while !is_complete(&response) {
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => break,
            Ok(length) => response.extend_from_slice(&chunk[..length]),
        }
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns whether a response holds as many bytes of body as its `Content-Length` says.
fn is_complete(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.to_ascii_lowercase();
    let length = length.lines().find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.trim().parse().ok()).is_some_and(|length| body.len() >= length)
}

/// Checks a response against the expected outcome of its case.
fn check(case: &Case, response: &str) {
    let name = case.name;
    let status = response.split(' ').nth(1).and_then(|status| status.parse::<u16>().ok());
    match case.expect {
        Expect::Code(code) => {
            assert!(response.contains("application/problem+json"), "{name}: {response}");
            assert!(response.contains(&format!("\"code\":{code},")), "{name}: {response}");
            assert!(
                response.contains("rosemarymoor-refusal: not-run")
                    || response.contains("Rosemarymoor-Refusal: not-run"),
                "{name}: {response}"
            );
        }
        Expect::Status(expected) => assert_eq!(status, Some(expected), "{name}: {response}"),
        Expect::Refused => {
            assert!(status.is_none_or(|status| status >= 400), "{name}: {response}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_and_stops_no_process() {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_rosemarymoord"));
    let plan = FleetPlan {
        entries: 1,
        engines: 1,
        applications: 1,
        budgets: vec![BudgetPlan { workspace: 0, name: "main".to_owned(), tokens: 1_000_000 }],
        ..FleetPlan::new(binary, 3)
    };
    let mut fleet = Fleet::open(plan).await.unwrap();
    let address = fleet.nodes[0].daemon.http();
    send_garbage_packets(&fleet).await;
    let cases = table();
    assert!(cases.len() >= 40);
    for case in &cases {
        let result = tokio::time::timeout(READ_TIMEOUT, exchange(address, &case.bytes)).await;
        let response = result.unwrap_or_else(|_| panic!("{}: no complete response", case.name));
        check(case, &response);
    }
    for node in &mut fleet.nodes {
        assert!(node.daemon.exit_status().is_none(), "{} has stopped", node.name);
        assert!(!node.daemon.log().contains("panicked"), "{}", node.daemon.log());
    }
    assert!(fleet.engines[0].runs().is_empty());
    assert!(fleet.applications[0].runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_stops_after_its_first_byte_times_out() {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_rosemarymoord"));
    let plan = FleetPlan { entries: 1, engines: 1, applications: 0, ..FleetPlan::new(binary, 4) };
    let fleet = Fleet::open(plan).await.unwrap();
    let head = format!("{CHAT} HTTP/1.1\r\nHost: e\r\n{KEY}Content-Length: 100\r\n\r\n{{");
    let future = exchange(fleet.nodes[0].daemon.http(), head.as_bytes());
    let response =
        tokio::time::timeout(READ_TIMEOUT, future).await.expect("the read of the body times out");
    assert!(response.contains("\"code\":1009,"), "{response}");
}

/// Sends packets that are not QUIC to the QUIC port of every process.
async fn send_garbage_packets(fleet: &Fleet) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for node in &fleet.nodes {
        for number in 0..GARBAGE_PACKETS {
            let packet: Vec<u8> = (0..1_200).map(|at| (at * 31 + number * 7) as u8).collect();
            socket.send_to(&packet[..1 + number * 5], node.quic).await.unwrap();
        }
    }
}
