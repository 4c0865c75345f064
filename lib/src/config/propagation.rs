//! Propagates configurations between hosts.
//!
//! The driver carries out what [`PropagationSystem`] decides: it polls peers, watches
//! or reads the store, and keeps the highest revision received from any of them.
//! Parts are checked against their digests, so that any host can supply them.

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

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time beyond a poll's own wait in which the response has to arrive.
const RESPONSE_GRACE: Duration = Duration::from_millis(1_500);
const PARTS_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time that a poll from another host is held open, in milliseconds.
const MAX_POLL_WAIT_MS: u64 = 30_000;
/// Maximum number of parts in one request.
const MAX_PARTS_PER_REQUEST: usize = 1_024;
/// Number of recent heads kept as bases for incremental updates.
const MAX_RECENT_HEADS: usize = 16;

/// Parameters of a host's [`ConfigPropagation`].
pub struct PropagationParams {
    /// Name of this host in the platform's list.
    pub host: String,
    pub data_center: String,
    /// Number of parents of this host; more than one tolerates failed parents.
    pub parent_count: usize,
    pub kv: Arc<dyn KvStore>,
    pub transport: Arc<Transport>,
    /// Handle that revisions are published to.
    pub handle: ConfigHandle,
}

/// Running propagation task of a host; stops when dropped.
pub struct ConfigPropagation {
    node: ConfigNode,
    task: JoinHandle<()>,
}

impl ConfigPropagation {
    /// Spawns the driver's task.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn spawn(params: PropagationParams) -> ConfigPropagation {
        let system =
            PropagationSystem::open(&params.host, &params.data_center, params.parent_count);
        let (events, rx) = mpsc::unbounded_channel();
        let shared =
            Shared { params, events, received: Mutex::default(), revision: watch::Sender::new(0) };
        let node = ConfigNode { shared: Arc::new(shared) };
        let task = tokio::spawn(drive(node.shared.clone(), system, rx));
        ConfigPropagation { node, task }
    }

    /// Returns the handle that answers peers and receives host lists.
    pub fn node(&self) -> ConfigNode {
        self.node.clone()
    }
}

impl Drop for ConfigPropagation {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Handle that answers peers' polls and requests for parts; clones share one state.
#[derive(Clone)]
pub struct ConfigNode {
    shared: Arc<Shared>,
}

impl ConfigNode {
    /// Applies a newly read host list of the platform.
    pub fn update_hosts(&self, hosts: Vec<Host>) {
        self.shared.send(PropagationEvent::HostListUpdated(hosts));
    }

    /// Answers a poll once a newer revision arrives or the requested wait has passed.
    pub async fn answer(&self, req: ConfigRequest, mut stream: FrameStream) {
        let (host, revision) = (req.from, req.revision);
        self.shared.send(PropagationEvent::PolledBy { host, revision });
        let wait = Duration::from_millis(req.wait_ms.min(MAX_POLL_WAIT_MS));
        let mut newest = self.shared.revision.subscribe();
        let _ = tokio::time::timeout(wait, newest.wait_for(|newest| *newest > revision)).await;
        let reply = self.shared.reply(revision);
        if stream.send(&reply).await.is_ok() {
            stream.tx.finish().await;
        }
    }

    /// Sends the requested parts, in order.
    pub async fn answer_parts(&self, req: PartsRequest, mut stream: FrameStream) {
        let newest = self.shared.newest();
        for digest in req.digests.into_iter().take(MAX_PARTS_PER_REQUEST) {
            let bytes = newest.as_ref().and_then(|newest| newest.encoded_part(digest));
            if stream.send(&PartReply { bytes }).await.is_err() {
                return;
            }
        }
        stream.tx.finish().await;
    }
}

/// Peer handler that answers configuration requests and forwards all others.
pub struct ConfigPeerHandler {
    node: ConfigNode,
    inner: Arc<dyn PeerHandler>,
}

impl ConfigPeerHandler {
    /// Creates a handler that forwards all other requests to `inner`.
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

/// Revisions that this host has received.
#[derive(Default)]
struct ReceivedRevisions {
    newest: Option<Arc<StoredConfig>>,
    /// Heads of the last revisions, newest last.
    recent_heads: Vec<Head>,
    /// Whether received revisions are published to the handle.
    serving: bool,
}

struct Shared {
    params: PropagationParams,
    events: mpsc::UnboundedSender<PropagationEvent>,
    received: Mutex<ReceivedRevisions>,
    /// Newest received revision; wakes the polls held open.
    revision: watch::Sender<u64>,
}

impl Shared {
    fn send(&self, event: PropagationEvent) {
        // Sending fails only after the driver has stopped.
        let _ = self.events.send(event);
    }

    fn newest(&self) -> Option<Arc<StoredConfig>> {
        self.received.lock().expect("no holder panics").newest.clone()
    }

    fn newest_revision(&self) -> u64 {
        self.newest().map_or(0, |newest| newest.head.revision())
    }

    /// Returns the reply to a host that has `base_revision`.
    fn reply(&self, base_revision: u64) -> ConfigReply {
        let (newest, base) = {
            let received = self.received.lock().expect("no holder panics");
            let base =
                received.recent_heads.iter().find(|head| head.revision() == base_revision).cloned();
            (received.newest.clone(), base)
        };
        let newer = newest.as_ref().filter(|newest| newest.head.revision() > base_revision);
        let update = newer.map(|newest| newest.update_from(base.as_ref()));
        ConfigReply { revision: newest.map_or(0, |newest| newest.head.revision()), update }
    }

