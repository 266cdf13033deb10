//! The newest records of the feeds, served to other routers.
//!
//! A router that has lost the store asks another one for records that are newer than its own
//! ([`PeerFeeds`]) and applies them like an answer of the store: by offset, never backwards. Where
//! all routers have lost the store, none has newer records, and each keeps using what it has.
//!
//! In a large fleet most routers don't follow the feeds at the store: each receives every change
//! from a router that does, directly or through other routers. Only changes are sent. A record that
//! repeats the one before it keeps that record's revision.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use swiftlink_types::VmName;
use swiftlink_wire::link::{FeedKind, FeedRecord, FeedRecords, Following, GetFeed};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::reader::{Change, FeedUpdate};
use super::upstream::max_age_for_followers;
use crate::origins::ServerList;
use crate::store::{Feed, Record, era_of, offset_of, position};

/// Maximum size of the records in an answer to a router that lost the store: a hundredth of a
/// second of the smallest links, since many routers ask at the same time then. The rest follows in
/// the next answer. A longer record isn't served at all: large configurations sent between all
/// routers of a fleet would fill the links that callers use.
pub(super) const MAX_PAGE_BYTES: usize = 16 * 1024;
/// Maximum size of the records in an answer to a follower, which gets all its records this way: a
/// twentieth of a second of the smallest links. A longer record is sent alone.
const MAX_UPDATE_BYTES: usize = 128 * 1024;
/// Changes within this time are sent to a new follower even if it knows newer offsets. A change can
/// take effect after the record that caused it, such as the removal of a server whose entry could
/// have come back.
const REPLAY_WINDOW: Duration = Duration::from_secs(5);

/// Records that another router knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerPage {
    /// The newest record of each key, sorted by offset.
    pub records: Vec<Record>,
    /// Age of this knowledge; `None` if the page is incomplete or the router has no data.
    pub age: Option<Duration>,
}

/// The feeds as other routers of the fleet know them.
#[async_trait]
pub trait PeerFeeds: fmt::Debug + Send + Sync {
    /// Fetches what another router knows of `feed` from offset `from` on; `None` without an answer.
    async fn fetch(&self, feed: Feed, from: u64) -> Option<PeerPage>;

    /// The routers to follow `feed` through, the preferred one first. The list is empty if the
    /// store is to be read directly; `None` while that is unknown.
    fn upstreams(&self, _feed: Feed) -> Option<Upstreams> {
        Some(Upstreams::default())
    }

    /// Whether all members of the fleet are known. If not, the next answer may add some.
    fn has_all_members(&self) -> bool {
        true
    }

    /// Another router that can be asked; `None` if none is known.
    fn any_peer(&self) -> Option<VmName> {
        None
    }

    /// Fetches an update from the router on `vm`; `None` without an answer within `time`.
    async fn follow(&self, _vm: &VmName, _query: GetFeed, _time: Duration) -> Option<PeerUpdate> {
        None
    }
}

/// The routers that a router follows the feeds through.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Upstreams {
    /// Routers, the preferred one first; the store is the last resort.
    pub vms: Vec<VmName>,
    /// Whether other routers follow this one.
    pub has_followers: bool,
    /// Whether this router is a leaf of the relay tree, so that its upstreams follow other routers
    /// in turn.
    pub is_leaf: bool,
}

/// An answer to a follower.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerUpdate {
    /// The records and their age.
    pub page: PeerPage,
    /// ID of the process that sent the update.
    pub process: u64,
    /// Revision of that process up to which the follower has received all changes.
    pub revision: u64,
    /// Offset up to which the records are complete.
    pub end: u64,
    /// Whether these records, together with those of the answers before, are the complete feed.
    pub is_complete: bool,
    /// Whether the sender read the feed after it was asked to.
    pub is_confirmed: bool,
}

/// The newest record of a key.
#[derive(Debug)]
struct Entry {
    offset: u64,
    /// `None` if the key was removed.
    value: Option<Bytes>,
    /// Position in the sequence of changes.
    revision: u64,
    at: Instant,
}

