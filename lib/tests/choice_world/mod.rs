//! Entries that choose targets in a closed loop: their choices fill the targets' queues and caches,
//! and the news of that reach them late.

use rosemarymoor_lib::dispatch::choice;
use rosemarymoor_lib::dispatch::criteria::SelectionCriteria;
use rosemarymoor_lib::dispatch::load::known::{Dated, KnownLoad, LoadReport, SentWork};
use rosemarymoor_lib::dispatch::prompt::{PromptPart, all_tokens, prefill_work};
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::dispatch::targets::{Observation, Registration, TargetTable};
use rosemarymoor_lib::time::Millis;

/// Age of the news when they reach an entry, and the time between them, in milliseconds.
const NEWS_LAG_MS: u64 = 150;
const NEWS_INTERVAL_MS: u64 = 50;

/// Prefill rate of a target of speed 1, in tokens per millisecond.
pub const TOKENS_PER_MS: f64 = 50.0;

/// What reaches the entries.
#[derive(Clone, Copy, PartialEq)]
pub enum News {
    None,
    Load,
    LoadAndParts,
}

/// Target as it is.
pub struct Engine {
    pub speed: f64,
    /// Prefilled tokens, and the time for them.
    pub work_tokens: u64,
    pub work_ms: f64,
    busy_until: f64,
    pub parts: Vec<u64>,
    queue: Vec<Sent>,
}

/// Unanswered request.
struct Sent {
    entry: usize,
    pending_tokens: u64,
    /// Time by which the entry expected the answer to begin, and when it begins.
    expected_at: f64,
    begins_at: f64,
}

pub struct World {
    pub tables: Vec<TargetTable>,
    pub engines: Vec<Engine>,
    /// Times to the first event, in milliseconds.
    pub first_event_ms: Vec<f64>,
    news: News,
    /// News on their way: time, and for each engine what each entry has pending, its rate and parts.
    sent: Vec<(u64, Vec<EngineNews>)>,
    random: u64,
}

type EngineNews = (Vec<SentWork>, f64, Vec<u64>);

pub fn registration(number: usize) -> Registration {
    Registration {
        id: format!("t{number}"),
        service: "models".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_center: "leics".to_owned(),
        slots: 64,
        software: None,
        leaving: false,
        cold_for_ms: None,
        started_ms: 1,
    }
}

pub fn table(count: usize) -> TargetTable {
    let mut table = TargetTable::default();
    for number in 0..count {
        table.register(registration(number));
    }
    table
}

/// Returns a prompt of a shared part and one of its own.
pub fn prompt(shared: u64, shared_tokens: u64, own: u64, own_tokens: u64) -> Vec<PromptPart> {
    let own = PromptPart { id: own | 1 << 63, tokens: own_tokens };
    vec![PromptPart { id: shared, tokens: shared_tokens }, own]
}

pub fn criteria(prompt: &[PromptPart], random: u64, entry_count: u64) -> SelectionCriteria<'_> {
    SelectionCriteria {
        service: "models",
        software: None,
        allowed_data_centers: None,
        data_center: "leics",
        prompt,
        tokens: all_tokens(prompt),
        random,
        without_asking: false,
        entry_count,
    }
}

impl World {
    pub fn new(entries: usize, speeds: &[f64], news: News) -> World {
        let engine = |speed: &f64| Engine {
            speed: *speed,
            work_tokens: 0,
            work_ms: 0.0,
            busy_until: 0.0,
            parts: Vec::new(),
            queue: Vec::new(),
        };
        World {
            tables: (0..entries).map(|_| table(speeds.len())).collect(),
            engines: speeds.iter().map(engine).collect(),
            first_event_ms: Vec::new(),
            news,
            sent: Vec::new(),
            random: 1,
        }
    }

    pub fn random(&mut self) -> u64 {
        self.random += 1;
        rank::weight(self.random, "random")
    }

    /// Lets one millisecond pass: answers begin and news arrive.
    pub fn tick(&mut self, now: u64) {
        for (at, engine) in self.engines.iter_mut().enumerate() {
            let (begun, queue) =
                engine.queue.drain(..).partition(|sent| sent.begins_at <= now as f64);
            engine.queue = queue;
            for Sent { entry, pending_tokens, expected_at, begins_at } in begun {
                let table = &mut self.tables[entry];
                let key = table.with_id(&format!("t{at}")).unwrap().key;
                let delay_ms = (begins_at - expected_at).max(0.0);
                table.observe(key, Observation::Answered { delay_ms }, Millis(now));
                table.prefill_done(key, pending_tokens);
                table.end(key);
            }
        }
        if self.news != News::None && now.is_multiple_of(NEWS_INTERVAL_MS) {
            self.exchange_news(now);
        }
    }

