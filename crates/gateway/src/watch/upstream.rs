//! Follows a feed through other routers.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use swiftlink_telemetry::event;
use swiftlink_types::VmName;
use swiftlink_wire::link::{Following, GetFeed};
use tokio::time::{Instant, sleep};

use super::confirmation::READ_TIMEOUT;
use super::follow::{Follow, Relay, STARTUP_POLL_WAIT, take};
use super::reader::Reader;
use super::replicas::{self, PeerUpdate, Upstreams};
use crate::store::Feed;

/// Maximum age of the data of a relay, which follows the roots, as a divisor of the apply time (the
/// time in which a change must be in force everywhere). Its followers notice staleness early enough
/// to use another upstream.
const FRESH_DIVISOR: u32 = 4;
/// The same for a leaf, which follows relays; only later leaves of its domain may follow it.
const LEAF_FRESH_DIVISOR: u32 = 2;
/// Requests within the time for which data counts as fresh: an unanswered request is noticed, and
/// the next one answered, before the data is stale.
const REQUESTS_PER_PERIOD: u32 = 3;
/// Maximum age of the members' feed. No request waits for a member, and the store holds a poll for
/// half of that time.
const MEMBERS_MAX_AGE: Duration = Duration::from_secs(30);
/// Maximum wait for an answer, whatever the age of the data, so that a silent link is noticed.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Time for an answer beyond its wait: links take a few milliseconds, and callers may have filled
/// them.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Upstreams that are tried before the store. Each silent one takes a part of the time in which a
/// change must come into force.
const MAX_TRIES: usize = 2;
/// How long an upstream that failed isn't tried again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Pause before the next request while the upstreams have no data themselves, or none that is new
/// enough.
const EMPTY_PAUSE: Duration = Duration::from_millis(50);
/// How long a starting router waits for its upstreams before it reads the store. They may start at
/// the same time, and hundreds of routers that read the whole store at once would delay each other.
const STARTUP_WAIT: Duration = Duration::from_secs(2);
/// The same while the upstreams are unknown. It is longer, since a store that is too slow to list
/// the members has no capacity for more reads.
const MEMBERSHIP_WAIT: Duration = Duration::from_secs(5);

/// Receives one feed from upstream routers.
#[derive(Debug)]
pub(super) struct Upstream {
    started: Instant,
    /// Random fraction of [`STARTUP_WAIT`] that is added, so that routers don't give up all at
    /// once.
    jitter: f64,
    /// Upstream of the last update, its process ID and the revision there.
    last: Option<(VmName, u64, u64)>,
    /// When upstreams failed.
    failures: HashMap<VmName, Instant>,
    /// Keys of the answers so far, while a complete listing is being received.
    keys: HashSet<String>,
    /// Whether a fresh update was ever received.
    has_update: bool,
}

impl Upstream {
    pub(super) fn new() -> Self {
        Self {
            started: Instant::now(),
            jitter: rand::random(),
            last: None,
            failures: HashMap::new(),
            keys: HashSet::new(),
            has_update: false,
        }
    }

    /// Receives and applies what is new. Returns `false` if no upstream has fresh data and the
    /// store has to be polled.
    pub(super) async fn receive(
        &mut self,
        relay: &Relay,
        reader: &mut Reader,
        handler: &mut impl Follow,
    ) -> bool {
        let Some(upstreams) = relay.peers.upstreams(reader.feed()) else {
            if self.started.elapsed() >= MEMBERSHIP_WAIT.mul_f64(1.0 + self.jitter) {
                return false;
            }
            sleep(EMPTY_PAUSE).await;
            return true;
        };
        if upstreams.vms.is_empty() {
            return false;
        }
        let feed = reader.feed();
        let max_age = max_age(feed, relay, &upstreams);
        for (turn, vm) in self
            .candidates(&upstreams)
            .into_iter()
            .take(MAX_TRIES)
            .enumerate()
        {
            // After a failed upstream the next one is asked without a wait.
            let wait = if turn == 0 {
                (max_age / REQUESTS_PER_PERIOD).min(max_wait(feed, relay))
            } else {
                Duration::ZERO
            };
            let Some(query) = self.query(reader, &vm, wait) else {
                return false;
            };
            let (asked, update) = follow(relay, feed, &vm, query).await;
            let Some(update) = update else {
                self.mark_failed(&vm);
                continue;
            };
            let age = update.page.age;
            let is_partial = age.is_none() && !update.page.records.is_empty();
            self.take(vm.clone(), update, asked, relay, reader, handler);
            if is_partial {
                return true;
            }
            if age.is_some_and(|age| age <= max_age) {
                self.has_update = true;
                if let Some(list) = relay.list(feed) {
                    list.set_lost(false);
                }
                return true;
            }
            self.mark_failed(&vm);
        }
        self.wait_at_startup().await
    }

    /// Resets the position at the upstream: records read from the store may be newer than those
    /// received.
    pub(super) fn reset(&mut self) {
        self.last = None;
        self.keys.clear();
    }