/// The newest record of each key of a feed, including removals.
#[derive(Debug, Default)]
struct Replica {
    records: HashMap<Arc<str>, Entry>,
    /// Keys by the revision of their last change.
    order: BTreeMap<u64, Arc<str>>,
    revision: u64,
    /// Offset after the last record that was applied.
    end: u64,
    /// End of the newest complete listing; removals before it may be unknown.
    floor: u64,
    as_of: Option<Instant>,
}

impl Replica {
    fn put(&mut self, key: &str, offset: u64, value: Option<&[u8]>) {
        // Copied, since the value is a slice of a whole answer and would keep it in memory.
        let value = value.map(Bytes::copy_from_slice);
        self.revision += 1;
        let key = match self.records.get_key_value(key) {
            Some((key, before)) => {
                self.order.remove(&before.revision);
                Arc::clone(key)
            }
            None => Arc::from(key),
        };
        self.order.insert(self.revision, Arc::clone(&key));
        let entry = Entry {
            offset,
            value,
            revision: self.revision,
            at: Instant::now(),
        };
        self.records.insert(key, entry);
    }

    /// Replaces a record by a newer one that differs only in what changes all the time. Its
    /// revision stays, so followers aren't notified; a router that asks by offset gets the new
    /// record.
    fn refresh(&mut self, change: &Change) {
        let entry = self.records.get_mut(change.key.as_str());
        // The same answer may have had a later change of the key, which is applied already.
        if let Some(entry) = entry.filter(|entry| entry.offset <= change.offset) {
            entry.offset = change.offset;
            entry.value = change.value.as_deref().map(Bytes::copy_from_slice);
        }
    }

    /// Keys that are missing at `end` were removed before. Followers may still have them, so the
    /// removals are recorded as changes.
    fn retain_keys(&mut self, keys: &HashSet<String>, end: u64) {
        let known = self.records.iter();
        let gone = known.filter(|(key, entry)| entry.value.is_some() && !keys.contains(&***key));
        let gone: Vec<Arc<str>> = gone.map(|(key, _)| Arc::clone(key)).collect();
        for key in gone {
            // The offset of the removal is unknown; it is after the record and before `end`.
            self.put(&key, end.saturating_sub(1), None);
        }
    }

    /// Changes after `revision`, the oldest one first.
    fn changes_after(&self, revision: u64) -> impl Iterator<Item = (&Arc<str>, &Entry)> {
        let keys = self.order.range(revision + 1..).map(|(_, key)| key);
        keys.filter_map(|key| Some((key, self.records.get(key)?)))
    }
}

/// The newest records of the feeds that routers exchange.
#[derive(Debug)]
pub struct Replicas {
    feeds: Mutex<HashMap<Feed, Replica>>,
    /// Notified at each change.
    changed: watch::Sender<()>,
}

impl Default for Replicas {
    fn default() -> Self {
        Self {
            feeds: Mutex::default(),
            changed: watch::Sender::new(()),
        }
    }
}

impl Replicas {
    /// Applies what was read of `feed` or received from another router.
    pub(crate) fn apply(&self, feed: Feed, update: &FeedUpdate) {
        if feed_kind(feed).is_none() {
            return;
        }
        let mut feeds = self.feeds();
        let replica = feeds.entry(feed).or_default();
        let before = replica.revision;
        if let Some(keys) = &update.keys {
            replica.retain_keys(keys, update.end);
            replica.floor = replica.floor.max(update.end);
        }
        for change in &update.changes {
            replica.put(&change.key, change.offset, change.value.as_deref());
        }
        for change in &update.unchanged {
            replica.refresh(change);
        }
        replica.end = replica.end.max(update.end);
        let is_first = replica.as_of.is_none() && update.as_of.is_some();
        replica.as_of = replica.as_of.max(update.as_of);
        let has_changed = replica.revision != before;
        drop(feeds);
        if has_changed || is_first {
            self.changed.send_replace(());
        }
    }

