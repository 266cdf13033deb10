//! Follows one feed until the task is aborted.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_telemetry::event;
use tokio::time::{Instant, sleep, sleep_until};

use super::confirmation::Confirmation;
use super::earlier::EarlierRecords;
use super::reader::{Answer, Change, FeedUpdate, MAX_LATENESS, Reader};
use super::replicas::PeerFeeds;
use super::upstream::{self, Upstream};
use crate::node::Node;
use crate::store::{Feed, Record, ResponseTimeout, StoreError};

/// How long the store may hold a poll while nothing is new, and so how long it takes to notice that
/// the store is silent.
const POLL_WAIT: Duration = Duration::from_secs(1);
/// [`POLL_WAIT`] for feeds that change rarely and that no request waits for.
const LONG_POLL_WAIT: Duration = Duration::from_secs(15);
/// [`POLL_WAIT`] while the routers of a fleet that starts for the first time register one after the
/// other.
pub(super) const STARTUP_POLL_WAIT: Duration = Duration::from_millis(250);
/// Time without an answer, beyond the wait of a poll, after which the store counts as lost and a
/// second poll is sent. The store answers in 4 ms; on slow days it takes 60 times as long. A poll
/// that was sent during a network partition isn't answered when that ends, so this is also how long
/// the partition's end can go unnoticed. An answer that has begun and doesn't go on for this long
/// counts as silent, too.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after a poll that found something: server entries arrive all the time, and each call has a
/// cost. Well below the shortest bound, two seconds.
const POLL_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a failed poll of a feed that no request waits for.
const MEMBERS_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Pause after the first failure; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum pause after failures: a change must be known two seconds after it was acknowledged, also
/// right after a network partition.
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// Handler of a feed: applies its changes.
pub(crate) trait Follow: Send + 'static {
    /// Applies an update and returns what is to be published to the followers of this router.
    fn take(&mut self, update: FeedUpdate) -> FeedUpdate;

    /// The store answers again and may have been unavailable since `known`, the last moment at which
    /// it had nothing newer than what was received; `None` if any record may be missing.
    fn store_recovered(&mut self, known: Option<Instant>);

    /// Applies records of earlier eras that another router knows, where they are newer by what they
    /// say themselves, and returns those.
    fn take_earlier(&mut self, _records: &[Record]) -> Vec<Change> {
        Vec::new()
    }

    /// Does what has become due and returns the keys that expired; called after each poll.
    fn tick(&mut self) -> Vec<String>;
}

/// Access to the replicas of this router and to those of its peers.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    pub(crate) node: Arc<Node>,
    pub(crate) peers: Arc<dyn PeerFeeds>,
}

impl Relay {
    /// Reads of the list of servers on request, if `feed` is that list.
    pub(super) fn list(&self, feed: Feed) -> Option<&Confirmation> {
        (feed == Feed::Servers).then(|| &*self.node.list)
    }

    /// Fetches newer records from another router.
    async fn fetch(&self, reader: &mut Reader) -> Option<FeedUpdate> {
        let asked = Instant::now();
        let page = self.peers.fetch(reader.feed(), reader.known_end()).await?;
        let update = reader.take_peer_page(page, asked);
        if !update.changes.is_empty() {
            let records = update.changes.len();
            event!(
                info,
                "feed.fetched",
                feed = reader.feed(),
                records = records
            );
        }
        Some(update)
    }
}

/// A poll of the store that is in flight.
struct Poll {
    timeout: ResponseTimeout,
    answer: Pin<Box<dyn Future<Output = Result<Answer, StoreError>> + Send>>,
}

impl Poll {
    fn ask(reader: &Reader, wait: Duration, timeout: ResponseTimeout) -> Self {
        let answer = Box::pin(reader.ask(wait, timeout.clone()));
        Self { timeout, answer }
    }

    /// When the answer counts as silent unless it goes on before; `None` if it hasn't begun.
    fn stalls_at(&self) -> Option<Instant> {
        let progressed = self.timeout.progressed_at()?;
        Some(progressed + SILENCE_TIMEOUT)
    }

