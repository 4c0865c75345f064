//! What began the streams that may go on, known to more processes than the entry that began them.
//!
//! An entry records a stream when its first event arrives, and reports it to budget servers, which
//! are ranked by the stream. An entry that gets a caller of the stream back asks them, unless it
//! knows itself. A server that stops hands its streams over. Nothing is stored: if all who knew end at
//! the same time, the stream does not go on.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use rosemarymoor_lib::dispatch::stream_origins::{
    BegunStream, OriginUnknown, StreamId, StreamOrigin, StreamOrigins, agreed_origin,
};
use rosemarymoor_lib::time::{Millis, MonotonicClock};

use super::peer_client::PeerClient;
use super::peers::PeerRecord;

/// Path of reports of begun streams at a budget server.
pub const BEGUN_PATH: &str = "/begun";

/// Path of questions about what began a stream.
pub const ORIGIN_PATH: &str = "/origin";

/// Number of budget servers that hold a stream.
const HOLDERS: usize = 2;

/// Number of budget servers that are told or asked of a stream before it is given up: the list of
/// servers changes, and some do not answer.
const MAX_SERVERS: usize = 4;

/// Age up to which a stream is handed over when its server ends, in milliseconds; its caller has
/// left or come back by then.
const HANDED_OVER_MS: u64 = 30_000;

/// Maximum number of streams that a server hands over.
const MAX_HANDED_OVER: usize = 4_096;

/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for an answer to a question; a caller waits for it.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(250);

/// Streams known to one process; clones share them.
#[derive(Clone)]
pub struct BegunStreams {
    known: Arc<Mutex<StreamOrigins>>,
    clock: MonotonicClock,
}

impl BegunStreams {
    /// Opens a state without streams.
    pub fn open(clock: MonotonicClock) -> BegunStreams {
        BegunStreams { known: Arc::default(), clock }
    }

    /// Records what began a stream.
    pub fn record(&self, stream: &BegunStream) {
        self.known().record(stream, self.clock.now());
    }

    /// Returns what this process tells others of a stream.
    pub fn answer(&self, id: StreamId) -> Option<StreamOrigin> {
        self.known().answer(id)
    }

    /// Returns the streams that callers may still take up, as far as a hand-over covers them.
    pub fn recent(&self) -> Vec<BegunStream> {
        let since = Millis(self.clock.now().0.saturating_sub(HANDED_OVER_MS));
        self.known().recent(since, MAX_HANDED_OVER)
    }

    fn known(&self) -> MutexGuard<'_, StreamOrigins> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An entry's access to the streams that the fleet knows; clones share its state.
#[derive(Clone)]
pub struct StreamDirectory {
    own: BegunStreams,
    client: PeerClient,
}

impl StreamDirectory {
    /// Opens the access with the streams that this entry knows itself.
    pub fn open(own: BegunStreams, client: PeerClient) -> StreamDirectory {
        StreamDirectory { own, client }
    }

    /// Records what began a stream, and reports it in the background.
    pub fn record(&self, stream: BegunStream) {
        self.own.record(&stream);
        self.client.spawn_report(self.clone().report(stream));
    }

    /// Returns what began a stream, from this entry or the servers that may know it. All of them are asked, as
    /// an origin that has become uncertain may have been told to one alone.
    ///
    /// # Errors
    ///
    /// Returns [`OriginUnknown`] if nobody says that it knows the stream, or they contradict each other.
    pub async fn find(&self, id: StreamId) -> Result<StreamOrigin, OriginUnknown> {
        if let Some(origin) = self.own.answer(id) {
            return agreed_origin(&[Some(Some(origin))]);
        }
        let servers = self.servers(id);
        let answers = join_all(servers.iter().map(|server| self.ask(server, id))).await;
        agreed_origin(&answers)
    }

    /// Tells other servers the streams that this process knows, before it ends. `own` is its
    /// address in the list of servers, which also lists servers that are gone.
    pub async fn hand_over(&self, own: SocketAddr) {
        let mut left_out = vec![own];
        loop {
            let batches = self.batches(&left_out);
            let telling = batches.iter().map(|(server, streams)| self.tell(server, streams));
            let told = join_all(telling).await;
            let failed = batches.iter().zip(&told).filter(|(_, told)| !**told);
            let failed: Vec<_> = failed.map(|((server, _), _)| server.internal).collect();
            log::info!("event=streams_handed_over servers={} failed={}", told.len(), failed.len());
            if failed.is_empty() {
                return;
            }
            left_out.extend(failed);
        }
    }

    /// Returns the recent streams by the servers that are to hold them.
    fn batches(&self, left_out: &[SocketAddr]) -> Vec<(PeerRecord, Vec<BegunStream>)> {
        let mut batches: Vec<(PeerRecord, Vec<BegunStream>)> = Vec::new();
        for stream in self.own.recent() {
            let servers = self.servers(stream.id).into_iter();
            let holders = servers.filter(|server| !left_out.contains(&server.internal));
            for server in holders.take(HOLDERS) {
                match batches.iter_mut().find(|batch| batch.0.internal == server.internal) {
                    Some(batch) => batch.1.push(stream.clone()),
                    None => batches.push((server, vec![stream.clone()])),
                }
            }
        }
        batches
    }

    /// Reports a stream until enough servers hold it, or no server is left.
    async fn report(self, stream: BegunStream) {
        let servers = self.servers(stream.id);
        let streams = [stream];
        let (first, others) = servers.split_at(HOLDERS.min(servers.len()));
        let told = join_all(first.iter().map(|server| self.tell(server, &streams))).await;
        let mut holders = told.into_iter().filter(|told| *told).count();
        for server in others {
            if holders >= HOLDERS {
                return;
            }
            holders += usize::from(self.tell(server, &streams).await);
        }
        if holders == 0 {
            log::warn!("event=stream_not_reported servers={}", servers.len());
        }
    }

    fn servers(&self, id: StreamId) -> Vec<PeerRecord> {
        let mut servers = self.client.peers.ranked_budget_servers(id.rank_key());
        servers.truncate(MAX_SERVERS);
        servers
    }

    /// Reports streams to a server; returns whether it holds them.
    async fn tell(&self, server: &PeerRecord, streams: &[BegunStream]) -> bool {
        let told = self.client.post(server, BEGUN_PATH, &streams, REPORT_TIMEOUT).await;
        if let Err(err) = &told {
            log::debug!("event=stream_not_told server={} reason={err:?}", server.name);
        }
        told.is_ok()
    }

    /// Asks a server what began a stream; `None` if it did not answer.
    async fn ask(&self, server: &PeerRecord, id: StreamId) -> Option<Option<StreamOrigin>> {
        match self.client.post(server, ORIGIN_PATH, &id, QUESTION_TIMEOUT).await {
            Ok((_, body)) => serde_json::from_slice(&body).ok(),
            Err(err) => {
                log::debug!("event=origin_not_answered server={} reason={err:?}", server.name);
                None
            }
        }
    }
}
