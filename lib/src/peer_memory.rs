//! Memory for what peers send and a process keeps: heads, bodies and incomplete events, of all its
//! connections together.
//!
//! Peers in trouble may send bytes without end, in pieces of any size, so that the memory counts and not the
//! bytes: what is kept is copied out of the buffers in which it arrived, and the capacity of the copy counts.
//! Each group of peers has a part of the memory that no other can take; the rest is for whoever comes first.
//! Within its group a small share finds room until that is used. A large one may take as much as is still free
//! for the large ones of its group, so that many endless ones together stay within the limit and sound ones
//! beside them find room.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Memory of the smallest host, in bytes.
pub const DEFAULT_PROCESS_BYTES: usize = 88_000_000;

/// Part of the memory of a process that its peers take, in percent; the rest is for its state and for what its
/// allocator cannot reuse.
const PEERS_PERCENT: usize = 56;

/// Part of the peers' memory that only one group takes, as a divisor.
const OWN_DIVISOR: usize = 6;

/// Part of the peers' memory for the large shares of one group, as a divisor.
const LARGE_GROUP_DIVISOR: usize = 3;

/// Size up to which a share is small, in bytes.
const MAX_SMALL_BYTES: usize = 128 << 10;

/// Time in which a large body has to go on while others wait for its room.
const PACE_INTERVAL: Duration = Duration::from_millis(500);

/// Least that arrives of it in that time, in bytes.
const MIN_PACE_BYTES: usize = 64 << 10;

/// Smallest buffer for a body that is longer, in bytes.
const MIN_BUFFER_BYTES: usize = 1 << 10;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// It broke off.
    Broken,
    /// It exceeds the limit of its kind.
    TooLarge,
    /// The process has no memory left for it, or others have waited for what it takes and it did not go on.
    NoRoom,
}

/// Error of a share for which there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// Group of peers whose shares are limited together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerGroup {
    /// Connections of callers, without what they send on them.
    CallerConnections,
    Callers,
    Targets,
    /// The store and the processes of the fleet.
    Fleet,
}

/// Number of groups.
const GROUPS: usize = 4;

/// Memory of a process, as one group of peers takes shares of it; clones share it.
#[derive(Clone, Debug)]
pub struct PeerMemory {
    state: Arc<State>,
    group: PeerGroup,
}

impl Default for PeerMemory {
    /// Opens the memory of a process on the smallest host.
    fn default() -> PeerMemory {
        PeerMemory::open(DEFAULT_PROCESS_BYTES)
    }
}

#[derive(Debug)]
struct State {
    /// Limit of all shares together, in bytes.
    total_bytes: usize,
    used: Mutex<Used>,
    /// Woken when a share becomes smaller.
    freed: Notify,
    /// Number of bodies of each group that wait for their room.
    waiting: [AtomicUsize; GROUPS],
}