    /// Whether the answer has begun and goes on.
    fn is_receiving(&self) -> bool {
        self.stalls_at().is_some_and(|at| Instant::now() < at)
    }

    /// Whether the answer has begun and doesn't go on.
    fn is_stalled(&self) -> bool {
        self.stalls_at().is_some_and(|at| Instant::now() >= at)
    }
}

/// The polls of one feed that are in flight: the current one, and a probe that finds out whether
/// the store answers by now.
///
/// On a saturated link each answer arrives after [`SILENCE_TIMEOUT`], and a router that cancels
/// every poll never reads one: in a fleet of 89 VMs, the router with the fullest link got no
/// configuration update for 5.3 s of an ordinary day. More than two polls waste bandwidth: with up
/// to five, a fleet of 86 VMs read 61 MB from the store on a day with a large configuration during
/// a network partition, and 43 MB with two.
#[derive(Default)]
struct Polls {
    current: Option<Poll>,
    probe: Option<Poll>,
    /// A poll without a wait, for those that need the state of this moment.
    urgent: Option<Poll>,
    /// Whether the current poll waits on after an urgent one that found nothing new.
    is_waiting: bool,
}

impl Polls {
    /// Whether an answer goes on. The rest is on its way, and another poll would transfer it
    /// again.
    fn is_receiving(&self) -> bool {
        self.all().any(Poll::is_receiving)
    }

    fn all(&self) -> impl Iterator<Item = &Poll> {
        self.current.iter().chain(&self.probe)
    }

    /// Sends a poll, or a probe if the current poll is silent so far.
    fn ask(&mut self, reader: &Reader, wait: Duration) {
        let is_waiting = std::mem::take(&mut self.is_waiting) && self.current.is_some();
        if is_waiting || self.is_receiving() {
            return;
        }
        // An answer that stalled may be on a connection that is silent for good. The probe, which
        // is on another one, isn't given up for the next probe.
        if self.probe.is_some() && self.current.as_ref().is_some_and(Poll::is_stalled) {
            self.current = self.probe.take();
        }
        let timeout = ResponseTimeout::watched(MAX_LATENESS);
        match self.current {
            None => self.current = Some(Poll::ask(reader, wait, timeout)),
            Some(_) => {
                let timeout = timeout.on_new_connection();
                self.probe = Some(Poll::ask(reader, Duration::ZERO, timeout));
            }
        }
    }

    /// Returns the first answer that arrives within `time`. Fails earlier if an answer begins and
    /// stalls. Sends an urgent poll when `list` is to be read.
    async fn first_answer(
        &mut self,
        time: Duration,
        reader: &Reader,
        list: Option<&Confirmation>,
    ) -> Result<Answer, StoreError> {
        let end = Instant::now() + time;
        loop {
            let now = Instant::now();
            let stalls = self.all().filter_map(Poll::stalls_at);
            let wake_at = stalls
                .filter(|at| *at > now)
                .max()
                .map_or(end, |at| at.min(end));
            let [current, probe] = [&self.current, &self.probe].map(begun);
            tokio::select! {
                answer = next_answer(&mut self.current) => return answer,
                answer = next_answer(&mut self.probe) => return answer,
                answer = next_answer(&mut self.urgent) => {
                    self.is_waiting = answer.as_ref().is_ok_and(Answer::is_empty);
                    return answer;
                }
                () = wanted(list), if self.urgent.is_none() => {
                    let timeout = ResponseTimeout::watched(MAX_LATENESS);
                    self.urgent = Some(Poll::ask(reader, Duration::ZERO, timeout));
                }
                () = sleep_until(wake_at) => {
                    if wake_at >= end || !self.is_receiving() {
                        return Err(StoreError::Unknown(format!("no answer within {time:?}")));
                    }
                }
                () = current => {}
                () = probe => {}
            }
        }
    }
}

