//! Claims of one shard, the changes to them and their expiry, without I/O.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{Attempt, EpochId, RequestId};
use crate::time::Millis;

/// Random number that identifies a claimant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimToken(pub u64);

/// Claim on a request that must not run twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub request: RequestId,
    /// Claimant that made the claim.
    pub token: ClaimToken,
    /// Digest of the request's content; distinguishes a reused idempotency key from a retry.
    pub fingerprint: u128,
    /// Epoch whose reservation pays for the request.
    pub holder: EpochId,
    pub attempt: Attempt,
    /// Name of the target that the request is delivered to.
    pub target: String,
    /// Address of the target's sidecar.
    pub sidecar: SocketAddr,
    /// How long the claim is kept after its last observed change, in milliseconds.
    pub window_ms: u64,
    pub state: ClaimState,
}

/// State of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The request may be running; its sidecar knows the current state.
    Claimed,
    /// The request ran and gave this answer.
    Answered(StoredAnswer),
}

/// Answer stored with a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    pub content_type: String,
    /// `None` if the body is too large for the store.
    pub body: Option<Vec<u8>>,
    /// Cost of the request, in tokens.
    pub charge: u64,
}

/// Change to the claim of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    /// Claims the request, or replaces a claim that has the same token.
    Acquire(Claim),
    /// Records the answer of a claimed request.
    Answer { request: RequestId, token: ClaimToken, answer: StoredAnswer },
    /// Removes a claim whose request certainly did not run.
    Release { request: RequestId, token: ClaimToken },
}

impl ClaimChange {
    /// Returns the request whose claim changes.
    pub fn request(&self) -> RequestId {
        match self {
            ClaimChange::Acquire(claim) => claim.request,
            ClaimChange::Answer { request, .. } | ClaimChange::Release { request, .. } => *request,
        }
    }
}

/// Result of applying a [`ClaimChange`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The shard changed and has to be written.
    Changed,
    /// The shard already contains the change, or has no claim that it applies to.
    Unchanged,
    /// The request has a claim that the change may not replace.
    HeldByOther(Claim),
}

/// Claims of one shard, sorted by request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimShard {
    claims: Vec<Claim>,
}

impl ClaimShard {
    /// Decodes a stored shard; returns `None` if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Option<ClaimShard> {
        postcard::from_bytes(bytes).ok()
    }

    /// Encodes the shard for the store.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("claims always serialise")
    }

    /// Returns the claims, sorted by request.
    pub fn claims(&self) -> &[Claim] {
        &self.claims
    }

    /// Returns the claim of a request.
    pub fn find(&self, request: RequestId) -> Option<&Claim> {
        let at = self.position(request).ok()?;
        Some(&self.claims[at])
    }

    /// Applies one change and returns its outcome.
    pub fn apply(&mut self, change: &ClaimChange) -> ChangeOutcome {
        match (self.position(change.request()), change) {
            (Ok(at), ClaimChange::Acquire(claim)) => self.reacquire(at, claim),
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

    /// Removes the claims for which `is_expired` returns true.
    pub fn remove_expired(&mut self, is_expired: impl Fn(&Claim) -> bool) {
        self.claims.retain(|claim| !is_expired(claim));
    }

    fn reacquire(&mut self, at: usize, claim: &Claim) -> ChangeOutcome {
        let current = &mut self.claims[at];
        // An answered request has run, even if its claimant does not know this yet.
        if current.token != claim.token || current.state != ClaimState::Claimed {
            return ChangeOutcome::HeldByOther(current.clone());
        }
        if current == claim {
            return ChangeOutcome::Unchanged;
        }
        *current = claim.clone();
        ChangeOutcome::Changed
    }

    fn answer(&mut self, at: usize, token: ClaimToken, answer: &StoredAnswer) -> ChangeOutcome {
        let current = &mut self.claims[at];
        if current.token != token {
            return ChangeOutcome::HeldByOther(current.clone());
        }
        if current.state != ClaimState::Claimed {
            return ChangeOutcome::Unchanged;
        }
        current.state = ClaimState::Answered(answer.clone());
        ChangeOutcome::Changed
    }

    fn release(&mut self, at: usize, token: ClaimToken) -> ChangeOutcome {
        let current = &self.claims[at];
        // An answered request has run, even if its claimant reports that it did not.
        if current.token != token || current.state != ClaimState::Claimed {
            return ChangeOutcome::Unchanged;
        }
        self.claims.remove(at);
        ChangeOutcome::Changed
    }

    fn position(&self, request: RequestId) -> Result<usize, usize> {
        self.claims.binary_search_by_key(&request, |claim| claim.request)
    }
}

/// Times at which this process first observed each claim in its current state.
///
/// Expiry is measured from these times on the process's own monotonic clock. They
/// are never earlier than the claim itself, so that another host's clock cannot
/// shorten a claim's window.
#[derive(Clone, Debug, Default)]
pub struct ClaimObservations {
    /// Sorted by request.
    observed: Vec<Observation>,
}

/// State of one claim and the time at which it was first observed.
#[derive(Clone, Debug)]
struct Observation {
    request: RequestId,
    token: ClaimToken,
    answered: bool,
    since: Millis,
}

impl ClaimObservations {
    /// Records the claims of a shard that was read or written at `now`.
    pub fn observe(&mut self, shard: &ClaimShard, now: Millis) {
        let observed = shard.claims().iter().map(|claim| self.observation(claim, now)).collect();
        self.observed = observed;
    }

    /// Returns whether the claim's window has passed since this process first observed its state.
    pub fn is_expired(&self, claim: &Claim, now: Millis) -> bool {
        let since = self.observation(claim, now).since;
        now.since(since) > claim.window_ms
    }

    fn observation(&self, claim: &Claim, now: Millis) -> Observation {
        let answered = claim.state != ClaimState::Claimed;
        let fresh =
            Observation { request: claim.request, token: claim.token, answered, since: now };
        let known =
            self.observed.binary_search_by_key(&claim.request, |observation| observation.request);
        match known.map(|at| &self.observed[at]) {
            Ok(known) if known.token == fresh.token && known.answered == answered => known.clone(),
            _ => fresh,
        }
    }
}
