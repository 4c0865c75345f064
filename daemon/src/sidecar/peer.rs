//! Serves requests from entries, operators and other sidecars over QUIC.

use std::sync::Arc;

use async_trait::async_trait;
use rosemarymoor_lib::answer_store::{
    Answer, AnswerReader, BeginResult, DeliveryKey, RetainedAnswer,
};
use rosemarymoor_lib::gate::GateEvent;
use rosemarymoor_lib::id::EpochId;
use rosemarymoor_lib::result_code::{Refusal, ResultCode};
use rosemarymoor_lib::transport::{FrameSender, FrameStream, PeerHandler};
use rosemarymoor_lib::wire::{
    LoadReply, LookupRequest, PeerRequest, PoisonReply, RequestRecord, ResumeRequest, RunEnvelope,
    RunFrame, RunRequest,
};
use serde::Serialize;

use super::context::Sidecar;
use super::job;
use super::stream::{self, StreamKey};

/// Handler for the streams of peers.
pub struct SidecarPeerHandler {
    cx: Arc<Sidecar>,
}

impl SidecarPeerHandler {
    /// Creates a handler over the shared state.
    pub fn new(cx: Arc<Sidecar>) -> SidecarPeerHandler {
        SidecarPeerHandler { cx }
    }
}

#[async_trait]
impl PeerHandler for SidecarPeerHandler {
    async fn handle(&self, req: PeerRequest, stream: FrameStream) {
        match req {
            PeerRequest::Run(req) => self.run(*req, stream).await,
            PeerRequest::Resume(req) => self.resume(req, stream).await,
            PeerRequest::Lookup(req) => reply(stream.tx, &self.lookup(req)).await,
            PeerRequest::Witness(req) => reply(stream.tx, &self.cx.receipts.answer(req)).await,
            PeerRequest::Order(req) => reply(stream.tx, &self.cx.orders.send(*req).await).await,
            PeerRequest::Load => reply(stream.tx, &self.load()).await,
            PeerRequest::Poison(notice) => {
                self.cx.gate.send(GateEvent::Poison(notice.rows));
                reply(stream.tx, &PoisonReply { incarnation: self.cx.incarnation() }).await;
            }
            // A sidecar does not serve these requests; the sender sees its stream close.
            PeerRequest::Budget(_) | PeerRequest::Config(_) | PeerRequest::ConfigParts(_) => {}
            PeerRequest::Status => reply(stream.tx, &self.cx.status()).await,
            PeerRequest::Drain => {
                self.cx.start_drain();
                reply(stream.tx, &self.cx.status()).await;
            }
        }
    }
}

impl SidecarPeerHandler {
    /// Runs a request, or joins the stream to the answer if the request is already known.
    async fn run(&self, req: RunRequest, stream: FrameStream) {
        let key = StreamKey { request: req.request, attempt: req.attempt };
        if let Err(refusal) = self.check_target(&req) {
            return self.refuse(key, refusal, stream.tx).await;
        }
        let delivery = DeliveryKey {
            request: req.request,
            attempt: req.attempt,
            holder: req.funding.holder,
            fingerprint: req.fingerprint,
        };
        match self.cx.answers.begin(delivery) {
            BeginResult::New(answer) => {
                let reader = answer.watch();
                tokio::spawn(job::run(self.cx.clone(), answer, req));
                stream::send_answer(&self.cx, key, reader, 0, true, stream).await;
            }
            BeginResult::Existing(retained) => self.join(delivery, retained, 0, stream).await,
        }
    }

    /// Sends a known answer from the requested offset on.
    async fn resume(&self, req: ResumeRequest, stream: FrameStream) {
        let key = StreamKey { request: req.request, attempt: req.attempt };
        match self.cx.answers.find(req.request) {
            Some(RetainedAnswer::Answer(answer)) => {
                let pays = is_payer(&answer, key, req.holder);
                let reader = answer.watch();
                stream::send_answer(&self.cx, key, reader, req.offset, pays, stream).await;
            }
            Some(RetainedAnswer::Record { key: payer, charge }) => {
                let pays = payer.attempt == req.attempt && payer.holder == req.holder;
                self.refuse_answer_gone(key, if pays { charge } else { 0 }, stream.tx).await;
            }
            None => {
                let refusal = Refusal::new(ResultCode::FateUnknown, "the sidecar knows nothing");
                self.refuse(key, refusal, stream.tx).await;
            }
        }
    }

