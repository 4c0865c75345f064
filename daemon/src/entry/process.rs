//! The entry process: starts its components and the control thread, and handles signals.

use std::sync::{Arc, OnceLock};

use rand::Rng;
use rosemarymoor_lib::budget::{self, BudgetHandle, BudgetParams, GrantPolicyName};
use rosemarymoor_lib::claim::Claims;
use rosemarymoor_lib::config::{ConfigHandle, ConfigNode, ConfigPropagation, PropagationParams};
use rosemarymoor_lib::control::{self, ControlSender, EventSink};
use rosemarymoor_lib::fleet_key::FleetKey;
use rosemarymoor_lib::host_list_http::HostListHttp;
use rosemarymoor_lib::host_watcher::{HostWatcher, POLL_INTERVAL};
use rosemarymoor_lib::id::EpochId;
use rosemarymoor_lib::kv_http::KvHttp;
use rosemarymoor_lib::kv_store::KvStore;
use rosemarymoor_lib::placement::{Placer, PlacerParams};
use rosemarymoor_lib::routing::{Router, RoutingEvent, RoutingSystem};
use rosemarymoor_lib::time::MonotonicClock;
use rosemarymoor_lib::transport::Transport;
use snafu::{OptionExt, ResultExt};
use tokio::runtime::Handle;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinHandle;

use super::control::{EntryDriver, EntryEvent, EntrySystem};
use super::{
    EntryComponents, EntryError, KeySnafu, PolicySnafu, RunningEntry, SignalSnafu, StoreSnafu,
    TransportSnafu,
};
use crate::settings::Settings;

/// Exit code if all requests ended before the process stopped.
const EXIT_DRAINED: i32 = 0;
/// Exit code if requests were cut off at the end of the drain.
const EXIT_CUT_OFF: i32 = 3;

/// Sender to the control thread, set once that thread has started.
///
/// The components that send to the thread are created before it.
type DeferredSender = Arc<OnceLock<ControlSender<EntryEvent>>>;

/// Running entry process.
pub struct EntryProcess {
    running: RunningEntry,
    terminate: Signal,
    interrupt: Signal,
    _config: ConfigPropagation,
    _placer: Placer,
    _config_events: JoinHandle<()>,
    _hosts: HostWatcher,
}

impl EntryProcess {
    /// Starts all components of an entry; fails if one of them cannot start.
    pub async fn spawn(settings: Settings) -> Result<EntryProcess, EntryError> {
        let terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
        let interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
        let key = FleetKey::from_base64(&settings.fleet_key).context(KeySnafu)?;
        let transport = Transport::bind(settings.quic, &key).context(TransportSnafu)?;
        let kv: Arc<dyn KvStore> = Arc::new(KvHttp::open(&settings.kv_url).context(StoreSnafu)?);
        let cfg = ConfigHandle::default();
        let deferred_sender = DeferredSender::default();
        let (gate, router) = spawn_control(&settings, &kv, &transport, &deferred_sender)?;
        let claims = Claims::open(kv.clone(), MonotonicClock::start());
        let config = ConfigPropagation::spawn(PropagationParams {
            host: settings.name.clone(),
            data_center: settings.data_center.clone(),
            parent_count: settings.config_parents,
            kv: kv.clone(),
            transport: transport.clone(),
            handle: cfg.clone(),
        });
        let placer = Placer::spawn(PlacerParams {
            host: settings.name.clone(),
            kv,
            transport: transport.clone(),
            cfg: cfg.clone(),
        });
        let config_events = tokio::spawn(watch_config(cfg.clone(), sink(&deferred_sender)));
        let hosts =
            watch_hosts(&settings, gate.clone(), (config.node(), &placer), sink(&deferred_sender));
        let budgets = Some(gate.clone());
        let components = EntryComponents {
            cfg,
            gate: Arc::new(gate),
            router,
            transport,
            claims,
            budgets,
            config: Some(config.node()),
        };
        let running = RunningEntry::spawn(settings, components).await?;
        Ok(EntryProcess {
            running,
            terminate,
            interrupt,
            _config: config,
            _placer: placer,
            _config_events: config_events,
            _hosts: hosts,
        })
    }

    /// Serves until a signal or a peer requests a stop, then drains and returns the exit code.
    pub async fn run(mut self) -> i32 {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
            () = self.running.stop_requested() => {}
        }
        if self.running.stop().await { EXIT_DRAINED } else { EXIT_CUT_OFF }
    }
}

/// Starts the control thread of the budgets and the routing.
fn spawn_control(
    settings: &Settings,
    kv: &Arc<dyn KvStore>,
    transport: &Arc<Transport>,
    deferred_sender: &DeferredSender,
) -> Result<(BudgetHandle, Arc<Router>), EntryError> {
    let policy = GrantPolicyName::parse(&settings.budgets.policy)
        .context(PolicySnafu { policy: &settings.budgets.policy })?;
    let params = BudgetParams {
        kv: kv.clone(),
        transport: transport.clone(),
        runtime: Handle::current(),
        host: settings.name.clone(),
        data_center: settings.data_center.clone(),
        region: settings.region.clone(),
        epoch: EpochId::random(),
        shards: settings.budgets.shards,
        policy,
    };
    let budgets = budget::open(params, sink(deferred_sender));
    let router = Router::open(sink(deferred_sender), rand::rng().random());
    let system = EntrySystem::new(budgets.system, RoutingSystem::open(&settings.name));
    let driver = EntryDriver { budgets: budgets.driver, router: router.clone() };
    let run = move |effect| driver.run(effect);
    let (sender, _thread) = control::spawn(MonotonicClock::start(), system, run);
    deferred_sender.get_or_init(|| sender);
    Ok((budgets.handle, router))
}

/// Returns a sink that sends events to the control thread, once that has started.
fn sink<E>(deferred_sender: &DeferredSender) -> EventSink<E>
where
    EntryEvent: From<E>,
{
    let deferred_sender = deferred_sender.clone();
    Arc::new(move |event| deferred_sender.wait().send(EntryEvent::from(event)))
}

/// Sends each new configuration to the routing system.
async fn watch_config(cfg: ConfigHandle, sink: EventSink<RoutingEvent>) {
    let mut next = 1;
    loop {
        let current = cfg.wait_for(next).await;
        next = current.revision + 1;
        sink(RoutingEvent::Config(current));
    }
}

/// Sends each new host list to the budgets, configuration, placer and routing.
fn watch_hosts(
    settings: &Settings,
    gate: BudgetHandle,
    (config, placer): (ConfigNode, &Placer),
    routing: EventSink<RoutingEvent>,
) -> HostWatcher {
    let list = Arc::new(HostListHttp::open(&settings.hosts_url));
    let update_placer = placer.host_updater();
    let publish: EventSink<_> = Arc::new(move |hosts: Vec<_>| {
        gate.update_hosts(hosts.clone());
        config.update_hosts(hosts.clone());
        update_placer(hosts.clone());
        routing(RoutingEvent::Hosts(hosts));
    });
    HostWatcher::spawn(list, POLL_INTERVAL, publish)
}
