//! Reads new records of one feed.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use swiftlink_telemetry::event;
use tokio::time::Instant;

use super::history::History;
use super::replicas::{PeerPage, PeerUpdate};
use crate::clock::{Clock, SystemClock};
use crate::store::{
    Feed, Page, Record, ResponseTimeout, Store, StoreError, era_of, offset_of, position,
};
use crate::suspensions::MIN_SUSPENSION;

/// Maximum time for an answer beyond the wait that was asked for. A link saturated by callers
/// delays packets by up to a second or two, and an answer with that delay still reports a change in
/// time. An answer that takes longer counts as lost.
pub(super) const MAX_LATENESS: Duration = Duration::from_secs(3);

/// A new record of a feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Key of the record.
    pub key: String,
    /// Value of the record; `None` if the key was removed.
    pub value: Option<Bytes>,
    /// Offset in the feed.
    pub offset: u64,
}

/// The outcome of a poll.
#[derive(Debug, Default)]
pub struct FeedUpdate {
    /// New records, sorted by offset.
    pub changes: Vec<Change>,
    /// Newer records that repeat the known ones; filled in by the `Follow`
    /// implementation.
    pub unchanged: Vec<Change>,
    /// All keys that may exist, if the whole feed was read.
    pub keys: Option<HashSet<String>>,
    /// The offset after the last record that the update covers.
    pub end: u64,
    /// A moment at which the store had nothing newer than this.
    pub as_of: Option<Instant>,
    /// Whether an upstream router sent it, which has already applied it.
    pub is_from_upstream: bool,
}

/// An answer of the store to a poll.
#[derive(Debug)]
pub struct Answer {
    page: Page,
    /// Whether the page has the newest record of every key.
    is_complete: bool,
    /// A moment at which the store had nothing newer; `None` if the page isn't the last.
    as_of: Option<Instant>,
    /// When the answer was due at the latest, had there been nothing new.
    due: Instant,
}

impl Answer {
    /// Whether it has no records and isn't a page of the whole feed.
    pub(super) fn is_empty(&self) -> bool {
        self.page.records.is_empty() && !self.is_complete
    }

    /// Time that has passed since the answer was due.
    #[must_use]
    pub fn lateness(&self) -> Duration {
        self.due.elapsed()
    }

    /// Whether the store has more records that it hasn't sent.
    #[must_use]
    pub fn has_more(&self) -> bool {
        self.page.has_more
    }
}

/// Reads a feed and tracks the position in it.
#[derive(Debug)]
pub struct Reader {
    feed: Feed,
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    next: Option<u64>,
    /// The offset after the newest record that another router sent.
    peer_end: u64,
    /// Offset of the newest record seen of each key. For a key that was missing in a page of the
    /// whole feed, the end of that page.
    seen: HashMap<String, u64>,
    /// End of the newest page of the whole feed; an older record that wasn't in it is obsolete.
    floor: u64,
    /// What was read in the current era of the store.
    history: History,
    /// The last moment at which the store had nothing newer than what was received.
    as_of: Option<Instant>,
}

impl Reader {
    /// Creates a reader at the start of a feed.
    #[must_use]
    pub fn new(feed: Feed, store: Arc<dyn Store>) -> Self {
        Self {
            feed,
            store,
            clock: Arc::new(SystemClock::open()),
            next: None,
            peer_end: 0,
            seen: HashMap::new(),
            floor: 0,
            history: History::default(),
            as_of: None,
        }
    }

