//! How old the configuration is that a router answers by.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::time::Duration;

use bytes::Bytes;
use swiftlink_gateway::catalog::{CatalogError, ServerEntry};
use swiftlink_gateway::freshness::Freshness;
use swiftlink_gateway::model::Config;
use swiftlink_gateway::store::{Feed, Late, MemStore, Page, Store, StoreError};
use swiftlink_gateway::watch::Reader;
use swiftlink_gateway::{Catalog, Node};
use swiftlink_types::{DomainName, PoolName, ServerInstance, ServerName};
use tokio::time::{Instant, advance, sleep};

use crate::clock::TestClock;
use crate::watch::{NoCatalog, NoDialect, follow_alone};

#[tokio::test(start_paused = true)]
async fn knowledge_ages_until_the_store_confirms_it_and_never_gets_older_by_that() {
    let fresh = Freshness::new(TestClock::new());
    advance(Duration::from_secs(3)).await;
    assert_eq!(fresh.age(), Duration::from_secs(3));
    fresh.confirm(Instant::now() - Duration::from_secs(1));
    assert_eq!(fresh.age(), Duration::from_secs(1));
    fresh.confirm(Instant::now() - Duration::from_secs(2));
    assert_eq!(fresh.age(), Duration::from_secs(1));
}

/// A router on a VM that was suspended for some seconds served and refused by what it had known
/// before: its timers and its ages had stood still too.
#[tokio::test(start_paused = true)]
async fn knowledge_ages_while_the_vm_is_suspended() {
    let clock = TestClock::new();
    let fresh = Freshness::new(Arc::clone(&clock) as _);
    fresh.confirm(Instant::now());
    fresh.look();
    clock.suspend(Duration::from_secs(14));
    assert_eq!(fresh.age(), Duration::from_secs(14));
    let woken = Instant::now();
    fresh.after_standstill(Duration::from_millis(60)).await;
    assert_eq!(
        woken.elapsed(),
        Duration::from_millis(60),
        "it waits for news"
    );
    fresh.confirm(Instant::now());
    fresh.look();
    assert_eq!(fresh.age(), Duration::ZERO);
    let woken = Instant::now();
    fresh.after_standstill(Duration::from_millis(60)).await;
    assert_eq!(woken.elapsed(), Duration::ZERO);
}

/// A poll that found nothing was held by the store until its wait was over. One that found
/// something may have been answered at once.
#[tokio::test(start_paused = true)]
async fn a_poll_says_of_when_its_answer_is() {
    let wait = Duration::from_secs(1);
    let store = Arc::new(MemStore::new());
    store.put(Feed::Config, "config", Some(Bytes::from_static(b"1")));
    let mut reader = Reader::new(Feed::Config, Arc::clone(&store) as Arc<dyn Store>);
    let start = Instant::now();
    assert_eq!(reader.poll(wait).await.expect("news").as_of, Some(start));
    let news = reader.poll(wait).await.expect("no news");
    assert_eq!(news.as_of, Some(start + wait));
    let asked = Instant::now();
    store.put(Feed::Config, "config", Some(Bytes::from_static(b"2")));
    assert_eq!(reader.poll(wait).await.expect("news").as_of, Some(asked));
}

/// A store behind a link that holds each answer back for `queue`.
#[derive(Debug)]
struct Queued {
    store: MemStore,
    queue: Duration,
    /// Whether an answer begins at once and its end comes late.
    is_long: bool,
    under_way: AtomicU32,
    most: AtomicU32,
}

/// Counts a call while it lives.
struct UnderWay<'a>(&'a Queued);

impl<'a> UnderWay<'a> {
    fn count(store: &'a Queued) -> Self {
        let calls = store.under_way.fetch_add(1, SeqCst) + 1;
        store.most.fetch_max(calls, SeqCst);
        Self(store)
    }
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.0.under_way.fetch_sub(1, SeqCst);
    }
}

