//! Which events of an answer come next in a stream.

use rosemarymoor_lib::dispatch::event_order::{EventOrder, Place};
use rosemarymoor_lib::dispatch::event_stream::{Event, EventSplitter};

fn event(text: &str) -> Event {
    let mut splitter = EventSplitter::default();
    splitter.push(text.as_bytes()).unwrap();
    splitter.next_event().unwrap()
}

fn numbered(id: u64) -> Event {
    event(&format!("id: {id}\ndata: a\n\n"))
}

/// Returns the order of a stream of which the caller has these events.
fn order(ids: &[u64]) -> EventOrder {
    let mut order = EventOrder::open(None);
    for id in ids {
        order.record(&numbered(*id));
    }
    order
}

/// Returns the order of a stream with these events that another answer goes on with.
fn resumed(ids: &[u64]) -> EventOrder {
    let mut order = order(ids);
    order.resume();
    order
}

/// Names events, each with its place in a stream.
macro_rules! places {
    ($($name:ident: $order:expr, $event:expr => $place:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!($order.place(&$event), $place);
        })*
    };
}

places! {
    the_first_event_may_have_any_number: order(&[]), numbered(7) => Place::Next;
    the_first_answer_may_skip_numbers: order(&[1, 2]), numbered(5) => Place::Next;
    the_first_answer_may_have_events_without_numbers: order(&[1]), event("data: a\n\n") => Place::Next;
    an_event_may_come_again: order(&[1, 2]), numbered(2) => Place::Delivered;
    a_resumed_stream_goes_on_at_the_next_number: resumed(&[1, 2]), numbered(3) => Place::Next;
    a_resumed_stream_may_repeat_events: resumed(&[1, 2]), numbered(1) => Place::Delivered;
    a_resumed_stream_skips_no_number: resumed(&[1, 2]), numbered(4) => Place::Elsewhere;
    a_resumed_stream_skips_no_number_after_one_event: resumed(&[1]), numbered(3) => Place::Elsewhere;
    a_resumed_stream_may_skip_as_it_did_before: resumed(&[2, 4]), numbered(8) => Place::Next;
    a_resumed_stream_has_no_event_without_a_number: resumed(&[1]), event("event: error\ndata: a\n\n") => Place::Elsewhere;
    a_resumed_stream_may_have_comments: resumed(&[1]), event(": waiting\n\n") => Place::Next;
    a_resumed_stream_may_have_blank_lines: resumed(&[1]), event("\r\n\n") => Place::Next;
    no_number_follows_the_largest: resumed(&[u64::MAX - 1, u64::MAX]), numbered(1) => Place::Delivered;
}

#[test]
fn an_order_opens_after_what_the_caller_has() {
    let mut order = EventOrder::open(Some(4));
    assert_eq!((order.last(), order.place(&numbered(4))), (Some(4), Place::Delivered));
    order.record(&numbered(5));
    order.resume();
    assert_eq!((order.last(), order.place(&numbered(7))), (Some(5), Place::Elsewhere));
}