/// Resolves when `list` is to be read; never if there is none.
async fn wanted(list: Option<&Confirmation>) {
    match list {
        Some(list) => list.wanted().await,
        None => std::future::pending().await,
    }
}

/// Resolves when the answer to a poll begins; never if there is none.
fn begun(poll: &Option<Poll>) -> impl Future<Output = ()> + use<> {
    let timeout = poll.as_ref().map(|poll| poll.timeout.clone());
    async move {
        match timeout {
            Some(timeout) => timeout.begun().await,
            None => std::future::pending().await,
        }
    }
}

/// Waits for the answer to a poll and clears the poll; pends forever if there is none.
async fn next_answer(poll: &mut Option<Poll>) -> Result<Answer, StoreError> {
    let Some(asked) = poll else {
        return std::future::pending().await;
    };
    let answer = asked.answer.as_mut().await;
    *poll = None;
    answer
}

/// Follows a feed until the task is aborted. With a `relay`, the feed is received from other
/// routers in a large fleet and while the store is lost.
pub(crate) async fn run(mut reader: Reader, mut handler: impl Follow, relay: Option<Relay>) {
    let mut upstream = Upstream::new();
    let mut store_poller = StorePoller::default();
    let mut earlier = EarlierRecords::new();
    loop {
        if let Some(relay) = &relay
            && upstream.receive(relay, &mut reader, &mut handler).await
        {
            store_poller = StorePoller::default();
            continue;
        }
        store_poller
            .poll(&mut reader, &mut handler, relay.as_ref(), &mut earlier)
            .await;
        upstream.reset();
    }
}

/// Polls a feed at the store.
struct StorePoller {
    polls: Polls,
    lost_at: Option<Instant>,
    backoff: Duration,
}

impl Default for StorePoller {
    fn default() -> Self {
        Self {
            polls: Polls::default(),
            lost_at: None,
            backoff: MIN_BACKOFF,
        }
    }
}

