//! Has the record of a pool written to the store when the versions of its servers change.
//!
//! The pool's name determines an order of the routers. The first one writes the record. The others
//! ask one of the first few whether it is written, and write it themselves if nobody has confirmed
//! that by their turn.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use prost::Message;
use rand::seq::IteratorRandom;
use swiftlink_telemetry::event;
use swiftlink_types::{PoolName, VersionName, VmName};
use swiftlink_wire::link::{FindOrigin, RecordedVersions, reply, request};
use tokio::time::{Instant, sleep_until};

use super::version_store::{VersionRecords, within};
use super::{ListedVersions, Recorders, ServerList, VersionHistory, VersionRecord};
use crate::store::{ANSWER_TIMEOUT, Feed, Store, StoreError};

/// Number of routers that the others ask whether a record is written: the later ones in place of
/// those that are lost.
pub const WRITERS: usize = 3;
/// Delay for each place in the order of the routers.
const TURN_DELAY: Duration = Duration::from_secs(1);
/// Time between two tries to write, for each place in the order.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after a change until the first router is asked: it needs two calls of the store.
const ASK_DELAY: Duration = Duration::from_millis(100);
/// Pause after the first question, and maximum pause.
const MIN_ASK_PAUSE: Duration = Duration::from_millis(250);
const MAX_ASK_PAUSE: Duration = Duration::from_secs(8);
/// Maximum time for opening a link, and again for the reply.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Writes records, or asks others whether they are written.
pub(super) struct Writer<'a> {
    records: &'a VersionRecords,
    listed: &'a ListedVersions,
    recorders: &'a dyn Recorders,
    store: &'a dyn Store,
    list: &'a dyn ServerList,
    /// What was known of each pool when it was last looked at.
    seen: HashMap<PoolName, VersionHistory>,
    /// The pools whose records may have to be written.
    pending: HashMap<PoolName, Pending>,
}

/// What a router does next for a pool.
#[derive(Debug)]
struct Step {
    /// Routers that are asked whether the record is written.
    asked: Vec<VmName>,
    /// Whether this router writes it if none of them confirms that. One that was held up asks as
    /// often as the others: by the time alone, a whole fleet that was held up would read the store.
    is_turn: bool,
}

/// A change that isn't known to be recorded.
#[derive(Debug)]
struct Pending {
    since: Instant,
    /// When the next step is due.
    next: Instant,
    /// Number of times that others were asked.
    questions: usize,
    /// Pause after the next question.
    pause: Duration,
    /// The routers that come before this one, but for those that didn't reply; `None` until all
    /// routers are known.
    before: Option<Vec<VmName>>,
    /// Whether some didn't reply.
    has_lost: bool,
}

impl Pending {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            next: now,
            questions: 0,
            pause: MIN_ASK_PAUSE,
            before: None,
            has_lost: false,
        }
    }

    /// The next step; `None` if it isn't due yet.
    fn step(&mut self, now: Instant) -> Option<Step> {
        let Some(before) = &self.before else {
            self.next = now + RETRY_INTERVAL;
            return None;
        };
        let place = before.len() as u32;
        // Those that are asked by most routers ask first.
        let first_ask = self.since + ASK_DELAY * place.min(2);
        if now < first_ask {
            self.next = first_ask;
            return None;
        }
        let turn = self.since + TURN_DELAY * place;
        let is_turn = now >= turn && self.questions >= before.len().min(WRITERS);
        self.questions += 1;
        if is_turn {
            self.next = now + RETRY_INTERVAL * (place + 1);
        } else {
            let next = now + self.pause;
            self.next = if now < turn { turn.min(next) } else { next };
            self.pause = MAX_ASK_PAUSE.min(self.pause * 2);
        }
        let asked = before.iter().take(WRITERS);
        let asked: Vec<VmName> = match (self.has_lost, before.len() < WRITERS) {
            (true, _) => asked.cloned().collect(),
            (false, true) => asked.take(1).cloned().collect(),
            (false, false) => asked
                .choose(&mut rand::rng())
                .cloned()
                .into_iter()
                .collect(),
        };
        Some(Step { asked, is_turn })
    }

    fn on_lost(&mut self, lost: &VmName) {
        let before = self.before.iter_mut();
        before.for_each(|before| before.retain(|vm| vm != lost));
        self.has_lost = true;
        self.next = Instant::now();
    }
}

impl<'a> Writer<'a> {
    pub(super) fn new(
        records: &'a VersionRecords,
        listed: &'a ListedVersions,
        recorders: &'a dyn Recorders,
        store: &'a dyn Store,
        list: &'a dyn ServerList,
    ) -> Self {
        Self {
            records,
            listed,
            recorders,
            store,
            list,
            seen: HashMap::new(),
            pending: HashMap::new(),
        }
    }

