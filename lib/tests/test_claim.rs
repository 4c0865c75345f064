//! Tests of claim shards: one claimant wins, a repeated claim is recognised, windows expire.

use proptest::prelude::*;
use rosemarymoor_lib::claim::*;
use rosemarymoor_lib::id::{Attempt, EpochId, RequestId};
use rosemarymoor_lib::time::Millis;

fn claim(request: u128, token: u64) -> Claim {
    Claim {
        request: RequestId(request),
        token: ClaimToken(token),
        fingerprint: 7,
        holder: EpochId(1),
        attempt: Attempt(1),
        target: "filing-1".to_owned(),
        sidecar: ([127, 0, 0, 1], 7000).into(),
        window_ms: 1_000,
        state: ClaimState::Claimed,
    }
}

fn answer(charge: u64) -> StoredAnswer {
    StoredAnswer { status: 201, content_type: String::new(), body: Some(vec![1]), charge }
}

#[test]
fn a_second_claimant_gets_the_claim_of_the_first() {
    let mut shard = ClaimShard::default();
    assert_eq!(shard.apply(&ClaimChange::Acquire(claim(1, 10))), ChangeOutcome::Changed);
    assert_eq!(
        shard.apply(&ClaimChange::Acquire(claim(1, 11))),
        ChangeOutcome::HeldByOther(claim(1, 10))
    );
    assert_eq!(shard.apply(&ClaimChange::Acquire(claim(1, 10))), ChangeOutcome::Unchanged);
}

#[test]
fn an_answered_claim_cannot_be_released() {
    let mut shard = ClaimShard::default();
    let (request, token) = (RequestId(1), ClaimToken(10));
    shard.apply(&ClaimChange::Acquire(claim(1, 10)));
    let change = ClaimChange::Answer { request, token, answer: answer(5) };
    assert_eq!(shard.apply(&change), ChangeOutcome::Changed);
    assert_eq!(shard.apply(&ClaimChange::Release { request, token }), ChangeOutcome::Unchanged);
    assert_eq!(shard.find(request).unwrap().state, ClaimState::Answered(answer(5)));
}

#[test]
fn a_window_starts_at_the_first_observation_and_restarts_at_the_answer() {
    let mut shard = ClaimShard::default();
    let mut observations = ClaimObservations::default();
    shard.apply(&ClaimChange::Acquire(claim(1, 10)));
    observations.observe(&shard, Millis(5_000));
    assert!(!observations.is_expired(&shard.claims()[0], Millis(6_000)));
    assert!(observations.is_expired(&shard.claims()[0], Millis(6_001)));
    let (request, token) = (RequestId(1), ClaimToken(10));
    shard.apply(&ClaimChange::Answer { request, token, answer: answer(5) });
    observations.observe(&shard, Millis(6_500));
    assert!(!observations.is_expired(&shard.claims()[0], Millis(7_500)));
}

proptest! {
    #[test]
    fn a_request_has_one_claimant_in_any_order(
        steps in prop::collection::vec((0u128..4, 0u64..4, 0u8..3), 1..60),
    ) {
        let mut shard = ClaimShard::default();
        let mut answered: Vec<(u128, u64)> = Vec::new();
        for (request, token, kind) in steps {
            let (id, token_id) = (RequestId(request), ClaimToken(token));
            match kind {
                0 => {
                    let applied = shard.apply(&ClaimChange::Acquire(claim(request, token)));
                    if matches!(applied, ChangeOutcome::Changed) && !answered.contains(&(request, token)) {
                        // A claim is free again only if its holder released it before it was answered.
                        prop_assert!(answered.iter().all(|(claimed, _)| *claimed != request));
                    }
                }
                1 => {
                    let change = ClaimChange::Answer { request: id, token: token_id, answer: answer(1) };
                    if shard.apply(&change) == ChangeOutcome::Changed {
                        answered.push((request, token));
                    }
                }
                _ => {
                    shard.apply(&ClaimChange::Release { request: id, token: token_id });
                }
            }
            for (request, token) in &answered {
                prop_assert_eq!(shard.find(RequestId(*request)).unwrap().token, ClaimToken(*token));
            }
        }
        prop_assert_eq!(ClaimShard::decode(&shard.encode()), Some(shard));
    }
}
