//! Model of the key-value service that can apply writes late.

use rosemarymoor_lib::kv_store::{NotDone, Outcome, Revision, Versioned};

/// Write without an answer that has not been applied yet.
struct LateWrite {
    key: String,
    expected: Revision,
    value: Vec<u8>,
}

/// Model of the store; conditional writes fail unless the row is at the expected revision.
#[derive(Default)]
pub struct ModelStore {
    revision: u64,
    /// Sorted by key.
    rows: Vec<(String, Versioned)>,
    late: Vec<LateWrite>,
    /// Number of conditional writes so far.
    calls: u64,
}

impl ModelStore {
    /// Returns the row of a key.
    pub fn get(&self, key: &str) -> Option<Versioned> {
        let index = self.rows.binary_search_by(|row| row.0.as_str().cmp(key)).ok()?;
        Some(self.rows[index].1.clone())
    }

    /// Writes a row unconditionally and returns its revision.
    pub fn put(&mut self, key: &str, value: Vec<u8>) -> Revision {
        self.revision += 1;
        let versioned = Versioned { revision: Revision(self.revision), value };
        match self.rows.binary_search_by(|row| row.0.as_str().cmp(key)) {
            Ok(index) => self.rows[index].1 = versioned,
            Err(index) => self.rows.insert(index, (key.to_owned(), versioned)),
        }
        Revision(self.revision)
    }

    /// Writes a row at the expected revision.
    ///
    /// A late write has an unknown outcome and is applied at a later call, of which every
    /// fifth applies all late writes.
    pub fn write(
        &mut self,
        key: &str,
        expected: Revision,
        value: Vec<u8>,
        late: bool,
    ) -> Outcome<Revision> {
        self.calls += 1;
        if self.calls.is_multiple_of(5) {
            self.apply_late_writes();
        }
        if late {
            self.late.push(LateWrite { key: key.to_owned(), expected, value });
            return Outcome::Unknown;
        }
        let current = self.get(key).map_or(Revision::ABSENT, |row| row.revision);
        if current != expected {
            return Outcome::NotDone(NotDone::Conflict { current });
        }
        Outcome::Done(self.put(key, value))
    }

    fn apply_late_writes(&mut self) {
        for write in std::mem::take(&mut self.late) {
            let current = self.get(&write.key).map_or(Revision::ABSENT, |row| row.revision);
            if current == write.expected {
                self.put(&write.key, write.value);
            }
        }
    }
}
