//! Content-addressed parts of a configuration, as stored and sent between hosts.
//!
//! Each table is split into parts of consecutive items by content-defined
//! chunking: the digest of an item's name decides whether a part ends after it.
//! A change to one item therefore replaces one part and leaves the others as they
//! are. A [`Head`] lists the parts that make up a revision.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::{BudgetSettings, Config, Route, Target, Workspace};
use crate::id::{OperationId, digest128};

/// Largest encoded part, in bytes; stays below the store's limit of one mebibyte per value.
pub const MAX_PART_BYTES: usize = 512 << 10;

/// Mean number of items in a part.
const MEAN_PART_ITEMS: u128 = 128;

/// Version of the encoding; the first byte of each stored value.
const FORMAT_VERSION: u8 = 1;

/// Error of encoding or decoding a head or a part.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The value has another format version.
    #[snafu(display(
        "the value was written in format {version}, this build reads {FORMAT_VERSION}"
    ))]
    Version { version: u8 },
    /// The bytes cannot be decoded, or the value cannot be encoded.
    #[snafu(display("the value is malformed"))]
    Malformed { source: postcard::Error },
    /// The bytes have another digest than the head lists.
    #[snafu(display("the part's content does not match its digest"))]
    Digest,
    /// The part has another table or number of items than the head lists, or is not listed.
    #[snafu(display("the part does not match its entry in the head"))]
    Mismatch,
    /// One encoded item exceeds [`MAX_PART_BYTES`].
    #[snafu(display("one item takes {bytes} bytes, more than the {MAX_PART_BYTES} of a part"))]
    ItemTooLarge { bytes: usize },
}

/// BLAKE3 digest of a part's encoding.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{}", blake3::Hash::from_bytes(*_0).to_hex())]
pub struct PartDigest(pub [u8; 32]);

impl PartDigest {
    /// Returns the digest of encoded bytes.
    pub fn of(bytes: &[u8]) -> PartDigest {
        PartDigest(*blake3::hash(bytes).as_bytes())
    }
}

/// Table of a configuration that a part belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Table {
    Workspaces,
    Budgets,
    Routes,
    Targets,
}

/// Consecutive items of one table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    Workspaces(Vec<Workspace>),
    Budgets(Vec<BudgetSettings>),
    Routes(Vec<Route>),
    Targets(Vec<Target>),
}

/// Reference to one part in a [`Head`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRef {
    pub digest: PartDigest,
    pub table: Table,
    /// Number of items in the part.
    pub items: u32,
}

/// Author and time of a change to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSummary {
    /// Revision that the change produced.
    pub revision: u64,
    /// Id of the change, equal across its retries.
    pub change: OperationId,
    pub author: String,
    /// Wall-clock milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Head of a revision: its change and the list of its parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub summary: ChangeSummary,
    /// Parts in the order of tables and items.
    pub parts: Vec<PartRef>,
    /// Changes of previous revisions, newest first.
    pub history: Vec<ChangeSummary>,
}

impl Head {
    /// Returns the revision that this head describes.
    pub fn revision(&self) -> u64 {
        self.summary.revision
    }

    /// Returns this head's change and the previous ones, newest first.
    pub fn changes(&self) -> impl Iterator<Item = &ChangeSummary> {
        std::iter::once(&self.summary).chain(&self.history)
    }
}

/// Encoded part with its reference for the head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedPart {
    pub reference: PartRef,
    pub bytes: Vec<u8>,
}

impl Config {
    /// Splits the configuration into encoded parts.
    ///
    /// # Errors
    ///
    /// Fails if one item exceeds [`MAX_PART_BYTES`].
    pub fn to_parts(&self) -> Result<Vec<EncodedPart>, CodecError> {
        let mut parts = Vec::new();
        split_table(
            &self.workspaces,
            Part::Workspaces,
            |item| digest128(&[&item.name]),
            &mut parts,
        )?;
        let budget_digest = |item: &BudgetSettings| digest128(&[&item.workspace, &item.name]);
        split_table(&self.budgets, Part::Budgets, budget_digest, &mut parts)?;
        split_table(&self.routes, Part::Routes, |item| digest128(&[&item.name]), &mut parts)?;
        split_table(&self.targets, Part::Targets, |item| digest128(&[&item.name]), &mut parts)?;
        Ok(parts)
    }

