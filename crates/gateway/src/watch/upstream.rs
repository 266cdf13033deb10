//! Follows a feed by way of other routers.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use swiftlink_telemetry::event;
use swiftlink_types::VmName;
use swiftlink_wire::link::{Following, GetFeed};
use tokio::time::{Instant, sleep};

use super::copies::{self, Heard, Upstreams};
use super::follow::{Follow, Relay, SETTLE_POLL, take};
use super::reader::Reader;
use crate::store::Feed;

/// Part of the time in which a change must be in force everywhere that the knowledge of a router may be old
/// which others follow by: they notice in time for another way.
const FRESH_PART: u32 = 4;
/// The same of a router that nobody follows by.
const FRESH_PART_LEAF: u32 = 2;
/// Questions in the time for which knowledge is fresh: one that goes unanswered is noticed, and the next one
/// is answered, before it is old.
const ASKS: u32 = 3;
/// The same of the members: nobody waits for one, and the store keeps a poll for half of that time.
const MEMBERS_FRESH: Duration = Duration::from_secs(30);
/// Longest time for which an answer is waited for, whatever the knowledge: a silent link is noticed then.
const LONGEST_WAIT: Duration = Duration::from_secs(3);
/// Time for an answer beyond its wait: links of a few milliseconds, which callers may have filled.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Routers that are asked before the store is: each that is silent takes time in which a change may
/// have to come into force.
const TRIES: usize = 2;
/// How long a router that couldn't tell isn't asked again.
const RETRY: Duration = Duration::from_secs(1);
/// Pause before the next question while those that are asked know nothing themselves.
const START_PAUSE: Duration = Duration::from_millis(50);
/// How long a router that starts waits for others before it reads the store: those may start with
/// it, and hundreds that read all of it at once would keep each other waiting.
const START_WAIT: Duration = Duration::from_secs(2);
/// The same until it is known whom to ask: the store that doesn't tell that has no time for more.
const KNOWN_WAIT: Duration = Duration::from_secs(5);

/// How a router hears of one feed.
#[derive(Debug)]
pub(super) struct Upstream {
    start: Instant,
    /// A part of [`START_WAIT`] that is added, drawn: not all give up waiting at once.
    spread: f64,
    /// Router that told last, its process, and the place there.
    last: Option<(VmName, u64, u64)>,
    /// When routers couldn't tell.
    failed: HashMap<VmName, Instant>,
    /// Keys of the answers so far, where they are to be all there are.
    keys: HashSet<String>,
    /// Whether anything was told yet.
    has_heard: bool,
}

impl Upstream {
    pub(super) fn new() -> Self {
        Self {
            start: Instant::now(),
            spread: rand::random(),
            last: None,
            failed: HashMap::new(),
            keys: HashSet::new(),
            has_heard: false,
        }
    }

    /// Hears what is new. `false`: nobody tells, and the store has to be asked.
    pub(super) async fn hear(
        &mut self,
        relay: &Relay,
        reader: &mut Reader,
        follower: &mut impl Follow,
    ) -> bool {
        let Some(upstreams) = relay.others.upstreams(reader.feed()) else {
            if self.start.elapsed() >= KNOWN_WAIT.mul_f64(1.0 + self.spread) {
                return false;
            }
            sleep(START_PAUSE).await;
            return true;
        };
        if upstreams.vms.is_empty() {
            return false;
        }
        let feed = reader.feed();
        let fresh = fresh(feed, relay, &upstreams);
        for (turn, vm) in self.order(&upstreams).into_iter().take(TRIES).enumerate() {
            // Who was let down by one is in a hurry.
            let wait = if turn == 0 {
                (fresh / ASKS).min(longest_wait(feed, relay))
            } else {
                Duration::ZERO
            };
            let question = self.question(reader, &vm, wait);
            let Some(question) = question else {
                return false;
            };
            let asked = Instant::now();
            let heard = relay.others.follow(&vm, question, wait + ANSWER_TIME);
            let Some(heard) = heard.await else {
                self.fail(&vm);
                continue;
            };
            let age = heard.told.age;
            let is_part = age.is_none() && !heard.told.records.is_empty();
            self.take(vm.clone(), heard, asked, relay, reader, follower);
            if is_part {
                return true;
            }
            if age.is_some_and(|age| age <= fresh) {
                self.has_heard = true;
                return true;
            }
            self.fail(&vm);
        }
        self.is_starting().await
    }

