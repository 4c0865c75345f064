//! Drives the spread of configurations between hosts.
//!
//! The driver carries out what [`PropagationSystem`] decides: it asks peers, watches
//! or reads the store, and keeps the highest revision that arrived, whoever sent
//! it first. Parts are checked against their digests, so that it does not matter
//! whom they come from.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::parts::Head;
use super::propagation_system::{PropagationEffect, PropagationEvent, PropagationSystem};
use super::store::{HEAD_KEY, LoadError, StoredConfig, decode_head, load_revision, read_head};
use super::update::PendingUpdate;
use super::{ConfigHandle, PartDigest};
use crate::host_list::Host;
use crate::kv_store::{KvStore, Outcome, Revision};
use crate::time::MonotonicClock;
use crate::transport::{FrameStream, PeerHandler, Transport};
use crate::wire::{ConfigReply, ConfigRequest, ConfigUpdate, PartReply, PartsRequest, PeerRequest};

const TICK: Duration = Duration::from_millis(100);
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const WATCH_RETRY: Duration = Duration::from_millis(250);
/// Time beyond a question's own wait in which the answer has to arrive.
const ANSWER_GRACE: Duration = Duration::from_millis(1_500);
const PARTS_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time that a question is held open, whatever it asks for, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;
/// Most parts in one request.
const MAX_PARTS: usize = 1_024;
/// Heads that are remembered as bases of updates.
const RECENT_HEADS: usize = 16;

/// What a host needs to take part.
pub struct PropagationParams {
    /// Name of this host in the platform's list.
    pub host: String,
    pub data_center: String,
    /// Parents of this host; one is enough without faults.
    pub parents: usize,
    pub kv: Arc<dyn KvStore>,
    pub transport: Arc<Transport>,
    /// Where revisions are put in force.
    pub handle: ConfigHandle,
}

/// Running spread; it stops when dropped.
pub struct ConfigPropagation {
    node: ConfigNode,
    task: JoinHandle<()>,
}

impl ConfigPropagation {
    /// Spawns the driver.
    pub fn spawn(params: PropagationParams) -> ConfigPropagation {
        let system = PropagationSystem::open(&params.host, &params.data_center, params.parents);
        let (events, rx) = mpsc::unbounded_channel();
        let shared =
            Shared { params, events, held: Mutex::default(), revision: watch::Sender::new(0) };
        let node = ConfigNode { shared: Arc::new(shared) };
        let task = tokio::spawn(drive(node.shared.clone(), system, rx));
        ConfigPropagation { node, task }
    }

    /// Handle that answers peers and takes host lists.
    pub fn node(&self) -> ConfigNode {
        self.node.clone()
    }
}

impl Drop for ConfigPropagation {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Answers peers' questions.
#[derive(Clone)]
pub struct ConfigNode {
    shared: Arc<Shared>,
}

impl ConfigNode {
    /// Takes a read of the platform's host list.
    pub fn update_hosts(&self, hosts: Vec<Host>) {
        self.shared.send(PropagationEvent::HostListUpdated(hosts));
    }

    /// Answers a question once there is something newer, or its wait is over.
    pub async fn answer(&self, req: ConfigRequest, mut stream: FrameStream) {
        let (host, revision) = (req.from, req.revision);
        self.shared.send(PropagationEvent::PolledBy { host, revision });
        let wait = Duration::from_millis(req.wait_ms.min(MAX_WAIT_MS));
        let mut held = self.shared.revision.subscribe();
        let _ = tokio::time::timeout(wait, held.wait_for(|held| *held > revision)).await;
        let reply = self.shared.reply(revision);
        if stream.send(&reply).await.is_ok() {
            stream.tx.finish().await;
        }
    }

