//! Spreads knowledge of poison requests to other sidecars and to the store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use futures_util::future::join_all;
use rosemarymoor_lib::host_list::{Host, Role};
use rosemarymoor_lib::kv_store::{KvStore, NotDone, Outcome, Revision};
use rosemarymoor_lib::poison::{PoisonRow, PoisonTable};
use rosemarymoor_lib::time::wall_clock_ms;
use rosemarymoor_lib::transport::Transport;
use rosemarymoor_lib::wire::{PeerRequest, PoisonNotice, PoisonReply};

/// Longest time that the end of a lost request waits for other sidecars.
const SHARE_TIMEOUT: Duration = Duration::from_secs(1);
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Flushes between two reads of the whole knowledge.
const FLUSHES_PER_READ: u32 = 300;
/// Values that the knowledge is divided into.
const SHARDS: u128 = 4;
/// How long a fingerprint is remembered, in milliseconds.
const KEEP_MS: u64 = 7 * 24 * 3_600_000;

/// Knowledge on its way to others.
pub struct PoisonPropagation {
    name: String,
    transport: Arc<Transport>,
    kv: Arc<dyn KvStore>,
    hosts: ArcSwap<Vec<Host>>,
    unsaved: Mutex<Vec<PoisonRow>>,
}

impl PoisonPropagation {
    /// Opens the spreader of the host called `name`.
    pub fn open(
        name: String,
        transport: Arc<Transport>,
        kv: Arc<dyn KvStore>,
    ) -> Arc<PoisonPropagation> {
        let hosts = ArcSwap::default();
        Arc::new(PoisonPropagation { name, transport, kv, hosts, unsaved: Mutex::default() })
    }

    /// Takes a new host list.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.hosts.store(Arc::new(hosts));
    }

    /// Tells every other sidecar; returns once they know or time is up.
    pub async fn share(&self, rows: Vec<PoisonRow>) {
        if rows.is_empty() {
            return;
        }
        for row in &rows {
            log::info!(
                "decision=suspect fingerprint={:032x} suspicions={}",
                row.fingerprint,
                row.suspicions()
            );
        }
        self.unsaved.lock().expect("no holder panics").extend(rows.clone());
        let req = PeerRequest::Poison(PoisonNotice { rows });
        let calls = self
            .peers()
            .into_iter()
            .map(|peer| self.transport.call::<PoisonReply>(peer, &req, SHARE_TIMEOUT));
        let _ = tokio::time::timeout(SHARE_TIMEOUT, join_all(calls)).await;
    }

    /// Everything that the store knows; empty where it does not answer.
    pub async fn read_all(&self) -> Vec<PoisonRow> {
        let tables = join_all((0..SHARDS).map(|shard| self.read(shard))).await;
        tables.into_iter().flatten().flat_map(|(_, table)| table.rows().to_vec()).collect()
    }

    /// Saves and reads the knowledge until the task is dropped.
    pub async fn follow_store(&self, sink: impl Fn(Vec<PoisonRow>) + Send) {
        for round in 1u32.. {
            tokio::time::sleep(FLUSH_INTERVAL).await;
            self.flush().await;
            if round.is_multiple_of(FLUSHES_PER_READ) {
                sink(self.read_all().await);
            }
        }
    }

    /// Saves what is new; what could not be saved stays for the next time.
    pub async fn flush(&self) {
        let rows = std::mem::take(&mut *self.unsaved.lock().expect("no holder panics"));
        for shard in 0..SHARDS {
            let own = rows.iter().filter(|row| row.fingerprint % SHARDS == shard);
            let own: Vec<PoisonRow> = own.cloned().collect();
            if !own.is_empty() && !self.save(shard, &own).await {
                self.unsaved.lock().expect("no holder panics").extend(own);
            }
        }
    }

    async fn save(&self, shard: u128, rows: &[PoisonRow]) -> bool {
        let Some((revision, mut table)) = self.read(shard).await else { return false };
        if !table.merge(rows) {
            return true;
        }
        table.expire(wall_clock_ms().saturating_sub(KEEP_MS));
        let Ok(value) = serde_json::to_vec(table.rows()) else { return false };
        let written =
            self.kv.compare_and_swap(&key(shard), revision, value, None, STORE_TIMEOUT).await;
        // After a lost answer the next round reads, merges and finds nothing new.
        matches!(written, Outcome::Done(_) | Outcome::NotDone(NotDone::TooLarge))
    }

    async fn read(&self, shard: u128) -> Option<(Revision, PoisonTable)> {
        let mut table = PoisonTable::default();
        match self.kv.get(&key(shard), STORE_TIMEOUT).await.done()? {
            None => Some((Revision::ABSENT, table)),
            Some(held) => {
                let rows: Vec<PoisonRow> = serde_json::from_slice(&held.value).unwrap_or_default();
                table.merge(&rows);
                Some((held.revision, table))
            }
        }
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.load();
        let peers =
            hosts.iter().filter(|host| host.role == Role::Sidecar && host.name != self.name);
        peers.map(|host| host.address).collect()
    }
}

fn key(shard: u128) -> String {
    format!("poison/{shard}")
}