    /// Replaces the VM's clock.
    #[must_use]
    pub fn with_clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }

    /// The feed that is read.
    #[must_use]
    pub fn feed(&self) -> Feed {
        self.feed
    }

    /// The last moment at which the store had nothing newer than what was received.
    #[must_use]
    pub fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    /// Reads what is new, waiting up to `wait`.
    ///
    /// # Errors
    /// Fails if the store gives no answer.
    pub async fn poll(&mut self, wait: Duration) -> Result<FeedUpdate, StoreError> {
        let answer = self.ask(wait, MAX_LATENESS.into()).await?;
        Ok(self.take(answer))
    }

    /// Requests what is new, waiting up to `wait`; the answer has to begin within `timeout` after
    /// that. Pass the answer to [`Self::take`], unless an answer to a later request was taken
    /// before.
    pub fn ask(
        &self,
        wait: Duration,
        timeout: ResponseTimeout,
    ) -> impl Future<Output = Result<Answer, StoreError>> + Send + use<> {
        let feed = self.feed;
        let store = Arc::clone(&self.store);
        let next = self.next;
        let clock = Arc::clone(&self.clock);
        async move {
            let Some(from) = next else {
                return newest(&*store, feed, timeout).await;
            };
            let asked = Instant::now();
            let suspended = clock.suspended();
            match store.read(feed, from, wait, timeout.clone()).await {
                Ok(page) => Ok(Answer {
                    as_of: if clock.suspended() < suspended + MIN_SUSPENSION {
                        as_of(asked, wait, &page)
                    } else {
                        // The store may have answered at any time during the suspension.
                        as_of(asked, Duration::MAX, &page)
                    },
                    page,
                    is_complete: false,
                    due: asked + wait,
                }),
                Err(StoreError::Trimmed { first }) => {
                    event!(
                        warn,
                        "store.history_lost",
                        feed = feed,
                        wanted = offset_of(from),
                        first = offset_of(first),
                        era = era_of(first),
                    );
                    newest(&*store, feed, timeout).await
                }
                Err(error) => Err(error),
            }
        }
    }

    /// Whether the store came back from an older copy since the last answer.
    #[must_use]
    pub fn is_new_era(&self, answer: &Answer) -> bool {
        let next = self.next.unwrap_or(answer.page.end);
        era_of(answer.page.end) > era_of(next)
    }

    /// Applies an answer and returns the records that are newer than those seen. The store may
    /// answer with an older state.
    pub fn take(&mut self, answer: Answer) -> FeedUpdate {
        self.as_of = self.as_of.max(answer.as_of);
        if self.is_new_era(&answer) {
            return self.take_new_era(answer);
        }
        let page = answer.page;
        if era_of(page.end) == era_of(self.next.unwrap_or(page.end)) {
            for record in &page.records {
                self.history.insert(record);
            }
        }
        self.next = Some(page.end.max(self.next.unwrap_or(0)));
        let keys = answer.is_complete.then(|| self.keys(&page));
        let end = page.end;
        let changes = self.newer(page.records);
        if let Some(keys) = &keys {
            self.raise_floor(keys, end);
        }
        FeedUpdate {
            changes,
            keys,
            end,
            as_of: answer.as_of,
            ..FeedUpdate::default()
        }
    }

    /// Applies the first answer of a new era. Records that were written before the store went back
    /// are older than those seen, whatever their positions. What the copy lacks is written again,
    /// so a missing key wasn't removed, except where records expire.
    fn take_new_era(&mut self, answer: Answer) -> FeedUpdate {
        let page = answer.page;
        let listed = page.records.iter().map(|record| &record.key);
        let mut keys: HashSet<String> = listed.cloned().collect();
        if !self.feed.expires() {
            keys.extend(self.seen.keys().cloned());
        }
        let divergence = self.history.divergence(&page.records);
        let is_new = |record: &&Record| {
            divergence.is_some_and(|from| record.offset >= from) || !self.history.is_old(record)
        };
        let new: Vec<Record> = page.records.iter().filter(is_new).cloned().collect();
        event!(
            info,
            "feed.new_era",
            feed = self.feed,
            era = era_of(page.end),
            records = page.records.len(),
            new = new.len(),
        );
        self.history.clear();
        for record in &page.records {
            self.history.insert(record);
        }
        self.next = Some(page.end);
        let changes = self.newer(new);
        self.raise_floor(&keys, page.end);
        FeedUpdate {
            changes,
            keys: Some(keys),
            end: page.end,
            as_of: answer.as_of,
            ..FeedUpdate::default()
        }
    }

    /// The keys that exist according to a page of the whole feed. A key with a newer known record
    /// is included: another router may have sent that record, or the page may be of an older state.
    fn keys(&self, page: &Page) -> HashSet<String> {
        let listed = page.records.iter().map(|record| &record.key);
        let newer = self.seen.iter().filter(|(_, at)| **at >= page.end);
        let newer = newer.map(|(key, _)| key);
        listed.chain(newer).cloned().collect()
    }

    /// Keys that are missing at `end` were removed before. Older records of these keys are ignored
    /// from now on, whoever sends them.
    fn raise_floor(&mut self, keys: &HashSet<String>, end: u64) {
        self.floor = self.floor.max(end);
        for (key, seen) in &mut self.seen {
            if !keys.contains(key) {
                *seen = end.max(*seen);
            }
        }
    }

    /// Offset from which on another router may know more.
    #[must_use]
    pub fn known_end(&self) -> u64 {
        self.next.unwrap_or(0).max(self.peer_end)
    }

    /// Applies a page of another router that was requested at `asked`. It may lack records that the
    /// store has, so the position in the feed stays.
    pub fn take_peer_page(&mut self, mut page: PeerPage, asked: Instant) -> FeedUpdate {
        for record in &mut page.records {
            record.offset = self.peer_position(record.offset);
        }
        if let Some(last) = page.records.last() {
            self.peer_end = self.peer_end.max(last.offset + 1);
        }
        let end = self.peer_end;
        let as_of = page.age.and_then(|age| asked.checked_sub(age));
        self.as_of = self.as_of.max(as_of);
        FeedUpdate {
            changes: self.newer(page.records),
            keys: None,
            end,
            as_of,
            ..FeedUpdate::default()
        }
    }

    /// Applies an update of an upstream router that was requested at `asked`. The update is
    /// complete up to its end; `keys` are all keys that exist, if known.
    pub fn take_peer_update(
        &mut self,
        mut update: PeerUpdate,
        keys: Option<HashSet<String>>,
        asked: Instant,
    ) -> FeedUpdate {
        for record in &mut update.page.records {
            record.offset = self.peer_position(record.offset);
        }
        if update.end > 0 {
            update.end = self.peer_position(update.end);
        }
        let age = update.page.age;
        let as_of = if update.is_confirmed {
            Some(asked)
        } else {
            age.and_then(|age| asked.checked_sub(age))
        };
        self.as_of = self.as_of.max(as_of);
        let changes = self.newer(update.page.records);
        if update.end > 0 {
            self.next = Some(self.next.unwrap_or(0).max(update.end));
        }
        let end = update.end.max(self.known_end());
        let keys = keys.map(|mut keys| {
            let newer = self.seen.iter().filter(|(_, at)| **at >= update.end);
            keys.extend(newer.map(|(key, _)| key.clone()));
            keys
        });
        if let Some(keys) = &keys {
            self.raise_floor(keys, update.end);
        }
        FeedUpdate {
            changes,
            keys,
            end,
            as_of,
            is_from_upstream: true,
            ..FeedUpdate::default()
        }
    }

    /// The position that another router sent. One of an older build sends offsets without an era:
    /// they count as of the era that this reader is in.
    fn peer_position(&self, sent: u64) -> u64 {
        if era_of(sent) > 0 {
            return sent;
        }
        position(era_of(self.known_end()), sent)
    }

    /// Records at least as new as the newest one seen of their keys.
    fn newer(&mut self, records: Vec<Record>) -> Vec<Change> {
        let mut changes = Vec::new();
        for Record { offset, key, value } in records {
            let seen = self.seen.get(&key).copied();
            if seen.map_or(offset < self.floor, |seen| seen > offset) {
                continue;
            }
            self.seen.insert(key.clone(), offset);
            changes.push(Change { key, value, offset });
        }
        changes
    }
}

async fn newest(
    store: &dyn Store,
    feed: Feed,
    timeout: ResponseTimeout,
) -> Result<Answer, StoreError> {
    let asked = Instant::now();
    let page = store.newest(feed, timeout).await?;
    Ok(Answer {
        page,
        is_complete: true,
        as_of: Some(asked),
        due: asked,
    })
}

/// When the store had nothing newer than `page`, its answer to a poll sent at `asked`. A poll that
/// found nothing was answered at the end of its wait, not earlier. `None` if the page isn't the last.
fn as_of(asked: Instant, wait: Duration, page: &Page) -> Option<Instant> {
    if page.has_more {
        return None;
    }
    if page.records.is_empty() && asked.elapsed() >= wait {
        return Some(asked + wait);
    }
    Some(asked)
}
