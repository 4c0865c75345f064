//! Model of the key-value service with writes that land late.

use rosemarymoor_lib::kv_store::{NotDone, Outcome, Revision, Versioned};

struct LateWrite {
    key: String,
    expected: Revision,
    value: Vec<u8>,
}

#[derive(Default)]
pub struct ModelStore {
    revision: u64,
    rows: Vec<(String, Versioned)>,
    late: Vec<LateWrite>,
    calls: u64,
}

impl ModelStore {
    pub fn get(&self, key: &str) -> Option<Versioned> {
        let at = self.rows.binary_search_by(|row| row.0.as_str().cmp(key)).ok()?;
        Some(self.rows[at].1.clone())
    }

    pub fn put(&mut self, key: &str, value: Vec<u8>) -> Revision {
        self.revision += 1;
        let held = Versioned { revision: Revision(self.revision), value };
        match self.rows.binary_search_by(|row| row.0.as_str().cmp(key)) {
            Ok(at) => self.rows[at].1 = held,
            Err(at) => self.rows.insert(at, (key.to_owned(), held)),
        }
        Revision(self.revision)
    }

    /// Writes at once, or some calls later.
    pub fn write(
        &mut self,
        key: &str,
        expected: Revision,
        value: Vec<u8>,
        late: bool,
    ) -> Outcome<Revision> {
        self.calls += 1;
        if self.calls.is_multiple_of(5) {
            self.land_late();
        }
        if late {
            self.late.push(LateWrite { key: key.to_owned(), expected, value });
            return Outcome::Unknown;
        }
        let current = self.get(key).map_or(Revision::ABSENT, |held| held.revision);
        if current != expected {
            return Outcome::NotDone(NotDone::Conflict { current });
        }
        Outcome::Done(self.put(key, value))
    }

    fn land_late(&mut self) {
        for write in std::mem::take(&mut self.late) {
            let current = self.get(&write.key).map_or(Revision::ABSENT, |held| held.revision);
            if current == write.expected {
                self.put(&write.key, write.value);
            }
        }
    }
}