    /// Returns whether there is still time to wait for the upstreams at startup, and pauses if so.
    async fn wait_at_startup(&mut self) -> bool {
        if self.has_update || self.started.elapsed() >= STARTUP_WAIT.mul_f64(1.0 + self.jitter) {
            return false;
        }
        self.failures.clear();
        sleep(EMPTY_PAUSE).await;
        true
    }

    /// The upstreams to try: the one of the last update first, and none that failed recently.
    fn candidates(&mut self, upstreams: &Upstreams) -> Vec<VmName> {
        self.failures.retain(|_, at| at.elapsed() < RETRY_PAUSE);
        let mut vms = upstreams.vms.clone();
        vms.retain(|vm| !self.failures.contains_key(vm));
        if let Some((last, _, _)) = &self.last
            && let Some(position) = vms.iter().position(|vm| vm == last)
        {
            vms[..=position].rotate_right(1);
        }
        vms
    }

    fn query(&self, reader: &Reader, vm: &VmName, wait: Duration) -> Option<GetFeed> {
        let mut query = replicas::query(reader.feed(), reader.known_end())?;
        let mut cursor = Following {
            wait_ms: wait.as_millis() as u32,
            ..Following::default()
        };
        if let Some((last, process, revision)) = &self.last
            && last == vm
        {
            (cursor.process, cursor.revision) = (*process, *revision);
            cursor.is_listing = !self.keys.is_empty();
        }
        query.follow = Some(cursor);
        Some(query)
    }

    fn take(
        &mut self,
        vm: VmName,
        update: PeerUpdate,
        asked: Instant,
        relay: &Relay,
        reader: &mut Reader,
        handler: &mut impl Follow,
    ) {
        if self
            .last
            .as_ref()
            .is_none_or(|(last, process, _)| *last != vm || *process != update.process)
        {
            self.keys.clear();
            event!(debug, "feed.followed", feed = reader.feed(), by = vm);
        }
        self.last = Some((vm, update.process, update.revision));
        let is_last_page = update.page.age.is_some();
        let mut keys = None;
        if update.is_complete {
            let records = update.page.records.iter();
            let live = records.filter(|record| record.value.is_some());
            self.keys.extend(live.map(|record| record.key.clone()));
            keys = is_last_page.then(|| std::mem::take(&mut self.keys));
        }
        let update = reader.take_peer_update(update, keys, asked);
        take(update, reader, handler, Some(relay));
        super::follow::tick(reader, handler, Some(relay));
    }

    fn mark_failed(&mut self, vm: &VmName) {
        self.failures.insert(vm.clone(), Instant::now());
    }
}

/// Asks an upstream for what is new, and returns when it was asked, too. If the list of servers is
/// to be read meanwhile, the upstream is asked to read it instead of waiting for changes.
async fn follow(
    relay: &Relay,
    feed: Feed,
    vm: &VmName,
    query: GetFeed,
) -> (Instant, Option<PeerUpdate>) {
    let wait = query.follow.as_ref().map_or(0, |cursor| cursor.wait_ms);
    let time = Duration::from_millis(wait.into()) + ANSWER_TIMEOUT;
    let asked = Instant::now();
    let Some(list) = relay.list(feed) else {
        return (asked, relay.peers.follow(vm, query, time).await);
    };
    let mut confirming = query;
    if let Some(cursor) = &mut confirming.follow {
        cursor.is_confirming = true;
        cursor.wait_ms = 0;
    }
    tokio::select! {
        update = relay.peers.follow(vm, query, time) => return (asked, update),
        () = list.wanted() => {}
    }
    let asked = Instant::now();
    let time = READ_TIMEOUT + ANSWER_TIMEOUT;
    let update = relay.peers.follow(vm, confirming, time).await;
    if !update.as_ref().is_some_and(|update| update.is_confirmed) {
        sleep(EMPTY_PAUSE).await;
    }
    (asked, update)
}

/// Maximum wait for an answer.
fn max_wait(feed: Feed, relay: &Relay) -> Duration {
    match feed {
        Feed::Members(_) if !relay.peers.has_all_members() => STARTUP_POLL_WAIT,
        _ => MAX_WAIT,
    }
}

/// Maximum age of data that is received through `upstreams`.
pub(super) fn max_age(feed: Feed, relay: &Relay, upstreams: &Upstreams) -> Duration {
    if let Feed::Members(_) = feed {
        return MEMBERS_MAX_AGE;
    }
    let divisor = if upstreams.is_leaf {
        LEAF_FRESH_DIVISOR
    } else {
        FRESH_DIVISOR
    };
    relay.node.settings.config_apply / divisor
}

/// Maximum age of data that is sent to followers.
pub(super) fn max_age_for_followers(feed: Feed, apply: Duration) -> Duration {
    match feed {
        Feed::Members(_) => MEMBERS_MAX_AGE,
        _ => apply / FRESH_DIVISOR,
    }
}

/// How long a router with followers lets the store hold a poll.
pub(super) fn root_poll_wait(apply: Duration) -> Duration {
    apply / FRESH_DIVISOR / REQUESTS_PER_PERIOD
}
