//! Collects the news of all targets on the board of a budget server whose entries ask for them:
//! from the servers of its data centre, and from a collector in each other one.

use std::time::Duration;

use rosemarymoor_lib::dispatch::load::board::LoadSource;
use rosemarymoor_lib::dispatch::load::news::LoadScope;
use rosemarymoor_lib::dispatch::rank;
use tokio::task::JoinHandle;

use super::load_reader::LoadReader;
use super::load_server::LoadServer;
use super::peer_client::PeerClient;
use super::peers::{PeerRecord, Peers};

/// Key by which all processes rank the budget servers that collect.
const COLLECTOR_KEY: &str = "load";

/// Interval at which the list of sources is compared with those that are read.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Pause between two questions to a server of the same data centre.
const LOCAL_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two questions to a collector of another data centre.
const REMOTE_PAUSE: Duration = Duration::from_millis(150);

/// Pause after a failed question.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);

/// Longest wait for news.
const NEWS_WAIT: Duration = Duration::from_millis(1_000);

/// Returns the budget servers of a data centre in the order in which they collect.
pub fn collectors(peers: &Peers, data_center: &str) -> Vec<PeerRecord> {
    peers.local_budget_servers(data_center, rank::key_of(COLLECTOR_KEY))
}

/// What a collector knows of its own place.
#[derive(Clone)]
pub struct CollectorContext {
    /// Host of this process.
    pub name: String,
    pub data_center: String,
    pub client: PeerClient,
    pub board: LoadServer,
}

/// Spawns the task that reads all sources while they are asked for.
pub fn spawn(cx: CollectorContext) {
    tokio::spawn(async move {
        let mut running: Vec<(LoadSource, JoinHandle<()>)> = Vec::new();
        loop {
            cx.board.wanted(LoadScope::DataCenter).await;
            running.retain(|(_, task)| !task.is_finished());
            for source in cx.sources() {
                if running.iter().all(|(known, _)| *known != source) {
                    let task = tokio::spawn(cx.clone().read(source.clone()));
                    running.push((source, task));
                }
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    });
}

impl CollectorContext {
    /// Returns the sources that are read now.
    fn sources(&self) -> Vec<LoadSource> {
        let servers = self.client.peers.ranked_budget_servers(rank::key_of(COLLECTOR_KEY));
        let is_fleet_wanted = self.board.is_wanted(LoadScope::Fleet);
        let mut sources: Vec<LoadSource> = Vec::new();
        for server in servers.into_iter().filter(|server| server.name != self.name) {
            let is_local = server.data_center == self.data_center;
            if is_local {
                sources.push(LoadSource::Server(server.name));
            } else if is_fleet_wanted {
                sources.push(LoadSource::DataCenter(server.data_center));
            }
        }
        sources.sort();
        sources.dedup();
        sources
    }

    /// Returns the processes that a source can be read from, first the one to ask.
    fn servers(&self, source: &LoadSource) -> Vec<PeerRecord> {
        match source {
            LoadSource::DataCenter(data_center) => collectors(&self.client.peers, data_center),
            LoadSource::Server(name) | LoadSource::Entry(name) => {
                let mut servers = collectors(&self.client.peers, &self.data_center);
                servers.retain(|server| server.name == *name);
                servers
            }
        }
    }

    /// Reads a source until it is not listed or nobody asks for it any more.
    async fn read(self, source: LoadSource) {
        let (scope, wanted, pause) = match source {
            LoadSource::DataCenter(_) => (LoadScope::DataCenter, LoadScope::Fleet, REMOTE_PAUSE),
            _ => (LoadScope::Own, LoadScope::DataCenter, LOCAL_PAUSE),
        };
        let mut reader = LoadReader::open(self.client.clone(), scope);
        while self.board.is_wanted(wanted) {
            let servers = self.servers(&source);
            if servers.is_empty() {
                return;
            }
            let server = match reader.choose(servers) {
                Ok(server) => server,
                Err(pause) => {
                    tokio::time::sleep(pause).await;
                    continue;
                }
            };
            match reader.read(&server, None, NEWS_WAIT).await {
                Ok(news) => {
                    let (reply, is_new_board) = (&news.reply, news.is_new_board);
                    let gaps = self
                        .board
                        .update(|board, now| board.apply(&source, reply, is_new_board, now));
                    reader.set_gaps(gaps);
                    tokio::time::sleep(pause).await;
                }
                Err(err) => {
                    log::info!(
                        "event=load_not_collected source={source:?} server={} reason={err:?}",
                        server.name
                    );
                    tokio::time::sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }
}