    /// The store was asked: what was read there may be newer than what others told.
    pub(super) fn forget(&mut self) {
        self.last = None;
        self.keys.clear();
    }

    /// Whether there is time to wait for others still; waits a moment then.
    async fn is_starting(&mut self) -> bool {
        if self.has_heard || self.start.elapsed() >= START_WAIT.mul_f64(1.0 + self.spread) {
            return false;
        }
        self.failed.clear();
        sleep(START_PAUSE).await;
        true
    }

    /// The routers to ask: the one that told last, then the others, but for those that couldn't
    /// tell lately.
    fn order(&mut self, upstreams: &Upstreams) -> Vec<VmName> {
        self.failed.retain(|_, at| at.elapsed() < RETRY);
        let mut vms = upstreams.vms.clone();
        vms.retain(|vm| !self.failed.contains_key(vm));
        if let Some((last, _, _)) = &self.last
            && let Some(place) = vms.iter().position(|vm| vm == last)
        {
            vms[..=place].rotate_right(1);
        }
        vms
    }

    fn question(&self, reader: &Reader, vm: &VmName, wait: Duration) -> Option<GetFeed> {
        let mut question = copies::question(reader.feed(), reader.known())?;
        let mut place = Following {
            wait_ms: wait.as_millis() as u32,
            ..Following::default()
        };
        if let Some((last, process, revision)) = &self.last
            && last == vm
        {
            (place.process, place.revision) = (*process, *revision);
            place.is_listing = !self.keys.is_empty();
        }
        question.follow = Some(place);
        Some(question)
    }

    fn take(
        &mut self,
        vm: VmName,
        heard: Heard,
        asked: Instant,
        relay: &Relay,
        reader: &mut Reader,
        follower: &mut impl Follow,
    ) {
        if self
            .last
            .as_ref()
            .is_none_or(|(last, process, _)| *last != vm || *process != heard.process)
        {
            self.keys.clear();
            event!(debug, "feed.followed", feed = reader.feed(), by = vm);
        }
        self.last = Some((vm, heard.process, heard.revision));
        let is_whole = heard.told.age.is_some();
        let mut keys = None;
        if heard.is_all {
            let records = heard.told.records.iter();
            let live = records.filter(|record| record.value.is_some());
            self.keys.extend(live.map(|record| record.key.clone()));
            keys = is_whole.then(|| std::mem::take(&mut self.keys));
        }
        let news = reader.take_heard(heard, keys, asked);
        take(news, reader, follower, Some(relay));
        super::follow::tick(reader, follower, Some(relay));
    }

    fn fail(&mut self, vm: &VmName) {
        self.failed.insert(vm.clone(), Instant::now());
    }
}

/// How long an answer may be waited for at most.
fn longest_wait(feed: Feed, relay: &Relay) -> Duration {
    match feed {
        Feed::Members(_) if !relay.others.is_settled() => SETTLE_POLL,
        _ => LONGEST_WAIT,
    }
}

/// For how long knowledge is fresh that comes by `upstreams`.
pub(super) fn fresh(feed: Feed, relay: &Relay, upstreams: &Upstreams) -> Duration {
    if let Feed::Members(_) = feed {
        return MEMBERS_FRESH;
    }
    let part = if upstreams.is_leaf {
        FRESH_PART_LEAF
    } else {
        FRESH_PART
    };
    relay.node.settings.config_apply / part
}

/// For how long knowledge is fresh that others are told of.
pub(super) fn fresh_for_others(feed: Feed, apply: Duration) -> Duration {
    match feed {
        Feed::Members(_) => MEMBERS_FRESH,
        _ => apply / FRESH_PART,
    }
}

/// How long a router that others follow by lets the store keep a poll.
pub(super) fn root_wait(apply: Duration) -> Duration {
    apply / FRESH_PART / ASKS
}
