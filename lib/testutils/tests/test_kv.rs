//! Tests that the HTTP key-value client classifies each call as done, not done or unknown when
//! the service or the link to it fails.

use std::time::{Duration, Instant};

use rosemarymoor_lib::kv_http::KvHttp;
use rosemarymoor_lib::kv_store::{KvStore, LeaseId, NotDone, Outcome, Revision};
use rosemarymoor_testutils::fault_proxy::Link;
use rosemarymoor_testutils::kv::{KvFaults, KvStandIn, Outage};

const KEY: &str = "shards/7 ü";
const SEED: u64 = 11;
/// Time limit of calls that have to succeed.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of calls that are expected to reach it.
const SHORT: Duration = Duration::from_millis(150);

struct Environment {
    service: KvStandIn,
    kv: KvHttp,
}

async fn open() -> Environment {
    let service = KvStandIn::bind(SEED).await.unwrap();
    let kv = KvHttp::open(&service.server().url()).unwrap();
    Environment { service, kv }
}

impl Environment {
    async fn put(&self, expected: Revision, timeout: Duration) -> Outcome<Revision> {
        self.kv.compare_and_swap(KEY, expected, b"value".to_vec(), None, timeout).await
    }

    /// Waits until the service holds a key.
    async fn wait_written(&self) {
        let start = Instant::now();
        while self.service.keys("").is_empty() {
            assert!(start.elapsed() < TIMEOUT, "the write did not take effect within {TIMEOUT:?}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

macro_rules! faulty_writes {
    ($($name:ident: $faults:expr, $timeout:ident => $outcome:expr, $writes:literal;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let env = open().await;
                env.service.set_faults(|faults| *faults = $faults);
                assert_eq!(env.put(Revision::ABSENT, $timeout).await, $outcome);
                assert_eq!(env.service.counts().writes, $writes);
            }
        )*
    };
}

fn outage(outage: Outage) -> KvFaults {
    KvFaults { outage: Some(outage), ..KvFaults::default() }
}

// The number of writes at the service shows that the client never repeats one.
faulty_writes! {
    write_without_fault: KvFaults::default(), TIMEOUT => Outcome::Done(Revision(1)), 1;
    write_that_is_refused: outage(Outage::Refuse), TIMEOUT
        => Outcome::NotDone(NotDone::Unavailable), 0;
    write_that_is_dropped: outage(Outage::Drop), TIMEOUT => Outcome::Unknown, 0;
    write_that_hangs: outage(Outage::Hang), SHORT => Outcome::Unknown, 0;
    write_over_the_rate: KvFaults { rate_limit: Some(0), ..KvFaults::default() }, TIMEOUT
        => Outcome::NotDone(NotDone::Unavailable), 0;
    write_whose_answer_is_lost: KvFaults { lose_answers: 1.0, ..KvFaults::default() }, TIMEOUT
        => Outcome::Unknown, 1;
}

#[tokio::test]
async fn a_stopped_service_has_certainly_not_written() {
    let env = open().await;
    env.service.server().stop();
    let outcome = env.put(Revision::ABSENT, TIMEOUT).await;
    assert_eq!(outcome, Outcome::NotDone(NotDone::Unavailable));
}

#[tokio::test]
async fn a_late_write_takes_effect_after_its_unknown_outcome() {
    let env = open().await;
    let late_by = Duration::from_millis(100);
    env.service.set_faults(|faults| (faults.late_writes, faults.late_by) = (1.0, late_by));
    assert_eq!(env.put(Revision::ABSENT, TIMEOUT).await, Outcome::Unknown);
    assert_eq!(env.kv.get(KEY, TIMEOUT).await, Outcome::Done(None));
    env.wait_written().await;
}

#[tokio::test]
async fn a_write_that_timed_out_still_takes_effect() {
    let env = open().await;
    env.service.set_faults(|faults| faults.delay = SHORT * 2);
    assert_eq!(env.put(Revision::ABSENT, SHORT).await, Outcome::Unknown);
    env.wait_written().await;
}

#[tokio::test]
async fn a_write_at_an_old_revision_conflicts() {
    let env = open().await;
    let first = env.put(Revision::ABSENT, TIMEOUT).await.done().unwrap();
    let second = env.put(Revision::ABSENT, TIMEOUT).await;
    assert_eq!(second, Outcome::NotDone(NotDone::Conflict { current: first }));
    let stored = env.kv.get(KEY, TIMEOUT).await.done().unwrap().unwrap();
    assert_eq!((stored.revision, stored.value.as_slice()), (first, b"value".as_slice()));
}

#[tokio::test]
async fn a_value_above_the_limit_is_too_large() {
    let env = open().await;
    let value = vec![0; (1 << 20) + 1];
    let outcome = env.kv.compare_and_swap(KEY, Revision::ABSENT, value, None, TIMEOUT).await;
    assert_eq!(outcome, Outcome::NotDone(NotDone::TooLarge));
}

#[tokio::test]
async fn a_watch_answers_a_change_and_otherwise_nothing() {
    let env = open().await;
    assert_eq!(env.kv.watch(KEY, Revision::ABSENT, SHORT).await, Outcome::Done(None));
    let (watched, written) = tokio::join!(
        env.kv.watch(KEY, Revision::ABSENT, TIMEOUT),
        env.put(Revision::ABSENT, TIMEOUT)
    );
    assert_eq!(watched.done().unwrap().unwrap().revision, written.done().unwrap());
}

#[tokio::test]
async fn the_end_of_a_lease_deletes_its_keys() {
    let env = open().await;
    let lease = env.kv.open_lease(Duration::from_millis(300), TIMEOUT).await.done().unwrap();
    let put = env.kv.compare_and_swap(KEY, Revision::ABSENT, vec![1], Some(lease), TIMEOUT).await;
    let revision = put.done().unwrap();
    assert_eq!(env.kv.keep_alive(lease, TIMEOUT).await, Outcome::Done(()));
    let watched = env.kv.watch(KEY, revision, TIMEOUT).await;
    assert_eq!(watched.done().unwrap().unwrap().revision, Revision::ABSENT);
    assert_eq!(env.kv.keep_alive(lease, TIMEOUT).await, Outcome::NotDone(NotDone::LeaseGone));
    let put = env.kv.compare_and_swap(KEY, Revision::ABSENT, vec![1], Some(lease), TIMEOUT).await;
    assert_eq!(put, Outcome::NotDone(NotDone::LeaseGone));
    let closed = env.kv.close_lease(LeaseId(99), TIMEOUT).await;
    assert_eq!(closed, Outcome::NotDone(NotDone::LeaseGone));
}

#[tokio::test]
async fn a_cut_link_makes_a_write_unknown_and_a_restored_one_serves_reads() {
    let env = open().await;
    let link = Link::bind_tcp(env.service.server().address()).await.unwrap();
    let kv = KvHttp::open(&format!("http://{}", link.address())).unwrap();
    link.set_cut(true);
    let put = kv.compare_and_swap(KEY, Revision::ABSENT, vec![1], None, SHORT).await;
    assert_eq!(put, Outcome::Unknown);
    assert_eq!(kv.get(KEY, SHORT).await, Outcome::NotDone(NotDone::Unavailable));
    link.set_cut(false);
    let outcome = kv.get(KEY, TIMEOUT).await;
    assert!(matches!(outcome, Outcome::Done(_)));
}