impl StorePoller {
    /// Waits for one answer of the store, at most for the time in which it should have arrived.
    async fn poll(
        &mut self,
        reader: &mut Reader,
        handler: &mut impl Follow,
        relay: Option<&Relay>,
        earlier: &mut EarlierRecords,
    ) {
        let list = relay.and_then(|relay| relay.list(reader.feed()));
        let is_wanted = list.is_some_and(Confirmation::is_wanted);
        // After a loss the polls are short, to notice soon when the store is back.
        let wait = match self.lost_at {
            None if !is_wanted => poll_wait(reader.feed(), relay),
            _ => Duration::ZERO,
        };
        self.polls.ask(reader, wait);
        let time = wait + SILENCE_TIMEOUT;
        match self.polls.first_answer(time, reader, list).await {
            Ok(answer) => {
                // The other poll would return nothing beyond what the next one does.
                if !self.polls.is_waiting {
                    self.polls = Polls::default();
                }
                self.note_recovery(&answer, reader, handler);
                if let Some(list) = list {
                    list.set_lost(false);
                }
                if reader.is_new_era(&answer) {
                    // Entries that the copy lacks are written again, like those that lapsed.
                    handler.store_recovered(None);
                }
                let has_more = answer.has_more();
                let update = reader.take(answer);
                let has_changes = !update.changes.is_empty();
                // The store may have an older version than others have in force.
                if let Some(relay) = relay {
                    earlier.receive(relay, reader, handler).await;
                }
                take(update, reader, handler, relay);
                tick(reader, handler, relay);
                // What is behind a page is as late as that page already.
                if has_changes && !has_more {
                    tokio::select! {
                        () = sleep(POLL_PAUSE) => {}
                        () = wanted(list) => {}
                    }
                }
            }
            Err(_silent) if self.polls.is_receiving() => tick(reader, handler, relay),
            Err(error) => {
                if let Some(list) = list {
                    list.set_lost(true);
                }
                if self.lost_at.is_none() {
                    event!(warn, "store.lost", feed = reader.feed(), error = error);
                    self.lost_at = Some(Instant::now());
                }
                if let Some(relay) = relay
                    && let Some(update) = relay.fetch(reader).await
                {
                    take(update, reader, handler, Some(relay));
                }
                tick(reader, handler, relay);
                let pause = self.backoff.max(min_pause(reader.feed(), relay));
                sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
        }
    }

    /// Records that the store answers.
    fn note_recovery(&mut self, answer: &Answer, reader: &Reader, handler: &mut impl Follow) {
        self.backoff = MIN_BACKOFF;
        // Upstreams that failed don't show an outage: a poll of the store during one fails too.
        let Some(since) = self.lost_at.take() else {
            return;
        };
        // A store whose answer is merely late was available all the time.
        let is_late = answer.lateness() > SILENCE_TIMEOUT;
        event!(
            info,
            "store.regained",
            feed = reader.feed(),
            away_secs = since.elapsed().as_secs_f32(),
            late = is_late,
        );
        if !is_late {
            handler.store_recovered(reader.as_of());
        }
    }
}

/// Applies an update and stores what is to be published to other routers.
pub(super) fn take(
    update: FeedUpdate,
    reader: &Reader,
    handler: &mut impl Follow,
    relay: Option<&Relay>,
) {
    let as_of = update.as_of;
    let published = handler.take(update);
    let Some(relay) = relay else {
        return;
    };
    relay.node.replicas.apply(reader.feed(), &published);
    if let (Some(list), Some(as_of)) = (relay.list(reader.feed()), as_of) {
        list.confirm(as_of);
    }
}

/// Does what has become due and publishes the keys that expired.
pub(super) fn tick(reader: &Reader, handler: &mut impl Follow, relay: Option<&Relay>) {
    let removed = handler.tick();
    let Some(relay) = relay.filter(|_| !removed.is_empty()) else {
        return;
    };
    // No record known of these keys is newer than the last one that was read.
    let offset = reader.known_end().saturating_sub(1);
    let changes = removed.into_iter().map(|key| Change {
        key,
        value: None,
        offset,
    });
    let update = FeedUpdate {
        changes: changes.collect(),
        end: reader.known_end(),
        ..FeedUpdate::default()
    };
    relay.node.replicas.apply(reader.feed(), &update);
}

/// Minimum pause between two polls of a store that doesn't answer. It is longer in a router that
/// gets its feeds from other routers, since those notice first that the store is back.
fn min_pause(feed: Feed, relay: Option<&Relay>) -> Duration {
    if let Feed::Members(_) = feed {
        return MEMBERS_RETRY_PAUSE;
    }
    let Some(relay) = relay else {
        return Duration::ZERO;
    };
    match relay.peers.upstreams(feed) {
        Some(upstreams) if !upstreams.vms.is_empty() => {
            upstream::max_age(feed, relay, &upstreams) / 2
        }
        _ => Duration::ZERO,
    }
}

/// How long the store may hold a poll of `feed`.
fn poll_wait(feed: Feed, relay: Option<&Relay>) -> Duration {
    if let Feed::Members(_) = feed {
        let has_all_members = relay.is_none_or(|relay| relay.peers.has_all_members());
        return if has_all_members {
            LONG_POLL_WAIT
        } else {
            STARTUP_POLL_WAIT
        };
    }
    let upstreams = relay.and_then(|relay| relay.peers.upstreams(feed));
    if let (Some(relay), Some(upstreams)) = (relay, upstreams)
        && upstreams.has_followers
    {
        return upstream::root_poll_wait(relay.node.settings.config_apply).min(POLL_WAIT);
    }
    match feed {
        Feed::Members(_)
        | Feed::Config
        | Feed::Servers
        | Feed::Quota(_)
        | Feed::Caps(_)
        | Feed::Links
        | Feed::Rollouts
        | Feed::Versions
        | Feed::Status => POLL_WAIT,
    }
}
