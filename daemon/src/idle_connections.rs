//! Connections of a server on which no request runs. While there is no room for new ones, one of them is closed
//! for the one that comes: first those on which no request has come, then the one that has been idle for longest.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Maximum number of connections that are asked to close and have not ended.
const MAX_CLOSING: usize = 512;

/// Idle connections of a server; clones share them.
#[derive(Clone, Debug, Default)]
pub struct IdleConnections {
    idle: Arc<Mutex<IdleList>>,
    /// Woken when one that was asked to close has ended.
    closed: Arc<Notify>,
}

/// Place of a connection in the list; the first is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    has_served: bool,
    /// Number of times that a connection had become idle.
    count: u64,
}

#[derive(Debug, Default)]
struct IdleList {
    /// Number of times that a connection has become idle.
    count: u64,
    /// Sorted by place.
    rows: BTreeMap<Place, CancellationToken>,
    /// Number of connections that are asked to close and have not ended.
    closing: usize,
}

/// One connection; dropping it removes it from the list.
#[derive(Debug)]
pub struct IdleConnection {
    list: IdleConnections,
    asked_to_close: CancellationToken,
    /// Its place since it became idle; `None` while a request runs, and after one that has crossed its close.
    place: Mutex<Option<Place>>,
}

impl IdleConnections {
    /// Adds a connection on which no request has come.
    pub fn open(&self) -> IdleConnection {
        let connection = IdleConnection {
            list: self.clone(),
            asked_to_close: CancellationToken::new(),
            place: Mutex::default(),
        };
        connection.join_list(false);
        connection
    }

    /// Asks the first connection of the list to close, as soon as not too many are closing; returns whether
    /// there is one.
    pub async fn close_first(&self) -> bool {
        loop {
            let closed = self.closed.notified();
            if let Some(is_asked) = self.ask_first() {
                return is_asked;
            }
            closed.await;
        }
    }

    /// Asks the first connection of the list to close; returns whether there is one, `None` while too many
    /// are closing.
    fn ask_first(&self) -> Option<bool> {
        let mut list = self.lock();
        if list.closing >= MAX_CLOSING {
            return None;
        }
        let Some((_, asked_to_close)) = list.rows.pop_first() else { return Some(false) };
        list.closing += 1;
        asked_to_close.cancel();
        Some(true)
    }

    fn lock(&self) -> MutexGuard<'_, IdleList> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IdleConnection {
    /// Waits until the connection is to close.
    pub async fn asked_to_close(&self) {
        self.asked_to_close.cancelled().await;
    }

    /// Returns whether no request has come since it was asked to close.
    pub fn is_to_close(&self) -> bool {
        self.asked_to_close.is_cancelled() && self.place().is_some()
    }

    /// Records that a request has come; it runs until the result is dropped.
    pub fn begin_request(self: &Arc<IdleConnection>) -> RunningRequest {
        self.leave_list();
        RunningRequest { connection: self.clone() }
    }

    fn leave_list(&self) {
        let mut list = self.list.lock();
        if let Some(place) = self.place().take() {
            list.rows.remove(&place);
        }
    }

    fn join_list(&self, has_served: bool) {
        let mut list = self.list.lock();
        if self.asked_to_close.is_cancelled() {
            return;
        }
        list.count += 1;
        let place = Place { has_served, count: list.count };
        list.rows.insert(place, self.asked_to_close.clone());
        *self.place() = Some(place);
    }

    /// Locks the place, after the list.
    fn place(&self) -> MutexGuard<'_, Option<Place>> {
        self.place.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for IdleConnection {
    fn drop(&mut self) {
        self.leave_list();
        if self.asked_to_close.is_cancelled() {
            self.list.lock().closing -= 1;
            self.list.closed.notify_waiters();
        }
    }
}

/// Request that runs on a connection, until its answer has been sent or given up.
#[derive(Debug)]
pub struct RunningRequest {
    connection: Arc<IdleConnection>,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.connection.join_list(true);
    }
}

/// Body of the answer to a request, which runs until the body is dropped.
pub struct RunningBody<B> {
    body: Pin<Box<B>>,
    _request: RunningRequest,
}

impl<B> RunningBody<B> {
    /// Lets a request run as long as the body of its answer exists.
    pub fn new(body: B, request: RunningRequest) -> RunningBody<B> {
        RunningBody { body: Box::pin(body), _request: request }
    }
}

impl<B: Body> Body for RunningBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
