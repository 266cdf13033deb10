//! Maintains the directory of backend servers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use swiftlink_telemetry::event;
use swiftlink_types::{ServerInstance, ServerName};
use tokio::time::Instant;

use super::follow::Follow;
use super::last_starts::{LastStarts, StartOrder};
use super::listed_versions::VersionObserver;
use super::reader::{Change, FeedUpdate};
use super::replicas::MAX_PAGE_BYTES;
use super::returns::{RETURN_GRACE, return_by};
use super::subset::Subset;
use crate::catalog::{Catalog, CatalogError, ServerEntry};
use crate::node::Node;
use crate::store::{Feed, offset_of};

/// Entries that lapsed while the store was unavailable are missing when it recovers or right after;
/// an entry that is removed later was removed by its server.
const LAPSE_WINDOW: Duration = Duration::from_millis(300);

/// Maximum length of an entry. Servers' own have some hundred bytes; a longer one isn't sent to a
/// router that lost the store.
const MAX_ENTRY_BYTES: usize = MAX_PAGE_BYTES / 2;

/// Maximum difference between two reported ends of the warm-up that counts as no change: entries
/// are written every second or two and read a moment later.
const COLD_JITTER: Duration = Duration::from_millis(500);

/// The effect of a server's entry on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// None: the entry repeats what was known.
    Unchanged,
    /// None: the entry was missing for a moment.
    Returned,
    /// None: the entry is of an instance that started before the newest one known.
    Outdated,
    /// The server is not used: the entry lacks the start time that this server reports, or has one
    /// in the future, so another writer wrote it.
    Foreign,
    /// The server is cold, or for longer than was known.
    Cold,
    /// The server is new, or its entry differs from the known one.
    Changed,
    /// The server restarted.
    Restarted,
}

/// The known servers, and those whose entries may only have lapsed.
#[derive(Debug, Default)]
pub struct Directory {
    entries: HashMap<ServerName, ServerEntry>,
    /// The record of an earlier instance may arrive late, even when the newer one is gone already.
    last_starts: LastStarts,
    /// Servers without an entry, and when they are removed.
    lapsed: HashMap<ServerName, Instant>,
    /// When the warm-up of the servers that reported to be cold ends.
    cold_until: HashMap<ServerName, Instant>,
    /// When the store last recovered, and until when entries that lapsed may be written again.
    recovery: Option<(Instant, Instant)>,
    /// Changes that are not yet applied to the subsets.
    pending_diffs: Vec<EntryDiff>,
}

/// An entry before and after a change.
type EntryDiff = (Option<ServerEntry>, Option<ServerEntry>);

impl Directory {
    /// Applies an entry that a server wrote. Returns what that changes.
    pub fn put(&mut self, entry: ServerEntry) -> EntryChange {
        let ServerInstance { name, started } = &entry.instance;
        let listed = self.entries.get(name);
        let listed = listed.map_or(0, |entry| entry.instance.started);
        match self.last_starts.compare(name, *started, listed) {
            StartOrder::Foreign => {
                self.invalidate(&entry.instance.name);
                EntryChange::Foreign
            }
            StartOrder::Earlier => EntryChange::Outdated,
            StartOrder::First | StartOrder::Same => self.accept(entry, EntryChange::Changed),
            StartOrder::Newer => self.accept(entry, EntryChange::Restarted),
        }
    }

    /// Applies an entry that another router read from the store and applied. That router sees all
    /// entries, and passes on those only that change something.
    pub fn put_published(&mut self, entry: ServerEntry) -> EntryChange {
        self.accept(entry, EntryChange::Changed)
    }

