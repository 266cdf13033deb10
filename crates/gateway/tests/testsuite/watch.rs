//! Tests of following the store's feeds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use swiftlink_gateway::catalog::{CatalogError, ServerEntry};
use swiftlink_gateway::dialect::{ForwardMeta, RequestMeta, ResponseKind};
use swiftlink_gateway::store::{
    Feed, MemStore, Page, ResponseTimeout, Store, StoreError, StoreFault,
};
use swiftlink_gateway::watch::{
    self, Directory, EntryChange, FeedUpdate, PeerFeeds, PeerPage, Reader,
};
use swiftlink_types::{DomainName, PoolName, ServerInstance, ServerName};
use tokio::time::Instant;

const NO_WAIT: Duration = Duration::ZERO;

fn reader(store: &Arc<MemStore>) -> Reader {
    Reader::new(Feed::Config, Arc::clone(store) as Arc<dyn Store>)
}

fn put(store: &MemStore, key: &str, value: &'static str) {
    store.put(Feed::Config, key, Some(Bytes::from(value)));
}

fn values(update: &FeedUpdate) -> Vec<String> {
    let values = update
        .changes
        .iter()
        .filter_map(|change| change.value.as_ref());
    values
        .map(|value| String::from_utf8_lossy(value).into_owned())
        .collect()
}

#[tokio::test]
async fn the_first_poll_returns_the_newest_records_and_later_ones_the_changes() {
    let store = Arc::new(MemStore::new());
    put(&store, "a", "1");
    put(&store, "a", "2");
    let mut reader = reader(&store);
    let update = reader.poll(NO_WAIT).await.expect("an update");
    assert_eq!(values(&update), ["2"]);
    assert!(update.keys.expect("the whole feed").contains("a"));
    put(&store, "a", "3");
    let update = reader.poll(NO_WAIT).await.expect("an update");
    assert_eq!(values(&update), ["3"]);
    assert!(update.keys.is_none());
}

#[tokio::test]
async fn trimmed_history_is_replaced_by_the_newest_records() {
    let store = Arc::new(MemStore::new());
    put(&store, "a", "1");
    let mut reader = reader(&store);
    reader.poll(NO_WAIT).await.expect("an update");
    put(&store, "a", "2");
    put(&store, "b", "3");
    store.compact(Feed::Config);
    let update = reader.poll(NO_WAIT).await.expect("an update");
    assert_eq!(values(&update), ["2", "3"]);
    assert!(update.keys.is_some());
}

#[tokio::test]
async fn an_older_state_of_the_store_changes_nothing() {
    let store = Arc::new(MemStore::new());
    put(&store, "a", "1");
    let mut fresh = reader(&store);
    store.set_fault(StoreFault::Stale);
    put(&store, "a", "2");
    assert_eq!(
        values(&fresh.poll(NO_WAIT).await.expect("an update")),
        ["1"]
    );
    store.set_fault(StoreFault::None);
    assert_eq!(
        values(&fresh.poll(NO_WAIT).await.expect("an update")),
        ["2"]
    );
    store.set_fault(StoreFault::Stale);
    assert_eq!(
        values(&fresh.poll(NO_WAIT).await.expect("an update")),
        [""; 0]
    );
}

fn server(name: &str) -> ServerEntry {
    ServerEntry {
        instance: ServerInstance::from(ServerName::from(name)),
        pool: PoolName::from("pool"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        domain: DomainName::from("a"),
        slots: 4,
        version: "v1".into(),
        draining: false,
        warmup: Duration::ZERO,
    }
}

#[tokio::test]
async fn a_server_whose_entry_is_removed_is_gone_at_once() {
    let mut directory = Directory::default();
    assert_eq!(directory.put(server("s")), EntryChange::Changed);
    assert_eq!(directory.put(server("s")), EntryChange::Unchanged);
    assert!(directory.remove(&ServerName::from("s"), Instant::now()));
    assert!(directory.entries().is_empty());
}

#[tokio::test]
async fn an_entry_that_lapsed_during_an_outage_has_time_to_come_back() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(server("back"));
    directory.put(server("gone"));
    directory.store_recovered(now);
    assert!(!directory.remove(&ServerName::from("back"), now));
    assert!(!directory.remove(&ServerName::from("gone"), now));
    assert_eq!(directory.entries().len(), 2);
    directory.put(server("back"));
    let later = now + Duration::from_secs(3);
    assert_eq!(directory.expire(later), [ServerName::from("gone")]);
    assert_eq!(directory.entries().len(), 1);
}

