//! Tests of the age of a router's configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::time::Duration;

use bytes::Bytes;
use swiftlink_gateway::catalog::{CatalogError, ServerEntry};
use swiftlink_gateway::freshness::Freshness;
use swiftlink_gateway::model::Config;
use swiftlink_gateway::store::{
    Feed, MIN_PROGRESS, MemStore, Page, ResponseTimeout, Store, StoreError,
};
use swiftlink_gateway::watch::Reader;
use swiftlink_gateway::{Catalog, Node};
use swiftlink_types::{DomainName, PoolName, ServerInstance, ServerName};
use tokio::time::{Instant, advance, sleep};

use crate::clock::TestClock;
use crate::watch::{NoCatalog, NoDialect, follow_alone};

#[tokio::test(start_paused = true)]
async fn a_confirmation_never_increases_the_age() {
    let freshness = Freshness::new(TestClock::new());
    advance(Duration::from_secs(3)).await;
    assert_eq!(freshness.age(), Duration::from_secs(3));
    freshness.confirm(Instant::now() - Duration::from_secs(1));
    assert_eq!(freshness.age(), Duration::from_secs(1));
    freshness.confirm(Instant::now() - Duration::from_secs(2));
    assert_eq!(freshness.age(), Duration::from_secs(1));
}

/// A router on a VM that was suspended for some seconds decided by outdated knowledge afterwards,
/// since its timers and ages had stopped too.
#[tokio::test(start_paused = true)]
async fn knowledge_ages_while_the_vm_is_suspended() {
    let clock = TestClock::new();
    let freshness = Freshness::new(Arc::clone(&clock) as _);
    freshness.confirm(Instant::now());
    freshness.mark_polled();
    clock.suspend(Duration::from_secs(14));
    assert_eq!(freshness.age(), Duration::from_secs(14));
    let resumed_at = Instant::now();
    freshness.wait_after_stall(Duration::from_millis(60)).await;
    assert_eq!(
        resumed_at.elapsed(),
        Duration::from_millis(60),
        "it waits for an update"
    );
    freshness.confirm(Instant::now());
    freshness.mark_polled();
    assert_eq!(freshness.age(), Duration::ZERO);
    let resumed_at = Instant::now();
    freshness.wait_after_stall(Duration::from_millis(60)).await;
    assert_eq!(resumed_at.elapsed(), Duration::ZERO);
}

/// Guards against knowledge that counts as newer than it is: the time for which the VM was suspended
/// between a question and its answer was taken for time before the question.
#[tokio::test(start_paused = true)]
async fn knowledge_ages_while_the_vm_is_suspended_before_the_answer() {
    let clock = TestClock::new();
    let freshness = Freshness::new(Arc::clone(&clock) as _);
    let asked = Instant::now();
    for _ in 0..12 {
        advance(Duration::from_millis(1)).await;
        clock.suspend(Duration::from_secs(14));
        freshness.mark_polled();
    }
    freshness.confirm(asked);
    assert_eq!(freshness.age(), Duration::from_millis(12 * 14_001));
    freshness.confirm(Instant::now());
    assert_eq!(freshness.age(), Duration::ZERO);
}

/// Guards against an answer that counts as of the end of its wait although the store answered while
/// the VM was suspended.
#[tokio::test(start_paused = true)]
async fn an_answer_across_a_suspension_is_as_of_its_question() {
    let store = Arc::new(MemStore::new());
    let clock = TestClock::new();
    let mut reader = Reader::new(Feed::Config, store).with_clock(Arc::clone(&clock) as _);
    reader.poll(Duration::ZERO).await.expect("an update");
    let asked = Instant::now();
    let answer = tokio::spawn(reader.ask(Duration::from_secs(1), Duration::from_secs(3).into()));
    sleep(Duration::from_millis(100)).await;
    clock.suspend(Duration::from_secs(14));
    let answer = answer.await.expect("a task").expect("an answer");
    assert_eq!(reader.take(answer).as_of, Some(asked));
}

/// The store holds a poll that finds nothing until its wait is over. A poll that finds something
/// may have been answered at once.
#[tokio::test(start_paused = true)]
async fn a_poll_reports_as_of_when_its_answer_is() {
    let wait = Duration::from_secs(1);
    let store = Arc::new(MemStore::new());
    store.put(Feed::Config, "config", Some(Bytes::from_static(b"1")));
    let mut reader = Reader::new(Feed::Config, Arc::clone(&store) as Arc<dyn Store>);
    let start = Instant::now();
    assert_eq!(
        reader.poll(wait).await.expect("an update").as_of,
        Some(start)
    );
    let update = reader.poll(wait).await.expect("no update");
    assert_eq!(update.as_of, Some(start + wait));
    let asked = Instant::now();
    store.put(Feed::Config, "config", Some(Bytes::from_static(b"2")));
    assert_eq!(
        reader.poll(wait).await.expect("an update").as_of,
        Some(asked)
    );
}

