//! Follows one feed until the task is aborted.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_telemetry::event;
use tokio::time::{Instant, sleep};

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
/// the partition's end can go unnoticed.
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
    /// say themselves.
    fn take_earlier(&mut self, _records: &[Record]) {}

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
    fn ask(reader: &Reader, wait: Duration) -> Self {
        let timeout = ResponseTimeout::from(MAX_LATENESS);
        let answer = Box::pin(reader.ask(wait, timeout.clone()));
        Self { timeout, answer }
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
}

impl Polls {
    /// Whether an answer has begun. The rest is on its way, and another poll would transfer it
    /// again.
    fn is_receiving(&self) -> bool {
        let mut all = self.current.iter().chain(&self.probe);
        all.any(|poll| poll.timeout.has_begun())
    }

    /// Sends a poll, or a probe if the current poll is silent so far.
    fn ask(&mut self, reader: &Reader, wait: Duration) {
        if self.is_receiving() {
            return;
        }
        match self.current {
            None => self.current = Some(Poll::ask(reader, wait)),
            Some(_) => self.probe = Some(Poll::ask(reader, Duration::ZERO)),
        }
    }

    /// Returns the first answer that arrives within `time`.
    async fn first_answer(&mut self, time: Duration) -> Result<Answer, StoreError> {
        tokio::select! {
            answer = next_answer(&mut self.current) => answer,
            answer = next_answer(&mut self.probe) => answer,
            () = sleep(time) => Err(StoreError::Unknown(format!("no answer within {time:?}"))),
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
            .poll(&mut reader, &mut handler, relay.as_ref())
            .await;
        upstream.reset();
        if let Some(relay) = &relay {
            earlier.receive(relay, &reader, &mut handler).await;
        }
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
    ) {
        // After a loss the polls are short, to notice soon when the store is back.
        let wait = match self.lost_at {
            Some(_) => Duration::ZERO,
            None => poll_wait(reader.feed(), relay),
        };
        self.polls.ask(reader, wait);
        match self.polls.first_answer(wait + SILENCE_TIMEOUT).await {
            Ok(answer) => {
                // The other poll would return nothing beyond what the next one does.
                self.polls = Polls::default();
                self.note_recovery(&answer, reader, handler);
                if reader.is_new_era(&answer) {
                    // Entries that the copy lacks are written again, like those that lapsed.
                    handler.store_recovered(None);
                }
                let update = reader.take(answer);
                let has_changes = !update.changes.is_empty();
                take(update, reader, handler, relay);
                tick(reader, handler, relay);
                if has_changes {
                    sleep(POLL_PAUSE).await;
                }
            }
            Err(_silent) if self.polls.is_receiving() => tick(reader, handler, relay),
            Err(error) => {
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
    let published = handler.take(update);
    if let Some(relay) = relay {
        relay.node.replicas.apply(reader.feed(), &published);
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
