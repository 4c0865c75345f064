//! Forwards a stream of events to the caller and resumes it at another target where the
//! route allows it.
//!
//! The head of the answer is withheld until the first complete event has arrived, so that
//! the request can be sent to another target if the connection breaks before. A resumed
//! stream keeps the head of its first target's answer, and ends as complete only with an answer
//! that has brought an event: an empty one may be the end, or a target that failed.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use rosemarymoor_lib::dispatch::event_order::{EventOrder, Place};
use rosemarymoor_lib::dispatch::event_stream::Event;
use rosemarymoor_lib::dispatch::stream_origins::{BegunStream, StreamId, StreamOrigin};
use rosemarymoor_lib::dispatch::targets::{Observation, TargetKey};
use rosemarymoor_lib::result_code::FAILURE_LOG;
use rosemarymoor_platform::answer::AnswerKind;
use rosemarymoor_platform::request::strip_connection_headers;

use super::attempt::{self, AttemptError, StartedAnswer};
use super::attempts::{Attempts, next_target, record_failure};
use super::call::Call;
use super::entry::Entry;
use super::event_reader::EventReader;
use super::stream_form::StreamForm;
use crate::http_server::AnswerBody;

/// Outcome in the log of a stream that was forwarded to its end.
const COMPLETE: &str = "complete";

/// Time without an event after which a resumable stream is resumed at another target.
const MAX_EVENT_SILENCE: Duration = Duration::from_millis(1_000);

/// Stream whose first event has arrived.
pub struct StartedStream {
    reader: EventReader,
    /// `None` if the stream ended without an event.
    first_event: Option<Event>,
}

/// Waits for the first event or the end of the stream, for `timeout` at the longest.
pub async fn read_first_event(
    answer: StartedAnswer,
    call: &Call,
    timeout: Duration,
) -> Result<StartedStream, AttemptError> {
    let mut reader = EventReader::open(answer, call.origin.as_ref());
    let deadline = (Instant::now() + timeout).min(call.deadline);
    let first_event = reader.next(&call.head.attempt_id, deadline).await?;
    reader.answer.in_flight.record_first_answer();
    Ok(StartedStream { reader, first_event })
}

/// Returns an answer that forwards the events to the caller.
pub fn response(
    entry: &Arc<Entry>,
    mut call: Call,
    attempts: Attempts,
    started_stream: StartedStream,
) -> Response<AnswerBody> {
    let StartedStream { reader, first_event } = started_stream;
    let is_taken_up = call.origin.is_some();
    if first_event.is_some() && call.route.kind.is_idempotent() {
        record_origin(entry, &mut call, &reader);
    }
    if !call.route.kind.is_idempotent() {
        // It is sent to no other target.
        call.body = Bytes::new();
    }
    let has_begun_here = !is_taken_up && call.origin.is_some();
    let head = &reader.answer.exchange.head;
    let (status, mut headers) = (head.status, head.headers.clone());
    let form = StreamForm::decode(&headers);
    strip_connection_headers(&mut headers);
    let relay = StreamRelay {
        entry: entry.clone(),
        order: EventOrder::open(call.head.last_event()),
        is_continued: true,
        has_begun_here,
        call,
        attempts,
        reader: Some(reader),
        form,
        first_event,
        events: 0,
        finished: false,
    };
    let frames = stream::unfold((relay, entry.stop.cut()), |(mut relay, mut cut)| async move {
        let frame = tokio::select! {
            biased;
            frame = relay.next_frame() => frame?,
            () = cut.begun() => {
                relay.review_origin();
                relay.finished = true;
                Err(io::Error::other("the entry ends"))
            }
        };
        Some((frame, (relay, cut)))
    });
    let mut resp = Response::new(StreamBody::new(frames).boxed_unsync());
    *resp.status_mut() = status;
    *resp.headers_mut() = headers;
    resp
}

