//! What an entry knows of holders' grants from the reservations that they granted it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rosemarymoor_lib::budget::ceiling::GrantWitness;

/// Number of grants from which on old ones are dropped.
const MAX_WITNESSES: usize = 1_024;

/// Time for which a grant is remembered, longer than a copy of the store is old.
const RETENTION: Duration = Duration::from_secs(60);

/// Holder's commitment as an entry last saw it.
struct RecentWitness {
    witness: GrantWitness,
    recorded_at: Instant,
}

/// Highest commitments of the last minute; clones share them.
#[derive(Clone, Default)]
pub struct GrantWitnesses {
    /// Sorted by budget and epoch.
    recent: Arc<Mutex<Vec<RecentWitness>>>,
}

impl GrantWitnesses {
    /// Remembers what a holder had committed when it granted a reservation.
    pub fn record(&self, witness: GrantWitness) {
        let mut recent = self.lock();
        if recent.len() >= MAX_WITNESSES {
            recent.retain(RecentWitness::is_recent);
        }
        let key = (&witness.budget, witness.epoch);
        let order = |known: &RecentWitness| (&known.witness.budget, known.witness.epoch).cmp(&key);
        let recorded_at = Instant::now();
        match recent.binary_search_by(order) {
            Ok(at) => {
                let known = &mut recent[at];
                known.witness.committed = known.witness.committed.max(witness.committed);
                known.recorded_at = recorded_at;
            }
            Err(at) => recent.insert(at, RecentWitness { witness, recorded_at }),
        }
    }

    /// Returns all that is remembered.
    pub fn all(&self) -> Vec<GrantWitness> {
        let mut recent = self.lock();
        recent.retain(RecentWitness::is_recent);
        recent.iter().map(|known| known.witness.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RecentWitness>> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RecentWitness {
    fn is_recent(&self) -> bool {
        self.recorded_at.elapsed() < RETENTION
    }
}
