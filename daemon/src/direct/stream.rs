//! Passes a stream of events on, and resumes it elsewhere where that is allowed.
//!
//! The head of the answer is held until the first whole event is there, so that
//! a target that breaks off before it can still be replaced. The answer keeps
//! the head of its first target.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use rosemarymoor_lib::dispatch::event_stream::{Event, EventSplitter};
use rosemarymoor_lib::dispatch::targets::Observation;
use rosemarymoor_lib::result_code::FAILURE_LOG;
use rosemarymoor_platform::answer::AnswerKind;
use rosemarymoor_platform::request::strip_connection_headers;

use super::attempt::{self, AttemptError, StartedAnswer};
use super::deliver::{Attempts, next_target};
use super::entry::Entry;
use super::handler::Call;
use crate::http_server::AnswerBody;

/// Outcome of a stream whose last event has come, in the log.
const COMPLETE: &str = "complete";

/// Silence within a resumable stream after which it is resumed elsewhere.
const MAX_EVENT_GAP: Duration = Duration::from_millis(1_000);

/// Stream whose first event is there.
pub struct StartedStream {
    running: StartedAnswer,
    splitter: EventSplitter,
    first: Option<Event>,
}

/// What comes next in a stream.
enum Next {
    Event(Event),
    /// The target ended its answer as it should.
    End,
}

/// Waits for the first event.
pub async fn begin(
    mut running: StartedAnswer,
    wait: Duration,
) -> Result<StartedStream, AttemptError> {
    let mut splitter = EventSplitter::default();
    let until = Instant::now() + wait;
    let next = next_event(&mut running, &mut splitter, until).await?;
    running.run.record_first_answer();
    let first = match next {
        Next::Event(event) => Some(event),
        Next::End => None,
    };
    Ok(StartedStream { running, splitter, first })
}

async fn next_event(
    running: &mut StartedAnswer,
    splitter: &mut EventSplitter,
    until: Instant,
) -> Result<Next, AttemptError> {
    loop {
        if let Some(event) = splitter.next_event() {
            return Ok(Next::Event(event));
        }
        let frame = tokio::time::timeout_at(until.into(), running.exchange.body.frame()).await;
        match frame {
            Err(_) => return Err(AttemptError::Silent),
            Ok(None) if splitter.has_partial_event() => {
                let bytes = splitter.take_partial_event();
                return Ok(Next::Event(Event { bytes, id: None }));
            }
            Ok(None) => return Ok(Next::End),
            Ok(Some(Err(_))) => {
                running.run.observe(Observation::Failed);
                return Err(AttemptError::Broken);
            }
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else { continue };
                splitter.push(&data).map_err(|_| AttemptError::Broken)?;
            }
        }
    }
}

/// Answer that passes the events on.
pub fn response(
    entry: &Arc<Entry>,
    call: Call,
    attempts: Attempts,
    begun: StartedStream,
) -> Response<AnswerBody> {
    let StartedStream { running, splitter, first } = begun;
    let mut headers = running.exchange.head.headers.clone();
    let status = running.exchange.head.status;
    strip_connection_headers(&mut headers);
    let relay = StreamRelay {
        entry: entry.clone(),
        last_event: call.head.last_event,
        call,
        attempts,
        running: Some(running),
        splitter,
        first,
        events: 0,
        is_done: false,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let frame = relay.next_frame().await?;
        Some((frame, relay))
    });
    let mut resp = Response::new(StreamBody::new(frames).boxed_unsync());
    *resp.status_mut() = status;
    *resp.headers_mut() = headers;
    resp
}

struct StreamRelay {
    entry: Arc<Entry>,
    call: Call,
    attempts: Attempts,
    /// `None` after the stream has ended.
    running: Option<StartedAnswer>,
    splitter: EventSplitter,
    first: Option<Event>,
    /// Newest event that went to the caller.
    last_event: Option<u64>,
    events: u64,
    is_done: bool,
}

impl StreamRelay {
    async fn next_frame(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        if self.is_done {
            return None;
        }
        match self.next_new_event().await {
            Ok(Some(event)) => {
                self.events += 1;
                self.last_event = event.id.or(self.last_event);
                self.call.charge_event();
                Some(Ok(Frame::data(event.bytes)))
            }
            Ok(None) => {
                self.end(COMPLETE);
                self.entry.metrics.count_attempt("answered");
                self.call.ended("answered");
                if let Some(running) = self.running.take() {
                    running.exchange.lease.finish();
                }
                None
            }
            Err(failed) => {
                self.end(if failed == AttemptError::Silent { "timed_out" } else { "broken" });
                self.entry.metrics.count_attempt(failed.label());
                self.call.ended("broken");
                self.running = None;
                Some(Err(io::Error::other("the stream broke off")))
            }
        }
    }

    /// Next event that the caller does not have; `None` at the end.
    async fn next_new_event(&mut self) -> Result<Option<Event>, AttemptError> {
        loop {
            let next = match self.first.take() {
                Some(event) => Ok(Next::Event(event)),
                None => self.read().await,
            };
            match next {
                Ok(Next::End) => return Ok(None),
                Ok(Next::Event(event)) if self.is_delivered(&event) => {}
                Ok(Next::Event(event)) => return Ok(Some(event)),
                Err(failed) => self.resume(failed).await?,
            }
        }
    }

    async fn read(&mut self) -> Result<Next, AttemptError> {
        let mut until = self.call.until;
        if self.call.route.kind.is_idempotent() {
            until = until.min(Instant::now() + MAX_EVENT_GAP);
        }
        let Some(running) = self.running.as_mut() else { return Err(AttemptError::Broken) };
        next_event(running, &mut self.splitter, until).await
    }

    fn is_delivered(&self, event: &Event) -> bool {
        match (event.id, self.last_event) {
            (Some(id), Some(last)) => id <= last,
            _ => false,
        }
    }

    /// Goes on at another target, if the route allows it.
    async fn resume(&mut self, failed: AttemptError) -> Result<(), AttemptError> {
        let mut failed = failed;
        // Closing the connection stops the run there.
        self.running = None;
        self.splitter = EventSplitter::default();
        self.attempts.failed(&self.entry, &self.call, failed);
        if !self.call.route.kind.is_idempotent() || self.last_event.is_none() {
            return Err(failed);
        }
        while let Some(target) = next_target(&self.entry, &self.call, &mut self.attempts) {
            let wait = self.call.time_left();
            let sent = attempt::send(&self.entry, &self.call, target, self.last_event, wait).await;
            match sent {
                Ok((mut running, AnswerKind::Success)) => {
                    running.run.record_first_answer();
                    log::info!(
                        "event=resumed request={} after_event={:?} target={}",
                        self.call.head.attempt_id,
                        self.last_event,
                        running.run.target_id
                    );
                    self.running = Some(running);
                    return Ok(());
                }
                Ok(_) => {
                    failed = AttemptError::Broken;
                    self.attempts.failed(&self.entry, &self.call, failed);
                }
                Err(other) => {
                    failed = other;
                    self.attempts.failed(&self.entry, &self.call, other);
                }
            }
        }
        Err(failed)
    }

    fn end(&mut self, outcome: &str) {
        self.is_done = true;
        let target = if outcome == COMPLETE { module_path!() } else { FAILURE_LOG };
        log::info!(
            target: target,
            "event=stream_ended request={} route={} outcome={outcome} events={} tries={} took_ms={} version={}",
            self.call.head.attempt_id,
            self.call.route.name,
            self.events,
            self.attempts.tried.len(),
            self.call.arrived.elapsed().as_millis(),
            self.call.catalog_version
        );
    }
}
