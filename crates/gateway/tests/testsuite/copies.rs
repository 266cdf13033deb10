//! Routers that learn from others what they can't read at the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use swiftlink_gateway::store::{Feed, Late, MemStore, Page, Record, Store, StoreError};
use swiftlink_gateway::watch::{self, Others, Reader, Told};
use swiftlink_gateway::{Catalog, Node};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::starts::{Entries, used};
use crate::watch::NoDialect;

/// Time in which a router that lost the store hears of a change from another one: it notices
/// the loss after 1.6 s, and asks again after each pause.
const HEARD: Duration = Duration::from_millis(2_500);

/// A way to the store that may be cut.
#[derive(Debug)]
struct Way {
    store: Arc<MemStore>,
    is_cut: AtomicBool,
}

impl Way {
    /// Calls that are sent into a cut have no answer.
    async fn pass(&self, late: Duration) -> Result<(), StoreError> {
        if !self.is_cut.load(SeqCst) {
            return Ok(());
        }
        sleep(late).await;
        Err(StoreError::Unknown("no answer".to_owned()))
    }
}

#[async_trait]
impl Store for Way {
    async fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
        late: Late,
    ) -> Result<Page, StoreError> {
        let page = self.store.read(feed, from, wait, late.clone()).await;
        self.pass(late.time).await?;
        page
    }

    async fn newest(&self, feed: Feed, late: Late) -> Result<Page, StoreError> {
        self.pass(late.time).await?;
        self.store.newest(feed, late).await
    }

    async fn append_at(
        &self,
        _feed: Feed,
        _at: u64,
        _records: &[(String, Bytes)],
    ) -> Result<u64, StoreError> {
        Err(StoreError::Refused("nothing is written here".to_owned()))
    }

    async fn append_next(
        &self,
        _feed: Feed,
        _producer: &str,
        _sequence: u64,
        _record: (String, Bytes),
    ) -> Result<u64, StoreError> {
        Err(StoreError::Refused("nothing is written here".to_owned()))
    }
}

/// The router that is asked.
#[derive(Debug)]
struct Other(Arc<Node>);

#[async_trait]
impl Others for Other {
    async fn tell(&self, feed: Feed, from: u64) -> Option<Told> {
        Some(self.0.replicas.since(feed, from))
    }
}

/// Two routers that ask each other, each with its own way to one store.
struct Pair {
    store: Arc<MemStore>,
    ways: [Arc<Way>; 2],
    nodes: [Arc<Node>; 2],
    _tasks: JoinSet<()>,
}

impl Pair {
    fn open() -> Self {
        let store = Arc::new(MemStore::new());
        let way = || {
            Arc::new(Way {
                store: Arc::clone(&store),
                is_cut: AtomicBool::new(false),
            })
        };
        let node = || {
            let node = Node::new(crate::pools::settings(), Arc::new(NoDialect));
            node.pools
                .set_config(&crate::pools::config(), &node.settings);
            Arc::new(node)
        };
        let (ways, nodes) = ([way(), way()], [node(), node()]);
        let mut tasks = JoinSet::new();
        let catalog: Arc<dyn Catalog> = Arc::new(Entries);
        for (own, other) in [(0, 1), (1, 0)] {
            let others: Arc<dyn Others> = Arc::new(Other(Arc::clone(&nodes[other])));
            let way = Arc::clone(&ways[own]) as Arc<dyn Store>;
            watch::spawn(&mut tasks, &nodes[own], &way, &catalog, &others);
        }
        store.put(Feed::Config, "config", Some(Bytes::from_static(b"x")));
        Self {
            store,
            ways,
            nodes,
            _tasks: tasks,
        }
    }

    fn put(&self, name: &str, entry: Option<&'static str>) {
        let value = entry.map(Bytes::from);
        self.store.put(Feed::Servers, name, value);
    }

    fn used(&self, router: usize) -> BTreeMap<String, (u64, u16)> {
        let pool = self.nodes[router].pools.get(&"pool".into());
        used(&pool.expect("a pool"))
    }

    async fn cut(&self, router: usize, is_cut: bool) {
        self.ways[router].is_cut.store(is_cut, SeqCst);
        sleep(HEARD).await;
    }
}

fn servers(all: &[(&str, u64, u16)]) -> BTreeMap<String, (u64, u16)> {
    let servers = all.iter();
    servers
        .map(|(name, born, port)| ((*name).to_owned(), (*born, *port)))
        .collect()
}

