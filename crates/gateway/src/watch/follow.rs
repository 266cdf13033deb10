//! Reads one feed for ever.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_telemetry::event;
use tokio::time::{Instant, sleep};

use super::copies::Others;
use super::reader::{Answer, Change, LATE, News, Reader};
use super::upstream::{self, Upstream};
use crate::node::Node;
use crate::store::{Feed, Late, StoreError};

/// How long the store keeps a poll that finds nothing new, and so how long it takes to
/// notice that it fell silent.
const POLL: Duration = Duration::from_secs(1);
/// The same for feeds that change seldom and that nobody waits for.
const LONG_POLL: Duration = Duration::from_secs(15);
/// The same while routers of a fleet that starts for the first time register one after the other.
pub(super) const SETTLE_POLL: Duration = Duration::from_millis(250);
/// Time without an answer, beyond a poll's wait, after which the store counts as lost and is
/// asked once more. The store answers in 4 ms; its slow days take 60 times as long. What was sent
/// into a cut isn't answered when the cut ends, so this is also how late its end is noticed.
const SILENCE: Duration = Duration::from_millis(600);
/// Pause between polls that found something: entries of servers come all the time, and
/// each call has its price. Well below the shortest bound, two seconds.
const PAUSE: Duration = Duration::from_millis(250);
/// Pause after a failure of a feed that nobody waits for.
const MEMBERS_PAUSE: Duration = Duration::from_secs(1);
/// First pause after a failure; doubles up to [`BACKOFF_MAX`].
const BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after failures: news is due two seconds after it was acknowledged, also
/// right after a cut.
const BACKOFF_MAX: Duration = Duration::from_millis(250);

/// What is done with changes.
pub(crate) trait Follow: Send + 'static {
    /// Takes what a poll found; gives what others that follow by this router are to be told of it.
    fn take(&mut self, news: News) -> News;

    /// The store answers again, after a time in which it may have been away.
    fn regained(&mut self);

    /// Does what has become due; called after each poll. Gives the keys that are taken as gone.
    fn tick(&mut self) -> Vec<String>;
}

/// Where a feed is kept for other routers, and who may know what this one can't read.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    pub(crate) node: Arc<Node>,
    pub(crate) others: Arc<dyn Others>,
}

impl Relay {
    /// What another router knows that is newer.
    async fn ask(&self, reader: &mut Reader) -> Option<News> {
        let asked = Instant::now();
        let told = self.others.tell(reader.feed(), reader.known()).await?;
        let news = reader.take_told(told, asked);
        if !news.changes.is_empty() {
            let records = news.changes.len();
            event!(info, "feed.told", feed = reader.feed(), records = records);
        }
        Some(news)
    }
}

/// A question to the store that is under way.
struct Poll {
    late: Late,
    answer: Pin<Box<dyn Future<Output = Result<Answer, StoreError>> + Send>>,
}

impl Poll {
    fn ask(reader: &Reader, wait: Duration) -> Self {
        let late = Late::from(LATE);
        let answer = Box::pin(reader.ask(wait, late.clone()));
        Self { late, answer }
    }
}

/// The polls of one feed that are under way: one that is waited for, and one that probes whether
/// the store answers by now.
///
/// Where a link is full, each answer comes after [`SILENCE`], and who gives all polls up reads none.
/// In a fleet of 89 VMs the one with the fullest link heard nothing of the configuration for 5.3 s
/// of an ordinary day, by the lines of its routers. With up to five polls a fleet of 86
/// read 61 MB from the store on a day with a large configuration in a cut, 43 MB with two.
#[derive(Default)]
struct Polls {
    kept: Option<Poll>,
    probe: Option<Poll>,
}

impl Polls {
    /// Whether an answer has begun: the rest is on its way, and another poll would read it again.
    fn is_coming(&self) -> bool {
        let mut all = self.kept.iter().chain(&self.probe);
        all.any(|poll| poll.late.has_begun())
    }

    /// Asks, once more beside a poll that was silent so far.
    fn ask(&mut self, reader: &Reader, wait: Duration) {
        if self.is_coming() {
            return;
        }
        match self.kept {
            None => self.kept = Some(Poll::ask(reader, wait)),
            Some(_) => self.probe = Some(Poll::ask(reader, Duration::ZERO)),
        }
    }

    /// The first answer, if one comes within `time`.
    async fn first(&mut self, time: Duration) -> Result<Answer, StoreError> {
        tokio::select! {
            answer = answer_of(&mut self.kept) => answer,
            answer = answer_of(&mut self.probe) => answer,
            () = sleep(time) => Err(StoreError::Unknown(format!("no answer within {time:?}"))),
        }
    }
}

/// Waits for the answer to a poll, which is over then; for ever without one.
async fn answer_of(poll: &mut Option<Poll>) -> Result<Answer, StoreError> {
    let Some(asked) = poll else {
        return std::future::pending().await;
    };
    let answer = asked.answer.as_mut().await;
    *poll = None;
    answer
}

/// Follows a feed until the task is aborted. Where there is a `relay`, by way of other routers, in a
/// large fleet or while the store is lost.
pub(crate) async fn run(mut reader: Reader, mut follower: impl Follow, relay: Option<Relay>) {
    let mut upstream = Upstream::new();
    let mut own = Own::default();
    loop {
        if let Some(relay) = &relay
            && upstream.hear(relay, &mut reader, &mut follower).await
        {
            own = Own::default();
            continue;
        }
        own.look(&mut reader, &mut follower, relay.as_ref()).await;
        upstream.forget();
    }
}