    /// Attaches a repeated delivery to the answer of the first one.
    async fn join(
        &self,
        delivery: DeliveryKey,
        retained: RetainedAnswer,
        offset: u64,
        stream: FrameStream,
    ) {
        let key = StreamKey { request: delivery.request, attempt: delivery.attempt };
        log::info!("decision=join request={} attempt={}", key.request, key.attempt);
        let known = match &retained {
            RetainedAnswer::Answer(answer) => answer.key(),
            RetainedAnswer::Record { key, .. } => *key,
        };
        if known.fingerprint != delivery.fingerprint {
            let refusal = Refusal::new(ResultCode::KeyReused, "the key names another request");
            return self.refuse(key, refusal, stream.tx).await;
        }
        match retained {
            RetainedAnswer::Answer(answer) => {
                let pays = is_payer(&answer, key, delivery.holder);
                let reader: AnswerReader = answer.watch();
                stream::send_answer(&self.cx, key, reader, offset, pays, stream).await;
            }
            RetainedAnswer::Record { key: payer, charge } => {
                let pays = payer == delivery;
                self.refuse_answer_gone(key, if pays { charge } else { 0 }, stream.tx).await;
            }
        }
    }

    fn load(&self) -> LoadReply {
        LoadReply { target: self.cx.target_name().to_owned(), load: self.cx.gate.load() }
    }

    fn lookup(&self, req: LookupRequest) -> RequestRecord {
        match self.cx.answers.find(req.request) {
            None => RequestRecord::Unknown { incarnation: self.cx.incarnation() },
            Some(RetainedAnswer::Record { key, charge }) => {
                RequestRecord::Finished { attempt: key.attempt, charge }
            }
            Some(RetainedAnswer::Answer(answer)) => {
                let attempt = answer.key().attempt;
                match answer.read(|log| log.end.as_ref().map(|end| end.charge())) {
                    Some(charge) => RequestRecord::Finished { attempt, charge },
                    None => RequestRecord::Running { attempt },
                }
            }
        }
    }

    fn check_target(&self, req: &RunRequest) -> Result<(), Refusal> {
        if req.target == self.cx.target_name() {
            return Ok(());
        }
        let detail = format!("this sidecar guards {}, not {}", self.cx.target_name(), req.target);
        Err(Refusal::new(ResultCode::NoTarget, detail))
    }

    async fn refuse(&self, key: StreamKey, refusal: Refusal, tx: FrameSender) {
        self.cx.count_refusal(&refusal);
        log::info!("decision=refuse request={} code={}", key.request, refusal.code.number());
        self.send(key, RunFrame::Refused { refusal, charge: 0 }, tx).await;
    }

    /// Refuses a request whose answer was evicted, with the charge that the record holds.
    async fn refuse_answer_gone(&self, key: StreamKey, charge: u64, tx: FrameSender) {
        let refusal = Refusal::new(ResultCode::AnswerGone, "the answer is no longer kept");
        self.cx.count_refusal(&refusal);
        self.send(key, RunFrame::Refused { refusal, charge }, tx).await;
    }

    async fn send(&self, key: StreamKey, frame: RunFrame, tx: FrameSender) {
        let state = self.cx.state();
        let StreamKey { request, attempt } = key;
        reply(tx, &RunEnvelope { request, attempt, state, frame }).await;
    }
}

/// Returns whether a stream belongs to the delivery that pays for the answer.
fn is_payer(answer: &Answer, key: StreamKey, holder: EpochId) -> bool {
    let payer = answer.key();
    payer.attempt == key.attempt && payer.holder == holder
}

async fn reply<T: Serialize + Sync>(mut tx: FrameSender, message: &T) {
    if tx.send(message).await.is_ok() {
        tx.finish().await;
    }
}