/// A router that had been cut off kept such a server for 2.3 s, longer than the two seconds after
/// which it must get no work.
#[tokio::test]
async fn an_entry_that_is_removed_after_an_outage_is_gone_at_once() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(server("s"));
    directory.store_recovered(now);
    let later = now + Duration::from_millis(400);
    assert!(directory.remove(&ServerName::from("s"), later));
}

#[tokio::test]
async fn long_after_an_outage_a_removed_entry_is_gone_at_once() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(server("s"));
    directory.store_recovered(now);
    let later = now + Duration::from_secs(5);
    assert!(directory.remove(&ServerName::from("s"), later));
}

/// A store that records the wait of each read.
#[derive(Debug)]
struct RecordingStore {
    waits: std::sync::Mutex<Vec<Duration>>,
    store: MemStore,
}

#[async_trait::async_trait]
impl Store for RecordingStore {
    async fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
        timeout: ResponseTimeout,
    ) -> Result<Page, StoreError> {
        self.waits.lock().expect("a lock").push(wait);
        self.store.read(feed, from, wait, timeout).await
    }

    async fn newest(&self, feed: Feed, timeout: ResponseTimeout) -> Result<Page, StoreError> {
        self.store.newest(feed, timeout).await
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

/// A long poll that is sent during a network partition isn't answered when that ends, so the next
/// one must not be long either.
#[tokio::test(start_paused = true)]
async fn after_an_outage_polls_are_short() {
    let store = Arc::new(RecordingStore {
        waits: std::sync::Mutex::default(),
        store: MemStore::new(),
    });
    put(&store.store, "config", "unreadable");
    let node = Arc::new(node());
    let _tasks = follow_alone(&node, &store, NoCatalog);
    tokio::time::sleep(Duration::from_secs(3)).await;
    store.store.set_fault(StoreFault::Unavailable);
    tokio::time::sleep(Duration::from_secs(3)).await;
    store.waits.lock().expect("a lock").clear();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let waits = store.waits.lock().expect("a lock").clone();
    assert!(waits.len() >= 4, "two feeds, asked often: {waits:?}");
    assert!(waits.iter().all(Duration::is_zero), "{waits:?}");
}

/// Spawns the tasks that follow the feeds of `store` in a router without peers.
pub(crate) fn follow_alone<S: Store + 'static>(
    node: &Arc<swiftlink_gateway::Node>,
    store: &Arc<S>,
    catalog: impl swiftlink_gateway::Catalog + 'static,
) -> tokio::task::JoinSet<()> {
    let mut tasks = tokio::task::JoinSet::new();
    let store = Arc::clone(store) as Arc<dyn Store>;
    let peers: Arc<dyn PeerFeeds> = Arc::new(NoPeers);
    watch::spawn(&mut tasks, node, &store, &(Arc::new(catalog) as _), &peers);
    tasks
}

fn node() -> swiftlink_gateway::Node {
    swiftlink_gateway::Node::new(crate::pools::settings(), Arc::new(NoDialect))
}

/// The peers of a router that is alone.
#[derive(Debug)]
struct NoPeers;

#[async_trait::async_trait]
impl PeerFeeds for NoPeers {
    async fn fetch(&self, _feed: Feed, _from: u64) -> Option<PeerPage> {
        None
    }
}

#[derive(Debug)]
pub(crate) struct NoCatalog;

impl swiftlink_gateway::Catalog for NoCatalog {
    fn config(
        &self,
        _key: &str,
        _value: &[u8],
    ) -> Result<Option<swiftlink_gateway::model::Config>, CatalogError> {
        Ok(None)
    }

    fn server(&self, key: &str, _value: &[u8]) -> Result<ServerEntry, CatalogError> {
        Err(CatalogError {
            key: key.to_owned(),
            reason: "none here".to_owned(),
        })
    }
}

/// A dialect for tests that send no requests.
#[derive(Debug)]
pub(crate) struct NoDialect;

impl swiftlink_gateway::Dialect for NoDialect {
    fn id_header(&self) -> &str {
        "id"
    }

    fn parse_request(&self, _headers: &HeaderMap) -> Result<RequestMeta, String> {
        Ok(RequestMeta::default())
    }

    fn request_headers(&self, from: &HeaderMap, _order: &ForwardMeta<'_>) -> HeaderMap {
        from.clone()
    }

    fn response_headers(&self, from: &HeaderMap) -> HeaderMap {
        from.clone()
    }

    fn classify(
        &self,
        _id: Option<&HeaderValue>,
        _status: StatusCode,
        _head: &HeaderMap,
    ) -> ResponseKind {
        ResponseKind::Mismatched
    }

    fn load(&self, _head: &HeaderMap) -> Option<swiftlink_routing::LoadReport> {
        None
    }

    fn keep_alive(&self, _head: &HeaderMap) -> Option<Duration> {
        None
    }
}
