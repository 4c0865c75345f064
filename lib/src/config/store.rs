//! The configuration in the platform's key-value service.
//!
//! A revision is a set of parts under `config/part/<digest>`, written first,
//! and the head under `config/head`, moved by compare-and-swap. Only the head
//! counts: parts that no head names are harmless.
//!
//! An operator's change, a test or a bench that seeds the store calls
//!
//! ```ignore
//! let change = Change::new(OperationId::random(), "alice");
//! let applied: AcceptedChange = apply(kv.as_ref(), &cfg, &change).await?;
//! ```
//!
//! where `kv: Arc<dyn KvStore>` and `cfg: Config` with every table sorted;
//! `cfg.revision` is ignored, `applied.revision` is the one it got. `load`
//! reads the newest revision back.

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

/// Key of the head.
pub const HEAD_KEY: &str = "config/head";

/// Revisions that a head remembers.
const HISTORY_LENGTH: usize = 64;
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long [`apply`] tries to learn the fate of its write.
const APPLY_PATIENCE: Duration = Duration::from_secs(30);

/// Key of a part.
pub fn part_key(digest: PartDigest) -> String {
    format!("config/part/{digest}")
}

/// Operator's change.
#[derive(Clone, Debug)]
pub struct Change {
    /// Names the change across retries.
    pub id: OperationId,
    pub author: String,
    /// Revision that the author started from; the newest if none is given.
    pub base: Option<u64>,
    /// How long to try, lost answers included.
    pub max_wait: Duration,
}

impl Change {
    /// Change on top of the newest revision.
    pub fn new(id: OperationId, author: impl Into<String>) -> Change {
        Change { id, author: author.into(), base: None, max_wait: APPLY_PATIENCE }
    }
}

/// Accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AcceptedChange {
    pub revision: u64,
    /// Parts that the store did not hold yet.
    pub parts_written: usize,
    /// Whether an earlier try of the same change had already been accepted.
    pub repeated: bool,
}

/// Why a change was not accepted.
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
    #[snafu(display("the key-value service does not answer; nothing was changed"))]
    Unavailable,
    #[snafu(display("the key-value service does not tell whether change {change} was accepted"))]
    Unknown { change: OperationId },
    #[snafu(display("the configuration cannot be stored"))]
    Encode { source: CodecError },
    #[snafu(display("the stored configuration cannot be read"))]
    Load { source: LoadError },
}

/// Why the stored configuration could not be read.
#[derive(Debug, Snafu)]
pub enum LoadError {
    #[snafu(display("the key-value service does not answer"))]
    StoreUnavailable,
    #[snafu(display("part {digest} is missing from the store"))]
    PartMissing { digest: PartDigest },
    #[snafu(display("the stored value cannot be decoded"))]
    Decode { source: CodecError },
}

/// Head as stored, with the revision that its key has in the store.
#[derive(Clone, Debug)]
pub struct StoredHead {
    pub key_revision: Revision,
    pub head: Option<Head>,
}

/// Revision with its head.
#[derive(Clone, Debug)]
pub struct StoredConfig {
    pub head: Head,
    pub config: Arc<Config>,
}

/// Writes a configuration as the next revision.
///
/// A lost answer is resolved: the write is repeated at the same expected
/// revision, so that it takes effect at most once, and the change is looked for
/// by its id.
pub async fn apply(
    kv: &dyn KvStore,
    cfg: &Config,
    change: &Change,
) -> Result<AcceptedChange, ApplyError> {
    let deadline = Instant::now() + change.max_wait;
    let parts = cfg.to_parts().context(EncodeSnafu)?;
    let stored = read_head_until(kv, deadline).await.context(LoadSnafu)?;
    if let Some(applied) = find_change(&stored, change.id) {
        return Ok(applied);
    }
    let revision = stored.head.as_ref().map_or(0, Head::revision);
    if change.base.is_some_and(|base| base != revision) {
        return Err(lost_race(kv, cfg, stored).await);
    }
    let parts_written = write_parts(kv, &parts, stored.head.as_ref(), deadline).await?;
    let head = next_head(change, &parts, stored.head.as_ref());
    write_head(kv, cfg, change, &head, stored.key_revision, deadline).await?;
    Ok(AcceptedChange { revision: head.revision(), parts_written, repeated: false })
}