    /// Adopts a revision if it is higher than every one received before.
    fn adopt(&self, stored: StoredConfig, source: &str) {
        let revision = stored.head.revision();
        let mut received = self.received.lock().expect("no holder panics");
        if received.newest.as_ref().is_some_and(|newest| newest.head.revision() >= revision) {
            return;
        }
        log::info!("decision=take-config revision={revision} from={source}");
        received.recent_heads.push(stored.head.clone());
        let surplus = received.recent_heads.len().saturating_sub(MAX_RECENT_HEADS);
        received.recent_heads.drain(..surplus);
        let stored = Arc::new(stored);
        received.newest = Some(stored.clone());
        if received.serving {
            self.params.handle.publish(stored.config.clone());
        }
        self.revision.send_replace(revision);
        self.send(PropagationEvent::RevisionAdopted { revision });
    }

    /// Publishes the newest revision to the handle, and each later one when it arrives.
    fn start_serving(&self) {
        let mut received = self.received.lock().expect("no holder panics");
        received.serving = true;
        if let Some(newest) = &received.newest {
            self.params.handle.publish(newest.config.clone());
        }
    }
}

/// Feeds events to the system and carries out its effects.
async fn drive(
    shared: Arc<Shared>,
    mut system: PropagationSystem,
    mut events: mpsc::UnboundedReceiver<PropagationEvent>,
) {
    let clock = MonotonicClock::start();
    let mut ticks = interval(TICK_INTERVAL);
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

/// Tasks of the driver; they are aborted when it ends.
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
                self.calls.spawn(poll_host(shared, host, address, wait_ms));
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
            PropagationEffect::Serve => shared.start_serving(),
        }
    }
}

/// Polls one host and adopts the revision that it sends.
async fn poll_host(shared: Arc<Shared>, host: String, address: SocketAddr, wait_ms: u64) {
    let from = shared.params.host.clone();
    let base = shared.newest();
    let revision = base.as_ref().map_or(0, |base| base.head.revision());
    let req = PeerRequest::Config(ConfigRequest { from, revision, wait_ms });
    let timeout = Duration::from_millis(wait_ms) + RESPONSE_GRACE;
    let reply = shared.params.transport.call::<ConfigReply>(address, &req, timeout).await;
    let event = match reply {
        Ok(ConfigReply { revision, update: None }) => {
            PropagationEvent::PollAnswered { host, revision }
        }
        Ok(ConfigReply { revision, update: Some(update) }) => {
            match complete_update(&shared, address, update, base.as_deref()).await {
                Some(stored) => {
                    shared.adopt(stored, &host);
                    PropagationEvent::PollAnswered { host, revision }
                }
                None => PropagationEvent::PollFailed { host },
            }
        }
        Err(_) => PropagationEvent::PollFailed { host },
    };
    shared.send(event);
}

/// Turns an update into a full revision; fetches parts that `base` lacks from the sender.
async fn complete_update(
    shared: &Shared,
    address: SocketAddr,
    update: ConfigUpdate,
    base: Option<&StoredConfig>,
) -> Option<StoredConfig> {
    if update.summary.revision <= shared.newest_revision() {
        // Another source has sent this revision or a newer one already.
        return shared.newest().map(|newest| StoredConfig::clone(&newest));
    }
    let mut pending = PendingUpdate::open(update, base)?;
    for digests in pending.missing(base).chunks(MAX_PARTS_PER_REQUEST) {
        fetch_parts(&shared.params.transport, address, digests, &mut pending).await?;
    }
    pending.finish(base)
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
        Ok(stored) => adopt_head(&shared, stored.head).await,
        Err(err) => Err(err),
    };
    shared.send(match event {
        Ok(()) => PropagationEvent::StoreAnswered,
        Err(_) => PropagationEvent::StoreFailed,
    });
}

/// Watches the stored head until aborted and adopts each newer revision.
async fn watch_store(shared: Arc<Shared>) {
    let mut last_revision = Revision::ABSENT;
    loop {
        match shared.params.kv.watch(HEAD_KEY, last_revision, WATCH_TIMEOUT).await {
            Outcome::Done(Some(versioned)) => {
                if let Ok(head) = decode_head(&versioned.value)
                    && adopt_head(&shared, Some(head)).await.is_ok()
                {
                    last_revision = versioned.revision;
                    shared.send(PropagationEvent::StoreAnswered);
                    continue;
                }
            }
            Outcome::Done(None) => {
                shared.send(PropagationEvent::StoreAnswered);
                // The pause below prevents a busy loop if the store answers at once.
            }
            Outcome::NotDone(_) | Outcome::Unknown => {}
        }
        sleep(WATCH_RETRY_DELAY).await;
    }
}

/// Loads the revision of a stored head if it is newer than this host's.
async fn adopt_head(shared: &Shared, head: Option<Head>) -> Result<(), LoadError> {
    let newest = shared.newest();
    let revision = newest.as_ref().map_or(0, |newest| newest.head.revision());
    if let Some(head) = head.filter(|head| head.revision() > revision) {
        let stored = load_revision(shared.params.kv.as_ref(), head, newest.as_deref()).await?;
        shared.adopt(stored, "store");
    }
    Ok(())
}
