//! Tells the collector of an entry's data centre what the entry has sent, and applies the news of
//! targets' load that come back.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rosemarymoor_lib::dispatch::load::news::{EntryWork, LoadScope};
use rosemarymoor_lib::dispatch::load::update;

use super::entry::Entry;
use super::load_collector::collectors;
use super::load_reader::{BoardNews, LoadReader, ReadError};
use super::peer_client::PeerClient;

/// Time after the last request for which the entry still asks.
const ACTIVE_TIME: Duration = Duration::from_millis(1_000);

/// Interval at which an idle entry looks for requests.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause while no budget server of the data centre is listed.
const NO_SERVER_PAUSE: Duration = Duration::from_secs(1);

/// Pause after a question without an answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause that a collector may ask for.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Time without an answer after which the news count as lost.
const LOST_AFTER: Duration = Duration::from_millis(1_000);

/// Spawns the task that exchanges news for as long as the process lives.
pub fn spawn(entry: Arc<Entry>, client: PeerClient) {
    let reader = LoadReader::open(client, LoadScope::Fleet);
    let active_at = Instant::now();
    let mut task =
        LoadClient { entry, reader, began: 0, active_at, answered_at: None, is_lost: false };
    tokio::spawn(async move {
        loop {
            task.wait_for_requests().await;
            let pause = task.exchange().await;
            tokio::time::sleep(pause).await;
        }
    });
}

struct LoadClient {
    entry: Arc<Entry>,
    reader: LoadReader,
    /// Requests that had begun at the last look.
    began: u64,
    /// Last time at which a request ran.
    active_at: Instant,
    /// Last answer; `None` before the first, and after a time without questions.
    answered_at: Option<Instant>,
    is_lost: bool,
}

impl LoadClient {
    /// Waits until a request runs, or ran a moment ago.
    async fn wait_for_requests(&mut self) {
        loop {
            let began = self.entry.load.began();
            if self.entry.load.is_busy() || began != self.began {
                self.began = began;
                self.active_at = Instant::now();
            }
            if self.active_at.elapsed() < ACTIVE_TIME {
                return;
            }
            self.answered_at = None;
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
    }

    /// Asks for news once; returns the pause before the next question.
    async fn exchange(&mut self) -> Duration {
        let servers = collectors(&self.entry.peers, &self.entry.data_center);
        if servers.is_empty() {
            return NO_SERVER_PAUSE;
        }
        let server = match self.reader.choose(servers) {
            Ok(server) => server,
            Err(pause) => {
                self.note_silence();
                return pause;
            }
        };
        let sent = update::sent_work(&self.entry.targets());
        let work = EntryWork { entry: self.entry.name.clone(), sent };
        match self.reader.read(&server, Some(work), Duration::ZERO).await {
            Ok(news) => self.apply(&news),
            Err(ReadError::NoBoard) => {
                self.entry.metrics.count_load_news("no_board");
                FAILURE_PAUSE
            }
            Err(ReadError::NoAnswer) => {
                self.entry.metrics.count_load_news("no_answer");
                log::debug!("event=load_not_answered server={}", server.name);
                self.note_silence();
                FAILURE_PAUSE
            }
        }
    }

    /// Applies an answer; returns the pause that it asks for.
    fn apply(&mut self, news: &BoardNews) -> Duration {
        let now = self.entry.now();
        let gaps = update::apply(&mut self.entry.targets(), &news.reply, news.is_new_board, now);
        self.reader.set_gaps(gaps);
        let outcome = if news.reply.news.is_empty() { "nothing" } else { "news" };
        self.entry.metrics.count_load_news(outcome);
        self.entry.load_news_at_ms.store(now.0, Ordering::Relaxed);
        self.answered_at = Some(Instant::now());
        if std::mem::take(&mut self.is_lost) {
            log::warn!("event=load_news_back targets={}", news.reply.news.len());
        }
        if !news.reply.is_complete {
            return Duration::ZERO;
        }
        Duration::from_millis(u64::from(news.reply.pause_ms)).min(MAX_PAUSE)
    }

    /// Logs once that no collector has answered for a while.
    fn note_silence(&mut self) {
        let is_silent = self.answered_at.is_some_and(|at| at.elapsed() >= LOST_AFTER);
        if is_silent && !self.is_lost {
            self.is_lost = true;
            log::warn!("event=load_news_lost age_ms={}", self.entry.load_news_age_ms());
        }
    }
}
