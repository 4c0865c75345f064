//! One attempt to deliver a request to one sidecar.
//!
//! A broken stream is resumed at the same sidecar, until the deadline or, for a
//! request that may run elsewhere, for a short time only.

use std::time::Duration;

use rosemarymoor_lib::id::{Attempt, EpochId};
use rosemarymoor_lib::result_code::Refusal;
use rosemarymoor_lib::routing::Choice;
use rosemarymoor_lib::transport::TransportError;
use rosemarymoor_lib::wire::{
    Funding, LookupRequest, PeerRequest, RequestRecord, ResumeRequest, RunRequest,
};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Entry;
use super::answer::{AnswerState, FrameOutcome, Head};
use super::exchange::{Exchange, ExchangeId, ReceivedFrame};
use super::job::{CompleteAnswer, Job, Reply};

/// Time limit for opening a stream to a sidecar and sending the request.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a frame after which the entry looks up whether a sidecar that has not
/// accepted the request holds it.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit of a lookup at a sidecar.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the last frame in which a repeatable request is resumed before it
/// runs elsewhere.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);

/// Time in which a sidecar must report the charge of a cancelled run.
const CANCEL_GRACE: Duration = Duration::from_secs(3);

/// Delay before the first resume; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// How one attempt ended; charges are in tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is complete once the caller has received the last replies.
    Answered { charge: u64, last_replies: Vec<Reply> },
    /// The sidecar refused the request, possibly after it ran.
    Refused { refusal: Refusal, charge: u64 },
    /// The sidecar has certainly not received the request.
    Undelivered { detail: String },
    /// The sidecar may have received the request and no longer responds.
    Lost { detail: String },
    /// The caller disconnected; the charge is known if the sidecar reported it.
    CallerGone { charge: Option<u64> },
    /// The deadline passed; the charge is known if the sidecar reported it.
    DeadlinePassed { charge: Option<u64> },
}

/// One attempt to deliver a request to one sidecar.
pub struct AttemptRun<'a> {
    /// Shared state of the entry.
    pub entry: &'a Entry,
    /// Request to deliver.
    pub job: &'a Job,
    /// Target and sidecar of the attempt.
    pub choice: &'a Choice,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Epoch that pays for the attempt.
    pub holder: EpochId,
    /// Sends replies to the caller's side of the request.
    pub replies: &'a mpsc::Sender<Reply>,
    /// Whether any part of an answer was sent to the caller.
    pub started: &'a mut bool,
    /// When the last frame of this request arrived; the attempt's start before the first frame.
    pub last_frame_at: Instant,
}

/// Event that an attempt waits for.
enum RunEvent {
    Frame(ReceivedFrame),
    /// The stream has broken or ended.
    Broken,
    /// No frame has arrived within [`ACCEPT_TIMEOUT`] and the request is not accepted yet.
    Silent,
    CallerGone,
    Deadline,
}

