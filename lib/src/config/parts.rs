//! Content-addressed parts of a configuration.
//!
//! Each table is cut into parts of consecutive items. Cuts follow the digest of
//! an item's name, so that a change to one item replaces one part and leaves
//! the others as they are. A [`Head`] lists the parts; together they are the
//! configuration.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::{BudgetSettings, Config, Route, Target, Workspace};
use crate::id::{OperationId, digest128};

/// Largest encoded part, in bytes; the store holds values up to one mebibyte.
pub const MAX_PART_BYTES: usize = 512 << 10;

/// Mean number of items in a part.
const MEAN_PART_ITEMS: u128 = 128;

/// Version of the encoding, first byte of each stored value.
const FORMAT_VERSION: u8 = 1;

/// Why stored bytes are not a configuration, or cannot become one.
#[derive(Debug, Snafu)]
pub enum CodecError {
    #[snafu(display(
        "the value was written in format {version}, this build reads {FORMAT_VERSION}"
    ))]
    Version { version: u8 },
    #[snafu(display("the value is malformed"))]
    Malformed { source: postcard::Error },
    #[snafu(display("the part's content does not match its digest"))]
    Digest,
    #[snafu(display("the part does not hold what the head says"))]
    Mismatch,
    #[snafu(display("one item takes {bytes} bytes, more than a part holds"))]
    ItemTooLarge { bytes: usize },
}

/// BLAKE3 digest of a part's encoding.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{}", blake3::Hash::from_bytes(*_0).to_hex())]
pub struct PartDigest(pub [u8; 32]);

impl PartDigest {
    /// Digest of encoded bytes.
    pub fn of(bytes: &[u8]) -> PartDigest {
        PartDigest(*blake3::hash(bytes).as_bytes())
    }
}

/// Table that a part belongs to.
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

/// Entry of a [`Head`] for one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRef {
    pub digest: PartDigest,
    pub table: Table,
    /// Number of items.
    pub items: u32,
}

/// Who changed the configuration, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSummary {
    pub revision: u64,
    pub change: OperationId,
    pub author: String,
    /// Wall-clock milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// The head: which parts make up a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub summary: ChangeSummary,
    pub parts: Vec<PartRef>,
    /// Previous revisions, newest first.
    pub history: Vec<ChangeSummary>,
}

impl Head {
    /// Revision that this head describes.
    pub fn revision(&self) -> u64 {
        self.summary.revision
    }

    /// This head's change and the previous ones, newest first.
    pub fn changes(&self) -> impl Iterator<Item = &ChangeSummary> {
        std::iter::once(&self.summary).chain(&self.history)
    }
}

/// Encoded part with its entry for the head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedPart {
    pub reference: PartRef,
    pub bytes: Vec<u8>,
}

impl Config {
    /// Cuts the configuration into encoded parts.
    pub fn to_parts(&self) -> Result<Vec<EncodedPart>, CodecError> {
        let mut parts = Vec::new();
        cut(&self.workspaces, Part::Workspaces, |item| digest128(&[&item.name]), &mut parts)?;
        let budget_digest = |item: &BudgetSettings| digest128(&[&item.workspace, &item.name]);
        cut(&self.budgets, Part::Budgets, budget_digest, &mut parts)?;
        cut(&self.routes, Part::Routes, |item| digest128(&[&item.name]), &mut parts)?;
        cut(&self.targets, Part::Targets, |item| digest128(&[&item.name]), &mut parts)?;
        Ok(parts)
    }

    /// Appends the items of a part.
    pub fn append(&mut self, part: Part) {
        match part {
            Part::Workspaces(items) => self.workspaces.extend(items),
            Part::Budgets(items) => self.budgets.extend(items),
            Part::Routes(items) => self.routes.extend(items),
            Part::Targets(items) => self.targets.extend(items),
        }
    }

    /// Copies `items` items of a table from `start`, if they exist.
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
    /// Decodes a part and checks it against its entry in the head.
    pub fn decode(bytes: &[u8], reference: &PartRef) -> Result<Part, CodecError> {
        snafu::ensure!(PartDigest::of(bytes) == reference.digest, DigestSnafu);
        let part: Part = decode(bytes)?;
        let (table, items) = match &part {
            Part::Workspaces(items) => (Table::Workspaces, items.len()),
            Part::Budgets(items) => (Table::Budgets, items.len()),
            Part::Routes(items) => (Table::Routes, items.len()),
            Part::Targets(items) => (Table::Targets, items.len()),
        };
        let fits = table == reference.table && items == reference.items as usize;
        snafu::ensure!(fits, MismatchSnafu);
        Ok(part)
    }

    /// Encodes the part; equal parts have equal encodings.
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

/// Encodes a stored value with its format version.
pub(super) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    postcard::to_extend(value, vec![FORMAT_VERSION]).context(MalformedSnafu)
}

/// Decodes a stored value.
pub(super) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (version, body) = bytes.split_first().unwrap_or((&0, &[]));
    snafu::ensure!(*version == FORMAT_VERSION, VersionSnafu { version: *version });
    postcard::from_bytes(body).context(MalformedSnafu)
}

fn cut<T: Clone + Serialize>(
    items: &[T],
    wrap: impl Fn(Vec<T>) -> Part,
    digest: impl Fn(&T) -> u128,
    parts: &mut Vec<EncodedPart>,
) -> Result<(), CodecError> {
    let mut open = Vec::new();
    let mut open_bytes = 0;
    for item in items {
        let bytes = encode(item)?.len();
        snafu::ensure!(bytes <= MAX_PART_BYTES, ItemTooLargeSnafu { bytes });
        if open_bytes + bytes > MAX_PART_BYTES {
            parts.push(wrap(std::mem::take(&mut open)).encode()?);
            open_bytes = 0;
        }
        open.push(item.clone());
        open_bytes += bytes;
        if digest(item).is_multiple_of(MEAN_PART_ITEMS) {
            parts.push(wrap(std::mem::take(&mut open)).encode()?);
            open_bytes = 0;
        }
    }
    if !open.is_empty() {
        parts.push(wrap(open).encode()?);
    }
    Ok(())
}
