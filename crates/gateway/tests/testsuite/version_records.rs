//! What the store keeps of the versions of a pool, for routers that have started since they left.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::future::join_all;
use swiftlink_gateway::catalog::{CatalogError, ServerEntry};
use swiftlink_gateway::clock::Reading;
use swiftlink_gateway::fleet::Pool;
use swiftlink_gateway::model::Config;
use swiftlink_gateway::origins::{MIN_LIFETIME, Source, VersionHistory, VersionRecord};
use swiftlink_gateway::store::{
    Feed, MemStore, Page, ResponseTimeout, Store, StoreError, StoreFault,
};
use swiftlink_gateway::{Catalog, Node};
use swiftlink_types::{PoolName, ServerInstance, ServerName, VersionName};
use tokio::task::JoinSet;

use crate::origins::{key, version};
use crate::pools;
use crate::recorders::{Network, TestMember};
use crate::watch::{NoDialect, follow_alone};

/// A start of the whole fleet after all its routers have ended: nobody knows what was before.
fn restart(
    store: &Arc<MemStore>,
    count: usize,
    versions: &[&str],
) -> (Arc<Network>, Vec<TestMember>) {
    let network = Network::new(store);
    let members = (0..count).map(|_| TestMember::start(&network, versions));
    let members = members.collect();
    (network, members)
}

/// The version at which a router lets a stream go on that no router knows.
async fn goes_on_at(member: &TestMember) -> Option<VersionName> {
    let found = member.find(key("w", 1)).await.ok()?;
    assert_eq!(found.source, Source::OnlyVersion);
    Some(found.origin.version)
}

fn at(secs: u64) -> Reading {
    Reading {
        boot: Arc::from(""),
        steady: secs * 1_000,
        wall: 1_000_000_000 + secs * 1_000,
    }
}

fn history(steps: &[(u64, &[&str])]) -> VersionHistory {
    let mut history = VersionHistory::default();
    for (secs, versions) in steps {
        history.set(versions.iter().map(|name| version(name)), secs * 1_000);
    }
    history
}

/// Guards against a version that is forgotten while its streams may be resumed, and against one that
/// is remembered for good, over routers that start and clocks that step.
#[test]
fn a_record_names_the_versions_of_which_streams_may_be_resumed() {
    let mut record = VersionRecord::default();
    let observed = history(&[(0, &["v1"]), (10, &["v1", "v2"]), (20, &["v2"])]);
    assert!(record.update(&history(&[(0, &["v1"])]), &at(0)));
    assert!(record.update(&observed, &at(25)));
    assert!(!record.update(&observed, &at(30)), "nothing new");
    let within = |record: &VersionRecord, secs: u64| {
        let all = record.within(MIN_LIFETIME, at(secs).wall);
        all.iter().map(VersionName::to_string).collect::<Vec<_>>()
    };
    assert_eq!(within(&record, 79), ["v1", "v2"]);
    // A router that started since then adds nothing and forgets nothing.
    assert!(!record.update(&history(&[(40, &["v2"])]), &at(41)));
    assert_eq!(
        within(&record, 0),
        ["v1", "v2"],
        "a clock that stepped back"
    );
    assert_eq!(within(&record, 84), ["v1", "v2"], "a clock that is ahead");
    assert_eq!(within(&record, 200), ["v2"]);
    // v2 left while no router ran: it may have done so right before the next one started.
    assert_eq!(within(&record, 3_600), ["v2"]);
    assert!(record.update(&history(&[(3_600, &["v3"])]), &at(3_601)));
    assert_eq!(within(&record, 3_650), ["v2", "v3"]);
    assert_eq!(within(&record, 3_700), ["v3"]);
    // A version that came back and left unrecorded.
    assert!(record.update(
        &history(&[(3_700, &["v2", "v3"]), (3_710, &["v3"])]),
        &at(3_711)
    ));
    assert_eq!(within(&record, 3_750), ["v2", "v3"]);
}