    /// Returns what is known of `feed` from offset `from` on.
    #[must_use]
    pub fn since(&self, feed: Feed, from: u64) -> PeerPage {
        let feeds = self.feeds();
        let Some(replica) = feeds.get(&feed) else {
            return PeerPage::default();
        };
        let newer = replica
            .records
            .iter()
            .filter(|(_, entry)| entry.offset >= from);
        let mut records: Vec<Record> = newer.map(|(key, entry)| record(key, entry)).collect();
        records.sort_by_key(|record| record.offset);
        let all = records.len();
        truncate_page(&mut records);
        let is_last_page = records.len() == all;
        PeerPage {
            age: replica
                .as_of
                .filter(|_| is_last_page)
                .map(|at| at.elapsed()),
            records,
        }
    }

    /// Returns what a follower of `feed` lacks, and whether there are any records in it. `process`
    /// is the ID of this process.
    fn pending_update(
        &self,
        feed: Feed,
        from: u64,
        cursor: &Following,
        process: u64,
    ) -> (PeerUpdate, bool) {
        let feeds = self.feeds();
        // A router that has received only a part so far doesn't know the removals.
        let Some(replica) = feeds.get(&feed).filter(|replica| replica.as_of.is_some()) else {
            return (PeerUpdate::default(), false);
        };
        let is_known = cursor.process == process;
        let is_resumed = is_known && !cursor.is_listing;
        // Removals before the complete listing are unknown here, so the follower gets all keys.
        let is_complete = !is_resumed && from < replica.floor;
        let revision = if is_known { cursor.revision } else { 0 };
        let now = Instant::now();
        let is_new = |entry: &Entry| {
            let is_live = is_complete && entry.value.is_some();
            let is_recent = entry.at + REPLAY_WINDOW >= now;
            is_resumed || is_live || entry.offset >= from || is_recent
        };
        let mut update = PeerUpdate {
            process,
            revision,
            is_complete,
            ..PeerUpdate::default()
        };
        let mut bytes = 0;
        let mut is_last_page = true;
        for (key, entry) in replica.changes_after(revision) {
            if !is_new(entry) {
                continue;
            }
            bytes += key.len() + entry.value.as_ref().map_or(0, Bytes::len);
            if bytes > MAX_UPDATE_BYTES && !update.page.records.is_empty() {
                is_last_page = false;
                break;
            }
            update.page.records.push(record(key, entry));
            update.revision = entry.revision;
        }
        if is_last_page {
            update.revision = replica.revision;
            update.end = replica.end;
            update.page.age = replica.as_of.map(|at| at.elapsed());
        }
        let is_new = !update.page.records.is_empty();
        (update, is_new)
    }

    /// Answers a follower once there is something new or its wait is over. If the data here is
    /// older than `max_age`, the answer is sent at once.
    async fn wait_for_update(
        &self,
        feed: Feed,
        from: u64,
        cursor: &Following,
        process: u64,
        max_age: Duration,
    ) -> PeerUpdate {
        let wait = Duration::from_millis(cursor.wait_ms.into()).min(MAX_WAIT);
        let until = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            let (update, is_new) = self.pending_update(feed, from, cursor, process);
            let is_stale = update.page.age.is_some_and(|age| age > max_age);
            if is_new || is_stale || Instant::now() >= until {
                return update;
            }
            // The sender is dropped only with the replicas, which outlive all requests.
            let _ended = timeout_at(until, changed.changed()).await;
        }
    }

    /// Answers a query of another router; `process` is the ID of this process. A follower's query
    /// waits while there is nothing new and the data is fresh, or until `list` has been read if it
    /// is a confirming one. `apply` is the time within which a change must be in force everywhere.
    pub async fn answer(
        &self,
        query: &GetFeed,
        process: u64,
        apply: Duration,
        list: &dyn ServerList,
    ) -> PeerUpdate {
        let Some(feed) = feed_of(query) else {
            return PeerUpdate::default();
        };
        let from = position(query.era, query.from);
        match &query.follow {
            Some(cursor) if cursor.is_confirming && feed == Feed::Servers => {
                let is_read = list.read_since(Instant::now()).await;
                let (update, _) = self.pending_update(feed, from, cursor, process);
                PeerUpdate {
                    is_confirmed: is_read && update.page.age.is_some(),
                    ..update
                }
            }
            Some(cursor) => {
                let max_age = max_age_for_followers(feed, apply);
                self.wait_for_update(feed, from, cursor, process, max_age)
                    .await
            }
            None => PeerUpdate {
                page: self.since(feed, from),
                ..PeerUpdate::default()
            },
        }
    }

    fn feeds(&self) -> MutexGuard<'_, HashMap<Feed, Replica>> {
        // Every replica is consistent between any two calls.
        self.feeds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Maximum time for which an answer to a follower is held back, whatever it asks for.