    /// Runs until the task is aborted.
    pub(super) async fn run(mut self) {
        let mut era = self.store.era();
        loop {
            let next = self.pending.values().map(|pending| pending.next).min();
            tokio::select! {
                () = self.listed.changed() => self.note_changes(),
                // A store that went back to a copy may lack records.
                Ok(()) = era.changed() => {
                    self.seen.clear();
                    self.note_changes();
                }
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {}
            }
            self.advance().await;
        }
    }

    fn note_changes(&mut self) {
        for pool in self.listed.pools() {
            let history = self.listed.of(&pool);
            if is_recent(self.seen.get(&pool), &history) {
                continue;
            }
            self.seen.insert(pool.clone(), history);
            self.pending.insert(pool, Pending::new(Instant::now()));
        }
    }

    /// Does what is due.
    async fn advance(&mut self) {
        let now = Instant::now();
        let mut asks = Vec::new();
        let mut turns = Vec::new();
        for (pool, pending) in &mut self.pending {
            if pending.next > now {
                continue;
            }
            if pending.before.is_none() {
                pending.before = self.recorders.writers_before(pool);
            }
            let Some(step) = pending.step(now) else {
                continue;
            };
            asks.extend(step.asked.into_iter().map(|vm| (pool.clone(), vm)));
            if step.is_turn {
                turns.push(pool.clone());
            }
        }
        self.ask(asks).await;
        turns.retain(|pool| self.pending.contains_key(pool));
        if turns.is_empty() {
            return;
        }
        match self.write(&turns).await {
            Ok(()) => self.pending.retain(|pool, _| !turns.contains(pool)),
            // Another writer was first.
            Err(StoreError::Conflict { .. }) => {}
            Err(error) => event!(warn, "versions.not_written", error = error),
        }
    }

    /// Asks routers for what the records of pools say.
    async fn ask(&mut self, asks: Vec<(PoolName, VmName)>) {
        let recorders = self.recorders;
        let replies = asks.into_iter().map(|(pool, vm)| async move {
            let kind = request::Kind::FindOrigin(FindOrigin {
                key: None,
                pool: pool.to_string(),
                lifetime_ms: 0,
                is_confirming: false,
            });
            let reply = recorders.call(&vm, kind, ASK_TIMEOUT).await;
            (pool, vm, reply)
        });
        for (pool, vm, reply) in join_all(replies).await {
            match reply {
                Ok(reply::Kind::OriginReply(reply)) => {
                    let is_current = reply
                        .recorded
                        .is_some_and(|recorded| self.listed.set_recorded(&pool, decode(&recorded)));
                    if is_current {
                        self.pending.remove(&pool);
                    }
                }
                Ok(_) | Err(_) => {
                    event!(debug, "versions.not_asked", pool = pool, peer = vm);
                    if let Some(pending) = self.pending.get_mut(&pool) {
                        pending.on_lost(&vm);
                    }
                }
            }
        }
    }

    /// Writes the records of `pools` that don't say what this router has observed.
    async fn write(&self, pools: &[PoolName]) -> Result<(), StoreError> {
        let snapshot = self.records.read(self.store, ANSWER_TIMEOUT).await?;
        let is_removal = pools.iter().any(|pool| {
            let history = self.listed.of(pool);
            let recorded = snapshot.pools.get(pool).map(VersionRecord::listed);
            let mut recorded = recorded.into_iter().flatten();
            recorded.any(|version| !history.listed().contains(&version))
        });
        // A list that is older than the record may lack a version that has appeared since.
        if is_removal && !self.list.read_since(Instant::now()).await {
            let reason = "the list of servers can't be read".to_owned();
            return Err(StoreError::Unknown(reason));
        }
        let now = self.records.clock.read();
        let mut changed = Vec::new();
        for pool in pools {
            let mut record = snapshot.pools.get(pool).cloned().unwrap_or_default();
            self.listed.set_recorded(pool, record.listed());
            if record.update(&self.listed.of(pool), &now) {
                changed.push((pool, record));
            }
        }
        if changed.is_empty() {
            return Ok(());
        }
        let encode = |(pool, record): &(&PoolName, VersionRecord)| {
            let value = Bytes::from(record.encode().encode_to_vec());
            (pool.to_string(), value)
        };
        let values: Vec<_> = changed.iter().map(encode).collect();
        let append = self.store.append_at(Feed::Versions, snapshot.end, &values);
        within(ANSWER_TIMEOUT, append).await?;
        for (pool, record) in changed {
            self.listed.set_recorded(pool, record.listed());
            event!(info, "versions.recorded", pool = pool, versions = record);
        }
        Ok(())
    }
}

/// Whether `seen` has all that `history` says. A version may come and go between two looks.
fn is_recent(seen: Option<&VersionHistory>, history: &VersionHistory) -> bool {
    let Some(seen) = seen else {
        return false;
    };
    let mut earlier = history.earlier().iter();
    seen.listed() == history.listed()
        && earlier.all(|(version, last)| seen.earlier().get(version) == Some(last))
}

fn decode(recorded: &RecordedVersions) -> Vec<VersionName> {
    let versions = recorded.versions.iter();
    versions
        .map(|name| VersionName::from(name.as_str()))
        .collect()
}
