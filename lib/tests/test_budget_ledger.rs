//! Tests of ledger shards and of the receipts of sidecars, without processes.

use rosemarymoor_lib::budget::{Grant, Receipts, Shard, SpendWitness, shard_of};
use rosemarymoor_lib::id::{BudgetId, EpochId, OperationId};
use rosemarymoor_lib::result_code::ResultCode;
use rosemarymoor_lib::wire::{Funding, FundingPart, WitnessRequest};

fn budget() -> BudgetId {
    BudgetId { workspace: "barrierefrei".to_owned(), name: "dossiers".to_owned() }
}

fn funding(root: EpochId, amount: u64) -> Funding {
    Funding { holder: root, budget: budget(), parts: vec![FundingPart { root, amount }] }
}

#[test]
fn a_repeated_top_up_operation_counts_once() {
    let mut shard = Shard::default();
    let account = shard.open_account(&budget());
    assert!(account.top_up(100, OperationId(1)));
    assert!(!account.top_up(100, OperationId(1)));
    assert_eq!(account.prepaid, 100);
}

#[test]
fn an_encoded_shard_decodes_to_the_same_shard() {
    let mut shard = Shard::default();
    let account = shard.open_account(&budget());
    account.top_up(100, OperationId(1));
    account.set_grant(Grant { epoch: EpochId(7), granted: 60, settled: 10 });
    assert_eq!(Shard::decode(&shard.encode()), Some(shard));
}

#[test]
fn grants_never_exceed_the_prepaid_tokens() {
    let mut shard = Shard::default();
    let account = shard.open_account(&budget());
    account.top_up(100, OperationId(1));
    assert!(account.set_grant(Grant { epoch: EpochId(1), granted: 60, settled: 10 }));
    assert!(!account.set_grant(Grant { epoch: EpochId(2), granted: 41, settled: 0 }));
    assert!(account.set_grant(Grant { epoch: EpochId(1), granted: 100, settled: 10 }));
    account.close_grant(EpochId(1));
    assert_eq!((account.free(), account.spent()), (90, 10));
}

#[test]
fn shard_numbers_stay_in_range() {
    assert!((1..50).all(|shards| shard_of(&budget(), shards) < shards));
}

#[test]
fn a_sidecar_admits_only_enrolled_open_epochs() {
    let receipts = Receipts::open(5);
    let funding = funding(EpochId(1), 10);
    let refusal = receipts.admit(&funding).unwrap_err();
    assert_eq!(refusal.code, ResultCode::EpochClosed);
    let stale = WitnessRequest::Enroll { epoch: EpochId(1), incarnation: 4 };
    assert!(!receipts.answer(stale).enrolled);
    assert!(receipts.admit(&funding).is_err());
    let current = WitnessRequest::Enroll { epoch: EpochId(1), incarnation: 5 };
    assert!(receipts.answer(current).enrolled);
    assert!(receipts.admit(&funding).is_ok());
    let totals = receipts.answer(WitnessRequest::Close { epoch: EpochId(1) }).totals;
    assert_eq!((totals[0].charged, totals[0].reserved), (0, 10));
    assert!(receipts.admit(&funding).is_err());
    assert!(!receipts.answer(current).enrolled);
    receipts.charge(&funding, 4);
    let totals = receipts.answer(WitnessRequest::Close { epoch: EpochId(1) }).totals;
    assert_eq!((totals[0].charged, totals[0].reserved), (4, 0));
}
