//! Targets of a run: scripted stand-ins behind a link, which answer correctly or, while a fault
//! is injected, corrupt some requests.

use std::collections::BTreeSet;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rosemarymoor_platform_standins::fixtures::script;
use rosemarymoor_platform_standins::target::{
    ReceivedRequest, Step, TargetStandIn, chunk, event, last_chunk, leaving, limited, not_run,
    not_run_with_pause, signed, stream_head, stream_head_until_close,
};
use rosemarymoor_testutils::fault_proxy::Link;
use rosemarymoor_testutils::seeded_rng::SeededRng;

use crate::crashes;

/// Output tokens of one event: the `stride` of the engine in the manifest.
pub const TOKENS_PER_EVENT: u64 = 4;

/// Time between two events of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(25);

/// Time from a request without tokens to its answer.
const CALL_DURATION: Duration = Duration::from_millis(10);

/// Header of a call that names another time, in milliseconds.
pub const WORK_HEADER: &str = "Work-Ms";

/// Pause that a rejection asks for.
pub const PAUSE: Duration = Duration::from_secs(2);

/// Share of the requests that a faulty target corrupts.
const CORRUPTED_SHARE: f64 = 0.4;

/// Share of the streams that end with their connection, having neither a length nor chunks.
const UNTIL_CLOSE_SHARE: f64 = 0.3;

/// Share of the streams to be reset that end with their connection inside an event instead.
const CUT_SHARE: f64 = 0.6;

/// Largest number of the event inside which a corrupted stream breaks.
const MAX_EVENTS_BEFORE_CUT: u64 = 8;

/// Software versions of the targets, in turn by their numbers.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Returns a body without the versions that its events name, and the number of different ones.
pub fn without_versions(body: &str) -> (String, usize) {
    let marks = VERSIONS.map(|version| format!(" by {version}"));
    let count = marks.iter().filter(|mark| body.contains(*mark)).count();
    (marks.iter().fold(body.to_owned(), |body, mark| body.replace(mark, "")), count)
}

/// How a stream is sent.
#[derive(Clone, Copy, Debug)]
struct StreamForm {
    version: &'static str,
    /// Whether it ends with its connection.
    until_close: bool,
    /// Number of its event inside which it breaks off, if it does.
    cut_in: Option<u64>,
}

/// Target and the link to it.
pub struct Target {
    /// Number of the target, from 0 in the order of the starts.
    pub number: usize,
    /// Identity in the target's registration.
    pub id: String,
    /// Service that the target offers, as the manifest names it.
    pub service: &'static str,
    /// Version of its software, which its events name.
    pub version: &'static str,
    /// The stand-in that answers requests.
    pub stand_in: TargetStandIn,
    /// Link from the entries to the target.
    pub link: Link,
    /// Whether the target corrupts requests.
    pub is_faulty: Arc<AtomicBool>,
    /// Ids of the requests that the target answered as not run.
    not_run_ids: Arc<Mutex<BTreeSet<String>>>,
    /// When the target started to drain; `None` before.
    draining_since: Arc<Mutex<Option<Instant>>>,
    limits: NamedLimits,
    /// When requests arrived that crashed the target.
    crashes_since: Arc<Mutex<Vec<Instant>>>,
}

/// Limits of requests a second that a target names, each with the time from which on it does.
type NamedLimits = Arc<Mutex<Vec<(Instant, Option<f64>)>>>;

impl Target {
    /// Starts a target without registering it. `seed` decides which requests it corrupts; with
    /// `notices` its answers say that it is leaving, and its rejections ask for a pause.
    ///
    /// # Errors
    ///
    /// Fails if no port can be opened.
    pub async fn spawn(
        number: usize,
        service: &'static str,
        seed: u64,
        notices: bool,
    ) -> io::Result<Target> {
        let draining_since: Arc<Mutex<Option<Instant>>> = Arc::default();
        let drain = draining_since.clone();
        let limits = NamedLimits::default();
        let named = limits.clone();
        let is_faulty = Arc::new(AtomicBool::new(false));
        let not_run_ids = Arc::new(Mutex::new(BTreeSet::new()));
        let version = VERSIONS[number % VERSIONS.len()];
        // A sequence of its own, so that the other decisions of recorded seeds stay the same.
        let (rng, form_rng) = (SeededRng::new(seed), SeededRng::new(!seed));
        let crashes_since: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let crash_times = crashes_since.clone();
        let (faulty, rejected) = (is_faulty.clone(), not_run_ids.clone());
        let answer = script(move |received| {
            if crashes::is_bad(received) {
                lock_crashes(&crash_times).push(Instant::now());
                return crashes::steps(received);
            }
            let is_corrupted = faulty.load(Ordering::Relaxed) && rng.random_bool(CORRUPTED_SHARE);
            let corruption = is_corrupted.then(|| CORRUPTIONS[rng.random_below(3) as usize]);
            if corruption == Some(Corruption::NotRun) {
                let mut rejected = rejected.lock().unwrap_or_else(PoisonError::into_inner);
                rejected.insert(received.attempt_id().to_owned());
            }
            let is_cut = corruption == Some(Corruption::Reset) && form_rng.random_bool(CUT_SHARE);
            let form = StreamForm {
                version,
                until_close: is_cut || form_rng.random_bool(UNTIL_CLOSE_SHARE),
                cut_in: is_cut.then(|| 1 + form_rng.random_below(MAX_EVENTS_BEFORE_CUT)),
            };
            let steps = answer(received, corruption, form);
            let is_draining = drain.lock().unwrap_or_else(PoisonError::into_inner).is_some();
            let steps =
                if notices { add_notices(received, steps, corruption, is_draining) } else { steps };
            add_limit(steps, current(&named))
        });
        let stand_in = TargetStandIn::spawn(answer).await?;
        let link = Link::bind_tcp(stand_in.address()).await?;
        let id = format!("t{number}");
        Ok(Target {
            number,
            id,
            service,
            version,
            stand_in,
            link,
            is_faulty,
            not_run_ids,
            draining_since,
            limits,
            crashes_since,
        })
    }