impl AttemptRun<'_> {
    /// Sends the request and receives its answer to the end.
    pub async fn run(mut self, funding: &Funding) -> AttemptEnd {
        let mut state = AnswerState::new(self.job.call.stream);
        if !self.job.route.repeatable {
            match self.lookup().await {
                Ok(RequestRecord::Unknown { .. }) => {}
                Ok(RequestRecord::Running { .. } | RequestRecord::Finished { .. }) => {
                    return self.resume_and_receive(&mut state).await;
                }
                Err(err) => return AttemptEnd::Undelivered { detail: err.to_string() },
            }
        }
        let first = PeerRequest::Run(Box::new(self.run_request(funding)));
        match self.open(&first).await {
            Ok(exchange) => self.receive(exchange, &mut state).await,
            Err(err) if err.is_undelivered() => AttemptEnd::Undelivered { detail: err.to_string() },
            Err(_) => self.resume_and_receive(&mut state).await,
        }
    }

    /// Receives the answer of a delivery that an earlier request started.
    pub async fn join(mut self) -> AttemptEnd {
        let mut state = AnswerState::new(self.job.call.stream);
        self.resume_and_receive(&mut state).await
    }

    async fn resume_and_receive(&mut self, state: &mut AnswerState) -> AttemptEnd {
        match self.resume(state).await {
            Ok(exchange) => self.receive(exchange, state).await,
            Err(end) => end,
        }
    }

    async fn receive(&mut self, mut exchange: Exchange, state: &mut AnswerState) -> AttemptEnd {
        loop {
            let outcome = match self.next_event(&mut exchange, state).await {
                RunEvent::Frame(received) => {
                    self.last_frame_at = Instant::now();
                    self.entry.router.observe(&self.choice.target, received.state);
                    state.apply(received.frame)
                }
                RunEvent::Broken => FrameOutcome::Gap,
                RunEvent::Silent if self.is_held().await => FrameOutcome::Wait,
                RunEvent::Silent => return self.abandon(exchange, "no frame in time").await,
                RunEvent::CallerGone => {
                    let charge = self.cancel(exchange).await;
                    return AttemptEnd::CallerGone { charge };
                }
                RunEvent::Deadline => {
                    let charge = self.stop_at_deadline(exchange).await;
                    return AttemptEnd::DeadlinePassed { charge };
                }
            };
            match outcome {
                FrameOutcome::Wait => {}
                FrameOutcome::Forward(events) => self.forward(state, events).await,
                FrameOutcome::Complete { charge, rest } => {
                    return self.complete(state, charge, rest);
                }
                FrameOutcome::Refused { refusal, charge } => {
                    return AttemptEnd::Refused { refusal, charge };
                }
                FrameOutcome::Gap => match self.resume(state).await {
                    Ok(resumed) => exchange = resumed,
                    Err(end) => return end,
                },
            }
        }
    }

    async fn next_event(&self, exchange: &mut Exchange, state: &AnswerState) -> RunEvent {
        let may_abandon = self.job.route.repeatable && !state.is_accepted() && !*self.started;
        let accept_timeout = tokio::time::sleep(ACCEPT_TIMEOUT);
        tokio::select! {
            received = exchange.next() => received.map_or(RunEvent::Broken, RunEvent::Frame),
            () = self.replies.closed(), if !self.job.outlives_caller() => RunEvent::CallerGone,
            () = tokio::time::sleep_until(self.job.deadline()) => RunEvent::Deadline,
            () = accept_timeout, if may_abandon => RunEvent::Silent,
        }
    }

    async fn forward(&mut self, state: &AnswerState, events: Vec<u8>) {
        self.start(state).await;
        // A disconnected caller is detected before the next frame.
        let _ = self.replies.send(Reply::Chunk(events)).await;
    }

    async fn start(&mut self, state: &AnswerState) {
        let Some(head) = state.head().filter(|_| !*self.started) else { return };
        *self.started = true;
        let content_type = head.content_type.clone();
        let _ = self.replies.send(Reply::Start { status: head.status, content_type }).await;
    }

    fn complete(&self, state: &mut AnswerState, charge: u64, rest: Vec<u8>) -> AttemptEnd {
        let Some(head) = state.head().cloned() else {
            return AttemptEnd::Lost { detail: "the answer has no head".to_owned() };
        };
        if !state.is_streamed() {
            let body = state.take_body();
            let answer = CompleteAnswer {
                status: head.status,
                content_type: head.content_type,
                body,
                charge,
            };
            return AttemptEnd::Answered { charge, last_replies: vec![Reply::Complete(answer)] };
        }
        let mut last_replies = Vec::new();
        if !*self.started {
            let Head { status, content_type } = head;
            last_replies.push(Reply::Start { status, content_type });
        }
        last_replies.push(Reply::Chunk(rest));
        last_replies.push(Reply::End);
        AttemptEnd::Answered { charge, last_replies }
    }

    /// Resumes the answer at the same sidecar, from the offset received.
    async fn resume(&mut self, state: &AnswerState) -> Result<Exchange, AttemptEnd> {
        let id = self.exchange_id();
        let resume = PeerRequest::Resume(ResumeRequest {
            request: id.request,
            attempt: id.attempt,
            holder: self.holder,
            offset: state.offset(),
        });
        let may_abandon = self.job.route.repeatable && !*self.started;
        let resume_until = self.last_frame_at + RESUME_TIMEOUT;
        let until =
            if may_abandon { resume_until.min(self.job.deadline()) } else { self.job.deadline() };
        let mut backoff = MIN_BACKOFF;
        loop {
            if self.replies.is_closed() && !self.job.outlives_caller() {
                return Err(AttemptEnd::CallerGone { charge: None });
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
            match self.open(&resume).await {
                Ok(exchange) => {
                    self.entry.metrics.count_resume();
                    return Ok(exchange);
                }
                Err(err) if Instant::now() >= until => {
                    return Err(AttemptEnd::Lost { detail: err.to_string() });
                }
                Err(_) => {}
            }
        }
    }

    async fn open(&self, first: &PeerRequest) -> Result<Exchange, TransportError> {
        let timeout = OPEN_TIMEOUT.min(self.job.remaining().max(MIN_BACKOFF));
        Exchange::open(
            &self.entry.transport,
            self.choice.sidecar,
            first,
            self.exchange_id(),
            timeout,
            self.entry.metrics.clone(),
        )
        .await
    }

    /// Asks the sidecar what it knows of the request.
    ///
    /// A request that must not run twice is sent only over a connection that has
    /// just worked, since its fate is unknown once it has been sent.
    async fn lookup(&self) -> Result<RequestRecord, TransportError> {
        let req = PeerRequest::Lookup(LookupRequest { request: self.job.identity.request });
        self.entry.transport.call(self.choice.sidecar, &req, LOOKUP_TIMEOUT).await
    }

    /// Returns whether a silent sidecar holds the request, queued, running or finished.
    async fn is_held(&self) -> bool {
        matches!(
            self.lookup().await,
            Ok(RequestRecord::Running { .. } | RequestRecord::Finished { .. })
        )
    }

    /// Abandons a silent sidecar and cancels any run that still starts there.
    async fn abandon(&self, mut exchange: Exchange, detail: &str) -> AttemptEnd {
        exchange.cancel().await;
        AttemptEnd::Lost { detail: detail.to_owned() }
    }

    /// Cancels a repeatable request; any other keeps running, so that a retry can join it.
    async fn stop_at_deadline(&self, exchange: Exchange) -> Option<u64> {
        if self.job.route.repeatable { self.cancel(exchange).await } else { None }
    }

    /// Cancels the run and returns its charge if the sidecar reports it in time.
    async fn cancel(&self, mut exchange: Exchange) -> Option<u64> {
        exchange.cancel().await;
        let charge = async {
            while let Some(received) = exchange.next().await {
                if let Some(charge) = final_charge(&received) {
                    return Some(charge);
                }
            }
            None
        };
        tokio::time::timeout(CANCEL_GRACE, charge).await.ok().flatten()
    }

    fn exchange_id(&self) -> ExchangeId {
        ExchangeId { request: self.job.identity.request, attempt: self.attempt }
    }

    fn run_request(&self, funding: &Funding) -> RunRequest {
        let job = self.job;
        RunRequest {
            request: job.identity.request,
            attempt: self.attempt,
            workspace: job.budget.workspace.clone(),
            route: job.route.name.clone(),
            target: self.choice.target.clone(),
            class: job.route.class,
            repeatable: job.route.repeatable,
            deadline_ms: job.remaining().as_millis() as u64,
            funding: funding.clone(),
            price: job.route.price,
            fingerprint: job.identity.fingerprint,
            call: job.call.clone(),
        }
    }
}

/// Returns the charge that a final frame reports.
fn final_charge(received: &ReceivedFrame) -> Option<u64> {
    use rosemarymoor_lib::wire::RunFrame;
    match &received.frame {
        RunFrame::End { charge, .. } | RunFrame::Refused { charge, .. } => Some(*charge),
        RunFrame::Accepted | RunFrame::Head { .. } | RunFrame::Data { .. } => None,
    }
}
