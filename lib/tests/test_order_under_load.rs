//! What each kind of caller gets under load, in simulated time: against a refusal by a random share at an
//! entry, and against an engine's queue in which late requests do not yield.
//!
//! The bounds are what callers need: by the users' sheets a late answer is worth at most
//! [`LATE_WORTH`] of one in time, and no kind's worth falls by over 5 in 100; no kind is served clearly less often than a less urgent one, no
//! kind and no workspace less than a quarter as often as all, large requests at least half as often as
//! their kind, and nobody pays while there is room.

use rosemarymoor_lib::dispatch::order::early_repeats::EarlyRepeats;
use rosemarymoor_lib::dispatch::order::load_shedder::LoadShedder;
use rosemarymoor_lib::dispatch::order::room::{Decision, Demand, Room, decide, retry_after_ms};
use rosemarymoor_lib::dispatch::order::shed_order::RequestClass;
use rosemarymoor_lib::dispatch::order::urgency::{Beginning, urgency_of};
use rosemarymoor_lib::dispatch::order::workspace_rates::WorkspaceRates;
use rosemarymoor_lib::time::Millis;

/// Processor time of one request at the entry, in milliseconds.
const REQUEST_MS: f64 = 10.0;

/// Interval of the lag samples, in milliseconds.
const SAMPLE_MS: u64 = 50;

/// Seconds of usual traffic before the load, and of the load.
const CALM_S: u64 = 20;
const LOAD_S: u64 = 10;

/// Usual requests a second of the kinds of priority 0, 1 and 2.
const USUAL: [f64; 3] = [14.0, 26.0, 40.0];

/// Number of workspaces; the first one is the one that may be hot.
const WORKSPACES: usize = 8;

/// Load of the last seconds.
#[derive(Clone, Copy)]
struct Load {
    /// Multiple of the usual traffic, by kind.
    kinds: [f64; 3],
    /// Multiple of the usual traffic of the first workspace.
    hot: f64,
    /// Whether each third refused caller comes again at once, several times.
    impatient: bool,
}

/// Requests that were offered and served.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    asked: f64,
    served: f64,
}

impl Count {
    fn record(&mut self, is_served: bool) {
        self.asked += 1.0;
        self.served += f64::from(u8::from(is_served));
    }

    fn share(&self) -> f64 {
        self.served / self.asked.max(1.0)
    }
}

#[derive(Debug, Default)]
struct Outcome {
    all: Count,
    kinds: [Count; 3],
    large: [Count; 3],
    hot: Count,
    patient: Count,
    impatient: Count,
}

/// Pseudo-random numbers without a table.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

/// Entry that serves requests one after the other.
struct SimulatedEntry {
    shedder: LoadShedder,
    rates: WorkspaceRates,
    repeats: EarlyRepeats,
    is_ordered: bool,
    backlog_ms: f64,
    random: Random,
}

impl SimulatedEntry {
    /// Serves or refuses a request.
    fn offer(&mut self, kind: usize, workspace: usize, work: u64, id: u64, now: Millis) -> bool {
        let random = self.random.next();
        let excess = self.rates.record(&format!("w{workspace}"), now);
        let exceeds_rate = ((self.random.next() % 1_000) as f64) < excess * 1_000.0;
        let is_excess = exceeds_rate || self.repeats.is_early(id, now);
        let standing = RequestClass { priority: kind as u8, is_excess, work };
        let is_refused = match self.is_ordered {
            true => self.shedder.is_refused_in_order(&standing, random),
            false => self.shedder.is_refused(random),
        };
        if is_refused {
            self.repeats.record_refusal(id, now.plus(400));
            return false;
        }
        self.backlog_ms += REQUEST_MS;
        true
    }
}

