//! The current configuration: replicated from any ledger and published to requests.
//!
//! Its age counts from the last time at which a ledger knew the log's end and this
//! router had applied all records up to it. It never goes back to an earlier version.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use swiftlink_budget::CONFIG_STREAM;
use swiftlink_link::{Client, LinkError};
use swiftlink_log::{Backoff, Replica};
use swiftlink_resource::{Config, Fold};
use swiftlink_telemetry::event;
use swiftlink_types::Micros;
use swiftlink_wire::link::{Follow, Page, reply, request};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use crate::fleet::Pools;
use crate::freshness::{Freshness, Pong, Trust};
use crate::ledgers::{Ledgers, describe};
use crate::pings::NO_CONTACT_MS;

/// Maximum wait for a page before another ledger is followed.
const PAGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Age above which the log counts as unavailable. Ledgers report what they know of the
/// log's end at least every second.
const LOG_TIMEOUT: Duration = Duration::from_millis(2_500);
/// First and maximum delay between attempts.
const RETRY_BASE: Duration = Duration::from_millis(50);
const RETRY_CAP: Duration = Duration::from_millis(1_000);

/// Reading of the view's clock at its start. It is large so that times long before the
/// start can be represented.
const CLOCK_START: Micros = 1 << 60;

/// The published configuration. Reading it takes no lock.
#[derive(Debug)]
pub struct ConfigView {
    current: ArcSwap<Config>,
    pools: Arc<Pools>,
    start: Instant,
    freshness: Mutex<Freshness>,
    /// Time on this view's clock at which the configuration was known to be the
    /// newest, plus one; 0 before the first.
    confirmed_at: AtomicU64,
    /// Time until which the configuration may be treated as the newest, encoded the
    /// same way.
    trusted_until: AtomicU64,
    /// Next offset to read from the configuration stream.
    offset: AtomicU64,
    changed: watch::Sender<u64>,
}

impl ConfigView {
    /// Creates a view of an empty configuration of unlimited age. `pools` receives each
    /// new configuration before it is published.
    #[must_use]
    pub fn new(pools: Arc<Pools>, freshness: Freshness) -> Arc<Self> {
        Arc::new(Self {
            current: ArcSwap::from_pointee(Config::default()),
            pools,
            start: Instant::now(),
            freshness: Mutex::new(freshness),
            confirmed_at: AtomicU64::new(0),
            trusted_until: AtomicU64::new(0),
            offset: AtomicU64::new(0),
            changed: watch::Sender::new(0),
        })
    }

    /// The current configuration.
    #[must_use]
    pub fn load(&self) -> Arc<Config> {
        self.current.load_full()
    }

    /// Time since the configuration was known to be the newest; `None` before the first.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        let known = self.confirmed_at.load(Ordering::Relaxed).checked_sub(1)?;
        Some(Duration::from_micros(self.now().saturating_sub(known)))
    }

    /// Whether a newer configuration may exist; true before the first.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        let until = self.trusted_until.load(Ordering::Relaxed).checked_sub(1);
        until.is_none_or(|until| self.now() > until)
    }

    /// How far the configuration can be trusted now.
    #[must_use]
    pub fn trust(&self) -> Trust {
        let now = self.now();
        self.freshness().trust_at(now)
    }

    /// Next offset to read from the configuration stream.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.offset.load(Ordering::Relaxed)
    }

    /// Time on this view's clock.
    #[must_use]
    pub fn now(&self) -> Micros {
        CLOCK_START.saturating_add(micros(self.start.elapsed()))
    }

    /// Records the ping answer of a ledger; `ledger` is its index in the list that
    /// starts with the router's own failure domain.
    pub fn on_pong(&self, ledger: usize, pong: Pong) {
        self.update_freshness(|freshness| freshness.on_pong(ledger, pong));
    }

    /// Whether, as far as this router knows, no ledger was in contact with the log
    /// recently. Requests that need a decision of the log need not wait for one then.
    #[must_use]
    pub fn is_log_silent(&self) -> bool {
        self.age().is_none_or(|age| age > LOG_TIMEOUT)
    }

    /// Receives each new version.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn publish(&self, config: Arc<Config>) {
        if config.version <= self.current.load().version {
            return;
        }
        let version = config.version;
        // Configured first: a request that found the pool only in the current
        // configuration would be refused as if the pool didn't exist.
        self.pools.configure(&config);
        self.current.store(config);
        self.changed.send_replace(version);
        event!(info, "config.applied", version = version);
    }

    /// Records that the configuration was the newest `age` ago, which may be before
    /// this process started.
    pub fn confirm(&self, age: Duration) {
        let known = self.now().saturating_sub(micros(age));
        self.confirmed_at.fetch_max(known + 1, Ordering::Relaxed);
        self.update_freshness(|freshness| freshness.on_page(known));
    }

    fn freshness(&self) -> std::sync::MutexGuard<'_, Freshness> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `update` and publishes the time until which the configuration may be
    /// trusted.
    fn update_freshness(&self, update: impl FnOnce(&mut Freshness)) {
        let mut freshness = self.freshness();
        update(&mut freshness);
        let until = freshness
            .trusted_until()
            .map_or(0, |until| until.saturating_add(1));
        self.trusted_until.store(until, Ordering::Relaxed);
    }
}

fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX - 1)
}

/// Replicates the configuration until `stop`, from one ledger after another.
pub async fn follow(
    view: Arc<ConfigView>,
    ledgers: Arc<Ledgers>,
    stale: Duration,
    stop: CancellationToken,
) {
    let mut follower = Follower {
        view,
        replica: Replica::new(),
        stale,
    };
    let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP);
    let mut index = 0;
    let mut is_logged = false;
    while !stop.is_cancelled() {
        let ledger = &ledgers.near()[index % ledgers.near().len()];
        index += 1;
        let outcome = tokio::select! {
            () = stop.cancelled() => return,
            outcome = follower.run(&ledger.client) => outcome,
        };
        match outcome {
            Ok(()) => {
                backoff.reset();
                is_logged = false;
            }
            Err(why) if !is_logged => {
                event!(warn, "config.source-lost", why = why);
                is_logged = true;
            }
            Err(_) => {}
        }
        // After a full round, restart with the ledgers of the own failure domain.
        if index >= ledgers.near().len() {
            index = 0;
            let pause = backoff.next(rand::random());
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(pause) => {}
            }
        }
    }
}

struct Follower {
    view: Arc<ConfigView>,
    replica: Replica<Fold>,
    stale: Duration,
}

impl Follower {
    /// Follows one ledger. Returns `Ok` when it served pages before it failed.
    async fn run(&mut self, client: &Arc<Client>) -> Result<(), String> {
        let follow = Follow {
            stream: CONFIG_STREAM.to_owned(),
            from: self.replica.next(),
        };
        let opened = client.stream(request::Kind::Follow(follow)).await;
        let mut replies = opened.map_err(|error| describe(&error))?;
        let mut served = false;
        loop {
            let reply = match timeout(PAGE_TIMEOUT, replies.next()).await {
                Ok(Some(reply)) => reply,
                Ok(None) => return finish(served, "ledger ended the stream".to_owned()),
                Err(_elapsed) => return finish(served, "ledger did not respond".to_owned()),
            };
            let page = match reply {
                Ok(reply::Kind::Page(page)) => page,
                Ok(_) => return finish(served, "unexpected reply to a follow".to_owned()),
                Err(error) => return finish(served, describe_stream(&error)),
            };
            self.apply(&page)?;
            served = true;
            if Duration::from_millis(page.age_ms) > self.stale / 2 {
                return Err("ledger has lost contact with the log".to_owned());
            }
        }
    }

    fn apply(&mut self, page: &Page) -> Result<(), String> {
        self.replica
            .feed(page.first, &page.records)
            .map_err(|error| error.to_string())?;
        let offset = self.replica.next();
        self.view.offset.store(offset, Ordering::Relaxed);
        let Some(state) = self.replica.state() else {
            return Ok(());
        };
        self.view.publish(state.config());
        let is_age_known = page.age_ms < NO_CONTACT_MS;
        if is_age_known && self.replica.is_ready() && self.replica.next() >= page.next {
            self.view.confirm(Duration::from_millis(page.age_ms));
        }
        Ok(())
    }
}

/// Ends the following of one ledger. Logs `why` if the ledger has served pages.
///
/// # Errors
/// Returns `why` if the ledger has served none.
fn finish(served: bool, why: String) -> Result<(), String> {
    if served {
        event!(info, "config.source-left", why = why);
        return Ok(());
    }
    Err(why)
}

fn describe_stream(error: &LinkError) -> String {
    format!("follow: {}", describe(error))
}