/// Reads the newest revision; `None` before the first.
pub async fn load(kv: &dyn KvStore) -> Result<Option<StoredConfig>, LoadError> {
    match read_head(kv).await?.head {
        Some(head) => load_revision(kv, head, None).await.map(Some),
        None => Ok(None),
    }
}

/// Reads the head.
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

/// Completes a head's revision, taking what `held` already has from there.
pub async fn load_revision(
    kv: &dyn KvStore,
    head: Head,
    held: Option<&StoredConfig>,
) -> Result<StoredConfig, LoadError> {
    let mut cfg = Config { revision: head.revision(), ..Config::default() };
    for reference in &head.parts {
        let part = match held.and_then(|held| held.part(reference.digest)) {
            Some(part) => part,
            None => read_part(kv, reference).await?,
        };
        cfg.append(part);
    }
    Ok(StoredConfig { head, config: Arc::new(cfg) })
}

impl StoredConfig {
    /// Part of this revision by digest.
    pub fn part(&self, digest: PartDigest) -> Option<Part> {
        let at = self.head.parts.iter().position(|reference| reference.digest == digest)?;
        let wanted = self.head.parts[at];
        let same_table = self.head.parts[..at].iter().filter(|part| part.table == wanted.table);
        let start = same_table.map(|part| part.items as usize).sum();
        self.config.part_at(wanted.table, start, wanted.items as usize)
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

fn find_change(stored: &StoredHead, id: OperationId) -> Option<AcceptedChange> {
    let found = stored.head.as_ref()?.changes().find(|summary| summary.change == id)?;
    Some(AcceptedChange { revision: found.revision, parts_written: 0, repeated: true })
}

fn next_head(change: &Change, parts: &[EncodedPart], previous: Option<&Head>) -> Head {
    let revision = previous.map_or(0, Head::revision) + 1;
    let history = previous.into_iter().flat_map(Head::changes).take(HISTORY_LENGTH);
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

async fn write_parts(
    kv: &dyn KvStore,
    parts: &[EncodedPart],
    previous: Option<&Head>,
    deadline: Instant,
) -> Result<usize, ApplyError> {
    let mut held: Vec<PartDigest> =
        previous.into_iter().flat_map(|head| &head.parts).map(|part| part.digest).collect();
    held.sort_unstable();
    let mut written = 0;
    for part in parts {
        if held.binary_search(&part.reference.digest).is_err() {
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
            // Equal keys have equal content, so a conflict means that it is there.
            Outcome::Done(_) | Outcome::NotDone(NotDone::Conflict { .. }) => return Ok(()),
            _ if Instant::now() >= deadline => return UnavailableSnafu.fail(),
            _ => sleep(RETRY_DELAY).await,
        }
    }
}

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

/// The head has moved: by this very change, or by another.
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
    let remembers = |head: &Head| head.changes().any(|summary| summary.revision == revision);
    if in_doubt && !stored.head.as_ref().is_some_and(remembers) {
        return UnknownSnafu { change: change.id }.fail();
    }
    Err(lost_race(kv, cfg, stored).await)
}

async fn lost_race(kv: &dyn KvStore, cfg: &Config, stored: StoredHead) -> ApplyError {
    let Some(head) = stored.head else {
        return ApplyError::Unavailable;
    };
    let winner = head.summary.clone();
    match load_revision(kv, head, None).await {
        Ok(held) => ApplyError::Conflict { winner, differences: held.config.differences(cfg) },
        Err(source) => ApplyError::Load { source },
    }
}