    /// Sends the parts that are asked for.
    pub async fn answer_parts(&self, req: PartsRequest, mut stream: FrameStream) {
        let held = self.shared.held();
        for digest in req.digests.into_iter().take(MAX_PARTS) {
            let bytes = held.as_ref().and_then(|held| held.encoded_part(digest));
            if stream.send(&PartReply { bytes }).await.is_err() {
                return;
            }
        }
        stream.tx.finish().await;
    }
}

/// Handler that answers the spread's questions and passes all others on.
pub struct ConfigPeerHandler {
    node: ConfigNode,
    inner: Arc<dyn PeerHandler>,
}

impl ConfigPeerHandler {
    /// Handler in front of `inner`.
    pub fn new(node: ConfigNode, inner: Arc<dyn PeerHandler>) -> ConfigPeerHandler {
        ConfigPeerHandler { node, inner }
    }
}

#[async_trait]
impl PeerHandler for ConfigPeerHandler {
    async fn handle(&self, req: PeerRequest, stream: FrameStream) {
        match req {
            PeerRequest::Config(req) => self.node.answer(req, stream).await,
            PeerRequest::ConfigParts(req) => self.node.answer_parts(req, stream).await,
            req => self.inner.handle(req, stream).await,
        }
    }
}

#[derive(Default)]
struct Held {
    newest: Option<Arc<StoredConfig>>,
    /// Newest last.
    recent: Vec<Head>,
    serving: bool,
}

struct Shared {
    params: PropagationParams,
    events: mpsc::UnboundedSender<PropagationEvent>,
    held: Mutex<Held>,
    revision: watch::Sender<u64>,
}

impl Shared {
    fn send(&self, event: PropagationEvent) {
        // A driver that has stopped needs no events.
        let _ = self.events.send(event);
    }

    fn held(&self) -> Option<Arc<StoredConfig>> {
        self.held.lock().expect("no holder panics").newest.clone()
    }

    fn held_revision(&self) -> u64 {
        self.held().map_or(0, |held| held.head.revision())
    }

    fn reply(&self, asked: u64) -> ConfigReply {
        let (newest, base) = {
            let held = self.held.lock().expect("no holder panics");
            let base = held.recent.iter().find(|head| head.revision() == asked).cloned();
            (held.newest.clone(), base)
        };
        let newer = newest.as_ref().filter(|newest| newest.head.revision() > asked);
        let update = newer.map(|newest| newest.update_from(base.as_ref()));
        ConfigReply { revision: newest.map_or(0, |newest| newest.head.revision()), update }
    }

    /// Keeps a revision if it is the highest so far.
    fn take(&self, stored: StoredConfig, source: &str) {
        let revision = stored.head.revision();
        let mut held = self.held.lock().expect("no holder panics");
        if held.newest.as_ref().is_some_and(|newest| newest.head.revision() >= revision) {
            return;
        }
        log::info!("decision=take-config revision={revision} from={source}");
        held.recent.push(stored.head.clone());
        let surplus = held.recent.len().saturating_sub(RECENT_HEADS);
        held.recent.drain(..surplus);
        let stored = Arc::new(stored);
        held.newest = Some(stored.clone());
        if held.serving {
            self.params.handle.publish(stored.config.clone());
        }
        self.revision.send_replace(revision);
        self.send(PropagationEvent::RevisionAdopted { revision });
    }

    fn serve(&self) {
        let mut held = self.held.lock().expect("no holder panics");
        held.serving = true;
        if let Some(newest) = &held.newest {
            self.params.handle.publish(newest.config.clone());
        }
    }
}

async fn drive(
    shared: Arc<Shared>,
    mut system: PropagationSystem,
    mut events: mpsc::UnboundedReceiver<PropagationEvent>,
) {
    let clock = MonotonicClock::start();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut effects = Vec::new();
    let mut tasks = Tasks::default();
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => system.handle(event, clock.now(), &mut effects),
                None => return,
            },
            _ = ticks.tick() => {}
        }
        system.tick(clock.now(), &mut effects);
        effects.drain(..).for_each(|effect| tasks.run(&shared, effect));
    }
}

/// Tasks of the driver; they end with it.
#[derive(Default)]
struct Tasks {
    calls: tokio::task::JoinSet<()>,
    watch: Option<tokio::task::AbortHandle>,
}

impl Tasks {
    fn run(&mut self, shared: &Arc<Shared>, effect: PropagationEffect) {
        while self.calls.try_join_next().is_some() {}
        let shared = shared.clone();
        match effect {
            PropagationEffect::Poll { host, address, wait_ms } => {
                self.calls.spawn(ask(shared, host, address, wait_ms));
            }
            PropagationEffect::ReadStore => {
                self.calls.spawn(read_store(shared));
            }
            PropagationEffect::Watch(true) => {
                self.watch = Some(self.calls.spawn(watch_store(shared)))
            }
            PropagationEffect::Watch(false) => {
                if let Some(watch) = self.watch.take() {
                    watch.abort();
                }
            }
            PropagationEffect::Serve => shared.serve(),
        }
    }
}

