//! Load shedding of an entry whose processor is too slow for a burst, in simulated time.

use rosemarymoor_lib::dispatch::order::load_shedder::LoadShedder;
use rosemarymoor_lib::time::Millis;

/// Processor time of one request, in milliseconds.
const REQUEST_MS: f64 = 10.0;

/// Interval of the lag samples, in milliseconds.
const SAMPLE_MS: u64 = 50;

/// Time in which an answer is still useful to its caller, in milliseconds.
const USEFUL_MS: f64 = 1_000.0;

/// What callers get in a simulated span.
#[derive(Debug, Default)]
struct Outcome {
    requests: u64,
    served_in_time: u64,
    served_late: u64,
    refused: u64,
}

/// Simulates an entry that serves requests one after the other, with `per_s` requests a second in
/// each second of the load.
fn simulate(load: &[u64], mut shedder: Option<LoadShedder>) -> (Outcome, Option<LoadShedder>) {
    let mut outcome = Outcome::default();
    // Processor time that the accepted requests still need.
    let mut backlog_ms: f64 = 0.0;
    let mut due = 0.0;
    for now in 0..load.len() as u64 * 1_000 {
        backlog_ms = (backlog_ms - 1.0).max(0.0);
        due += load[(now / 1_000) as usize] as f64 / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            outcome.requests += 1;
            let random = outcome.requests.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
            if shedder.as_ref().is_some_and(|shedder| shedder.is_refused(random)) {
                outcome.refused += 1;
                continue;
            }
            backlog_ms += REQUEST_MS;
            match backlog_ms <= USEFUL_MS {
                true => outcome.served_in_time += 1,
                false => outcome.served_late += 1,
            }
        }
        if let Some(shedder) = shedder.as_mut().filter(|_| now % SAMPLE_MS == 0) {
            shedder.record_lag(backlog_ms, Millis(now));
        }
    }
    (outcome, shedder)
}

/// A burst of three times what the processor can serve, for 8 s.
const BURST: &[u64] = &[50, 50, 300, 300, 300, 300, 300, 300, 300, 300, 50, 50, 50, 50];

#[test]
fn a_burst_beyond_the_processor_is_served_as_far_as_it_goes() {
    let (without, _) = simulate(BURST, None);
    let (with, shedder) = simulate(BURST, Some(LoadShedder::default()));
    assert!(with.served_in_time > 2 * without.served_in_time, "{with:?} instead of {without:?}");
    assert!(with.served_late * 20 < with.requests, "{with:?}");
    // Nine tenths of what the processor could serve in the burst.
    assert!(with.served_in_time >= 900, "{with:?}");
    assert!(!shedder.unwrap().is_shedding(), "it ends with the burst");
}

#[test]
fn load_that_the_processor_can_serve_is_never_refused() {
    let (outcome, _) = simulate(&[90; 20], Some(LoadShedder::default()));
    assert_eq!((outcome.refused, outcome.served_late), (0, 0), "{outcome:?}");
}

/// A single pause, as of a host that stood still, is no overload.
#[test]
fn one_late_timer_sheds_nothing() {
    let mut shedder = LoadShedder::default();
    shedder.record_lag(5_000.0, Millis(0));
    for sample in 1..6 {
        shedder.record_lag(0.0, Millis(sample * SAMPLE_MS));
    }
    assert!(!shedder.is_shedding() && !shedder.is_unready(Millis(300)));
}

#[test]
fn an_overloaded_entry_is_unready_until_a_while_after_it() {
    let mut shedder = LoadShedder::default();
    for sample in 0..10 {
        shedder.record_lag(500.0, Millis(sample * SAMPLE_MS));
    }
    assert!(shedder.is_shedding() && shedder.is_unready(Millis(500)));
    for sample in 10..60 {
        shedder.record_lag(0.0, Millis(sample * SAMPLE_MS));
    }
    assert!(!shedder.is_shedding());
    // The balancer notices an unready entry after two checks, one second apart.
    assert!(shedder.is_unready(Millis(2_500)) && !shedder.is_unready(Millis(10_000)));
}