impl Queued {
    fn new(queue: Duration) -> Self {
        let store = MemStore::new();
        store.put(Feed::Config, "config", Some(Bytes::from_static(b"1")));
        Self {
            store,
            queue,
            is_long: false,
            under_way: AtomicU32::new(0),
            most: AtomicU32::new(0),
        }
    }

    /// An answer that is ready now, once it has passed the link, if that is within `late`.
    async fn pass<T>(&self, answer: T, late: &Late) -> Result<T, StoreError> {
        if self.is_long {
            late.begin();
            sleep(self.queue).await;
            return Ok(answer);
        }
        sleep(self.queue.min(late.time)).await;
        if self.queue > late.time {
            return Err(StoreError::Unknown("no answer".to_owned()));
        }
        Ok(answer)
    }
}

#[async_trait::async_trait]
impl Store for Queued {
    async fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
        late: Late,
    ) -> Result<Page, StoreError> {
        let _under_way = UnderWay::count(self);
        let page = self.store.read(feed, from, wait, late.clone()).await?;
        self.pass(page, &late).await
    }

    async fn newest(&self, feed: Feed, late: Late) -> Result<Page, StoreError> {
        let _under_way = UnderWay::count(self);
        let page = self.store.newest(feed, late.clone()).await?;
        self.pass(page, &late).await
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

/// The longest time that a router over such a link goes without news of the configuration, and
/// the most polls that are under way at once, of two feeds.
async fn longest_age(store: Queued) -> (Duration, u32) {
    let store = Arc::new(store);
    let node = Arc::new(Node::new(crate::pools::settings(), Arc::new(NoDialect)));
    let _tasks = follow_alone(&node, &store, NoCatalog);
    sleep(Duration::from_secs(10)).await;
    let mut longest = Duration::ZERO;
    for _ in 0..2_000 {
        sleep(Duration::from_millis(10)).await;
        longest = longest.max(node.freshness.age());
    }
    (longest, store.most.load(SeqCst))
}

/// A full link holds packets back for longer than it takes a router to suspect that the store
/// is lost. It went without news for as long as the link was full.
#[tokio::test(start_paused = true)]
async fn a_full_link_delays_news_by_its_queue_and_no_more() {
    for queue in [300, 700, 900, 1_500, 2_500] {
        let queue = Duration::from_millis(queue);
        let (longest, _) = longest_age(Queued::new(queue)).await;
        // A poll's wait, a pause after a silence, and the queue once for the answer and once
        // for the one before it.
        let most = Duration::from_secs(1) + Duration::from_millis(400) + queue * 2;
        assert!(longest <= most, "{queue:?}: {longest:?}");
    }
}

/// A large configuration takes longer on a small link than it takes a router to suspect silence.
/// Polls that joined the one that was reading it read it as well.
#[tokio::test(start_paused = true)]
async fn an_answer_that_has_begun_is_waited_for_and_not_asked_for_again() {
    let store = Queued {
        is_long: true,
        ..Queued::new(Duration::from_millis(2_000))
    };
    let (longest, most) = longest_age(store).await;
    assert!(longest < Duration::from_secs(6), "{longest:?}");
    // One of each feed.
    assert_eq!(most, 2);
}

/// Entries of servers of the pool `pool`, whatever they say.
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

/// A store whose answers are late was there all the while: an entry that is missing then was
/// removed, and hasn't only lapsed. Its server got work for two seconds more.
#[tokio::test(start_paused = true)]
async fn a_server_that_leaves_gets_no_work_for_longer_because_answers_are_late() {
    let queue = Duration::from_millis(900);
    let store = Arc::new(Queued::new(queue));
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
        let most = queue * 2 + Duration::from_millis(400);
        assert!(left.elapsed() <= most, "{:?}", left.elapsed());
    }
}

#[tokio::test(start_paused = true)]
async fn a_store_that_never_answers_has_few_polls_under_way() {
    let (longest, most) = longest_age(Queued::new(Duration::from_secs(60))).await;
    assert!(longest > Duration::from_secs(20));
    assert!((2..=10).contains(&most), "{most}");
}
