//! Follows the configuration stream: from the log, or from a ledger while the log is out.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use swiftlink_log::{Backoff, Log, LogError, Replica};
use swiftlink_resource::Fold;
use swiftlink_telemetry::event;
use swiftlink_types::StreamName;
use swiftlink_wire::link::{Page, reply};
use swiftlink_wire::log::LogRecord;
use tokio_util::sync::CancellationToken;

use crate::board::Board;
use crate::ledgers::Ledgers;

/// Name of the configuration stream.
pub(crate) const CONFIG_STREAM: &str = "config";
/// Records read at a time.
const PAGE_RECORDS: u32 = 512;
/// Time that a read waits for news.
const READ_WAIT: Duration = Duration::from_secs(1);
/// First and largest ceiling of the delay between tries of the log.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
const BACKOFF_CAP: Duration = Duration::from_secs(5);

/// Feeds the replica of the configuration and publishes what it decides.
pub(crate) struct Follower {
    log: Arc<dyn Log>,
    ledgers: Arc<Ledgers>,
    board: Arc<Board>,
    replica: Replica<Fold>,
    stream: StreamName,
    backoff: Backoff,
    /// Gaps of the replica that the board was told of.
    gaps: u64,
    /// Since when the log does not answer.
    outage: Option<Instant>,
}

impl Follower {
    pub(crate) fn new(log: Arc<dyn Log>, ledgers: Arc<Ledgers>, board: Arc<Board>) -> Self {
        Self {
            log,
            ledgers,
            board,
            replica: Replica::new(),
            stream: StreamName::from(CONFIG_STREAM),
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_CAP),
            gaps: 0,
            outage: None,
        }
    }

    /// Follows until `stop` is cancelled.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.step() => {}
            }
        }
    }

    async fn step(&mut self) {
        let from = self.replica.next();
        // Until the end was reached once, an empty page is news too.
        let wait = match self.board.config() {
            Some(_) => READ_WAIT,
            None => Duration::ZERO,
        };
        let read = self.log.read(&self.stream, from, PAGE_RECORDS, wait).await;
        match read {
            Ok(page) => {
                self.end_outage();
                self.feed(page.first, &page.records);
                if self.replica.next() >= page.next {
                    self.caught_up(0);
                }
            }
            Err(LogError::Trimmed { first }) => {
                self.end_outage();
                self.feed(first, &[]);
            }
            Err(error) => self.pass_outage(&error).await,
        }
    }

    fn end_outage(&mut self) {
        self.backoff.reset();
        if let Some(since) = self.outage.take() {
            let ms = since.elapsed().as_millis();
            event!(info, "log.back", stream = self.stream, outage_ms = ms);
        }
    }

    /// Waits until the next try of the log; meanwhile takes pages from a ledger.
    async fn pass_outage(&mut self, error: &LogError) {
        if self.outage.is_none() {
            event!(warn, "log.out", stream = self.stream, error = error);
            self.outage = Some(Instant::now());
        }
        let pause = self.backoff.next(rand::rng().next_u64());
        let until = tokio::time::Instant::now() + pause;
        let pages = tokio::time::timeout_at(until, self.take_pages()).await;
        if pages.is_ok() {
            tokio::time::sleep_until(until).await;
        }
    }

    /// Feeds the pages of a ledger until it has no more to say.
    async fn take_pages(&mut self) {
        let ledgers = Arc::clone(&self.ledgers);
        let from = self.replica.next();
        let Some((name, Ok(mut pages))) = ledgers.follow(CONFIG_STREAM, from).await else {
            return;
        };
        event!(debug, "config.from_ledger", ledger = name, from = from);
        while let Some(Ok(reply::Kind::Page(page))) = pages.next().await {
            self.take_page(&page);
        }
    }

    fn take_page(&mut self, page: &Page) {
        // Records between are missing: what is in force stays until the log is back.
        if page.first > self.replica.next() && self.board.config().is_some() {
            return;
        }
        self.feed(page.first, &page.records);
        if self.replica.next() >= page.next {
            self.caught_up(page.age_ms);
        }
    }

    fn feed(&mut self, first: u64, records: &[LogRecord]) {
        let fates = match self.replica.feed(first, records) {
            Ok(fates) => fates,
            Err(error) => {
                event!(warn, "config.hole", stream = self.stream, error = error);
                return;
            }
        };
        let mut restart = None;
        let gaps = self.replica.stats().gaps;
        if gaps != self.gaps && self.replica.is_ready() {
            self.gaps = gaps;
            // Between the loaded snapshot and the first fate stand no events.
            let version = self.replica.state().map_or(0, |fold| fold.config().version);
            restart = Some(fates.first().map_or(version, |(offset, _fate)| *offset));
        }
        let fates = fates.into_iter().map(|(_offset, fate)| fate).collect();
        // The configuration goes first: who sees an event finds its effect in force.
        if self.board.config().is_some() {
            self.put();
        }
        self.board.publish(self.replica.next(), fates, restart);
    }

    /// The state holds all that the stream held `age_ms` ago.
    fn caught_up(&mut self, age_ms: u64) {
        if !self.replica.is_ready() {
            return;
        }
        if self.board.config().is_none() {
            self.put();
            event!(info, "config.ready", version = self.board.version());
        }
        self.board.hear(age_ms);
    }

    fn put(&self) {
        if let Some(fold) = self.replica.state() {
            self.board.put(fold.config());
        }
    }
}
