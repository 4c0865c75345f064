//! Incremental updates from one revision to a newer one, as hosts send them to each other.

use super::Config;
use super::parts::{CodecError, Head, Part, PartDigest, PartRef};
use super::store::StoredConfig;
use crate::wire::ConfigUpdate;

/// Maximum size of the parts included in an update, in bytes; others are fetched separately.
const MAX_INLINE_BYTES: usize = 256 << 10;

impl StoredConfig {
    /// Returns the update to this revision for a host that has `base`.
    pub fn update_from(&self, base: Option<&Head>) -> ConfigUpdate {
        let old = base.map_or(&[][..], |head| &head.parts);
        let new = &self.head.parts;
        let shared = old.len().min(new.len());
        let prefix = (0..shared).take_while(|at| old[*at] == new[*at]).count();
        let from_end = |at: &usize| old[old.len() - 1 - at] == new[new.len() - 1 - at];
        let suffix = (0..shared - prefix).take_while(from_end).count();
        let middle = new[prefix..new.len() - suffix].to_vec();
        ConfigUpdate {
            summary: self.head.summary.clone(),
            base: base.map_or(0, Head::revision),
            prefix: prefix as u32,
            suffix: suffix as u32,
            parts: self.inline_parts(&middle),
            middle,
        }
    }

    /// Returns the encoding of a part of this revision.
    pub fn encoded_part(&self, digest: PartDigest) -> Option<Vec<u8>> {
        self.part(digest)?.encode().ok().map(|encoded| encoded.bytes)
    }

    fn inline_parts(&self, references: &[PartRef]) -> Vec<Vec<u8>> {
        let mut parts = Vec::new();
        let mut bytes = 0;
        for encoded in references.iter().filter_map(|part| self.encoded_part(part.digest)) {
            bytes += encoded.len();
            if bytes > MAX_INLINE_BYTES {
                break;
            }
            parts.push(encoded);
        }
        parts
    }
}

/// Received update that may still lack parts.
pub struct PendingUpdate {
    head: Head,
    /// Decoded parts, each with its digest.
    parts: Vec<(PartDigest, Part)>,
}

impl PendingUpdate {
    /// Starts with a received update.
    ///
    /// Returns `None` if the update refers to another base than `current` or is malformed.
    pub fn open(update: ConfigUpdate, current: Option<&StoredConfig>) -> Option<PendingUpdate> {
        let base: &[PartRef] = match update.base {
            0 => &[],
            base => &current.filter(|current| current.head.revision() == base)?.head.parts,
        };
        let (prefix, suffix) = (update.prefix as usize, update.suffix as usize);
        let first = base.get(..prefix)?;
        let last = base.get(base.len().checked_sub(suffix)?.max(prefix)..)?;
        let parts = [first, &update.middle, last].concat();
        let head = Head { summary: update.summary, parts, history: Vec::new() };
        let mut pending = PendingUpdate { head, parts: Vec::new() };
        for bytes in &update.parts {
            pending.add(bytes).ok()?;
        }
        Some(pending)
    }

    /// Returns the parts that neither `current` nor the update contains.
    pub fn missing(&self, current: Option<&StoredConfig>) -> Vec<PartDigest> {
        let known = |digest: PartDigest| {
            let contains =
                |config: &StoredConfig| config.head.parts.iter().any(|part| part.digest == digest);
            self.parts.iter().any(|(own, _)| *own == digest) || current.is_some_and(contains)
        };
        let digests = self.head.parts.iter().map(|part| part.digest);
        digests.filter(|digest| !known(*digest)).collect()
    }

    /// Adds an encoded part.
    ///
    /// # Errors
    ///
    /// Fails if the head does not list the part or the part does not match its entry.
    pub fn add(&mut self, bytes: &[u8]) -> Result<(), CodecError> {
        let digest = PartDigest::of(bytes);
        let reference = self.head.parts.iter().find(|part| part.digest == digest);
        let reference = reference.ok_or(CodecError::Mismatch)?;
        self.parts.push((digest, Part::decode(bytes, reference)?));
        Ok(())
    }

    /// Returns the newer revision, or `None` if a part is missing.
    pub fn finish(self, current: Option<&StoredConfig>) -> Option<StoredConfig> {
        let mut cfg = Config { revision: self.head.revision(), ..Config::default() };
        for reference in &self.head.parts {
            let own = self.parts.iter().find(|(digest, _)| *digest == reference.digest);
            let part = match own {
                Some((_, part)) => part.clone(),
                None => current?.part(reference.digest)?,
            };
            cfg.append(part);
        }
        Some(StoredConfig { head: self.head, config: cfg.into() })
    }
}