/// Simulates usual traffic and the load after it; counts the load.
fn simulate(load: Load, is_ordered: bool) -> Outcome {
    let mut entry = SimulatedEntry {
        shedder: LoadShedder::default(),
        rates: WorkspaceRates::default(),
        repeats: EarlyRepeats::default(),
        is_ordered,
        backlog_ms: 0.0,
        random: Random(7),
    };
    let mut outcome = Outcome::default();
    let mut phases = Random(11);
    let mut due = [[0.0; WORKSPACES]; 3];
    for due in due.iter_mut().flatten() {
        *due = (phases.next() % 1_000) as f64 / 1_000.0;
    }
    let mut id = 0;
    for ms in 0..(CALM_S + LOAD_S) * 1_000 {
        let is_load = ms >= CALM_S * 1_000;
        entry.backlog_ms = (entry.backlog_ms - 1.0).max(0.0);
        for (kind, due) in due.iter_mut().enumerate() {
            for (workspace, due) in due.iter_mut().enumerate() {
                let kinds = if is_load { load.kinds[kind] } else { 1.0 };
                let hot = if is_load && workspace == 0 { load.hot } else { 1.0 };
                *due += USUAL[kind] / WORKSPACES as f64 / 1_000.0 * kinds * hot;
                while *due >= 1.0 {
                    *due -= 1.0;
                    id += 1;
                    let is_large = entry.random.next().is_multiple_of(10);
                    let work = if is_large { 8_000 } else { 1_000 };
                    let now = Millis(ms);
                    let mut is_served = entry.offer(kind, workspace, work, id, now);
                    let is_impatient = load.impatient && id % 3 == 0;
                    for _ in 0..if is_impatient { 3 } else { 0 } {
                        is_served = is_served || entry.offer(kind, workspace, work, id, now);
                    }
                    if !is_load {
                        assert!(is_served, "nobody is refused while there is room");
                        continue;
                    }
                    outcome.all.record(is_served);
                    outcome.kinds[kind].record(is_served);
                    if is_large {
                        outcome.large[kind].record(is_served);
                    }
                    if workspace == 0 {
                        outcome.hot.record(is_served);
                    }
                    let callers =
                        if is_impatient { &mut outcome.impatient } else { &mut outcome.patient };
                    callers.record(is_served);
                }
            }
        }
        if ms % SAMPLE_MS == 0 {
            entry.shedder.record_lag(entry.backlog_ms, Millis(ms));
        }
    }
    outcome
}

/// Checks what holds for every load; `today` is a random share.
fn check(ordered: &Outcome, today: &Outcome) {
    let all = ordered.all.share();
    assert!(ordered.all.served >= 0.9 * today.all.served, "{ordered:?} instead of {today:?}");
    for kind in 1..3 {
        let (urgent, less) = (ordered.kinds[kind - 1].share(), ordered.kinds[kind].share());
        assert!(urgent >= less - 0.05, "kind {kind}: {ordered:?}");
    }
    for kind in 0..3 {
        assert!(ordered.kinds[kind].share() >= all / 4.0, "kind {kind}: {ordered:?}");
        let (large, whole) = (ordered.large[kind].share(), ordered.kinds[kind].share());
        assert!(large >= whole / 2.0, "large ones of kind {kind}: {ordered:?}");
    }
    assert!(ordered.hot.share() >= all / 4.0, "{ordered:?}");
    assert!(ordered.kinds[0].share() > today.kinds[0].share(), "{ordered:?} not {today:?}");
}

macro_rules! loads {
    ($($case:ident: $load:expr, $more:expr;)*) => {
        $(#[test]
        fn $case() {
            let (ordered, today) = (simulate($load, true), simulate($load, false));
            check(&ordered, &today);
            let more: fn(&Outcome) -> bool = $more;
            assert!(more(&ordered), "{ordered:?}");
        })*
    };
}

const USUAL_LOAD: Load = Load { kinds: [1.0; 3], hot: 1.0, impatient: false };

loads! {
    the_most_urgent_kind_jumps: Load { kinds: [2.5, 1.0, 1.0], ..USUAL_LOAD }, |_| true;
    the_least_urgent_kind_jumps: Load { kinds: [1.0, 1.0, 2.5], ..USUAL_LOAD },
        |outcome| outcome.kinds[0].share() > 0.9;
    all_kinds_jump: Load { kinds: [2.5; 3], ..USUAL_LOAD }, |_| true;
    a_workspace_sends_many_times_its_usual: Load { hot: 7.5, ..USUAL_LOAD }, |outcome| {
        let others = Count {
            asked: outcome.all.asked - outcome.hot.asked,
            served: outcome.all.served - outcome.hot.served,
        };
        others.share() > outcome.hot.share() + 0.1
    };
    a_third_of_the_callers_repeat_at_once:
        Load { kinds: [2.0; 3], impatient: true, ..USUAL_LOAD },
        // What they gain by it stays below what as many independent chances would give.
        |outcome| outcome.impatient.share() < 1.0 - (1.0 - outcome.patient.share()).powi(4);
}

/// Request in an engine's queue.
struct Queued {
    urgency: u8,
    kind: usize,
    arrived_ms: u64,
    work_ms: f64,
}

/// Objective of a stream's first event in the simulated engine, in milliseconds.
const OBJECTIVE_MS: u64 = 800;

/// Time for which callers wait for it, in milliseconds.
const PATIENCE_MS: u64 = 3_200;

/// What the callers of one kind get from an engine.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    asked: u32,
    in_time: u32,
    late: u32,
}

/// Largest part of a request's worth that a late answer has for any kind on the users' sheets.
const LATE_WORTH: f64 = 0.45;