/// Guards against taking the versions that are listed at the start of all routers for those of
/// before, and against refusing what one version alone can have begun.
#[tokio::test]
async fn after_a_start_of_all_routers_a_stream_goes_on_if_one_version_was_recorded() {
    let store = Arc::new(MemStore::new());
    let network = Network::new(&store);
    let first = TestMember::start(&network, &["v1"]);
    network.until_recorded(&["v1"]).await;
    drop(first);
    let (_network, members) = restart(&store, 7, &["v1"]);
    assert_eq!(goes_on_at(&members[3]).await, Some(version("v1")));
    members[0].set_versions(&["v1", "v2"]);
    network.until_recorded(&["v1", "v2"]).await;
    drop(members);
    let (_network, members) = restart(&store, 7, &["v2"]);
    assert_eq!(goes_on_at(&members[3]).await, None, "v1 left unrecorded");
    network.until_recorded(&["v2"]).await;
    drop(members);
    let (_network, members) = restart(&store, 7, &["v2"]);
    assert_eq!(goes_on_at(&members[3]).await, None, "v1 left lately");
}

/// Guards against a version that comes and goes between two looks of the writer at the list, whose
/// streams would be forgotten with the routers.
#[tokio::test]
async fn a_version_that_came_and_went_at_once_is_recorded() {
    let store = Arc::new(MemStore::new());
    let network = Network::new(&store);
    let member = TestMember::start(&network, &["v1"]);
    network.until_recorded(&["v1"]).await;
    member.set_versions(&["v1", "v2"]);
    member.set_versions(&["v1"]);
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(member);
    let (_network, members) = restart(&store, 2, &["v1"]);
    assert_eq!(goes_on_at(&members[0]).await, None, "v2 left lately");
}

/// Guards against the reply of one router that has started, or of a single one that was left, as
/// evidence of what was before it.
#[tokio::test]
async fn routers_that_started_one_after_the_other_know_nothing_of_before() {
    let store = Arc::new(MemStore::new());
    let network = Network::new(&store);
    let members: Vec<TestMember> = (0..12)
        .map(|_| TestMember::start(&network, &["v1", "v2"]))
        .collect();
    network.until_recorded(&["v1", "v2"]).await;
    for member in &members {
        network.end(&member.member.vm);
    }
    drop(members);
    for _ in 0..3 {
        let started = TestMember::start(&network, &["v2"]);
        assert_eq!(goes_on_at(&started).await, None);
    }
}

/// Guards against a pool whose first server is listed after the start of the routers: its list has
/// been observed since then, not its streams.
#[tokio::test]
async fn a_pool_whose_first_server_is_listed_late_is_looked_up_in_its_record() {
    let store = Arc::new(MemStore::new());
    let network = Network::new(&store);
    let first = TestMember::start(&network, &["v1"]);
    network.until_recorded(&["v1"]).await;
    drop(first);
    let (_network, members) = restart(&store, 2, &[]);
    assert_eq!(goes_on_at(&members[0]).await, None);
    members[0].set_versions(&["v2"]);
    assert_eq!(goes_on_at(&members[0]).await, None);
}

/// Decodes entries that hold a version and whether the server drains.
#[derive(Debug)]
struct VersionEntries;

impl Catalog for VersionEntries {
    fn config(&self, _key: &str, _value: &[u8]) -> Result<Option<Config>, CatalogError> {
        Ok(None)
    }

    fn server(&self, key: &str, value: &[u8]) -> Result<ServerEntry, CatalogError> {
        let template = pools::servers().into_values().next().expect("a server");
        let text = String::from_utf8_lossy(value);
        let name = text.trim_end_matches(" draining");
        Ok(ServerEntry {
            instance: ServerInstance::new(ServerName::from(key), 1),
            version: version(name),
            draining: text != name,
            ..template
        })
    }
}

/// A router that follows the servers of `store`.
fn follow(store: &Arc<MemStore>) -> (Arc<Node>, JoinSet<()>) {
    let node = Arc::new(Node::new(pools::settings(), Arc::new(NoDialect)));
    node.pools.set_config(&pools::config(), &pools::settings());
    let tasks = follow_alone(&node, store, VersionEntries);
    (node, tasks)
}

fn put(store: &MemStore, server: &str, text: &str) {
    let value = Some(Bytes::from(text.to_owned()));
    store.put(
        Feed::Servers,
        server,
        value.filter(|value| !value.is_empty()),
    );
}