/// Body that waits for its room, until this is dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn begin(count: &'a AtomicUsize) -> Waiting<'a> {
        count.fetch_add(1, Ordering::Relaxed);
        Waiting(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Memory that is taken, in bytes.
#[derive(Clone, Debug, Default)]
struct Used {
    /// By group.
    groups: [usize; GROUPS],
    /// Part of it that the large shares of each group take.
    large: [usize; GROUPS],
}

/// Memory that one connection, body or event takes; it is free again when this is dropped.
#[derive(Debug)]
pub struct MemoryShare {
    memory: PeerMemory,
    bytes: usize,
}

/// Bytes together with their memory.
struct HeldBytes {
    bytes: Vec<u8>,
    _share: MemoryShare,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl PeerMemory {
    /// Opens the memory of a process that may take this many bytes in all, for callers.
    pub fn open(process_bytes: usize) -> PeerMemory {
        let total_bytes = process_bytes / 100 * PEERS_PERCENT;
        let state = State {
            total_bytes,
            used: Mutex::default(),
            freed: Notify::new(),
            waiting: Default::default(),
        };
        PeerMemory { state: Arc::new(state), group: PeerGroup::Callers }
    }

    /// Returns the same memory for another group of peers.
    pub fn for_group(&self, group: PeerGroup) -> PeerMemory {
        PeerMemory { state: self.state.clone(), group }
    }

    /// Returns the same memory for the connections on which the group sends.
    pub fn for_connections(&self) -> PeerMemory {
        match self.group {
            PeerGroup::Callers => self.for_group(PeerGroup::CallerConnections),
            _ => self.clone(),
        }
    }

    /// Opens an empty share.
    pub fn open_share(&self) -> MemoryShare {
        MemoryShare { memory: self.clone(), bytes: 0 }
    }

    /// Returns the bytes that are taken.
    pub fn used_bytes(&self) -> usize {
        self.state.lock().groups.iter().sum()
    }

    /// Opens a share of some size; waits for its room until the given time at the latest.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if there is none by then.
    pub async fn reserve(&self, bytes: usize, until: Instant) -> Result<MemoryShare, NoRoom> {
        let mut share = self.open_share();
        let _waiting = Waiting::begin(self.waiting());
        loop {
            let freed = self.state.freed.notified();
            if share.resize(bytes).is_ok() {
                return Ok(share);
            }
            tokio::time::timeout_at(until, freed).await.map_err(|_| NoRoom)?;
        }
    }

    /// Returns the number of bodies of its group that wait for their room.
    fn waiting(&self) -> &AtomicUsize {
        &self.state.waiting[self.group as usize]
    }

    /// Opens a share for a body that its peer announces. A large one waits for its room before it is read,
    /// until the given time at the latest, so that no half-read ones wait for each other; a small one takes
    /// what has arrived.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if there is none by then.
    pub async fn reserve_large(&self, bytes: usize, until: Instant) -> Result<MemoryShare, NoRoom> {
        match large_part(bytes) {
            0 => Ok(self.open_share()),
            bytes => self.reserve(bytes, until).await,
        }
    }

    /// Reads a body of at most `max_bytes` to its end. Its memory is taken until the last copy of the result
    /// is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if the body breaks off, is too large or finds no room.
    pub async fn read<B: Body<Data = Bytes> + Unpin>(
        &self,
        body: B,
        max_bytes: usize,
    ) -> Result<Bytes, ReadError> {
        self.open_share().read(body, max_bytes).await
    }
}

impl State {
    /// Replaces a share of one size by one of another.
    fn replace(&self, group: PeerGroup, old: usize, new: usize) -> Result<(), NoRoom> {
        let mut used = self.lock();
        let next = used.replaced(group, old, new);
        if new > old && !self.has_room(group, &next, large_part(new)) {
            return Err(NoRoom);
        }
        *used = next;
        Ok(())
    }

    /// Returns whether a group may take its part of `used` and, of this, a large share of some size.
    fn has_room(&self, group: PeerGroup, used: &Used, share: usize) -> bool {
        let own = self.total_bytes / OWN_DIVISOR;
        let taken_or_kept: usize = used.groups.iter().map(|bytes| *bytes.max(&own)).sum();
        let free =
            (self.total_bytes / LARGE_GROUP_DIVISOR).saturating_sub(used.large[group as usize]);
        (used.groups[group as usize] <= own || taken_or_kept <= self.total_bytes) && share <= free
    }

    fn lock(&self) -> MutexGuard<'_, Used> {
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Used {
    /// Returns what is taken when a share of a group has changed its size.
    fn replaced(&self, group: PeerGroup, old: usize, new: usize) -> Used {
        let mut next = self.clone();
        let group = group as usize;
        next.groups[group] = next.groups[group] - old + new;
        next.large[group] = next.large[group] - large_part(old) + large_part(new);
        next
    }
}

/// Returns what a share takes of the memory for large ones.
fn large_part(bytes: usize) -> usize {
    if bytes > MAX_SMALL_BYTES { bytes } else { 0 }
}

impl MemoryShare {
    /// Returns the size of the share.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the size of the share; without room for it, the size stays.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if the share grows beyond what is free.
    pub fn resize(&mut self, bytes: usize) -> Result<(), NoRoom> {
        if bytes == self.bytes {
            return Ok(());
        }
        self.memory.state.replace(self.memory.group, self.bytes, bytes)?;
        if bytes < self.bytes {
            self.memory.state.freed.notify_waiters();
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Makes the share as large as another one of its group whose memory it takes, and which is freed at once.
    pub fn replace(&mut self, bytes: usize) {
        let mut used = self.memory.state.lock();
        *used = used.replaced(self.memory.group, self.bytes, bytes);
        self.bytes = bytes;
    }

    /// Reads a body as [`PeerMemory::read`] does, into this share. A large one that does not go on gives way to
    /// others that wait for their room.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if the body breaks off, is too large, finds no room or gives way.
    pub async fn read<B: Body<Data = Bytes> + Unpin>(
        self,
        mut body: B,
        max_bytes: usize,
    ) -> Result<Bytes, ReadError> {
        let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        if length.is_some_and(|length| length > max_bytes) {
            return Err(ReadError::TooLarge);
        }
        let mut share = self;
        let mut buf = Vec::new();
        let mut pace = Pace::begin();
        while let Some(frame) = share.next_frame(&mut body, &mut pace).await? {
            let Ok(data) = frame.into_data() else { continue };
            let needed = buf.len() + data.len();
            if needed > max_bytes {
                return Err(ReadError::TooLarge);
            }
            if needed > buf.capacity() {
                let capacity = next_capacity(buf.capacity(), needed, length);
                share.resize(capacity.max(share.bytes)).map_err(|NoRoom| ReadError::NoRoom)?;
                buf.reserve_exact(capacity - buf.len());
            }
            buf.extend_from_slice(&data);
        }
        Ok(share.hold(buf))
    }

    /// Returns the next frame of a body; `None` at its end.
    async fn next_frame<B: Body<Data = Bytes> + Unpin>(
        &self,
        body: &mut B,
        pace: &mut Pace,
    ) -> Result<Option<Frame<Bytes>>, ReadError> {
        loop {
            if let Ok(frame) = tokio::time::timeout_at(pace.until, body.frame()).await {
                let frame = frame.transpose().map_err(|_| ReadError::Broken)?;
                let data = frame.as_ref().and_then(Frame::data_ref);
                pace.bytes += data.map_or(0, Bytes::len);
                return Ok(frame);
            }
            let is_slow = pace.bytes < MIN_PACE_BYTES;
            let is_wanted = self.memory.waiting().load(Ordering::Relaxed) > 0;
            if is_slow && is_wanted && large_part(self.bytes) > 0 {
                return Err(ReadError::NoRoom);
            }
            *pace = Pace::begin();
        }
    }

    /// Returns the bytes, whose memory is taken by this share until their last copy is dropped.
    pub fn hold(mut self, bytes: Vec<u8>) -> Bytes {
        if bytes.is_empty() {
            return Bytes::new();
        }
        if self.bytes > bytes.capacity() {
            // A share that becomes smaller always finds room.
            let _ = self.resize(bytes.capacity());
        }
        Bytes::from_owner(HeldBytes { bytes, _share: self })
    }
}

/// What has arrived of a body in the current interval.
struct Pace {
    /// End of the interval.
    until: Instant,
    bytes: usize,
}

impl Pace {
    fn begin() -> Pace {
        Pace { until: Instant::now() + PACE_INTERVAL, bytes: 0 }
    }
}

/// Returns the capacity of a buffer that grows to hold `needed` bytes. It grows by half, so that a body takes
/// no room for what its head announces and its peer may never send.
fn next_capacity(capacity: usize, needed: usize, length: Option<usize>) -> usize {
    let grown = needed.max(capacity + capacity / 2).max(MIN_BUFFER_BYTES);
    length.map_or(grown, |length| grown.min(length.max(needed)))
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        // A share that becomes smaller always finds room.
        let _ = self.resize(0);
    }
}

/// Reads a body and drops it; returns whether it ended within `max_bytes` and `timeout`.
pub async fn discard<B: Body<Data = Bytes> + Unpin>(
    mut body: B,
    max_bytes: usize,
    timeout: Duration,
) -> bool {
    let reading = async {
        let mut read_bytes = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            read_bytes += frame.data_ref().map_or(0, Bytes::len);
            if read_bytes > max_bytes {
                return false;
            }
        }
        true
    };
    tokio::time::timeout(timeout, reading).await.unwrap_or(false)
}
