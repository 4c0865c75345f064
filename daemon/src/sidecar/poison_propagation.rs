//! Propagates the fingerprints of suspected poison requests to the other sidecars and to the
//! store.

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

/// Longest time for which the end of an interrupted request waits for the other sidecars.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for one answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two flushes of new rows to the store.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Number of flushes between two reads of all stored rows.
const FLUSHES_PER_READ: u32 = 300;
/// Number of stored values among which the rows are divided by fingerprint.
const SHARDS: u128 = 4;
/// Time after its last change for which a stored row is kept, in milliseconds.
const RETENTION_MS: u64 = 7 * 24 * 3_600_000;

/// Propagation of one sidecar's poison rows.
pub struct PoisonPropagation {
    name: String,
    transport: Arc<Transport>,
    kv: Arc<dyn KvStore>,
    hosts: ArcSwap<Vec<Host>>,
    /// Rows that are not in the store yet.
    unsaved: Mutex<PoisonTable>,
}

impl PoisonPropagation {
    /// Creates the propagation for the host called `name`.
    pub fn open(
        name: String,
        transport: Arc<Transport>,
        kv: Arc<dyn KvStore>,
    ) -> Arc<PoisonPropagation> {
        let hosts = ArcSwap::default();
        Arc::new(PoisonPropagation { name, transport, kv, hosts, unsaved: Mutex::default() })
    }

    /// Replaces the host list.
    pub fn update_hosts(&self, hosts: Vec<Host>) {
        self.hosts.store(Arc::new(hosts));
    }

    /// Sends rows to every other sidecar and queues them for the store.
    ///
    /// Returns once all sidecars have replied or [`PROPAGATION_TIMEOUT`] has passed.
    pub async fn propagate(&self, rows: Vec<PoisonRow>) {
        if rows.is_empty() {
            return;
        }
        for row in &rows {
            log::info!(
                "decision=suspect fingerprint={:032x} suspicions={}",
                row.fingerprint,
                row.uncleared_crashes()
            );
        }
        self.unsaved.lock().expect("no holder panics").merge(&rows);
        let req = PeerRequest::Poison(PoisonNotice { rows });
        let calls = self
            .peers()
            .into_iter()
            .map(|peer| self.transport.call::<PoisonReply>(peer, &req, PROPAGATION_TIMEOUT));
        let _ = tokio::time::timeout(PROPAGATION_TIMEOUT, join_all(calls)).await;
    }

    /// Reads all rows from the store, without the shards that cannot be read.
    pub async fn read_all(&self) -> Vec<PoisonRow> {
        let tables = join_all((0..SHARDS).map(|shard| self.read_shard(shard))).await;
        tables.into_iter().flatten().flat_map(|(_, table)| table.rows().to_vec()).collect()
    }

    /// Writes new rows to the store and passes all stored rows to `sink`, each at its interval,
    /// until the future is dropped.
    pub async fn sync_with_store(&self, sink: impl Fn(Vec<PoisonRow>) + Send) {
        for round in 1u32.. {
            tokio::time::sleep(FLUSH_INTERVAL).await;
            self.flush().await;
            if round.is_multiple_of(FLUSHES_PER_READ) {
                sink(self.read_all().await);
            }
        }
    }

    /// Writes new rows to the store; rows whose write failed stay queued for the next flush.
    pub async fn flush(&self) {
        let table = std::mem::take(&mut *self.unsaved.lock().expect("no holder panics"));
        for shard in 0..SHARDS {
            let shard_rows = table.rows().iter().filter(|row| row.fingerprint % SHARDS == shard);
            let shard_rows: Vec<PoisonRow> = shard_rows.cloned().collect();
            if !shard_rows.is_empty() && !self.save_shard(shard, &shard_rows).await {
                self.unsaved.lock().expect("no holder panics").merge(&shard_rows);
            }
        }
    }

    /// Merges rows into a stored shard; returns false if the write has to be retried.
    async fn save_shard(&self, shard: u128, rows: &[PoisonRow]) -> bool {
        let Some((revision, mut table)) = self.read_shard(shard).await else { return false };
        if !table.merge(rows) {
            return true;
        }
        table.expire(wall_clock_ms().saturating_sub(RETENTION_MS));
        loop {
            let value = serde_json::to_vec(table.rows()).expect("rows can be encoded as JSON");
            let written =
                self.kv.compare_and_swap(&key(shard), revision, value, None, STORE_TIMEOUT).await;
            match written {
                Outcome::Done(_) => return true,
                Outcome::NotDone(NotDone::TooLarge) if table.rows().len() > 1 => {
                    log::warn!("event=poison_shard_full shard={shard} rows={}", table.rows().len());
                    table.keep_newest(table.rows().len() / 2);
                }
                // If only the answer to the write was lost, the next flush finds the rows in the
                // shard and writes nothing.
                Outcome::NotDone(_) | Outcome::Unknown => return false,
            }
        }
    }

    /// Reads a shard and its revision; `None` if the store does not answer or the shard cannot
    /// be decoded, for example because a newer build wrote it.
    async fn read_shard(&self, shard: u128) -> Option<(Revision, PoisonTable)> {
        let mut table = PoisonTable::default();
        match self.kv.get(&key(shard), STORE_TIMEOUT).await.done()? {
            None => Some((Revision::ABSENT, table)),
            Some(versioned) => {
                match serde_json::from_slice::<Vec<PoisonRow>>(&versioned.value) {
                    Ok(rows) => table.merge(&rows),
                    Err(err) => {
                        log::error!("event=poison_shard_malformed shard={shard} reason={err}");
                        return None;
                    }
                };
                Some((versioned.revision, table))
            }
        }
    }

    /// Returns the addresses of the other sidecars.
    fn peers(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.load();
        let peers =
            hosts.iter().filter(|host| host.role == Role::Sidecar && host.name != self.name);
        peers.map(|host| host.address).collect()
    }
}

/// Returns the key of a shard in the store.
fn key(shard: u128) -> String {
    format!("poison/{shard}")
}