    /// Names a limit from now on, or none.
    pub fn set_limit(&self, limit: Option<f64>) {
        lock(&self.limits).push((Instant::now(), limit));
    }

    /// Returns the limits that the target has named.
    pub fn limits(&self) -> Vec<(Instant, Option<f64>)> {
        lock(&self.limits).clone()
    }

    /// Returns whether the target named a limit at a moment.
    pub fn is_limited_at(&self, at: Instant) -> bool {
        let limits = lock(&self.limits);
        let index = limits.partition_point(|named| named.0 <= at);
        index > 0 && limits[index - 1].1.is_some()
    }

    /// Returns when requests arrived that crashed the target.
    pub fn crashes_since(&self) -> Vec<Instant> {
        lock_crashes(&self.crashes_since).clone()
    }

    /// Records that the target accepts no more work from now on.
    pub fn start_draining(&self) {
        *self.draining_since.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    /// Returns when the target started to drain; `None` before.
    pub fn draining_since(&self) -> Option<Instant> {
        *self.draining_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the ids of the requests that the target answered as not run.
    pub fn not_run_ids(&self) -> BTreeSet<String> {
        self.not_run_ids.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn lock(limits: &NamedLimits) -> MutexGuard<'_, Vec<(Instant, Option<f64>)>> {
    limits.lock().unwrap_or_else(PoisonError::into_inner)
}

fn lock_crashes(times: &Mutex<Vec<Instant>>) -> MutexGuard<'_, Vec<Instant>> {
    times.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the limit that is in force.
fn current(limits: &NamedLimits) -> Option<f64> {
    lock(limits).last().and_then(|named| named.1)
}

/// Adds the limit in force to the head of an answer.
fn add_limit(mut steps: Vec<Step>, limit: Option<f64>) -> Vec<Step> {
    let head = steps.iter_mut().find_map(|step| match step {
        Step::Send(bytes) => Some(bytes),
        _ => None,
    });
    if let (Some(head), Some(limit)) = (head, limit) {
        *head = limited(head, &limit.to_string());
    }
    steps
}

/// Adds to the head of an answer what the target says about itself.
fn add_notices(
    received: &ReceivedRequest,
    steps: Vec<Step>,
    corruption: Option<Corruption>,
    is_draining: bool,
) -> Vec<Step> {
    if corruption == Some(Corruption::NotRun) {
        return vec![Step::Send(not_run_with_pause(received, PAUSE.as_secs()))];
    }
    let mut is_head = is_draining;
    let add = |step| match step {
        Step::Send(bytes) if std::mem::take(&mut is_head) => Step::Send(leaving(&bytes)),
        step => step,
    };
    steps.into_iter().map(add).collect()
}

/// Way in which a request is corrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Corruption {
    /// The request does not run and is answered so.
    NotRun,
    /// The request runs, and its connection is reset.
    Reset,
    /// The request runs and is answered with status 500.
    Failed,
}

const CORRUPTIONS: [Corruption; 3] = [Corruption::NotRun, Corruption::Reset, Corruption::Failed];

/// Returns the steps that answer a request; without a corruption they are correct.
fn answer(
    received: &ReceivedRequest,
    corruption: Option<Corruption>,
    form: StreamForm,
) -> Vec<Step> {
    let usage = received.header("token-usage").and_then(|usage| usage.split_once(','));
    let output = usage.and_then(|(_, output)| output.parse::<u64>().ok());
    match corruption {
        Some(Corruption::NotRun) => return vec![Step::Send(not_run(received))],
        Some(Corruption::Reset) if output.is_some() && form.cut_in.is_some() => {}
        Some(Corruption::Reset) => return vec![Step::Wait(CALL_DURATION), Step::Reset],
        Some(Corruption::Failed) => {
            let status = "500 Internal Server Error";
            return vec![Step::Send(signed(received, status, "broken"))];
        }
        None => {}
    }
    match output {
        Some(output) => stream(received, output / TOKENS_PER_EVENT, form),
        None => vec![
            Step::Wait(call_duration(received)),
            Step::Send(signed(received, "200 OK", "done")),
        ],
    }
}

/// Returns the time from a call to its answer.
fn call_duration(received: &ReceivedRequest) -> Duration {
    let work_ms = received.header(WORK_HEADER).and_then(|text| text.parse().ok());
    work_ms.map_or(CALL_DURATION, Duration::from_millis)
}

/// Returns the steps that send the events of a stream up to `last`, from the one on that the
/// request asks for.
fn stream(received: &ReceivedRequest, last: u64, form: StreamForm) -> Vec<Step> {
    let after = received.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let send = |text: &str| match form.until_close {
        true => Step::Send(text.as_bytes().to_vec()),
        false => Step::Send(chunk(text)),
    };
    let head = if form.until_close { stream_head_until_close } else { stream_head };
    let mut steps = vec![Step::Send(head(received))];
    for id in after + 1..=last {
        let event = event(id).replace("\n\n", &format!(" by {}\n\n", form.version));
        if form.cut_in == Some(id - after) {
            steps.extend([send(&event[..event.len() / 2]), Step::Close]);
            return steps;
        }
        steps.extend([send(&event), Step::Wait(EVENT_INTERVAL)]);
    }
    steps.push(if form.until_close { Step::Close } else { Step::Send(last_chunk()) });
    steps
}