    /// Applies an entry that counts. Returns `change` if it differs from the known one.
    fn accept(&mut self, entry: ServerEntry, change: EntryChange) -> EntryChange {
        let warmup = entry.warmup;
        // The end of the warm-up is kept separately, since the time left changes all the time.
        let entry = ServerEntry {
            warmup: Duration::ZERO,
            ..entry
        };
        let ServerInstance { name, started } = entry.instance.clone();
        self.last_starts.confirm(&name, started);
        let was_missing = self.lapsed.remove(&name).is_some();
        let is_colder = self.update_warmup(&name, warmup);
        if self.entries.get(&name) == Some(&entry) {
            return match (is_colder, was_missing) {
                (true, _) => EntryChange::Cold,
                (false, true) => EntryChange::Returned,
                (false, false) => EntryChange::Unchanged,
            };
        }
        let before = self.entries.insert(name, entry.clone());
        self.pending_diffs.push((before, Some(entry)));
        change
    }

    /// Sets how much longer a server is cold. Returns whether that is longer than was known.
    fn update_warmup(&mut self, name: &ServerName, left: Duration) -> bool {
        if left.is_zero() {
            self.cold_until.remove(name);
            return false;
        }
        let until = Instant::now() + left;
        let known = self.cold_until.insert(name.clone(), until);
        known.is_none_or(|known| known + COLD_JITTER < until)
    }

    /// The newest entry under a name is unreadable or belongs to no usable server. Returns whether
    /// that changes anything.
    pub fn invalidate(&mut self, name: &ServerName) -> bool {
        self.lapsed.remove(name);
        self.drop_entry(name)
    }

    fn drop_entry(&mut self, name: &ServerName) -> bool {
        let before = self.entries.remove(name);
        let was_there = before.is_some();
        if was_there {
            self.pending_diffs.push((before, None));
        }
        was_there
    }

    /// An entry was removed. Returns whether that changes anything at once.
    pub fn remove(&mut self, name: &ServerName, now: Instant) -> bool {
        if !self.entries.contains_key(name) {
            return false;
        }
        match self.recovery {
            Some((at, return_by)) if now < at + LAPSE_WINDOW => {
                self.lapsed.insert(name.clone(), return_by);
                false
            }
            _ => self.drop_entry(name),
        }
    }

    /// The store answers again after an outage.
    pub fn store_recovered(&mut self, now: Instant) {
        self.await_returns(now, now + RETURN_GRACE);
    }

    /// The store answers again. Entries that are missing now may be written again until `return_by`.
    fn await_returns(&mut self, now: Instant, return_by: Instant) {
        self.recovery = Some((now, return_by));
    }

    /// Removes servers whose entries weren't written again in time. Returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<ServerName> {
        self.last_starts.expire();
        let due = self.lapsed.iter().filter(|(_, until)| **until <= now);
        let due: Vec<ServerName> = due.map(|(name, _)| name.clone()).collect();
        for name in &due {
            self.lapsed.remove(name);
            self.drop_entry(name);
        }
        due
    }

    /// The servers.
    #[must_use]
    pub fn entries(&self) -> &HashMap<ServerName, ServerEntry> {
        &self.entries
    }

    /// The servers of these names, each with its remaining warm-up time.
    fn listed(&mut self, names: Vec<ServerName>) -> HashMap<ServerName, ServerEntry> {
        let now = Instant::now();
        self.cold_until.retain(|_, until| *until > now);
        let mut listed = HashMap::with_capacity(names.len());
        for name in names {
            if let Some(entry) = self.entries.get(&name) {
                listed.insert(name, entry.clone());
            }
        }
        for (name, until) in &self.cold_until {
            if let Some(entry) = listed.get_mut(name) {
                entry.warmup = *until - now;
            }
        }
        listed
    }
}

/// Maximum number of records in an update for which each is logged. Of more, such as all servers of
/// a fleet at the start, only the count is logged.
const MAX_LOGGED_ENTRIES: usize = 32;

pub(super) struct Follower {
    node: Arc<Node>,
    catalog: Arc<dyn Catalog>,
    directory: Directory,
    /// The servers that are published to the pools.
    subset: Subset,
    versions: VersionObserver,
    /// Whether there are changes that weren't published to the pools.
    has_unpublished: bool,
    /// Whether the rest of a long answer is still to come.
    is_partial: bool,
}

