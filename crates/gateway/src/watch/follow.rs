//! Reads one feed for ever.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use swiftlink_telemetry::event;
use tokio::time::{Instant, sleep};

use crate::store::{Feed, Page, Record, Store, StoreError};

/// How long the store keeps a poll that finds nothing new, and so how long it takes to
/// notice that it fell silent.
const POLL: Duration = Duration::from_secs(1);
/// The same for feeds that change seldom and that nobody waits for.
const LONG_POLL: Duration = Duration::from_secs(15);
/// Pause between polls that found something: entries of servers come all the time, and
/// each call has its price. Well below the shortest bound, two seconds.
const PAUSE: Duration = Duration::from_millis(250);
/// First pause after a failure; doubles up to [`BACKOFF_MAX`].
const BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after failures: news is due two seconds after it was acknowledged, also
/// right after a cut.
const BACKOFF_MAX: Duration = Duration::from_millis(250);

/// What a poll found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// What the record is about.
    pub key: String,
    /// What it says; `None` when the key is gone.
    pub value: Option<Bytes>,
    /// Its place in the feed.
    pub offset: u64,
}

/// The outcome of a poll.
#[derive(Debug, Default)]
pub struct News {
    /// Records that are new, by offset.
    pub changes: Vec<Change>,
    /// All keys that there are, where the whole feed was read.
    pub keys: Option<HashSet<String>>,
    /// A moment at which the store had nothing newer than this.
    pub as_of: Option<Instant>,
}

/// What is done with changes.
pub(crate) trait Follow: Send + 'static {
    /// Takes what a poll found.
    fn take(&mut self, news: News);

    /// The store answers again, after a time without.
    fn regained(&mut self);

    /// Does what has become due; called after each poll.
    fn tick(&mut self);
}

/// A place in a feed.
#[derive(Debug)]
pub struct Reader {
    feed: Feed,
    store: Arc<dyn Store>,
    next: Option<u64>,
    /// Offset of the newest record seen of each key.
    seen: HashMap<String, u64>,
}

impl Reader {
    /// A reader before a feed's start.
    #[must_use]
    pub fn new(feed: Feed, store: Arc<dyn Store>) -> Self {
        Self {
            feed,
            store,
            next: None,
            seen: HashMap::new(),
        }
    }

    /// Reads what is new, waiting up to `wait`.
    ///
    /// # Errors
    /// When the store gives no answer.
    pub async fn poll(&mut self, wait: Duration) -> Result<News, StoreError> {
        let Some(from) = self.next else {
            return self.start().await;
        };
        let asked = Instant::now();
        match self.store.read(self.feed, from, wait).await {
            Ok(page) => Ok(News {
                as_of: Some(as_of(asked, wait, &page)),
                changes: self.take(page, from),
                keys: None,
            }),
            Err(StoreError::Trimmed { first }) => {
                event!(
                    warn,
                    "store.history_lost",
                    feed = self.feed,
                    wanted = from,
                    first = first
                );
                self.start().await
            }
            Err(error) => Err(error),
        }
    }

    async fn start(&mut self) -> Result<News, StoreError> {
        let asked = Instant::now();
        let page = self.store.newest(self.feed).await?;
        let from = self.next.unwrap_or(0);
        let keys = page.records.iter().map(|record| record.key.clone());
        Ok(News {
            keys: Some(keys.collect()),
            as_of: Some(asked),
            changes: self.take(page, from),
        })
    }

    /// Keeps what is newer than what was seen: the store may answer with an older state.
    fn take(&mut self, page: Page, from: u64) -> Vec<Change> {
        self.next = Some(page.end.max(from));
        let mut changes = Vec::new();
        for Record { offset, key, value } in page.records {
            if self.seen.get(&key).is_some_and(|seen| *seen > offset) {
                continue;
            }
            self.seen.insert(key.clone(), offset);
            changes.push(Change { key, value, offset });
        }
        changes
    }
}

/// When the store had nothing newer than `page`, its answer to a poll that was sent at `asked`.
/// A poll that found nothing was answered at the end of its wait, not earlier.
fn as_of(asked: Instant, wait: Duration, page: &Page) -> Instant {
    if page.records.is_empty() && asked.elapsed() >= wait {
        return asked + wait;
    }
    asked
}

/// Follows a feed until the task is aborted.
pub(crate) async fn run(mut reader: Reader, mut follower: impl Follow) {
    let mut backoff = BACKOFF;
    let mut away: Option<Instant> = None;
    let wait = match reader.feed {
        Feed::Members => LONG_POLL,
        Feed::Config | Feed::Servers | Feed::Rights(_) | Feed::Caps(_) => POLL,
    };
    loop {
        // A store that was away is asked for a quick answer, to notice when it is back.
        let wait = if away.is_some() { Duration::ZERO } else { wait };
        match reader.poll(wait).await {
            Ok(news) => {
                if let Some(since) = away.take() {
                    let secs = since.elapsed().as_secs_f32();
                    event!(info, "store.regained", feed = reader.feed, away_secs = secs);
                    follower.regained();
                }
                backoff = BACKOFF;
                let found = !news.changes.is_empty();
                follower.take(news);
                follower.tick();
                if found {
                    sleep(PAUSE).await;
                }
            }
            Err(error) => {
                if away.is_none() {
                    event!(warn, "store.lost", feed = reader.feed, error = error);
                    away = Some(Instant::now());
                }
                follower.tick();
                sleep(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        }
    }
}