/// Records what began a stream that may go on elsewhere, before its first event is forwarded.
///
/// For a stream that was taken up it is what began it, in case its caller names this request next.
fn record_origin(entry: &Entry, call: &mut Call, reader: &EventReader) {
    let in_flight = &reader.answer.in_flight;
    let Some(software) = in_flight.certain_software() else {
        log::info!(
            "event=origin_unnamed request={} target={}",
            call.head.attempt_id,
            in_flight.target_id
        );
        return;
    };
    let origin = StreamOrigin { service: call.service.clone(), software: software.to_owned() };
    let id = StreamId::begun_by(&call.head.attempt_id);
    entry.streams.record(BegunStream { id, origin: origin.clone() });
    call.origin = Some(origin);
}

/// State of a stream that is forwarded to a caller.
struct StreamRelay {
    entry: Arc<Entry>,
    call: Call,
    attempts: Attempts,
    /// `None` after the stream has ended and while it is resumed.
    reader: Option<EventReader>,
    /// Form that the head of the answer announces.
    form: StreamForm,
    /// First event, until it is forwarded.
    first_event: Option<Event>,
    /// Events that the caller has, from this stream or the one that it resumes.
    order: EventOrder,
    /// Whether the answer that is read is the first one or has brought an event that comes next.
    is_continued: bool,
    /// Whether the answer that is read has begun the stream, and its origin is the one recorded.
    has_begun_here: bool,
    /// Number of events forwarded.
    events: u64,
    finished: bool,
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.finished {
            self.review_origin();
        }
    }
}

impl StreamRelay {
    async fn next_frame(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        if self.finished {
            return None;
        }
        match self.next_undelivered_event().await {
            Ok(Some(_)) if !self.call.cover_event().await => {
                self.finish("not_covered");
                self.call.record_end("broken");
                self.reader = None;
                Some(Err(io::Error::other("the budget does not cover the rest of the stream")))
            }
            Ok(Some(event)) => {
                // The entry may be gone before the stream breaks off.
                self.review_origin();
                self.events += 1;
                self.order.record(&event);
                self.is_continued |= event.id.is_some();
                self.call.charge_event();
                Some(Ok(Frame::data(event.bytes)))
            }
            Ok(None) => {
                self.finish(COMPLETE);
                self.entry.metrics.count_attempt("answered");
                if let Some(reader) = self.reader.take() {
                    let body_end = reader.answer.exchange.body_end();
                    self.call.record_sound(&reader.answer.in_flight.process, body_end);
                    reader.answer.exchange.lease.finish();
                }
                self.call.record_end("answered");
                None
            }
            Err(err) => {
                self.finish(if err == AttemptError::Silent { "timed_out" } else { "broken" });
                self.call.record_end("broken");
                self.reader = None;
                // The error ends the connection at once; a pause lets the server send what it has.
                tokio::task::yield_now().await;
                Some(Err(io::Error::other("the target's stream was interrupted")))
            }
        }
    }

    /// Returns the next event that the caller does not have yet; `None` at the end.
    async fn next_undelivered_event(&mut self) -> Result<Option<Event>, AttemptError> {
        loop {
            let next = match self.first_event.take() {
                Some(event) => Ok(Some(event)),
                None => self.read_next().await,
            };
            match next {
                Ok(None) if self.is_continued => return Ok(None),
                Ok(None) => {
                    self.record_no_continuation("end");
                    self.resume(AttemptError::NoContinuation).await?;
                }
                Ok(Some(event)) => match self.order.place(&event) {
                    Place::Next if self.is_continued || event.id.is_some() => {
                        return Ok(Some(event));
                    }
                    Place::Next | Place::Delivered => {}
                    Place::Elsewhere => {
                        self.record_no_continuation("order");
                        self.resume(AttemptError::NoContinuation).await?;
                    }
                },
                Err(err) => self.resume(err).await?,
            }
        }
    }

    async fn read_next(&mut self) -> Result<Option<Event>, AttemptError> {
        let mut deadline = self.call.deadline;
        if self.call.route.kind.is_idempotent() {
            deadline = deadline.min(Instant::now() + MAX_EVENT_SILENCE);
        }
        let Some(reader) = self.reader.as_mut() else { return Err(AttemptError::Broken) };
        reader.next(&self.call.head.attempt_id, deadline).await
    }

