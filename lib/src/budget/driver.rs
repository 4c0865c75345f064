//! Driver of the budget system: carries out its effects over the store and the transport
//! and sends the outcomes back as events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::runtime::Handle;

use super::event::{BudgetEffect, BudgetEvent};
use crate::control::EventSink;
use crate::kv_store::KvStore;
use crate::transport::Transport;
use crate::wire::PeerRequest;

/// Timeout of one call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of one call to a peer or a witness.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);

/// Carries out effects on a tokio runtime without blocking the caller.
pub struct BudgetDriver {
    kv: Arc<dyn KvStore>,
    transport: Arc<Transport>,
    runtime: Handle,
    sink: EventSink<BudgetEvent>,
}

impl BudgetDriver {
    /// Opens a driver that sends the outcomes of its effects into `sink`.
    pub fn open(
        kv: Arc<dyn KvStore>,
        transport: Arc<Transport>,
        runtime: Handle,
        sink: EventSink<BudgetEvent>,
    ) -> BudgetDriver {
        BudgetDriver { kv, transport, runtime, sink }
    }

    /// Starts an effect.
    ///
    /// A reservation whose caller has left before its answer is settled with no charge.
    pub fn run(&self, effect: BudgetEffect) {
        let sink = self.sink.clone();
        match effect {
            BudgetEffect::Answer { reply, result } => {
                if let Err(Ok(funding)) = reply.send(result) {
                    sink(BudgetEvent::Settle { funding, charge: 0 });
                }
            }
            BudgetEffect::Read { key } => {
                let kv = self.kv.clone();
                self.runtime.spawn(async move {
                    let outcome = kv.get(&key.text(), STORE_TIMEOUT).await;
                    sink(BudgetEvent::Read { key, outcome });
                });
            }
            BudgetEffect::Write { key, expected, value } => {
                let kv = self.kv.clone();
                self.runtime.spawn(async move {
                    let text = key.text();
                    let write = kv.compare_and_swap(&text, expected, value, None, STORE_TIMEOUT);
                    let outcome = write.await;
                    sink(BudgetEvent::Written { key, outcome });
                });
            }
            BudgetEffect::SendPeerSync { peer, address, sync } => {
                let answer = self.call(address, PeerRequest::Budget(Box::new(sync)));
                self.runtime.spawn(async move {
                    let answer = answer.await;
                    sink(BudgetEvent::PeerAnswered { peer, answer });
                });
            }
            BudgetEffect::QueryWitness { name, address, req } => {
                let answer = self.call(address, PeerRequest::Witness(req));
                self.runtime.spawn(async move {
                    let answer = answer.await;
                    sink(BudgetEvent::WitnessAnswered { name, req, answer });
                });
            }
            BudgetEffect::AnswerPeer { reply, sync } => {
                let _ = reply.send(sync);
            }
            BudgetEffect::Closed { reply } => {
                let _ = reply.send(());
            }
        }
    }

    /// Calls a peer or a witness; returns `None` if the call fails.
    fn call<R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        req: PeerRequest,
    ) -> impl Future<Output = Option<R>> + use<R> {
        let transport = self.transport.clone();
        async move { transport.call(address, &req, PEER_TIMEOUT).await.ok() }
    }
}
