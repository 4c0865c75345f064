//! Checks that requests with a part that crashes targets stop reaching them.

use std::time::{Duration, Instant};

use super::Verifier;
use crate::crashes::{entry_of, is_bad};
use crate::record::Component;

/// Crashes after which the part has to be refused.
const MAX_CRASHES: usize = 5;

/// Time that this may take, and that a fault of an entry or of the control plane excuses.
const CONTACT_TIME: Duration = Duration::from_millis(1_500);

/// Requests with the part that may reach targets after that.
const MAX_LATER: usize = 3;

/// Requests with the part that may reach targets at all, with all faults.
const MAX_REACHING: usize = 40;

impl Verifier<'_> {
    /// Checks what reached targets, from entries without a fault and in all.
    pub(super) fn verify_crashes(&mut self) {
        let mut reached: Vec<(Instant, usize)> = Vec::new();
        for target in self.fleet.targets() {
            let received = target.stand_in.received();
            let bad = received.iter().filter(|received| is_bad(received));
            reached.extend(bad.filter_map(|bad| Some((bad.received_at, entry_of(bad)?))));
        }
        reached.sort();
        self.bad_parts_reached = reached.len() as u64;
        let Some((fifth, _)) = reached.get(MAX_CRASHES - 1).copied() else { return };
        let later = reached.iter().filter(|(at, entry)| {
            *at > fifth + CONTACT_TIME && !self.was_out_of_touch(*entry, *at)
        });
        let later = later.count();
        if later > MAX_LATER || reached.len() > MAX_REACHING {
            self.violations.bad_part_sent += later.max(1) as u64;
            let all = reached.len();
            self.add_finding(format!(
                "{all} requests with a part that crashes targets reached them, {later} of them later"
            ));
        }
    }

    /// Returns whether an entry had a fault shortly before, or the control plane.
    fn was_out_of_touch(&self, entry: usize, at: Instant) -> bool {
        let since = at - CONTACT_TIME;
        let record = &self.fleet.record;
        record.was_affected(Component::Entry(entry), since, at)
            || record.was_affected(Component::ControlPlane, since, at)
    }
}
