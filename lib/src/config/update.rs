//! The step from one revision to a newer one, as hosts send it to each other.

use super::Config;
use super::parts::{CodecError, Head, Part, PartDigest, PartRef};
use super::store::StoredConfig;
use crate::wire::ConfigUpdate;

/// Bytes of parts that an update carries itself.
const MAX_INLINE_BYTES: usize = 256 << 10;

impl StoredConfig {
    /// Update to this revision for a host that holds `base`.
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

    /// Encoding of a part of this revision.
    pub fn encoded_part(&self, digest: PartDigest) -> Option<Vec<u8>> {
        self.part(digest)?.encode().ok().map(|encoded| encoded.bytes)
    }

    fn inline_parts(&self, wanted: &[PartRef]) -> Vec<Vec<u8>> {
        let mut parts = Vec::new();
        let mut bytes = 0;
        for encoded in wanted.iter().filter_map(|part| self.encoded_part(part.digest)) {
            bytes += encoded.len();
            if bytes > MAX_INLINE_BYTES {
                break;
            }
            parts.push(encoded);
        }
        parts
    }
}

/// Update on its way to being complete.
pub struct PendingUpdate {
    head: Head,
    /// Decoded parts, each with its digest.
    parts: Vec<(PartDigest, Part)>,
}

impl PendingUpdate {
    /// Starts from what a host sent; `None` if it does not fit what is held.
    pub fn open(update: ConfigUpdate, held: Option<&StoredConfig>) -> Option<PendingUpdate> {
        let base: &[PartRef] = match update.base {
            0 => &[],
            base => &held.filter(|held| held.head.revision() == base)?.head.parts,
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

    /// Parts that neither `held` nor the update has.
    pub fn missing(&self, held: Option<&StoredConfig>) -> Vec<PartDigest> {
        let known = |digest: PartDigest| {
            let holds =
                |held: &StoredConfig| held.head.parts.iter().any(|part| part.digest == digest);
            self.parts.iter().any(|(held, _)| *held == digest) || held.is_some_and(holds)
        };
        let digests = self.head.parts.iter().map(|part| part.digest);
        digests.filter(|digest| !known(*digest)).collect()
    }

    /// Adds the encoding of a part; refuses one that the head does not name.
    pub fn add(&mut self, bytes: &[u8]) -> Result<(), CodecError> {
        let digest = PartDigest::of(bytes);
        let reference = self.head.parts.iter().find(|part| part.digest == digest);
        let reference = reference.ok_or(CodecError::Mismatch)?;
        self.parts.push((digest, Part::decode(bytes, reference)?));
        Ok(())
    }

    /// The newer revision, once no part is missing.
    pub fn finish(self, held: Option<&StoredConfig>) -> Option<StoredConfig> {
        let mut cfg = Config { revision: self.head.revision(), ..Config::default() };
        for reference in &self.head.parts {
            let own = self.parts.iter().find(|(digest, _)| *digest == reference.digest);
            let part = match own {
                Some((_, part)) => part.clone(),
                None => held?.part(reference.digest)?,
            };
            cfg.append(part);
        }
        Some(StoredConfig { head: self.head, config: cfg.into() })
    }
}