async fn ask(shared: Arc<Shared>, host: String, address: SocketAddr, wait_ms: u64) {
    let from = shared.params.host.clone();
    let held = shared.held();
    let revision = held.as_ref().map_or(0, |held| held.head.revision());
    let req = PeerRequest::Config(ConfigRequest { from, revision, wait_ms });
    let timeout = Duration::from_millis(wait_ms) + ANSWER_GRACE;
    let reply = shared.params.transport.call::<ConfigReply>(address, &req, timeout).await;
    let event = match reply {
        Ok(ConfigReply { revision, update: None }) => {
            PropagationEvent::PollAnswered { host, revision }
        }
        Ok(ConfigReply { revision, update: Some(update) }) => {
            match complete(&shared, address, update, held.as_deref()).await {
                Some(stored) => {
                    shared.take(stored, &host);
                    PropagationEvent::PollAnswered { host, revision }
                }
                None => PropagationEvent::PollFailed { host },
            }
        }
        Err(_) => PropagationEvent::PollFailed { host },
    };
    shared.send(event);
}

async fn complete(
    shared: &Shared,
    address: SocketAddr,
    update: ConfigUpdate,
    held: Option<&StoredConfig>,
) -> Option<StoredConfig> {
    if update.summary.revision <= shared.held_revision() {
        // Another parent was faster; what this one sent is not needed.
        return shared.held().map(|held| StoredConfig::clone(&held));
    }
    let mut pending = PendingUpdate::open(update, held)?;
    for digests in pending.missing(held).chunks(MAX_PARTS) {
        fetch_parts(&shared.params.transport, address, digests, &mut pending).await?;
    }
    pending.finish(held)
}

async fn fetch_parts(
    transport: &Transport,
    address: SocketAddr,
    digests: &[PartDigest],
    pending: &mut PendingUpdate,
) -> Option<()> {
    let req = PeerRequest::ConfigParts(PartsRequest { digests: digests.to_vec() });
    let mut stream = transport.open(address, &req, PARTS_TIMEOUT).await.ok()?;
    for _ in digests {
        let reply = tokio::time::timeout(PARTS_TIMEOUT, stream.recv::<PartReply>()).await;
        let bytes = reply.ok()?.ok()??.bytes?;
        pending.add(&bytes).ok()?;
    }
    Some(())
}

async fn read_store(shared: Arc<Shared>) {
    let event = match read_head(shared.params.kv.as_ref()).await {
        Ok(stored) => take_head(&shared, stored.head).await,
        Err(err) => Err(err),
    };
    shared.send(match event {
        Ok(()) => PropagationEvent::StoreAnswered,
        Err(_) => PropagationEvent::StoreFailed,
    });
}

async fn watch_store(shared: Arc<Shared>) {
    let mut seen = Revision::ABSENT;
    loop {
        match shared.params.kv.watch(HEAD_KEY, seen, WATCH_TIMEOUT).await {
            Outcome::Done(Some(versioned)) => {
                if let Ok(head) = decode_head(&versioned.value)
                    && take_head(&shared, Some(head)).await.is_ok()
                {
                    seen = versioned.revision;
                    shared.send(PropagationEvent::StoreAnswered);
                    continue;
                }
            }
            Outcome::Done(None) => {
                shared.send(PropagationEvent::StoreAnswered);
                // A service that answers at once must not be asked without a pause.
            }
            Outcome::NotDone(_) | Outcome::Unknown => {}
        }
        sleep(WATCH_RETRY).await;
    }
}

async fn take_head(shared: &Shared, head: Option<Head>) -> Result<(), LoadError> {
    let held = shared.held();
    let revision = held.as_ref().map_or(0, |held| held.head.revision());
    if let Some(head) = head.filter(|head| head.revision() > revision) {
        let stored = load_revision(shared.params.kv.as_ref(), head, held.as_deref()).await?;
        shared.take(stored, "store");
    }
    Ok(())
}