/// A router that is cut from the store sent work to servers that had gone, whose addresses
/// others had, and didn't know new ones. Another router tells it.
#[tokio::test(start_paused = true)]
async fn a_router_without_the_store_hears_of_servers_from_another() {
    let pair = Pair::open();
    pair.put("a", Some("1 1"));
    pair.put("b", Some("1 2"));
    sleep(HEARD).await;
    pair.cut(1, true).await;
    pair.put("a", None);
    pair.put("b", Some("2 3"));
    pair.put("c", Some("1 4"));
    sleep(HEARD).await;
    let now = servers(&[("b", 2, 3), ("c", 1, 4)]);
    assert_eq!(pair.used(0), now);
    assert_eq!(pair.used(1), now);
    pair.cut(1, false).await;
    assert_eq!(pair.used(1), now);
    pair.put("c", None);
    sleep(HEARD).await;
    assert_eq!(pair.used(1), servers(&[("b", 2, 3)]));
}

/// What another router says of when it read is worth as much as the store's own answer.
#[tokio::test(start_paused = true)]
async fn the_configuration_is_as_fresh_as_the_freshest_router_knows() {
    let pair = Pair::open();
    sleep(HEARD).await;
    pair.cut(1, true).await;
    for _ in 0..100 {
        sleep(Duration::from_millis(100)).await;
        let age = pair.nodes[1].freshness.age();
        assert!(age < Duration::from_millis(2_500), "{age:?}");
    }
    pair.cut(0, true).await;
    sleep(Duration::from_secs(3)).await;
    for node in &pair.nodes {
        assert!(node.freshness.age() > Duration::from_secs(4));
    }
}

/// A router that was cut off for long knows older entries than the one that asks it.
#[tokio::test(start_paused = true)]
async fn an_older_copy_changes_nothing() {
    let pair = Pair::open();
    pair.put("a", Some("1 1"));
    sleep(HEARD).await;
    pair.ways[0].is_cut.store(true, SeqCst);
    pair.ways[1].is_cut.store(true, SeqCst);
    sleep(Duration::from_secs(10)).await;
    pair.put("a", Some("2 2"));
    pair.put("b", Some("1 3"));
    pair.cut(0, false).await;
    let now = servers(&[("a", 2, 2), ("b", 1, 3)]);
    assert_eq!(pair.used(0), now);
    assert_eq!(pair.used(1), now, "told by the one that is back");
    pair.cut(0, true).await;
    sleep(HEARD).await;
    assert_eq!(pair.used(0), now);
    assert_eq!(pair.used(1), now);
}

/// A list of the whole feed that is older than what another router told hid the servers that are
/// newer than it.
#[tokio::test]
async fn a_list_of_the_whole_feed_hides_nothing_that_is_newer() {
    let store = Arc::new(MemStore::new());
    let put = |key: &str| store.put(Feed::Servers, key, Some(Bytes::from_static(b"1 1")));
    put("a");
    let shared = Arc::clone(&store) as Arc<dyn Store>;
    let mut reader = Reader::new(Feed::Servers, shared);
    reader.poll(Duration::ZERO).await.expect("news");
    let told = |key: &str, offset| Record {
        offset,
        key: key.to_owned(),
        value: Some(Bytes::from_static(b"1 1")),
    };
    let told = Told {
        records: vec![told("b", 1), told("c", 9)],
        age: None,
    };
    reader.take_told(told, Instant::now());
    put("b");
    store.put(Feed::Servers, "b", None);
    put("d");
    store.compact(Feed::Servers);
    let news = reader.poll(Duration::ZERO).await.expect("news");
    let mut keys: Vec<String> = news.keys.expect("the whole feed").into_iter().collect();
    keys.sort();
    assert_eq!(keys, ["a", "c", "d"]);
}

/// What doesn't fit into one answer comes with the next, and only the last one says of when it is.
#[tokio::test(start_paused = true)]
async fn a_long_copy_comes_in_parts() {
    let pair = Pair::open();
    sleep(HEARD).await;
    let long = Bytes::from(vec![b'x'; 6_000]);
    for name in 0..7 {
        let value = Some(long.clone());
        pair.store.put(Feed::Servers, &format!("s{name}"), value);
    }
    sleep(HEARD).await;
    let copies = &pair.nodes[0].replicas;
    let (mut from, mut parts) = (0, Vec::new());
    loop {
        let told = copies.since(Feed::Servers, from);
        let Some(last) = told.records.last() else {
            break;
        };
        from = last.offset + 1;
        parts.push((told.records.len(), told.age.is_some()));
    }
    assert_eq!(parts, [(2, false), (2, false), (2, false), (1, true)]);
    assert_eq!(copies.since(Feed::Rights(0), 0), Told::default());
}

/// Dozens of routers that can't reach the store would fill the links of those that tell it.
#[tokio::test(start_paused = true)]
async fn a_large_configuration_is_told_by_nobody() {
    let pair = Pair::open();
    sleep(HEARD).await;
    let large = Bytes::from(vec![b'x'; 300_000]);
    pair.store.put(Feed::Config, "config", Some(large));
    sleep(HEARD).await;
    let told = pair.nodes[0].replicas.since(Feed::Config, 1);
    assert_eq!(told, Told::default());
}
