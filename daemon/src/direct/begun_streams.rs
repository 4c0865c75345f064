//! What began the streams that may go on, known to more processes than the entry that began them.
//!
//! An entry records a stream when its first event arrives, and reports it to budget servers, which
//! are ranked by the stream. An entry that gets a caller of the stream back asks them, unless it
//! knows itself. Nothing is stored: if all who knew are gone, the stream does not go on.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use rosemarymoor_lib::dispatch::stream_origins::{
    BegunStream, StreamId, StreamOrigin, StreamOrigins,
};
use rosemarymoor_lib::time::MonotonicClock;

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

    /// Returns what began a stream, if this process knows it for certain.
    pub fn find(&self, id: StreamId) -> Option<StreamOrigin> {
        self.known().find(id).cloned()
    }

    /// Returns the number of streams.
    pub fn count(&self) -> usize {
        self.known().len()
    }

    fn known(&self) -> MutexGuard<'_, StreamOrigins> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why no origin of a stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginUnknown {
    /// All that were asked answered, and none knows it.
    Nobody,
    /// Some that may know it did not answer.
    NoAnswer,
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
        tokio::spawn(self.clone().report(stream));
    }

    /// Returns what began a stream, from this entry or the first server that knows it.
    ///
    /// # Errors
    ///
    /// Returns [`OriginUnknown`] if nobody says that it knows the stream.
    pub async fn find(&self, id: StreamId) -> Result<StreamOrigin, OriginUnknown> {
        if let Some(origin) = self.own.find(id) {
            return Ok(origin);
        }
        let servers = self.servers(id);
        let mut unknown =
            if servers.is_empty() { OriginUnknown::NoAnswer } else { OriginUnknown::Nobody };
        let mut answers: FuturesUnordered<_> =
            servers.iter().map(|server| self.ask(server, id)).collect();
        while let Some(answer) = answers.next().await {
            match answer {
                Some(Some(origin)) => return Ok(origin),
                Some(None) => {}
                None => unknown = OriginUnknown::NoAnswer,
            }
        }
        Err(unknown)
    }

    /// Reports a stream until enough servers hold it, or no server is left.
    async fn report(self, stream: BegunStream) {
        let servers = self.servers(stream.id);
        let (first, others) = servers.split_at(HOLDERS.min(servers.len()));
        let told = join_all(first.iter().map(|server| self.tell(server, &stream))).await;
        let mut holders = told.into_iter().filter(|told| *told).count();
        for server in others {
            if holders >= HOLDERS {
                return;
            }
            holders += usize::from(self.tell(server, &stream).await);
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

    /// Reports a stream to a server; returns whether it holds the stream.
    async fn tell(&self, server: &PeerRecord, stream: &BegunStream) -> bool {
        let told = self.client.post(server, BEGUN_PATH, stream, REPORT_TIMEOUT).await;
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
