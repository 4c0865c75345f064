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
}

#[test]
fn a_charge_never_exceeds_the_reserved_tokens() {
    assert_eq!(Usage::Reported(12).charge(10), 10);
    assert_eq!(Usage::Counted(3).charge(10), 3);
}
