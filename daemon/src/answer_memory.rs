//! Memory for answers that are buffered until they are complete.
//!
//! Targets in trouble may send bytes without end. An answer may take as much as is still free, so
//! that many endless ones together stay within the limit and short ones always find room.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Memory for all buffered answers of a process, in bytes.
const TOTAL_BYTES: usize = 48 << 20;

/// Size limit of one answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// It broke off.
    Broken,
    /// It exceeds its share of the memory.
    TooLarge,
}

/// Memory of a process; clones share it.
#[derive(Clone, Debug, Default)]
pub struct AnswerMemory {
    used: Arc<AtomicUsize>,
}

/// Memory of one answer, which is free again when this is dropped.
#[derive(Debug)]
pub struct MemoryShare {
    memory: AnswerMemory,
    bytes: usize,
}

impl AnswerMemory {
    /// Opens an empty share.
    pub fn open_share(&self) -> MemoryShare {
        MemoryShare { memory: self.clone(), bytes: 0 }
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if the body breaks off or exceeds its share.
    pub async fn read<B: Body<Data = Bytes> + Unpin>(
        &self,
        mut body: B,
    ) -> Result<Bytes, ReadError> {
        let mut share = self.open_share();
        let mut parts: Vec<Bytes> = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadError::Broken)?;
            let Ok(data) = frame.into_data() else { continue };
            share.resize(share.bytes + data.len()).map_err(|_| ReadError::TooLarge)?;
            parts.push(data);
        }
        match <[Bytes; 1]>::try_from(parts) {
            Ok([part]) => Ok(part),
            Err(parts) => Ok(parts.concat().into()),
        }
    }
}

/// Error of an answer that exceeds its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareExceeded;

impl MemoryShare {
    /// Changes the size of the share.
    ///
    /// # Errors
    ///
    /// Returns [`ShareExceeded`] if it grows beyond what is free, or beyond 16 MiB.
    pub fn resize(&mut self, bytes: usize) -> Result<(), ShareExceeded> {
        let used = &self.memory.used;
        let before = used.fetch_add(bytes, Ordering::Relaxed);
        used.fetch_sub(self.bytes, Ordering::Relaxed);
        let free = TOTAL_BYTES.saturating_sub(before - self.bytes + bytes);
        let has_grown = bytes > self.bytes;
        self.bytes = bytes;
        if has_grown && bytes > free.min(MAX_ANSWER_BYTES) {
            return Err(ShareExceeded);
        }
        Ok(())
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
