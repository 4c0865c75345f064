//! Tests of the usage meter with complete and streamed answers that arrive in parts of any size.

use rosemarymoor_lib::answer_usage::{EVENT_STREAM, Usage, UsageMeter};

const JSON: &str = "application/json";

fn meter(content_type: &str, body: &str, part: usize) -> UsageMeter {
    let mut meter = UsageMeter::new(content_type);
    body.as_bytes().chunks(part).for_each(|bytes| meter.feed(bytes));
    meter
}

macro_rules! cases {
    ($($name:ident: $kind:expr, $body:expr => $usage:expr, $complete:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for part in [1, 7, 4_096] {
                    let meter = meter($kind, $body, part);
                    assert_eq!(meter.finish($body.as_bytes()), $usage);
                    assert_eq!(meter.is_complete(), $complete);
                }
            }
        )*
    };
}

cases! {
    json_with_usage_is_reported: JSON,
        r#"{"usage":{"prompt_tokens":7,"completion_tokens":5}}"# => Usage::Reported(12), true;
    json_without_usage_counts_nothing: JSON, r#"{"choices":[]}"# => Usage::Counted(0), true;
    a_body_that_is_not_json_counts_nothing: JSON, "no" => Usage::Counted(0), true;
    a_stream_with_usage_is_reported: EVENT_STREAM,
        "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}],\"usage\":null}\r\n\r\n\
         data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\n\
         data: [DONE]\n\n" => Usage::Reported(4), true;
    a_stream_that_was_cut_off_is_counted_by_chunks: EVENT_STREAM,
        "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n\
         data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n\
         data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n" => Usage::Counted(2), false;
    a_stream_that_ends_inside_its_last_event_is_cut_off: EVENT_STREAM,
        "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n\
         data: [DONE]\n" => Usage::Counted(1), false;
    a_stream_that_ends_inside_an_event_after_its_last_one_is_cut_off: EVENT_STREAM,
        "data: [DONE]\n\ndata: x" => Usage::Counted(0), false;
}

#[test]
fn a_charge_never_exceeds_the_reserved_tokens() {
    assert_eq!(Usage::Reported(12).charge(10), 10);
    assert_eq!(Usage::Counted(3).charge(10), 3);
}

/// A line beyond the length limit is skipped as a whole: the rest of it must not count as a line.
#[test]
fn a_line_that_is_too_long_is_skipped() {
    let long = "x".repeat(1 << 20);
    let body = format!(
        "data: {{\"a\":\"{long}\n\
         data: {{\"choices\":[{{\"delta\":{{\"content\":\"a\"}}}}]}}\n\n"
    );
    assert_eq!(meter(EVENT_STREAM, &body, 4_096).finish(&[]), Usage::Counted(1));
    // The parts after a dropped one would form this line.
    let spliced = format!("{long}{long}data: [DONE]\n");
    let mut meter = UsageMeter::new(EVENT_STREAM);
    meter.feed(long.as_bytes());
    meter.feed(spliced.as_bytes());
    meter.feed(b"data: [DO");
    meter.feed(b"NE]\n\n");
    assert!(meter.is_complete());
}

#[test]
fn the_rest_of_a_line_that_is_too_long_is_no_line() {
    let mut meter = UsageMeter::new(EVENT_STREAM);
    meter.feed("x".repeat((1 << 20) + 1).as_bytes());
    meter.feed(b"data: [DONE]\n");
    assert!(!meter.is_complete());
}

/// Names bodies of streams, each with the bytes before a line that no event has.
macro_rules! other_text {
    ($($name:ident: $body:expr => $bytes_before:expr;)*) => {
        mod other_text_is_found_in_a_stream {
            use super::*;

            $(#[test]
            fn $name() {
                let bytes_before: Option<usize> = $bytes_before;
                let whole = meter(EVENT_STREAM, $body, 4_096);
                assert_eq!(whole.bytes_before_other_text(), bytes_before);
                for part in [1, 7] {
                    let meter = meter(EVENT_STREAM, $body, part);
                    assert_eq!(meter.bytes_before_other_text().is_some(), bytes_before.is_some());
                }
            }
        )*}
    };
}

other_text! {
    none_in_events: "event: token\r\ndata: HTTP/1.1 500\r\n\r\n: waiting\n\ndata\n\n" => None;
    a_status_line: "data: a\n\nHTTP/1.1 500 Oops\r\n" => Some(9);
    a_field_of_a_head: "data: a\nconnection: close\r\n" => Some(8);
    an_object: "{\"error\": 1}\n\n" => Some(0);
    none_in_a_line_without_its_end: "data: a\n\nHTTP/1.1 500 Oops" => None;
}
