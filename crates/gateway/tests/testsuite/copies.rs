//! Routers that lost the store and read the feeds from other routers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use swiftlink_gateway::catalog::{CatalogError, ServerEntry};
use swiftlink_gateway::model::Config;
use swiftlink_gateway::store::{Feed, MemStore, Page, Record, ResponseTimeout, Store, StoreError};
use swiftlink_gateway::watch::{self, PeerFeeds, PeerPage, Reader};
use swiftlink_gateway::{Catalog, Node};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::starts::{Entries, used};
use crate::watch::NoDialect;

/// Time in which a router that lost the store learns of a change from another one: it detects the
/// loss after 1.6 s and asks again after each pause.
const PROPAGATION_TIME: Duration = Duration::from_millis(2_500);

/// A path to the store that can be cut.
#[derive(Debug)]
struct StorePath {
    store: Arc<MemStore>,
    is_cut: AtomicBool,
}

impl StorePath {
    /// Calls over a cut path get no answer.
    async fn pass(&self, timeout: Duration) -> Result<(), StoreError> {
        if !self.is_cut.load(SeqCst) {
            return Ok(());
        }
        sleep(timeout).await;
        Err(StoreError::Unknown("no answer".to_owned()))
    }
}

#[async_trait]
impl Store for StorePath {
    async fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
        timeout: ResponseTimeout,
    ) -> Result<Page, StoreError> {
        let page = self.store.read(feed, from, wait, timeout.clone()).await;
        self.pass(timeout.time).await?;
        page
    }

    async fn newest(&self, feed: Feed, timeout: ResponseTimeout) -> Result<Page, StoreError> {
        self.pass(timeout.time).await?;
        self.store.newest(feed, timeout).await
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
struct OtherRouter(Arc<Node>);

#[async_trait]
impl PeerFeeds for OtherRouter {
    async fn fetch(&self, feed: Feed, from: u64) -> Option<PeerPage> {
        Some(self.0.replicas.since(feed, from))
    }
}

/// Decodes the entries of [`Entries`], and any configuration.
#[derive(Debug)]
struct WithConfig;

impl Catalog for WithConfig {
    fn config(&self, key: &str, _value: &[u8]) -> Result<Option<Config>, CatalogError> {
        Ok((key == "config").then(crate::pools::config))
    }

    fn server(&self, key: &str, value: &[u8]) -> Result<ServerEntry, CatalogError> {
        Entries.server(key, value)
    }
}

/// Two routers that ask each other, each with its own path to one store.
struct Pair {
    store: Arc<MemStore>,
    paths: [Arc<StorePath>; 2],
    nodes: [Arc<Node>; 2],
    _tasks: JoinSet<()>,
}

impl Pair {
    fn open() -> Self {
        let store = Arc::new(MemStore::new());
        let path = || {
            Arc::new(StorePath {
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
        let (paths, nodes) = ([path(), path()], [node(), node()]);
        let mut tasks = JoinSet::new();
        let catalog: Arc<dyn Catalog> = Arc::new(WithConfig);
        for (own, other) in [(0, 1), (1, 0)] {
            let others: Arc<dyn PeerFeeds> = Arc::new(OtherRouter(Arc::clone(&nodes[other])));
            let path = Arc::clone(&paths[own]) as Arc<dyn Store>;
            watch::spawn(&mut tasks, &nodes[own], &path, &catalog, &others);
        }
        store.put(Feed::Config, "config", Some(Bytes::from_static(b"x")));
        Self {
            store,
            paths,
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
        self.paths[router].is_cut.store(is_cut, SeqCst);
        sleep(PROPAGATION_TIME).await;
    }
}

fn servers(all: &[(&str, u64, u16)]) -> BTreeMap<String, (u64, u16)> {
    let servers = all.iter();
    servers
        .map(|(name, started, port)| ((*name).to_owned(), (*started, *port)))
        .collect()
}

/// A router that was cut off from the store kept sending requests to servers that were gone, whose
/// addresses were reused, and didn't know new servers. Another router sends it the entries.
#[tokio::test(start_paused = true)]
async fn a_router_that_lost_the_store_gets_servers_from_another() {
    let pair = Pair::open();
    pair.put("a", Some("1 1"));
    pair.put("b", Some("1 2"));
    sleep(PROPAGATION_TIME).await;
    pair.cut(1, true).await;
    pair.put("a", None);
    pair.put("b", Some("2 3"));
    pair.put("c", Some("1 4"));
    sleep(PROPAGATION_TIME).await;
    let now = servers(&[("b", 2, 3), ("c", 1, 4)]);
    assert_eq!(pair.used(0), now);
    assert_eq!(pair.used(1), now);
    pair.cut(1, false).await;
    assert_eq!(pair.used(1), now);
    pair.put("c", None);
    sleep(PROPAGATION_TIME).await;
    assert_eq!(pair.used(1), servers(&[("b", 2, 3)]));
}

/// The age that another router reports counts as much as an answer of the store.
#[tokio::test(start_paused = true)]
async fn the_configuration_is_as_fresh_as_that_of_the_freshest_router() {
    let pair = Pair::open();
    sleep(PROPAGATION_TIME).await;
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

/// A router that was cut off for long has older entries than the router that asks it.
#[tokio::test(start_paused = true)]
async fn an_older_replica_changes_nothing() {
    let pair = Pair::open();
    pair.put("a", Some("1 1"));
    sleep(PROPAGATION_TIME).await;
    pair.paths[0].is_cut.store(true, SeqCst);
    pair.paths[1].is_cut.store(true, SeqCst);
    sleep(Duration::from_secs(10)).await;
    pair.put("a", Some("2 2"));
    pair.put("b", Some("1 3"));
    pair.cut(0, false).await;
    let now = servers(&[("a", 2, 2), ("b", 1, 3)]);
    assert_eq!(pair.used(0), now);
    assert_eq!(pair.used(1), now, "sent by the router that is back");
    pair.cut(0, true).await;
    sleep(PROPAGATION_TIME).await;
    assert_eq!(pair.used(0), now);
    assert_eq!(pair.used(1), now);
}

/// A listing of the whole feed that was older than the records from another router removed the
/// servers that were newer than the listing.
#[tokio::test]
async fn a_list_of_the_whole_feed_hides_nothing_that_is_newer() {
    let store = Arc::new(MemStore::new());
    let put = |key: &str| store.put(Feed::Servers, key, Some(Bytes::from_static(b"1 1")));
    put("a");
    let shared = Arc::clone(&store) as Arc<dyn Store>;
    let mut reader = Reader::new(Feed::Servers, shared);
    reader.poll(Duration::ZERO).await.expect("an update");
    let record = |key: &str, offset| Record {
        offset,
        key: key.to_owned(),
        value: Some(Bytes::from_static(b"1 1")),
    };
    let page = PeerPage {
        records: vec![record("b", 1), record("c", 9)],
        age: None,
    };
    reader.take_peer_page(page, Instant::now());
    put("b");
    store.put(Feed::Servers, "b", None);
    put("d");
    store.compact(Feed::Servers);
    let update = reader.poll(Duration::ZERO).await.expect("an update");
    let mut keys: Vec<String> = update.keys.expect("the whole feed").into_iter().collect();
    keys.sort();
    assert_eq!(keys, ["a", "c", "d"]);
}

/// Records that don't fit into one answer are sent in the next, and only the last one has an age.
#[tokio::test(start_paused = true)]
async fn a_long_replica_is_sent_in_pages() {
    let pair = Pair::open();
    sleep(PROPAGATION_TIME).await;
    let long = Bytes::from(format!("{:0>5998} 1", 1));
    for name in 0..7 {
        let value = Some(long.clone());
        pair.store.put(Feed::Servers, &format!("s{name}"), value);
    }
    sleep(PROPAGATION_TIME).await;
    let replicas = &pair.nodes[0].replicas;
    let (mut from, mut parts) = (0, Vec::new());
    loop {
        let page = replicas.since(Feed::Servers, from);
        let Some(last) = page.records.last() else {
            break;
        };
        from = last.offset + 1;
        parts.push((page.records.len(), page.age.is_some()));
    }
    assert_eq!(parts, [(2, false), (2, false), (2, false), (1, true)]);
    assert_eq!(replicas.since(Feed::Quota(0), 0), PeerPage::default());
}

/// Dozens of routers without the store would saturate the links of those that send it.
#[tokio::test(start_paused = true)]
async fn a_large_configuration_is_not_sent_between_routers() {
    let pair = Pair::open();
    sleep(PROPAGATION_TIME).await;
    let large = Bytes::from(vec![b'x'; 300_000]);
    pair.store.put(Feed::Config, "config", Some(large));
    sleep(PROPAGATION_TIME).await;
    let page = pair.nodes[0].replicas.since(Feed::Config, 1);
    assert_eq!(page, PeerPage::default());
}

/// Guards against a router without the store that gets no servers from another: long entries of
/// another writer came before theirs, and were kept in memory by all routers.
#[tokio::test(start_paused = true)]
async fn long_entries_of_other_writers_are_neither_kept_nor_sent() {
    let pair = Pair::open();
    pair.put("a", Some("1 1"));
    sleep(PROPAGATION_TIME).await;
    pair.cut(1, true).await;
    let odd = [
        vec![b'x'; 262_000],
        format!("{}1 1", "0".repeat(262_000)).into(),
    ];
    for name in 0..100 {
        let value = Bytes::from(odd[name % 2].clone());
        let key = format!("odd{name}");
        pair.store.put(Feed::Servers, &key, Some(value));
    }
    pair.put("b", Some("1 2"));
    sleep(PROPAGATION_TIME).await;
    let now = servers(&[("a", 1, 1), ("b", 1, 2)]);
    assert_eq!(pair.used(0), now);
    assert_eq!(pair.used(1), now);
    let page = pair.nodes[0].replicas.since(Feed::Servers, 0);
    let kept = page
        .records
        .iter()
        .filter(|record| record.value.is_some())
        .count();
    assert_eq!((kept, page.age.is_some()), (2, true));
}