/// The effect of a record, which decides what followers of this router get.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    /// They get the record.
    Changed,
    /// The same; the server is cold, or for longer than was known.
    Cold,
    /// None: nothing changed except what changes all the time.
    Unchanged,
    /// None: the record is of an earlier instance.
    Outdated,
    /// The record names no usable server, so the server is removed.
    Refused,
}

impl Follower {
    pub(super) fn new(node: Arc<Node>, catalog: Arc<dyn Catalog>) -> Self {
        Self {
            subset: Subset::new(node.settings.domain.clone()),
            versions: VersionObserver::default(),
            node,
            catalog,
            directory: Directory::default(),
            has_unpublished: false,
            is_partial: false,
        }
    }

    /// Applies a record; `is_definite` if another router already applied it.
    fn apply_change(&mut self, change: &Change, is_definite: bool, is_logged: bool) -> Effect {
        let name = ServerName::from(change.key.as_str());
        let Some(value) = &change.value else {
            if is_logged {
                event!(
                    info,
                    "server.unlisted",
                    server = name,
                    offset = offset_of(change.offset)
                );
            }
            let has_changed = self.drop_entry(&name, is_definite);
            // If the entry doesn't come back, its removal is published later.
            if !has_changed && self.directory.entries.contains_key(&name) {
                return Effect::Unchanged;
            }
            return Effect::Changed;
        };
        match self.decode(&change.key, value) {
            Ok(entry) => {
                let applied = if is_definite {
                    self.directory.put_published(entry.clone())
                } else {
                    self.directory.put(entry.clone())
                };
                self.report_entry(&entry, applied, change.offset, is_logged)
            }
            Err(error) => {
                self.report_unreadable(&error, change.offset);
                self.directory.invalidate(&name);
                Effect::Refused
            }
        }
    }

    fn decode(&self, key: &str, value: &[u8]) -> Result<ServerEntry, CatalogError> {
        if value.len() > MAX_ENTRY_BYTES {
            return Err(CatalogError {
                key: key.to_owned(),
                reason: format!("{} bytes, more than {MAX_ENTRY_BYTES}", value.len()),
            });
        }
        self.catalog.server(key, value)
    }

    /// Handles an entry that was removed or may only have lapsed.
    fn drop_entry(&mut self, name: &ServerName, is_definite: bool) -> bool {
        if is_definite {
            return self.directory.invalidate(name);
        }
        self.directory.remove(name, Instant::now())
    }

    /// Reports an entry that names no usable server.
    fn report_unreadable(&self, error: &CatalogError, offset: u64) {
        self.node.metrics.unreadable(Feed::Servers);
        event!(
            error,
            "server.unreadable",
            error = error,
            offset = offset_of(offset)
        );
    }

    /// Logs an entry that was applied. Returns its effect.
    fn report_entry(
        &self,
        entry: &ServerEntry,
        applied: EntryChange,
        offset: u64,
        is_logged: bool,
    ) -> Effect {
        let ServerInstance { name, started } = &entry.instance;
        match applied {
            EntryChange::Unchanged => return Effect::Unchanged,
            // Followers that removed the server meanwhile must get its entry again.
            EntryChange::Returned => return Effect::Changed,
            EntryChange::Outdated => {
                event!(
                    info,
                    "server.outdated",
                    server = name,
                    born = started,
                    offset = offset_of(offset),
                );
                return Effect::Outdated;
            }
            EntryChange::Foreign => {
                let error = CatalogError {
                    key: name.to_string(),
                    reason: format!("start time {started} is absent or in the future"),
                };
                self.report_unreadable(&error, offset);
                return Effect::Refused;
            }
            EntryChange::Cold | EntryChange::Changed | EntryChange::Restarted => {}
        }
        if is_logged {
            event!(
                info,
                "server.listed",
                server = name,
                pool = entry.pool,
                address = entry.address,
                version = entry.version,
                draining = entry.draining,
                cold_ms = entry.warmup.as_millis(),
                born = started,
                started_again = applied == EntryChange::Restarted,
                offset = offset_of(offset),
            );
        }
        if applied == EntryChange::Cold {
            return Effect::Cold;
        }
        Effect::Changed
    }

