//! One shard of claims and the changes to it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{Attempt, EpochId, RequestId};
use crate::time::Millis;

/// Random number of one claimant; tells its claim from any other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimToken(pub u64);

/// Claim on a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub request: RequestId,
    pub token: ClaimToken,
    /// Digest of the content; tells a reused key from a retry.
    pub fingerprint: u128,
    /// Epoch that pays for the delivery.
    pub holder: EpochId,
    pub attempt: Attempt,
    pub target: String,
    pub sidecar: SocketAddr,
    /// How long the claim is kept after it was last seen to change, in milliseconds.
    pub window_ms: u64,
    pub state: ClaimState,
}

/// What is known of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// It may be running; the sidecar knows more.
    Claimed,
    /// It ran; this is its answer.
    Answered(StoredAnswer),
}

/// Answer kept with a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    pub status: u16,
    pub content_type: String,
    /// `None` if the body is too large to be kept in the store.
    pub body: Option<Vec<u8>>,
    /// What the request cost, in tokens.
    pub charge: u64,
}

/// Change to the claim of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    /// Claims the request, or moves a claim with the same token.
    Acquire(Claim),
    /// Records the answer.
    Answer { request: RequestId, token: ClaimToken, answer: StoredAnswer },
    /// Drops a claim whose request certainly did not run.
    Release { request: RequestId, token: ClaimToken },
}

impl ClaimChange {
    /// Request that the change is about.
    pub fn request(&self) -> RequestId {
        match self {
            ClaimChange::Acquire(claim) => claim.request,
            ClaimChange::Answer { request, .. } | ClaimChange::Release { request, .. } => *request,
        }
    }
}

/// What a change comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The shard holds the change, once it is written.
    Changed,
    /// The shard held it already.
    Unchanged,
    /// Another claimant holds the request.
    HeldByOther(Claim),
}

/// Claims of one shard, sorted by request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimShard {
    claims: Vec<Claim>,
}

impl ClaimShard {
    /// Reads a shard; `None` if the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<ClaimShard> {
        postcard::from_bytes(bytes).ok()
    }

    /// Bytes for the store.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("claims always serialise")
    }

    /// Claims, sorted by request.
    pub fn claims(&self) -> &[Claim] {
        &self.claims
    }

    /// Claim of a request.
    pub fn find(&self, request: RequestId) -> Option<&Claim> {
        let at = self.position(request).ok()?;
        Some(&self.claims[at])
    }

    /// Applies one change.
    pub fn apply(&mut self, change: &ClaimChange) -> ChangeOutcome {
        match (self.position(change.request()), change) {
            (Ok(at), ClaimChange::Acquire(claim)) => self.retake(at, claim),
            (Err(at), ClaimChange::Acquire(claim)) => {
                self.claims.insert(at, claim.clone());
                ChangeOutcome::Changed
            }
            (Ok(at), ClaimChange::Answer { token, answer, .. }) => self.answer(at, *token, answer),
            (Ok(at), ClaimChange::Release { token, .. }) => self.release(at, *token),
            (Err(_), ClaimChange::Answer { .. } | ClaimChange::Release { .. }) => {
                ChangeOutcome::Unchanged
            }
        }
    }

    /// Drops the claims for which `expired` holds.
    pub fn sweep(&mut self, expired: impl Fn(&Claim) -> bool) {
        self.claims.retain(|claim| !expired(claim));
    }

    fn retake(&mut self, at: usize, claim: &Claim) -> ChangeOutcome {
        let held = &mut self.claims[at];
        // An answered request ran, even if its claimant does not know it yet.
        if held.token != claim.token || held.state != ClaimState::Claimed {
            return ChangeOutcome::HeldByOther(held.clone());
        }
        if held == claim {
            return ChangeOutcome::Unchanged;
        }
        *held = claim.clone();
        ChangeOutcome::Changed
    }

    fn answer(&mut self, at: usize, token: ClaimToken, answer: &StoredAnswer) -> ChangeOutcome {
        let held = &mut self.claims[at];
        if held.token != token {
            return ChangeOutcome::HeldByOther(held.clone());
        }
        if held.state != ClaimState::Claimed {
            return ChangeOutcome::Unchanged;
        }
        held.state = ClaimState::Answered(answer.clone());
        ChangeOutcome::Changed
    }

    fn release(&mut self, at: usize, token: ClaimToken) -> ChangeOutcome {
        let held = &self.claims[at];
        // An answered request ran, whatever its claimant believes.
        if held.token != token || held.state != ClaimState::Claimed {
            return ChangeOutcome::Unchanged;
        }
        self.claims.remove(at);
        ChangeOutcome::Changed
    }

    fn position(&self, request: RequestId) -> Result<usize, usize> {
        self.claims.binary_search_by_key(&request, |claim| claim.request)
    }
}

/// When this process first saw each claim in its present state.
///
/// Expiry counts from here on the process's own clock, never earlier than the
/// claim was made, so that no clock of another host can shorten a window.
#[derive(Clone, Debug, Default)]
pub struct ClaimObservations {
    /// Sorted by request.
    seen: Vec<Observation>,
}

#[derive(Clone, Debug)]
struct Observation {
    request: RequestId,
    token: ClaimToken,
    answered: bool,
    since: Millis,
}

impl ClaimObservations {
    /// Takes note of a shard as it was read or written.
    pub fn observe(&mut self, shard: &ClaimShard, now: Millis) {
        let seen = shard.claims().iter().map(|claim| self.observation(claim, now)).collect();
        self.seen = seen;
    }

    /// Whether the claim's window has passed since this process first saw it.
    pub fn expired(&self, claim: &Claim, now: Millis) -> bool {
        let since = self.observation(claim, now).since;
        now.since(since) > claim.window_ms
    }

    fn observation(&self, claim: &Claim, now: Millis) -> Observation {
        let answered = claim.state != ClaimState::Claimed;
        let fresh =
            Observation { request: claim.request, token: claim.token, answered, since: now };
        let known =
            self.seen.binary_search_by_key(&claim.request, |observation| observation.request);
        match known.map(|at| &self.seen[at]) {
            Ok(known) if known.token == fresh.token && known.answered == answered => known.clone(),
            _ => fresh,
        }
    }
}