/// Reading a feed at the store.
struct Own {
    polls: Polls,
    away: Option<Instant>,
    backoff: Duration,
    /// Whether the store hasn't answered yet.
    is_first: bool,
}

impl Default for Own {
    fn default() -> Self {
        Self {
            polls: Polls::default(),
            away: None,
            backoff: BACKOFF,
            is_first: true,
        }
    }
}

impl Own {
    /// Waits for one answer of the store, or for the time in which it should have come.
    async fn look(
        &mut self,
        reader: &mut Reader,
        follower: &mut impl Follow,
        relay: Option<&Relay>,
    ) {
        // A store that was away is asked for a quick answer, to notice when it is back.
        let wait = match self.away {
            Some(_) => Duration::ZERO,
            None => longest_wait(reader.feed(), relay),
        };
        self.polls.ask(reader, wait);
        match self.polls.first(wait + SILENCE).await {
            Ok(answer) => {
                // The other would tell no more than the next one does.
                self.polls = Polls::default();
                self.regain(&answer, reader, follower, relay);
                let news = reader.take(answer);
                let found = !news.changes.is_empty();
                take(news, reader, follower, relay);
                tick(reader, follower, relay);
                if found {
                    sleep(PAUSE).await;
                }
            }
            Err(_silent) if self.polls.is_coming() => tick(reader, follower, relay),
            Err(error) => {
                if self.away.is_none() {
                    event!(warn, "store.lost", feed = reader.feed(), error = error);
                    self.away = Some(Instant::now());
                }
                if let Some(relay) = relay
                    && let Some(news) = relay.ask(reader).await
                {
                    take(news, reader, follower, Some(relay));
                }
                tick(reader, follower, relay);
                let pause = self.backoff.max(shortest_pause(reader.feed(), relay));
                sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
                self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
            }
        }
    }

    /// Notes that the store answers.
    fn regain(
        &mut self,
        answer: &Answer,
        reader: &Reader,
        follower: &mut impl Follow,
        relay: Option<&Relay>,
    ) {
        self.backoff = BACKOFF;
        let is_first = std::mem::take(&mut self.is_first);
        let Some(since) = self.away.take() else {
            if is_first && has_upstreams(reader.feed(), relay) {
                // What kept others from telling may have been the store.
                follower.regained();
            }
            return;
        };
        // What answers late was there all the while.
        let is_late = answer.lateness() > SILENCE;
        event!(
            info,
            "store.regained",
            feed = reader.feed(),
            away_secs = since.elapsed().as_secs_f32(),
            late = is_late,
        );
        if !is_late {
            follower.regained();
        }
    }
}

/// Has news taken, and keeps for other routers what they are to be told.
pub(super) fn take(news: News, reader: &Reader, follower: &mut impl Follow, relay: Option<&Relay>) {
    let told = follower.take(news);
    if let Some(relay) = relay {
        relay.node.replicas.keep(reader.feed(), &told);
    }
}

/// Does what has become due, and keeps for other routers what is gone by now.
pub(super) fn tick(reader: &Reader, follower: &mut impl Follow, relay: Option<&Relay>) {
    let gone = follower.tick();
    let Some(relay) = relay.filter(|_| !gone.is_empty()) else {
        return;
    };
    // Nothing that is known of them is newer than the last record that was read.
    let offset = reader.known().saturating_sub(1);
    let changes = gone.into_iter().map(|key| Change {
        key,
        value: None,
        offset,
    });
    let news = News {
        changes: changes.collect(),
        end: reader.known(),
        ..News::default()
    };
    relay.node.replicas.keep(reader.feed(), &news);
}

/// Whether the router mostly hears of feeds from others.
fn has_upstreams(feed: Feed, relay: Option<&Relay>) -> bool {
    let upstreams = relay.and_then(|relay| relay.others.upstreams(feed));
    upstreams.is_some_and(|upstreams| !upstreams.vms.is_empty())
}

/// The shortest pause between two questions to a store that doesn't answer, of a router that mostly hears of
/// feeds from others: they hear first that it is back.
fn shortest_pause(feed: Feed, relay: Option<&Relay>) -> Duration {
    if let Feed::Members(_) = feed {
        return MEMBERS_PAUSE;
    }
    let Some(relay) = relay else {
        return Duration::ZERO;
    };
    match relay.others.upstreams(feed) {
        Some(upstreams) if !upstreams.vms.is_empty() => {
            upstream::fresh(feed, relay, &upstreams) / 2
        }
        _ => Duration::ZERO,
    }
}

/// How long the store may keep a poll of `feed`.
fn longest_wait(feed: Feed, relay: Option<&Relay>) -> Duration {
    if let Feed::Members(_) = feed {
        let is_settled = relay.is_none_or(|relay| relay.others.is_settled());
        return if is_settled { LONG_POLL } else { SETTLE_POLL };
    }
    let upstreams = relay.and_then(|relay| relay.others.upstreams(feed));
    if let (Some(relay), Some(upstreams)) = (relay, upstreams)
        && upstreams.is_followed
    {
        return upstream::root_wait(relay.node.settings.config_apply).min(POLL);
    }
    match feed {
        Feed::Members(_)
        | Feed::Config
        | Feed::Servers
        | Feed::Rights(_)
        | Feed::Caps(_)
        | Feed::Links
        | Feed::Rollouts
        | Feed::Status => POLL,
    }
}