    /// Appends the items of a part to its table.
    pub fn append(&mut self, part: Part) {
        match part {
            Part::Workspaces(items) => self.workspaces.extend(items),
            Part::Budgets(items) => self.budgets.extend(items),
            Part::Routes(items) => self.routes.extend(items),
            Part::Targets(items) => self.targets.extend(items),
        }
    }

    /// Copies `items` items of a table from index `start`; returns `None` if it has fewer.
    pub fn part_at(&self, table: Table, start: usize, items: usize) -> Option<Part> {
        let range = start..start.checked_add(items)?;
        match table {
            Table::Workspaces => Some(Part::Workspaces(self.workspaces.get(range)?.to_vec())),
            Table::Budgets => Some(Part::Budgets(self.budgets.get(range)?.to_vec())),
            Table::Routes => Some(Part::Routes(self.routes.get(range)?.to_vec())),
            Table::Targets => Some(Part::Targets(self.targets.get(range)?.to_vec())),
        }
    }
}

impl Part {
    /// Decodes a part and checks it against its reference in the head.
    pub fn decode(bytes: &[u8], reference: &PartRef) -> Result<Part, CodecError> {
        snafu::ensure!(PartDigest::of(bytes) == reference.digest, DigestSnafu);
        let part: Part = decode(bytes)?;
        let (table, items) = match &part {
            Part::Workspaces(items) => (Table::Workspaces, items.len()),
            Part::Budgets(items) => (Table::Budgets, items.len()),
            Part::Routes(items) => (Table::Routes, items.len()),
            Part::Targets(items) => (Table::Targets, items.len()),
        };
        let matches = table == reference.table && items == reference.items as usize;
        snafu::ensure!(matches, MismatchSnafu);
        Ok(part)
    }

    /// Encodes the part; the same items always give the same bytes.
    pub fn encode(&self) -> Result<EncodedPart, CodecError> {
        let (table, items) = match self {
            Part::Workspaces(items) => (Table::Workspaces, items.len()),
            Part::Budgets(items) => (Table::Budgets, items.len()),
            Part::Routes(items) => (Table::Routes, items.len()),
            Part::Targets(items) => (Table::Targets, items.len()),
        };
        let bytes = encode(self)?;
        let digest = PartDigest::of(&bytes);
        Ok(EncodedPart { reference: PartRef { digest, table, items: items as u32 }, bytes })
    }
}

/// Encodes a value for the store, preceded by the format version.
pub(super) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    postcard::to_extend(value, vec![FORMAT_VERSION]).context(MalformedSnafu)
}

/// Decodes a value from the store and checks its format version.
pub(super) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (version, body) = bytes.split_first().unwrap_or((&0, &[]));
    snafu::ensure!(*version == FORMAT_VERSION, VersionSnafu { version: *version });
    postcard::from_bytes(body).context(MalformedSnafu)
}

/// Encodes a table's items as parts and appends them to `parts`.
fn split_table<T: Clone + Serialize>(
    items: &[T],
    wrap: impl Fn(Vec<T>) -> Part,
    digest: impl Fn(&T) -> u128,
    parts: &mut Vec<EncodedPart>,
) -> Result<(), CodecError> {
    let mut pending = Vec::new();
    let mut pending_bytes = 0;
    for item in items {
        let bytes = encode(item)?.len();
        snafu::ensure!(bytes <= MAX_PART_BYTES, ItemTooLargeSnafu { bytes });
        if pending_bytes + bytes > MAX_PART_BYTES {
            parts.push(wrap(std::mem::take(&mut pending)).encode()?);
            pending_bytes = 0;
        }
        pending.push(item.clone());
        pending_bytes += bytes;
        if digest(item).is_multiple_of(MEAN_PART_ITEMS) {
            parts.push(wrap(std::mem::take(&mut pending)).encode()?);
            pending_bytes = 0;
        }
    }
    if !pending.is_empty() {
        parts.push(wrap(pending).encode()?);
    }
    Ok(())
}