/// A store behind a link that delays each answer by `queue_delay`.
#[derive(Debug)]
struct QueuedStore {
    store: MemStore,
    queue_delay: Duration,
    /// Whether an answer begins at once and its end is delayed.
    is_slow_body: bool,
    in_flight: AtomicU32,
    max_in_flight: AtomicU32,
}

/// Counts a call as in flight until it is dropped.
struct InFlight<'a>(&'a QueuedStore);

impl<'a> InFlight<'a> {
    fn count(store: &'a QueuedStore) -> Self {
        let calls = store.in_flight.fetch_add(1, SeqCst) + 1;
        store.max_in_flight.fetch_max(calls, SeqCst);
        Self(store)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, SeqCst);
    }
}

impl QueuedStore {
    fn new(queue_delay: Duration) -> Self {
        let store = MemStore::new();
        store.put(Feed::Config, "config", Some(Bytes::from_static(b"1")));
        Self {
            store,
            queue_delay,
            is_slow_body: false,
            in_flight: AtomicU32::new(0),
            max_in_flight: AtomicU32::new(0),
        }
    }

    /// Delays an answer that is ready now, and fails unless it arrives within `timeout`.
    async fn pass<T>(&self, answer: T, timeout: &ResponseTimeout) -> Result<T, StoreError> {
        if self.is_slow_body {
            timeout.begin();
            for _ in 0..20 {
                sleep(self.queue_delay / 20).await;
                timeout.receive(MIN_PROGRESS);
            }
            return Ok(answer);
        }
        sleep(self.queue_delay.min(timeout.time)).await;
        if self.queue_delay > timeout.time {
            return Err(StoreError::Unknown("no answer".to_owned()));
        }
        Ok(answer)
    }
}

#[async_trait::async_trait]
impl Store for QueuedStore {
    async fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
        timeout: ResponseTimeout,
    ) -> Result<Page, StoreError> {
        let _in_flight = InFlight::count(self);
        let page = self.store.read(feed, from, wait, timeout.clone()).await?;
        self.pass(page, &timeout).await
    }

    async fn newest(&self, feed: Feed, timeout: ResponseTimeout) -> Result<Page, StoreError> {
        let _in_flight = InFlight::count(self);
        let page = self.store.newest(feed, timeout.clone()).await?;
        self.pass(page, &timeout).await
    }

    async fn append_at(
        &self,
        feed: Feed,
        at: u64,
        records: &[(String, Bytes)],
    ) -> Result<u64, StoreError> {
        self.store.append_at(feed, at, records).await
    }

    async fn append_next(
        &self,
        feed: Feed,
        producer: &str,
        sequence: u64,
        record: (String, Bytes),
    ) -> Result<u64, StoreError> {
        let appended = self.store.append_next(feed, producer, sequence, record);
        appended.await
    }
}

/// Returns the maximum age of the configuration of a router over such a link, and the maximum
/// number of polls in flight, of two feeds.
async fn longest_age(store: QueuedStore) -> (Duration, u32) {
    let store = Arc::new(store);
    let node = Arc::new(Node::new(crate::pools::settings(), Arc::new(NoDialect)));
    let _tasks = follow_alone(&node, &store, NoCatalog);
    sleep(Duration::from_secs(10)).await;
    let mut longest = Duration::ZERO;
    for _ in 0..2_000 {
        sleep(Duration::from_millis(10)).await;
        longest = longest.max(node.freshness.age());
    }
    (longest, store.max_in_flight.load(SeqCst))
}

/// A saturated link delays packets for longer than it takes a router to suspect that the store is
/// lost. The router got no update for as long as the link was saturated.
#[tokio::test(start_paused = true)]
async fn a_saturated_link_delays_updates_by_no_more_than_its_queue() {
    for queue_delay in [300, 700, 900, 1_500, 2_500] {
        let queue_delay = Duration::from_millis(queue_delay);
        let (longest, _) = longest_age(QueuedStore::new(queue_delay)).await;
        // The wait of a poll, a pause after a silence, and the queue once for the answer and once
        // for the one before it.
        let max = Duration::from_secs(1) + Duration::from_millis(400) + queue_delay * 2;
        assert!(longest <= max, "{queue_delay:?}: {longest:?}");
    }
}

/// On a small link the transfer of a large configuration takes longer than the silence timeout.
/// Further polls that were sent meanwhile transferred it again.
#[tokio::test(start_paused = true)]
async fn an_answer_that_has_begun_is_not_requested_again() {
    let store = QueuedStore {
        is_slow_body: true,
        ..QueuedStore::new(Duration::from_millis(2_000))
    };
    let (longest, max) = longest_age(store).await;
    assert!(longest < Duration::from_secs(6), "{longest:?}");
    // One of each feed.
    assert_eq!(max, 2);
}

/// A store whose answers on the connections that are open at one moment stop after they began.
#[derive(Debug)]
struct StallingStore {
    store: MemStore,
    /// Whether the open connections are silent.
    is_silent: AtomicBool,
    /// Whether a byte comes now and then.
    trickles: bool,
}