impl Served {
    fn served(&self) -> f64 {
        f64::from(self.in_time + self.late)
    }

    fn share(&self) -> f64 {
        self.served() / f64::from(self.asked)
    }

    fn worth(&self) -> f64 {
        f64::from(self.in_time) + LATE_WORTH * f64::from(self.late)
    }
}

/// Simulates a wave at an engine that runs one prefill after the other.
fn wave(multiples: [f64; 3], is_ordered: bool) -> [Served; 3] {
    const WORK_MS: [f64; 3] = [10.0, 20.0, 40.0];
    let mut served = [Served::default(); 3];
    let mut queue: Vec<Queued> = Vec::new();
    let mut due = [0.0; 3];
    let mut busy_ms: f64 = 0.0;
    for now in 0..30_000_u64 {
        let is_peak = (5_000..15_000).contains(&now);
        for kind in 0..3 {
            // Seven tenths of the engine's time in calm seconds.
            let multiple = if is_peak { multiples[kind] } else { 0.7 };
            due[kind] += multiple / WORK_MS[kind] / 3.0;
            while due[kind] >= 1.0 {
                due[kind] -= 1.0;
                served[kind].asked += 1;
                let urgency = urgency_of(kind as u8, Beginning::New);
                let ahead = queue.iter().filter(|queued| queued.urgency <= urgency);
                let first_event_ms =
                    busy_ms + WORK_MS[kind] + ahead.map(|queued| queued.work_ms).sum::<f64>();
                let room = Room::Open { first_event_ms, is_reliable: true, has_queue: true };
                let demand = Demand {
                    age_ms: 0,
                    objective_ms: OBJECTIVE_MS,
                    time_left_ms: 10_000,
                    is_stream: true,
                    is_taken_up: false,
                };
                let beginning = match decide(&demand, &room) {
                    Decision::Refuse { .. } if is_ordered => continue,
                    Decision::Send { yields: true } if is_ordered => Beginning::Late,
                    _ => Beginning::New,
                };
                let urgency = urgency_of(kind as u8, beginning);
                queue.push(Queued { urgency, kind, arrived_ms: now, work_ms: WORK_MS[kind] });
            }
        }
        busy_ms -= 1.0;
        queue.retain(|queued| now - queued.arrived_ms <= PATIENCE_MS);
        while busy_ms <= 0.0 {
            let first =
                (0..queue.len()).min_by_key(|at| (queue[*at].urgency, queue[*at].arrived_ms));
            let Some(first) = first else { break };
            let first = queue.remove(first);
            busy_ms = busy_ms.max(0.0) + first.work_ms;
            match now - first.arrived_ms <= OBJECTIVE_MS {
                true => served[first.kind].in_time += 1,
                false => served[first.kind].late += 1,
            }
        }
        busy_ms = busy_ms.max(0.0);
    }
    served
}

macro_rules! waves {
    ($($case:ident: $multiples:expr;)*) => {
        $(#[test]
        fn $case() {
            let (ordered, today) = (wave($multiples, true), wave($multiples, false));
            let worth = |served: &[Served; 3]| served.iter().map(Served::worth).sum::<f64>();
            assert!(worth(&ordered) >= worth(&today), "{ordered:?} instead of {today:?}");
            let all = ordered.iter().map(Served::served).sum::<f64>()
                / ordered.iter().map(|kind| f64::from(kind.asked)).sum::<f64>();
            for (kind, now) in ordered.iter().enumerate() {
                let message = format!("kind {kind}: {ordered:?} instead of {today:?}");
                assert!(now.worth() >= 0.95 * today[kind].worth(), "{message}");
                assert!(now.share() >= all / 4.0, "{message}");
                if kind > 0 {
                    assert!(ordered[kind - 1].share() >= now.share() - 0.05, "{message}");
                }
            }
        })*
    };
}

waves! {
    a_wave_of_all_kinds: [2.5; 3];
    a_wave_just_beyond_what_the_engine_can_do: [1.2; 3];
    a_wave_of_the_most_urgent_kind: [4.0, 0.7, 0.7];
    a_wave_of_the_least_urgent_kind: [0.7, 0.7, 4.0];
}

/// Callers that were refused together come back spread over the delay's jitter.
#[test]
fn refused_callers_come_back_spread() {
    let mut random = Random(3);
    let mut tenths = [0; 10];
    for _ in 0..1_000 {
        let delay_ms = retry_after_ms(500, random.next());
        tenths[((delay_ms - 500) / 30) as usize] += 1;
    }
    assert!(tenths.iter().all(|count| (50..200).contains(count)), "{tenths:?}");
}