    /// Records that the answer that is read does not go on with the stream.
    fn record_no_continuation(&self, reason: &str) {
        if let Some(reader) = &self.reader {
            reader.answer.in_flight.record_no_continuation(&self.call.head.attempt_id, reason);
        }
    }

    /// Resumes the stream at another target after an error.
    ///
    /// Only targets of the software version that began the stream are tried. Returns the latest
    /// error if that version is not known, the route does not allow it, the caller has no event with
    /// an identity, or every attempt fails.
    async fn resume(&mut self, err: AttemptError) -> Result<(), AttemptError> {
        let mut err = err;
        self.review_origin();
        self.has_begun_here = false;
        // Dropping the answer closes the connection, which stops the request at that target.
        self.reader = None;
        if let Some(target) = self.attempts.targets.last().copied() {
            record_failure(&self.entry, &self.call, &mut self.attempts, target, err);
        }
        if !self.call.route.kind.is_idempotent()
            || self.order.last().is_none()
            || self.call.origin.is_none()
        {
            return Err(err);
        }
        while let Some(target) = next_target(&self.entry, &self.call, &mut self.attempts).await {
            match self.resume_at(target).await {
                Ok(answer) => {
                    self.reader = Some(EventReader::open(answer, self.call.origin.as_ref()));
                    self.order.resume();
                    self.is_continued = false;
                    return Ok(());
                }
                Err(resume_err) => {
                    err = resume_err;
                    record_failure(&self.entry, &self.call, &mut self.attempts, target, err);
                }
            }
        }
        Err(err)
    }

    /// Records that what began the stream is uncertain, if another process of its target than the one
    /// that had registered may have done so.
    fn review_origin(&mut self) {
        if !self.has_begun_here {
            return;
        }
        let (Some(reader), Some(origin)) = (&self.reader, &self.call.origin) else { return };
        let in_flight = &reader.answer.in_flight;
        if in_flight.certain_software() == Some(origin.software.as_str()) {
            return;
        }
        self.has_begun_here = false;
        log::warn!(
            target: FAILURE_LOG,
            "event=origin_uncertain request={} target={} recorded={}",
            self.call.head.attempt_id,
            in_flight.target_id,
            origin.software
        );
        self.entry.metrics.count_process_check("origin_uncertain");
        let id = StreamId::begun_by(&self.call.head.attempt_id);
        let origin = StreamOrigin::uncertain(&origin.service);
        self.entry.streams.record(BegunStream { id, origin });
        self.call.origin = None;
    }

    /// Requests the rest of the stream from a target.
    async fn resume_at(&self, target: TargetKey) -> Result<StartedAnswer, AttemptError> {
        let timeout = self.call.time_left();
        let reuse = self.attempts.connection_reuse();
        let sending =
            attempt::send(&self.entry, &self.call, target, self.order.last(), timeout, reuse);
        let (mut answer, kind) = sending.await?;
        if kind != AnswerKind::Success {
            if answer.exchange.head.status.is_server_error() {
                answer.in_flight.observe(Observation::Failed);
            }
            return Err(AttemptError::Failed);
        }
        if StreamForm::decode(&answer.exchange.head.headers) != self.form {
            answer.in_flight.record_no_continuation(&self.call.head.attempt_id, "form");
            return Err(AttemptError::NoContinuation);
        }
        answer.in_flight.record_first_answer();
        log::info!(
            "event=resumed request={} after_event={:?} target={} software={}",
            self.call.head.attempt_id,
            self.order.last(),
            answer.in_flight.target_id,
            self.call.origin.as_ref().map_or("unknown", |origin| origin.software.as_str())
        );
        Ok(answer)
    }

    /// Logs the end of the stream and marks it as finished.
    fn finish(&mut self, outcome: &str) {
        self.finished = true;
        let target = if outcome == COMPLETE { module_path!() } else { FAILURE_LOG };
        log::info!(
            target: target,
            "event=stream_ended request={} route={} outcome={outcome} events={} tries={} took_ms={} version={}",
            self.call.head.attempt_id,
            self.call.route.name,
            self.events,
            self.attempts.targets.len(),
            self.call.arrived_at.elapsed().as_millis(),
            self.call.catalog_version
        );
    }
}
