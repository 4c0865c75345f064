//! Handles requests that other processes of the fleet send to an entry.

use std::sync::Arc;

use async_trait::async_trait;
use rosemarymoor_lib::host_list::Role;
use rosemarymoor_lib::transport::{FrameStream, PeerHandler};
use rosemarymoor_lib::wire::{PeerRequest, PeerSync, StatusReply};

use super::Entry;

/// Serves the streams that peers open to an entry.
pub struct EntryPeerHandler {
    entry: Arc<Entry>,
}

impl EntryPeerHandler {
    /// Creates a handler over the entry's state.
    pub fn new(entry: Arc<Entry>) -> EntryPeerHandler {
        EntryPeerHandler { entry }
    }

    /// Answers a peer's budget message, or closes the stream if no tokens are lent.
    async fn answer_budget(&self, sync: PeerSync, mut stream: FrameStream) {
        let Some(budgets) = &self.entry.budgets else { return };
        let Some(reply) = budgets.answer(sync).await else { return };
        if stream.send(&reply).await.is_ok() {
            stream.tx.finish().await;
        }
    }

    fn status(&self) -> StatusReply {
        let entry = &self.entry;
        StatusReply {
            name: entry.settings.name.clone(),
            role: Role::Entry,
            data_center: entry.settings.data_center.clone(),
            region: entry.settings.region.clone(),
            config_revision: entry.cfg.current().revision,
            running: entry.drain.running(),
            queued: 0,
            draining: entry.drain.is_draining(),
            memory_bytes: crate::memory::resident_bytes(),
        }
    }
}

#[async_trait]
impl PeerHandler for EntryPeerHandler {
    async fn handle(&self, req: PeerRequest, mut stream: FrameStream) {
        match req {
            PeerRequest::Status => {}
            PeerRequest::Budget(sync) => return self.answer_budget(*sync, stream).await,
            PeerRequest::Drain => self.entry.stop.notify_one(),
            // Other requests are for sidecars; closing the stream rejects them.
            _ => return,
        }
        if stream.send(&self.status()).await.is_ok() {
            stream.tx.finish().await;
        }
    }
}
