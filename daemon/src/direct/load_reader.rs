//! Reads the boards of other processes, and remembers up to where.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use rosemarymoor_lib::dispatch::load::news::{
    self, EntryWork, LoadCursor, LoadQuery, LoadReply, LoadScope, TargetEndpoint,
};

use super::load_server::LOAD_PATH;
use super::peer_client::PeerClient;
use super::peers::PeerRecord;

/// Time for an answer beyond the wait for news.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Size limit of an answer.
const MAX_ANSWER_BYTES: usize = 512 << 10;

/// Time for which this reader passes over a server that did not answer; other calls still try it.
const FAILED_SERVER_BACKOFF: Duration = Duration::from_secs(2);

/// Time for which a server without a board is passed over.
const NO_BOARD_BACKOFF: Duration = Duration::from_secs(10);

/// Number of servers, in their order, among which one is chosen.
const MAX_SERVERS: usize = 3;

/// Why a board was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The server did not answer in time, or with something else.
    NoAnswer,
    /// The server has no board.
    NoBoard,
}

/// Reader of one board at a time.
pub struct LoadReader {
    client: PeerClient,
    scope: LoadScope,
    cursor: LoadCursor,
    gaps: Vec<TargetEndpoint>,
    /// Servers that did not answer, and until when they are passed over.
    backoffs: Vec<(SocketAddr, Instant)>,
}

/// Reply, and whether its board was not read before.
pub struct BoardNews {
    pub reply: LoadReply,
    pub is_new_board: bool,
}

impl LoadReader {
    /// Opens a reader that knows no board.
    pub fn open(client: PeerClient, scope: LoadScope) -> LoadReader {
        LoadReader {
            client,
            scope,
            cursor: LoadCursor::default(),
            gaps: Vec::new(),
            backoffs: Vec::new(),
        }
    }

    /// Returns the first of the servers that is not passed over, or the time until one is not.
    ///
    /// # Errors
    ///
    /// Fails if all of the first [`MAX_SERVERS`] are passed over.
    pub fn choose(&self, servers: Vec<PeerRecord>) -> Result<PeerRecord, Duration> {
        let now = Instant::now();
        let mut shortest = NO_BOARD_BACKOFF;
        for server in servers.into_iter().take(MAX_SERVERS) {
            let backoff = self.backoffs.iter().find(|(address, _)| *address == server.internal);
            match backoff.map(|(_, until)| until.saturating_duration_since(now)) {
                Some(left) if !left.is_zero() => shortest = shortest.min(left),
                _ => return Ok(server),
            }
        }
        Err(shortest)
    }

    /// Asks for the parts of these targets as a whole with the next question.
    pub fn set_gaps(&mut self, gaps: Vec<TargetEndpoint>) {
        self.gaps = gaps;
    }

    /// Reads what has changed on a server's board.
    ///
    /// # Errors
    ///
    /// Fails if the server does not answer or has no board; it is passed over for a while then.
    pub async fn read(
        &mut self,
        server: &PeerRecord,
        work: Option<EntryWork>,
        wait: Duration,
    ) -> Result<BoardNews, ReadError> {
        let query = LoadQuery {
            scope: self.scope,
            cursor: self.cursor,
            wait_ms: wait.as_millis() as u32,
            gaps: self.gaps.clone(),
            work,
        };
        let body = news::encode(&query).into();
        let timeout = wait + ANSWER_TIMEOUT;
        let answer =
            self.client.post_bytes(server, LOAD_PATH, body, timeout, MAX_ANSWER_BYTES).await;
        let reply = match answer {
            Ok((StatusCode::OK, _, body)) => {
                news::decode::<LoadReply>(&body).map_err(|_| ReadError::NoAnswer)
            }
            Ok((StatusCode::NOT_FOUND, _, _)) => Err(ReadError::NoBoard),
            Ok(_) | Err(_) => Err(ReadError::NoAnswer),
        };
        match reply {
            Ok(reply) => {
                let is_new_board = reply.cursor.board != self.cursor.board;
                self.cursor = reply.cursor;
                self.gaps.clear();
                Ok(BoardNews { reply, is_new_board })
            }
            Err(err) => {
                self.pass_over(server.internal, err);
                Err(err)
            }
        }
    }

    fn pass_over(&mut self, server: SocketAddr, err: ReadError) {
        let now = Instant::now();
        self.backoffs.retain(|(failed, until)| *failed != server && now < *until);
        let backoff = match err {
            ReadError::NoAnswer => FAILED_SERVER_BACKOFF,
            ReadError::NoBoard => NO_BOARD_BACKOFF,
        };
        self.backoffs.push((server, now + backoff));
    }
}
