//! Follows the configuration stream: on the log, or through a ledger during a log outage.

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

use crate::ledgers::Ledgers;
use crate::shared_state::SharedState;

/// Name of the configuration stream.
pub(crate) const CONFIG_STREAM: &str = "config";
/// Maximum number of records per read.
const PAGE_RECORDS: u32 = 512;
/// Long-poll timeout of a read.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Initial and maximum backoff between reads during a log outage.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
const BACKOFF_CAP: Duration = Duration::from_secs(5);

/// Feeds records to the replica of the configuration and publishes the decisions.
pub(crate) struct Follower {
    log: Arc<dyn Log>,
    ledgers: Arc<Ledgers>,
    state: Arc<SharedState>,
    replica: Replica<Fold>,
    stream: StreamName,
    backoff: Backoff,
    /// Number of the replica's gaps that were published as restarts of the journal.
    published_gaps: u64,
    /// Start of the current log outage.
    outage_start: Option<Instant>,
}

impl Follower {
    pub(crate) fn new(log: Arc<dyn Log>, ledgers: Arc<Ledgers>, state: Arc<SharedState>) -> Self {
        Self {
            log,
            ledgers,
            state,
            replica: Replica::new(),
            stream: StreamName::from(CONFIG_STREAM),
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_CAP),
            published_gaps: 0,
            outage_start: None,
        }
    }

    /// Follows the stream until `stop` is cancelled.
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
        // Don't long-poll until the end was first reached: an empty page shows that it is.
        let wait = match self.state.config() {
            Some(_) => READ_WAIT,
            None => Duration::ZERO,
        };
        let read = self.log.read(&self.stream, from, PAGE_RECORDS, wait).await;
        match read {
            Ok(page) => {
                self.on_log_response();
                self.feed(page.first, &page.records);
                if self.replica.next() >= page.next {
                    self.on_caught_up(0);
                }
            }
            Err(LogError::Trimmed { first }) => {
                self.on_log_response();
                self.feed(first, &[]);
            }
            Err(error) => self.back_off(&error).await,
        }
    }

    fn on_log_response(&mut self) {
        self.backoff.reset();
        if let Some(since) = self.outage_start.take() {
            let ms = since.elapsed().as_millis();
            event!(info, "log.recovered", stream = self.stream, outage_ms = ms);
        }
    }

    /// Waits for the backoff before the next read of the log; meanwhile reads from a ledger.
    async fn back_off(&mut self, error: &LogError) {
        if self.outage_start.is_none() {
            event!(warn, "log.unavailable", stream = self.stream, error = error);
            self.outage_start = Some(Instant::now());
        }
        let pause = self.backoff.next(rand::rng().next_u64());
        let until = tokio::time::Instant::now() + pause;
        let pages = tokio::time::timeout_at(until, self.read_from_ledger()).await;
        if pages.is_ok() {
            tokio::time::sleep_until(until).await;
        }
    }

    /// Applies the pages of a ledger until its reply stream ends.
    async fn read_from_ledger(&mut self) {
        let ledgers = Arc::clone(&self.ledgers);
        let from = self.replica.next();
        let Some((name, Ok(mut pages))) = ledgers.follow(CONFIG_STREAM, from).await else {
            return;
        };
        event!(debug, "config.from_ledger", ledger = name, from = from);
        while let Some(Ok(reply::Kind::Page(page))) = pages.next().await {
            self.apply_page(&page);
        }
    }

    fn apply_page(&mut self, page: &Page) {
        // Records before this page are missing: keep the current configuration until the log is
        // available again.
        if page.first > self.replica.next() && self.state.config().is_some() {
            return;
        }
        self.feed(page.first, &page.records);
        if self.replica.next() >= page.next {
            self.on_caught_up(page.age_ms);
        }
    }

    fn feed(&mut self, first: u64, records: &[LogRecord]) {
        let fates = match self.replica.feed(first, records) {
            Ok(fates) => fates,
            Err(error) => {
                event!(warn, "config.gap", stream = self.stream, error = error);
                return;
            }
        };
        let mut restart = None;
        let gaps = self.replica.stats().gaps;
        if gaps != self.published_gaps && self.replica.is_ready() {
            self.published_gaps = gaps;
            // There are no events between the loaded snapshot and the first fate.
            let version = self.replica.state().map_or(0, |fold| fold.config().version);
            restart = Some(fates.first().map_or(version, |(offset, _fate)| *offset));
        }
        let fates = fates.into_iter().map(|(_offset, fate)| fate).collect();
        // Publish the configuration first: a reader that sees an event must find it applied.
        if self.state.config().is_some() {
            self.publish_config();
        }
        self.state.publish(self.replica.next(), fates, restart);
    }

    /// Records that the replica holds everything that was on the stream `age_ms` ago.
    fn on_caught_up(&mut self, age_ms: u64) {
        if !self.replica.is_ready() {
            return;
        }
        if self.state.config().is_none() {
            self.publish_config();
            event!(info, "config.ready", version = self.state.version());
        }
        self.state.mark_up_to_date(age_ms);
    }

    fn publish_config(&self) {
        if let Some(fold) = self.replica.state() {
            self.state.set_config(fold.config());
        }
    }
}
