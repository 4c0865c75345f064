//! Reads and writes configurations in the platform's key-value service.
//!
//! A revision consists of parts under `config/part/<digest>` and a head under
//! `config/head`. The parts are written first; a compare-and-swap of the head then
//! makes the revision the newest. Parts that no head lists have no effect.
//!
//! To write a revision, call
//!
//! ```ignore
//! let change = Change::new(OperationId::random(), "alice");
//! let accepted: AcceptedChange = apply(kv.as_ref(), &cfg, &change).await?;
//! ```
//!
//! where `kv: Arc<dyn KvStore>`, and every table of `cfg: Config` is sorted.
//! `cfg.revision` is ignored; `accepted.revision` is the new revision's number.
//! `load` reads the newest revision.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use snafu::{ResultExt, Snafu};
use tokio::time::{Instant, sleep};

use super::parts::{
    ChangeSummary, CodecError, EncodedPart, Head, Part, PartDigest, PartRef, decode, encode,
};
use super::{Config, Difference};
use crate::id::OperationId;
use crate::kv_store::{KvStore, NotDone, Outcome, Revision};
use crate::time::wall_clock_ms;

/// Store key of the head.
pub const HEAD_KEY: &str = "config/head";

/// Number of previous changes that a head lists.
const MAX_HISTORY_LENGTH: usize = 64;
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Default of [`Change::max_wait`].
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the store key of a part.
pub fn part_key(digest: PartDigest) -> String {
    format!("config/part/{digest}")
}

/// Change of the configuration by an operator.
#[derive(Clone, Debug)]
pub struct Change {
    /// Identifies the change across retries.
    pub id: OperationId,
    pub author: String,
    /// Revision that the author started from; `None` accepts any.
    pub base: Option<u64>,
    /// How long to retry, including after lost responses.
    pub max_wait: Duration,
}

impl Change {
    /// Creates a change that applies to whichever revision is the newest.
    pub fn new(id: OperationId, author: impl Into<String>) -> Change {
        Change { id, author: author.into(), base: None, max_wait: APPLY_TIMEOUT }
    }
}

/// Accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AcceptedChange {
    pub revision: u64,
    /// Number of parts that were not in the previous revision and were written.
    pub parts_written: usize,
    /// Whether an earlier attempt of the same change was already accepted.
    pub repeated: bool,
}

/// Error of [`apply`].
#[derive(Debug, Snafu)]
pub enum ApplyError {
    /// Another change was accepted first.
    #[snafu(display(
        "{} has changed the configuration to revision {} first",
        winner.author,
        winner.revision
    ))]
    Conflict {
        winner: ChangeSummary,
        /// What this change would alter in the winner's configuration.
        differences: Vec<Difference>,
    },
    /// The change is based on a revision, but the store has none.
    #[snafu(display("the key-value service has no configuration; nothing was changed"))]
    NoBase,
    /// The store did not answer in time; the configuration is unchanged.
    #[snafu(display("the key-value service does not answer; nothing was changed"))]
    Unavailable,
    /// The head's write had no response, and its outcome could not be read.
    #[snafu(display("the key-value service did not confirm whether change {change} was accepted"))]
    Unknown { change: OperationId },
    /// The configuration cannot be encoded.
    #[snafu(display("the configuration cannot be stored"))]
    Encode { source: CodecError },
    /// The newest revision cannot be read.
    #[snafu(display("the stored configuration cannot be read"))]
    Load { source: LoadError },
}

/// Error of reading the stored configuration.
#[derive(Debug, Snafu)]
pub enum LoadError {
    #[snafu(display("the key-value service does not answer"))]
    StoreUnavailable,
    #[snafu(display("part {digest} is missing from the store"))]
    PartMissing { digest: PartDigest },
    #[snafu(display("the stored value cannot be decoded"))]
    Decode { source: CodecError },
}

/// Stored head with its key's revision in the store.
#[derive(Clone, Debug)]
pub struct StoredHead {
    pub key_revision: Revision,
    /// `None` before the first change.
    pub head: Option<Head>,
}

/// Revision of the configuration with its head.
#[derive(Clone, Debug)]
pub struct StoredConfig {
    pub head: Head,
    pub config: Arc<Config>,
}

