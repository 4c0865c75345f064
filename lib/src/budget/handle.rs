//! Set-up of an entry's budgets, and the handle by which its traffic threads reserve and
//! settle tokens.

use std::sync::Arc;

use async_trait::async_trait;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use super::driver::BudgetDriver;
use super::event::BudgetEvent;
use super::policy::GrantPolicyName;
use super::system::{BudgetSystem, SystemParams};
use super::{BudgetGate, ReserveRequest};
use crate::control::EventSink;
use crate::host_list::Host;
use crate::id::EpochId;
use crate::kv_store::KvStore;
use crate::result_code::{Refusal, ResultCode};
use crate::transport::Transport;
use crate::wire::{Funding, PeerSync};

/// Parameters for opening the budgets of an entry.
pub struct BudgetParams {
    /// Store of the ledger and of the epoch records.
    pub kv: Arc<dyn KvStore>,
    /// Transport for calls to peers and witnesses.
    pub transport: Arc<Transport>,
    /// Runtime on which calls to the store and to peers run.
    pub runtime: Handle,
    /// Name of this host in the platform's list.
    pub host: String,
    /// Data centre of this host.
    pub data_center: String,
    /// Region of this host.
    pub region: String,
    /// Epoch of this process, new at every start.
    pub epoch: EpochId,
    /// Number of ledger shards in the store, the same for the whole fleet.
    pub shards: u32,
    /// Policy that decides on the size of grants.
    pub policy: GrantPolicyName,
}

/// System, driver and handle of an entry's budgets.
///
/// The caller runs the system on its control thread and passes its effects to
/// the driver.
pub struct Budgets {
    /// State and decisions; does no I/O.
    pub system: BudgetSystem,
    /// Carries out the effects of the system.
    pub driver: BudgetDriver,
    /// Gate for the traffic threads.
    pub handle: BudgetHandle,
}

/// Opens the budgets of an entry; `sink` leads to the thread that will run the system.
pub fn open(params: BudgetParams, sink: EventSink<BudgetEvent>) -> Budgets {
    let system = BudgetSystem::open(SystemParams {
        host: params.host,
        data_center: params.data_center,
        region: params.region,
        epoch: params.epoch,
        shards: params.shards,
        policy: params.policy,
        seed: params.epoch.0,
    });
    let driver = BudgetDriver::open(params.kv, params.transport, params.runtime, sink.clone());
    Budgets { system, driver, handle: BudgetHandle { sink } }
}

/// Sends the requests of the traffic threads to the budget system.
#[derive(Clone)]
pub struct BudgetHandle {
    sink: EventSink<BudgetEvent>,
}

impl BudgetHandle {
    /// Creates a handle that sends events of the budget system into `sink`.
    pub fn new(sink: EventSink<BudgetEvent>) -> BudgetHandle {
        BudgetHandle { sink }
    }

    /// Forwards the platform's host list; to be called after every read of the list.
    pub fn update_hosts(&self, hosts: Vec<Host>) {
        (self.sink)(BudgetEvent::Hosts(hosts));
    }

    /// Answers a peer's [`PeerRequest::Budget`](crate::wire::PeerRequest::Budget).
    ///
    /// Returns `None` if the control thread has stopped.
    pub async fn answer(&self, sync: PeerSync) -> Option<PeerSync> {
        let (reply, answer) = oneshot::channel();
        (self.sink)(BudgetEvent::PeerSyncReceived { sync, reply });
        answer.await.ok()
    }
}

#[async_trait]
impl BudgetGate for BudgetHandle {
    async fn reserve(&self, req: ReserveRequest) -> Result<Funding, Refusal> {
        let (reply, answer) = oneshot::channel();
        (self.sink)(BudgetEvent::Reserve { req, reply });
        let mut reservation = PendingReservation { answer, sink: &self.sink };
        let stopped = || Refusal::new(ResultCode::ShuttingDown, "the control thread has stopped");
        (&mut reservation.answer).await.unwrap_or_else(|_| Err(stopped()))
    }

    fn settle(&self, funding: &Funding, charge: u64) {
        (self.sink)(BudgetEvent::Settle { funding: funding.clone(), charge });
    }

    fn settle_unknown(&self, funding: &Funding) {
        (self.sink)(BudgetEvent::SettleUnknown { funding: funding.clone() });
    }

    fn epoch_refused(&self, funding: &Funding) {
        (self.sink)(BudgetEvent::EpochRefused { funding: funding.clone() });
    }

    async fn close(&self) {
        let (reply, answer) = oneshot::channel();
        (self.sink)(BudgetEvent::Close { reply });
        let _ = answer.await;
    }
}

/// Requested reservation; returns the tokens if the caller leaves before the answer.
struct PendingReservation<'a> {
    answer: oneshot::Receiver<Result<Funding, Refusal>>,
    sink: &'a EventSink<BudgetEvent>,
}

impl Drop for PendingReservation<'_> {
    fn drop(&mut self) {
        self.answer.close();
        if let Ok(Ok(funding)) = self.answer.try_recv() {
            (self.sink)(BudgetEvent::Settle { funding, charge: 0 });
        }
    }
}