const MAX_WAIT: Duration = Duration::from_secs(15);

fn record(key: &str, entry: &Entry) -> Record {
    Record {
        offset: entry.offset,
        key: key.to_owned(),
        value: entry.value.clone(),
    }
}

/// Keeps the first records, up to [`MAX_PAGE_BYTES`].
fn truncate_page(records: &mut Vec<Record>) {
    let mut bytes = 0;
    let mut count = 0;
    for record in records.iter() {
        bytes += record.key.len() + record.value.as_ref().map_or(0, Bytes::len);
        if bytes > MAX_PAGE_BYTES {
            break;
        }
        count += 1;
    }
    records.truncate(count);
}

/// The kind of a feed that routers exchange; `None` for other feeds.
fn feed_kind(feed: Feed) -> Option<FeedKind> {
    match feed {
        Feed::Config => Some(FeedKind::Config),
        Feed::Servers => Some(FeedKind::Servers),
        Feed::Members(_) => Some(FeedKind::Members),
        Feed::Rollouts => Some(FeedKind::Rollouts),
        Feed::Links | Feed::Quota(_) | Feed::Caps(_) | Feed::Versions | Feed::Status => None,
    }
}

/// The feed that a query is for.
fn feed_of(query: &GetFeed) -> Option<Feed> {
    match query.kind() {
        FeedKind::Config => Some(Feed::Config),
        FeedKind::Servers => Some(Feed::Servers),
        FeedKind::Members => Some(Feed::Members(query.part)),
        FeedKind::Rollouts => Some(Feed::Rollouts),
        FeedKind::Unspecified => None,
    }
}

/// The query for `feed` from offset `from` on; `None` if routers don't exchange that feed.
pub(crate) fn query(feed: Feed, from: u64) -> Option<GetFeed> {
    let kind = feed_kind(feed)?.into();
    let part = match feed {
        Feed::Members(part) => part,
        _ => 0,
    };
    Some(GetFeed {
        kind,
        from: offset_of(from),
        follow: None,
        part,
        era: era_of(from),
    })
}

/// Encodes an answer.
pub(crate) fn message(update: PeerUpdate) -> FeedRecords {
    let records = update.page.records.into_iter().map(|record| FeedRecord {
        offset: offset_of(record.offset),
        key: record.key,
        value: record.value.map(Vec::from),
        era: era_of(record.offset),
    });
    FeedRecords {
        records: records.collect(),
        age_ms: update.page.age.map(|age| age.as_millis() as u64),
        process: update.process,
        revision: update.revision,
        end: offset_of(update.end),
        is_all: update.is_complete,
        end_era: era_of(update.end),
        is_confirmed: update.is_confirmed,
    }
}

/// Decodes an answer.
pub(crate) fn decode(answer: FeedRecords) -> PeerUpdate {
    let records = answer.records.into_iter().map(|record| Record {
        offset: position(record.era, record.offset),
        key: record.key,
        value: record.value.map(Bytes::from),
    });
    PeerUpdate {
        page: PeerPage {
            records: records.collect(),
            age: answer.age_ms.map(Duration::from_millis),
        },
        process: answer.process,
        revision: answer.revision,
        end: position(answer.end_era, answer.end),
        is_complete: answer.is_all,
        is_confirmed: answer.is_confirmed,
    }
}