/// Writes a configuration as the next revision.
///
/// After a lost response the write is repeated with the same expected revision, so
/// that it takes effect at most once, and the history is searched for the change's id.
///
/// # Errors
///
/// Fails with [`ApplyError::Conflict`] if the newest revision is not the change's base or
/// another change is accepted meanwhile, with [`ApplyError::NoBase`] if there is none, and with
/// [`ApplyError::Unknown`] if the outcome cannot be determined within `max_wait`.
pub async fn apply(
    kv: &dyn KvStore,
    cfg: &Config,
    change: &Change,
) -> Result<AcceptedChange, ApplyError> {
    let deadline = Instant::now() + change.max_wait;
    let parts = cfg.to_parts().context(EncodeSnafu)?;
    let stored = read_head_until(kv, deadline).await.context(LoadSnafu)?;
    if let Some(accepted) = find_change(&stored, change.id) {
        return Ok(accepted);
    }
    let revision = stored.head.as_ref().map_or(0, Head::revision);
    if change.base.is_some_and(|base| base != revision) {
        return Err(conflict_error(kv, cfg, stored).await);
    }
    let parts_written = write_parts(kv, &parts, stored.head.as_ref(), deadline).await?;
    let head = next_head(change, &parts, stored.head.as_ref());
    write_head(kv, cfg, change, &head, stored.key_revision, deadline).await?;
    Ok(AcceptedChange { revision: head.revision(), parts_written, repeated: false })
}

/// Reads the newest revision; returns `None` before the first.
pub async fn load(kv: &dyn KvStore) -> Result<Option<StoredConfig>, LoadError> {
    match read_head(kv).await?.head {
        Some(head) => load_revision(kv, head, None).await.map(Some),
        None => Ok(None),
    }
}

/// Reads the head of the newest revision.
pub async fn read_head(kv: &dyn KvStore) -> Result<StoredHead, LoadError> {
    let Some(answer) = kv.get(HEAD_KEY, CALL_TIMEOUT).await.done() else {
        return StoreUnavailableSnafu.fail();
    };
    let Some(versioned) = answer else {
        return Ok(StoredHead { key_revision: Revision::ABSENT, head: None });
    };
    let head = decode_head(&versioned.value).context(DecodeSnafu)?;
    Ok(StoredHead { key_revision: versioned.revision, head: Some(head) })
}

/// Decodes a stored head.
pub fn decode_head(bytes: &[u8]) -> Result<Head, CodecError> {
    decode(bytes)
}

/// Loads a head's revision; copies parts that `known` contains instead of reading them.
pub async fn load_revision(
    kv: &dyn KvStore,
    head: Head,
    known: Option<&StoredConfig>,
) -> Result<StoredConfig, LoadError> {
    let mut cfg = Config { revision: head.revision(), ..Config::default() };
    for reference in &head.parts {
        let part = match known.and_then(|known| known.part(reference.digest)) {
            Some(part) => part,
            None => read_part(kv, reference).await?,
        };
        cfg.append(part);
    }
    Ok(StoredConfig { head, config: Arc::new(cfg) })
}

impl StoredConfig {
    /// Returns a part of this revision by digest.
    pub fn part(&self, digest: PartDigest) -> Option<Part> {
        let at = self.head.parts.iter().position(|reference| reference.digest == digest)?;
        let reference = self.head.parts[at];
        let same_table = self.head.parts[..at].iter().filter(|part| part.table == reference.table);
        let start = same_table.map(|part| part.items as usize).sum();
        self.config.part_at(reference.table, start, reference.items as usize)
    }
}

async fn read_part(kv: &dyn KvStore, reference: &PartRef) -> Result<Part, LoadError> {
    let digest = reference.digest;
    let Some(answer) = kv.get(&part_key(digest), CALL_TIMEOUT).await.done() else {
        return StoreUnavailableSnafu.fail();
    };
    let Some(versioned) = answer else {
        return PartMissingSnafu { digest }.fail();
    };
    Part::decode(&versioned.value, reference).context(DecodeSnafu)
}