    fn exchange_news(&mut self, now: u64) {
        let entries = self.tables.len();
        let news_of = |engine: &Engine| {
            let mut sent = vec![SentWork::default(); entries];
            for waiting in &engine.queue {
                sent[waiting.entry].requests += 1;
                sent[waiting.entry].pending_tokens += waiting.pending_tokens;
            }
            (sent, engine.speed * TOKENS_PER_MS, engine.parts.clone())
        };
        self.sent.push((now, self.engines.iter().map(news_of).collect()));
        if self.sent[0].0 + NEWS_LAG_MS > now {
            return;
        }
        let (at, news) = self.sent.remove(0);
        for (entry, table) in self.tables.iter_mut().enumerate() {
            for (number, (sent, rate, parts)) in news.iter().enumerate() {
                let others = sent.iter().enumerate().filter(|(other, _)| *other != entry);
                let others = others.fold(SentWork::default(), |sum, (_, sent)| SentWork {
                    requests: sum.requests + sent.requests,
                    pending_tokens: sum.pending_tokens + sent.pending_tokens,
                });
                let report =
                    LoadReport { prefill_tokens_per_ms: Some(*rate), ..LoadReport::default() };
                let at = Millis(at);
                let parts = (self.news == News::LoadAndParts).then(|| parts.clone());
                let known = KnownLoad {
                    report: Some(Dated { value: report, at }),
                    others: Some(Dated { value: others, at }),
                    parts: parts.map(|value| Dated { value, at }),
                };
                let key = table.with_id(&format!("t{number}")).unwrap().key;
                table.get_mut(key).unwrap().known = known;
            }
        }
    }

    /// Sends a request from a random entry and returns the number of its target.
    pub fn send(&mut self, prompt: &[PromptPart], now: u64) -> usize {
        let entry = self.random() as usize % self.tables.len();
        let random = self.random();
        let entries = self.tables.len() as u64;
        let table = &mut self.tables[entry];
        let criteria = criteria(prompt, random, entries);
        let choice = choice::choose(table, criteria, &[], Millis(now)).unwrap();
        let id = &table.get(choice.key).unwrap().registration.id;
        let target: usize = id[1..].parse().unwrap();
        let parts: Vec<u64> = prompt.iter().map(|part| part.id).collect();
        let pending_tokens = choice.cost.prefill_tokens;
        table.start(choice.key, pending_tokens, &parts, Millis(now));
        let wait_ms = if self.news == News::None { 0.0 } else { choice.cost.wait_ms };
        let expected_at = now as f64 + choice.cost.prefill_ms + wait_ms;
        let begins_at = self.engines[target].take(prompt, now);
        self.engines[target].queue.push(Sent { entry, pending_tokens, expected_at, begins_at });
        self.first_event_ms.push(begins_at - now as f64);
        target
    }

    /// Returns how many targets cache a part.
    pub fn copies(&self, part: u64) -> usize {
        self.engines.iter().filter(|engine| engine.parts.binary_search(&part).is_ok()).count()
    }

    /// Returns the time to the first event that `percent` % of the requests do not exceed.
    pub fn percentile_ms(&self, percent: usize) -> f64 {
        let mut times = self.first_event_ms.clone();
        times.sort_by(f64::total_cmp);
        times[(times.len() - 1) * percent / 100]
    }
}

impl Engine {
    /// Queues a prompt and returns when its prefill ends.
    fn take(&mut self, prompt: &[PromptPart], now: u64) -> f64 {
        let is_cached = |part: &&PromptPart| self.parts.binary_search(&part.id).is_ok();
        let cached: u64 = prompt.iter().take_while(is_cached).map(|part| part.tokens).sum();
        let all = all_tokens(prompt);
        let work_tokens = prefill_work(all - cached, all);
        let work_ms = work_tokens as f64 / (TOKENS_PER_MS * self.speed);
        self.work_tokens += work_tokens;
        self.work_ms += work_ms;
        self.busy_until = self.busy_until.max(now as f64) + work_ms;
        for part in prompt.iter().filter(|part| part.id >> 63 == 0) {
            if let Err(at) = self.parts.binary_search(&part.id) {
                self.parts.insert(at, part.id);
            }
        }
        self.busy_until
    }
}