    /// Publishes the servers to the pools if any of those that they need changed.
    fn publish(&mut self) {
        for (before, after) in std::mem::take(&mut self.directory.pending_diffs) {
            self.versions.apply(before.as_ref(), after.as_ref());
            if let Some(before) = before {
                self.has_unpublished |= self.subset.remove(&before);
            }
            if let Some(after) = after {
                self.has_unpublished |= self.subset.put(&after);
            }
        }
        if self.is_partial {
            return;
        }
        self.versions.publish(&self.node.pools);
        if !std::mem::take(&mut self.has_unpublished) {
            return;
        }
        let needed = self.subset.select();
        self.node.pools.set_selected(self.directory.listed(needed));
    }
}

impl Follow for Follower {
    fn take(&mut self, update: FeedUpdate) -> FeedUpdate {
        let mut published = FeedUpdate {
            end: update.end,
            as_of: update.as_of,
            is_from_upstream: update.is_from_upstream,
            ..FeedUpdate::default()
        };
        if let Some(keys) = &update.keys {
            let known: Vec<ServerName> = self.directory.entries.keys().cloned().collect();
            for name in known {
                if !keys.contains(name.as_str()) {
                    self.drop_entry(&name, update.is_from_upstream);
                }
            }
        }
        let is_logged = update.changes.len() <= MAX_LOGGED_ENTRIES;
        if !is_logged {
            event!(info, "servers.listed", records = update.changes.len());
        }
        for change in update.changes {
            let effect = self.apply_change(&change, update.is_from_upstream, is_logged);
            self.has_unpublished |= effect == Effect::Cold;
            match effect {
                Effect::Changed | Effect::Cold => published.changes.push(change),
                // A change that an upstream router published must be published to the followers too.
                Effect::Unchanged if update.is_from_upstream => published.changes.push(change),
                // A removed entry may come back; if it doesn't, its removal is published later.
                Effect::Unchanged if change.value.is_none() => {}
                Effect::Unchanged => published.unchanged.push(change),
                Effect::Outdated => {}
                Effect::Refused => published.changes.push(Change {
                    value: None,
                    ..change
                }),
            }
        }
        if update.keys.is_some() {
            let entries = self.directory.entries.keys();
            published.keys = Some(entries.map(ToString::to_string).collect());
        }
        if let Some(as_of) = update.as_of {
            // A server that leaves is listed as draining for that long.
            let max_gap = self.node.settings.drain;
            self.versions.note_read(as_of, max_gap, &self.node.pools);
        }
        self.is_partial = update.is_from_upstream && update.as_of.is_none();
        if !self.is_partial {
            self.publish();
            self.node.has_servers.store(true, Relaxed);
        }
        published
    }

    fn store_recovered(&mut self, known: Option<Instant>) {
        let now = Instant::now();
        let settings = &self.node.settings;
        let return_by = return_by(now, known, settings.heartbeat, settings.drain);
        event!(
            info,
            "servers.recovered",
            unknown_ms = known.map_or(-1, |known| (now - known).as_millis() as i64),
            return_ms =
                return_by.map_or(0, |until| until.saturating_duration_since(now).as_millis()),
        );
        if let Some(return_by) = return_by {
            self.directory.await_returns(now, return_by);
        }
    }

    fn tick(&mut self) -> Vec<String> {
        let gone = self.directory.expire(Instant::now());
        for name in &gone {
            event!(info, "server.gone", server = name, reason = "entry lapsed");
        }
        self.publish();
        gone.iter().map(ToString::to_string).collect()
    }
}
