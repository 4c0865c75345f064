//! The prompt prefix that determines routing affinity depends only on the prompt's text.

use rosemarymoor_lib::config::{PolicyName, Route, TargetKind};
use rosemarymoor_lib::request_bound::ChatRequest;
use rosemarymoor_lib::routing::PREFIX_BYTES;
use rosemarymoor_lib::wire::{Class, Price};

fn route() -> Route {
    Route {
        name: "draft".to_owned(),
        kind: TargetKind::Engine,
        class: Class::Long,
        repeatable: true,
        targets: Vec::new(),
        model: "m".to_owned(),
        price: Price::Usage,
        max_body_bytes: 1 << 20,
        max_prompt_tokens: None,
        max_tokens: 100,
        deadline_ms: 1_000,
        retry_window_ms: 1_000,
        policy: PolicyName::BoundedRendezvous,
        retry_percent: 10,
    }
}

fn prefix(body: &str) -> Vec<u8> {
    ChatRequest::parse(body.as_bytes()).unwrap().into_bounded(&route()).unwrap().prefix
}

macro_rules! equal_prefixes {
    ($($name:ident: $one:expr, $other:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(prefix($one), prefix($other));
                assert!(!prefix($one).is_empty());
            }
        )*
    };
}

equal_prefixes! {
    parameters_do_not_affect_the_prefix:
        r#"{"messages":[{"role":"user","content":"rules"}],"max_tokens":5}"#,
        r#"{"messages":[{"role":"user","content":"rules"}],"max_tokens":50,"stream":true}"#;
    text_parts_and_plain_text_have_equal_prefixes:
        r#"{"messages":[{"role":"user","content":"rules"}]}"#,
        r#"{"messages":[{"role":"user","content":[{"type":"text","text":"rules"}]}]}"#;
}

#[test]
fn another_text_has_another_prefix() {
    let one = r#"{"messages":[{"role":"user","content":"rules of Krems"}]}"#;
    let other = r#"{"messages":[{"role":"user","content":"rules of Melk"}]}"#;
    assert_ne!(prefix(one), prefix(other));
}

#[test]
fn a_long_prompt_is_truncated() {
    let text = "x".repeat(10 * PREFIX_BYTES);
    let body = format!(r#"{{"messages":[{{"role":"user","content":"{text}"}}]}}"#);
    assert_eq!(prefix(&body).len(), PREFIX_BYTES);
}