impl StallingStore {
    async fn pass(&self, page: Page, timeout: &ResponseTimeout) -> Page {
        if !self.is_silent.load(SeqCst) || timeout.uses_new_connection {
            return page;
        }
        timeout.begin();
        loop {
            sleep(Duration::from_millis(50)).await;
            timeout.receive(usize::from(self.trickles));
        }
    }
}

#[async_trait::async_trait]
impl Store for StallingStore {
    async fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
        timeout: ResponseTimeout,
    ) -> Result<Page, StoreError> {
        let page = self.store.read(feed, from, wait, timeout.clone()).await?;
        Ok(self.pass(page, &timeout).await)
    }

    async fn newest(&self, feed: Feed, timeout: ResponseTimeout) -> Result<Page, StoreError> {
        let page = self.store.newest(feed, timeout.clone()).await?;
        Ok(self.pass(page, &timeout).await)
    }

    async fn append_at(
        &self,
        feed: Feed,
        at: u64,
        records: &[(String, Bytes)],
    ) -> Result<u64, StoreError> {
        self.store.append_at(feed, at, records).await
    }

    async fn append_next(
        &self,
        feed: Feed,
        producer: &str,
        sequence: u64,
        record: (String, Bytes),
    ) -> Result<u64, StoreError> {
        let appended = self.store.append_next(feed, producer, sequence, record);
        appended.await
    }
}

/// Guards against taking an answer that has begun for one that goes on: with the configuration's
/// connection silent, or a byte on it now and then, the router got no update for four seconds.
#[tokio::test(start_paused = true)]
async fn an_answer_that_stalls_is_requested_again_within_the_apply_time() {
    for trickles in [false, true] {
        let store = Arc::new(StallingStore {
            store: MemStore::new(),
            is_silent: AtomicBool::new(false),
            trickles,
        });
        let config = Some(Bytes::from_static(b"1"));
        store.store.put(Feed::Config, "config", config);
        let node = Arc::new(Node::new(crate::pools::settings(), Arc::new(NoDialect)));
        let _tasks = follow_alone(&node, &store, NoCatalog);
        sleep(Duration::from_secs(10)).await;
        store.is_silent.store(true, SeqCst);
        let mut longest = Duration::ZERO;
        for _ in 0..2_000 {
            sleep(Duration::from_millis(10)).await;
            longest = longest.max(node.freshness.age());
        }
        let max = node.settings.config_apply;
        assert!(longest <= max, "trickles: {trickles}, {longest:?}");
    }
}

/// Decodes every value as a server of the pool `pool`.
#[derive(Debug)]
struct AnyServer;

impl Catalog for AnyServer {
    fn config(&self, _key: &str, _value: &[u8]) -> Result<Option<Config>, CatalogError> {
        Ok(None)
    }

    fn server(&self, key: &str, _value: &[u8]) -> Result<ServerEntry, CatalogError> {
        Ok(ServerEntry {
            instance: ServerInstance::from(ServerName::from(key)),
            pool: PoolName::from("pool"),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            domain: DomainName::from("a"),
            slots: 4,
            version: "v1".into(),
            draining: false,
            warmup: Duration::ZERO,
        })
    }
}

/// A store whose answers are late was never lost, so a missing entry was removed and hasn't lapsed.
/// Treating it as lapsed sent the server work for two more seconds.
#[tokio::test(start_paused = true)]
async fn late_answers_do_not_prolong_the_use_of_a_removed_server() {
    let queue_delay = Duration::from_millis(900);
    let store = Arc::new(QueuedStore::new(queue_delay));
    let node = Arc::new(Node::new(crate::pools::settings(), Arc::new(NoDialect)));
    node.pools
        .set_config(&crate::pools::config(), &node.settings);
    let _tasks = follow_alone(&node, &store, AnyServer);
    let pool = node.pools.get(&"pool".into()).expect("a pool");
    for round in 0..28 {
        let entry = Some(Bytes::from_static(b"1"));
        store.store.put(Feed::Servers, "s", entry);
        while pool.open_len() == 0 {
            sleep(Duration::from_millis(10)).await;
        }
        sleep(Duration::from_millis(5_000 + 70 * round)).await;
        let left = Instant::now();
        store.store.put(Feed::Servers, "s", None);
        while pool.open_len() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
        // The queue once for the answer and once for the one before it, and a pause.
        let max = queue_delay * 2 + Duration::from_millis(400);
        assert!(left.elapsed() <= max, "{:?}", left.elapsed());
    }
}

#[tokio::test(start_paused = true)]
async fn a_store_that_never_answers_has_few_polls_in_flight() {
    let (longest, max) = longest_age(QueuedStore::new(Duration::from_secs(60))).await;
    assert!(longest > Duration::from_secs(20));
    assert!((2..=10).contains(&max), "{max}");
}