/// Waits until exactly these versions were listed within the last minute.
async fn until_within(node: &Node, versions: &[&str]) -> Arc<Pool> {
    let pool = node.pools.get(&PoolName::from("pool")).expect("a pool");
    for _ in 0..500 {
        let mut all = pool.versions_within(MIN_LIFETIME);
        all.sort_unstable();
        if all
            .iter()
            .map(VersionName::as_str)
            .eq(versions.iter().copied())
        {
            return pool;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!(
        "{:?} instead of {versions:?}",
        pool.versions_within(MIN_LIFETIME)
    );
}

/// Guards against the versions of a selection: in a large pool, a router doesn't use the servers that
/// drain, and would record the last one of a version as removed.
#[tokio::test]
async fn the_versions_of_servers_that_a_router_does_not_use_count() {
    let store = Arc::new(MemStore::new());
    for number in 0..300 {
        put(&store, &format!("new-{number}"), "v2");
    }
    put(&store, "old", "v1 draining");
    let (node, _tasks) = follow(&store);
    let pool = until_within(&node, &["v1", "v2"]).await;
    assert_eq!(pool.open_len(), 256, "the servers that it uses");
}

/// Guards against a router without access to the store that counts as an observer: versions come and
/// go meanwhile.
#[tokio::test]
async fn versions_are_observed_anew_after_a_store_outage() {
    let store = Arc::new(MemStore::new());
    put(&store, "a", "v1");
    let (node, _tasks) = follow(&store);
    until_within(&node, &["v1"]).await;
    store.set_fault(StoreFault::Silent);
    tokio::time::sleep(pools::settings().drain + Duration::from_secs(1)).await;
    put(&store, "b", "v2");
    put(&store, "b", "");
    store.set_fault(StoreFault::None);
    let pool = until_within(&node, &["v1", "v2"]).await;
    assert!(
        pool.known_for() < pools::settings().drain,
        "{:?}",
        pool.known_for()
    );
}

/// Guards against a gap, such as the suspension of a VM, that counts as observed.
#[test]
fn a_gap_in_what_a_router_observed_counts_as_a_start() {
    let mut observed = history(&[(0, &["v1"])]);
    assert_eq!(observed.known_for(90_000), Duration::from_secs(90));
    observed.restart(80_000);
    assert_eq!(observed.known_for(90_000), Duration::from_secs(10));
    assert_eq!(observed.within(MIN_LIFETIME, 90_000), [version("v1")]);
}

/// Guards against going on while the records can't be read: the store may be silent, or may not have
/// got any.
#[tokio::test]
async fn a_stream_is_refused_while_the_records_are_unknown() {
    let store = Arc::new(MemStore::new());
    let network = Network::new(&store);
    let first = TestMember::start(&network, &["v1"]);
    network.until_recorded(&["v1"]).await;
    drop(first);
    for fault in [StoreFault::Silent, StoreFault::Unavailable] {
        store.set_fault(fault);
        let (_network, members) = restart(&store, 2, &["v1"]);
        assert_eq!(goes_on_at(&members[0]).await, None, "{fault:?}");
        store.set_fault(StoreFault::None);
        assert_eq!(goes_on_at(&members[0]).await, Some(version("v1")));
    }
}

/// Guards against a call that the store left unanswered and that holds up later readers.
#[tokio::test]
async fn a_stream_goes_on_once_the_store_answers_again() {
    let store = Arc::new(MemStore::new());
    let network = Network::new(&store);
    let first = TestMember::start(&network, &["v1"]);
    network.until_recorded(&["v1"]).await;
    drop(first);
    store.set_fault(StoreFault::Silent);
    let (_network, members) = restart(&store, 2, &["v1"]);
    for _ in 0..2 {
        assert_eq!(goes_on_at(&members[0]).await, None);
    }
    store.set_fault(StoreFault::None);
    assert_eq!(goes_on_at(&members[0]).await, Some(version("v1")));
}

/// Guards against records that a store loses when it goes back to an older copy of itself.
#[tokio::test]
async fn records_are_written_again_when_the_store_went_back() {
    let store = Arc::new(MemStore::new());
    let copy = store.copy();
    let network = Network::new(&store);
    let member = TestMember::start(&network, &["v1"]);
    network.until_recorded(&["v1"]).await;
    member.set_versions(&["v2"]);
    network.until_recorded(&["v2"]).await;
    store.restore(&copy);
    network.until_recorded(&["v2"]).await;
    drop(member);
    let (_network, members) = restart(&store, 2, &["v2"]);
    assert_eq!(goes_on_at(&members[0]).await, None, "v1 left lately");
}

/// Counts the calls of all routers.
#[derive(Debug)]
struct CountedStore {
    inner: Arc<MemStore>,
    reads: AtomicUsize,
    appends: AtomicUsize,
}

#[async_trait]
impl Store for CountedStore {
    async fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
        timeout: ResponseTimeout,
    ) -> Result<Page, StoreError> {
        self.inner.read(feed, from, wait, timeout).await
    }

    async fn newest(&self, feed: Feed, timeout: ResponseTimeout) -> Result<Page, StoreError> {
        self.reads.fetch_add(1, SeqCst);
        self.inner.newest(feed, timeout).await
    }

    async fn append_at(
        &self,
        feed: Feed,
        at: u64,
        records: &[(String, Bytes)],
    ) -> Result<u64, StoreError> {
        self.appends.fetch_add(1, SeqCst);
        self.inner.append_at(feed, at, records).await
    }

    async fn append_next(
        &self,
        feed: Feed,
        producer: &str,
        sequence: u64,
        record: (String, Bytes),
    ) -> Result<u64, StoreError> {
        self.inner
            .append_next(feed, producer, sequence, record)
            .await
    }
}

/// Guards against calls to the store that grow with the fleet, and against a record that nobody
/// writes.
#[tokio::test]
async fn a_few_routers_of_any_fleet_write_a_record() {
    join_all([7, 75, 300, 985].map(write_records)).await;
}

/// Guards against routers that never learn that a version is recorded, and against questions that
/// grow faster than the fleet.
#[tokio::test]
async fn each_router_learns_in_a_few_questions_that_a_version_is_recorded() {
    for count in [7, 75, 300, 985] {
        let (network, members) = restart(&Arc::new(MemStore::new()), count, &["v1"]);
        until_known(&members, &["v1"]).await;
        let before = network.questions.load(SeqCst);
        for member in &members {
            member.set_versions(&["v1", "v2"]);
        }
        until_known(&members, &["v1", "v2"]).await;
        let questions = network.questions.load(SeqCst) - before;
        println!("{count} routers: {questions} questions");
        assert!(questions <= 3 * count, "{count} routers: {questions}");
    }
}

/// Waits until all routers know that the versions are recorded as listed.
async fn until_known(members: &[TestMember], versions: &[&str]) {
    let expected: Vec<VersionName> = versions.iter().map(|name| version(name)).collect();
    let knows = |member: &&TestMember| {
        let history = member.member.origins.versions().of(&PoolName::from("pool"));
        history.recorded() == Some(expected.as_slice())
    };
    let mut known = 0;
    for _ in 0..500 {
        known = members.iter().filter(knows).count();
        if known == members.len() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{known} of {} routers", members.len());
}

/// Guards against a record that nobody writes: routers that have ended count as members for good, also
/// after a restart of all.
#[tokio::test]
async fn the_next_routers_write_a_record_in_place_of_those_that_have_ended() {
    let store = Arc::new(MemStore::new());
    let (network, mut members) = restart(&store, 12, &["v1"]);
    network.until_recorded(&["v1"]).await;
    let pool = PoolName::from("pool");
    members.sort_by_key(|member| {
        let before = member.lookup.recorders.writers_before(&pool);
        before.expect("the members").len()
    });
    for ended in members.drain(..8) {
        network.end(&ended.member.vm);
    }
    for member in &members {
        member.set_versions(&["v1", "v2"]);
    }
    network.until_recorded(&["v1", "v2"]).await;
}

async fn write_records(count: usize) {
    let inner = Arc::new(MemStore::new());
    let network = Network::new(&inner);
    let store = Arc::new(CountedStore {
        inner,
        reads: AtomicUsize::new(0),
        appends: AtomicUsize::new(0),
    });
    let start = |_| {
        let store = Arc::clone(&store) as Arc<dyn Store>;
        TestMember::start_with(&network, &[], store)
    };
    let members: Vec<TestMember> = (0..count).map(start).collect();
    for versions in [&["v1"] as &[&str], &["v1", "v2"], &["v2"]] {
        for member in &members {
            member.set_versions(versions);
        }
        network.until_recorded(versions).await;
        // The later writers take their turn and find the record written.
        tokio::time::sleep(Duration::from_millis(3_200)).await;
    }
    let (reads, appends) = (store.reads.load(SeqCst), store.appends.load(SeqCst));
    println!("{count} routers, three changes: {reads} reads, {appends} appends");
    assert_eq!(appends, 3, "{count} routers");
    assert!(reads <= 9, "{count} routers: {reads} reads");
}