async fn read_head_until(kv: &dyn KvStore, deadline: Instant) -> Result<StoredHead, LoadError> {
    loop {
        match read_head(kv).await {
            Err(LoadError::StoreUnavailable) if Instant::now() < deadline => {
                sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

/// Returns the accepted change with this id, if the head's history lists it.
fn find_change(stored: &StoredHead, id: OperationId) -> Option<AcceptedChange> {
    let found = stored.head.as_ref()?.changes().find(|summary| summary.change == id)?;
    Some(AcceptedChange { revision: found.revision, parts_written: 0, repeated: true })
}

fn next_head(change: &Change, parts: &[EncodedPart], previous: Option<&Head>) -> Head {
    let revision = previous.map_or(0, Head::revision) + 1;
    let history = previous.into_iter().flat_map(Head::changes).take(MAX_HISTORY_LENGTH);
    Head {
        summary: ChangeSummary {
            revision,
            change: change.id,
            author: change.author.clone(),
            time_ms: wall_clock_ms(),
        },
        parts: parts.iter().map(|part| part.reference).collect(),
        history: history.cloned().collect(),
    }
}

/// Writes the parts that the previous head does not list; returns their number.
async fn write_parts(
    kv: &dyn KvStore,
    parts: &[EncodedPart],
    previous: Option<&Head>,
    deadline: Instant,
) -> Result<usize, ApplyError> {
    let mut stored: Vec<PartDigest> =
        previous.into_iter().flat_map(|head| &head.parts).map(|part| part.digest).collect();
    stored.sort_unstable();
    let mut written = 0;
    for part in parts {
        if stored.binary_search(&part.reference.digest).is_err() {
            write_part(kv, part, deadline).await?;
            written += 1;
        }
    }
    Ok(written)
}

async fn write_part(
    kv: &dyn KvStore,
    part: &EncodedPart,
    deadline: Instant,
) -> Result<(), ApplyError> {
    let key = part_key(part.reference.digest);
    loop {
        let value = part.bytes.clone();
        match kv.compare_and_swap(&key, Revision::ABSENT, value, None, CALL_TIMEOUT).await {
            // The key is the content's digest, so a conflict means that the part exists.
            Outcome::Done(_) | Outcome::NotDone(NotDone::Conflict { .. }) => return Ok(()),
            _ if Instant::now() >= deadline => return UnavailableSnafu.fail(),
            _ => sleep(RETRY_DELAY).await,
        }
    }
}

/// Moves the head to the new revision; repeats the write until its outcome is known or
/// `deadline` passes.
async fn write_head(
    kv: &dyn KvStore,
    cfg: &Config,
    change: &Change,
    head: &Head,
    expected: Revision,
    deadline: Instant,
) -> Result<(), ApplyError> {
    let bytes = encode(head).context(EncodeSnafu)?;
    let mut in_doubt = false;
    loop {
        match kv.compare_and_swap(HEAD_KEY, expected, bytes.clone(), None, CALL_TIMEOUT).await {
            Outcome::Done(_) => return Ok(()),
            Outcome::NotDone(NotDone::Conflict { .. }) => {
                return resolve_conflict(kv, cfg, change, head.revision(), in_doubt, deadline)
                    .await;
            }
            Outcome::Unknown => in_doubt = true,
            Outcome::NotDone(_) => {}
        }
        if Instant::now() >= deadline {
            return match in_doubt {
                true => UnknownSnafu { change: change.id }.fail(),
                false => UnavailableSnafu.fail(),
            };
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Determines whether this change or another one moved the head.
async fn resolve_conflict(
    kv: &dyn KvStore,
    cfg: &Config,
    change: &Change,
    revision: u64,
    in_doubt: bool,
    deadline: Instant,
) -> Result<(), ApplyError> {
    let stored = match read_head_until(kv, deadline).await {
        Ok(stored) => stored,
        Err(_) if in_doubt => return UnknownSnafu { change: change.id }.fail(),
        Err(err) => return Err(err).context(LoadSnafu),
    };
    if find_change(&stored, change.id).is_some() {
        return Ok(());
    }
    let lists_revision = |head: &Head| head.changes().any(|summary| summary.revision == revision);
    if in_doubt && !stored.head.as_ref().is_some_and(lists_revision) {
        return UnknownSnafu { change: change.id }.fail();
    }
    Err(conflict_error(kv, cfg, stored).await)
}

/// Returns the error for a change that lost to the stored head.
async fn conflict_error(kv: &dyn KvStore, cfg: &Config, stored: StoredHead) -> ApplyError {
    let Some(head) = stored.head else {
        return ApplyError::NoBase;
    };
    let winner = head.summary.clone();
    match load_revision(kv, head, None).await {
        Ok(current) => {
            ApplyError::Conflict { winner, differences: current.config.differences(cfg) }
        }
        Err(source) => ApplyError::Load { source },
    }
}
