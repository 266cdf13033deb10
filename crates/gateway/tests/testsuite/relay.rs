//! Tests of fleets that receive the feeds through the relay tree: the load on the store, and how
//! soon all routers know of a change while routers and paths fail. No network; time is paused.

use std::collections::{BTreeMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use swiftlink_gateway::quota::holders::Member;
use swiftlink_gateway::store::{Feed, MemStore, Page, ResponseTimeout, Store, StoreError};
use swiftlink_gateway::watch::{self, PeerFeeds, PeerPage, PeerUpdate, Upstreams, upstreams};
use swiftlink_gateway::{Catalog, Node};
use swiftlink_types::VmName;
use swiftlink_wire::link::GetFeed;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::net::{members, name};
use crate::starts::{Entries, used};
use crate::watch::NoDialect;

/// Time in which a change must be in force.
const APPLY: Duration = Duration::from_secs(4);
/// Delay from one router to another.
const ONE_WAY_DELAY: Duration = Duration::from_millis(2);

/// The store, the links and their faults.
#[derive(Debug)]
struct Network {
    store: MemStore,
    members: Vec<Member>,
    nodes: Vec<Arc<Node>>,
    /// Routers that get no answer from the store.
    cut: Mutex<HashSet<VmName>>,
    /// Routers that answer no other router.
    silent: Mutex<HashSet<VmName>>,
    /// Time in which a change must be in force.
    apply: Duration,
    calls: AtomicUsize,
    /// Records that routers read from the store, and those received from each other.
    read: AtomicUsize,
    received: AtomicUsize,
}

/// A router's path to the store and to its peers.
#[derive(Debug)]
struct RouterPath {
    network: Arc<Network>,
    own: VmName,
}

impl RouterPath {
    async fn pass(&self, timeout: Duration) -> Result<(), StoreError> {
        self.network.calls.fetch_add(1, SeqCst);
        if !self.network.cut.lock().expect("a lock").contains(&self.own) {
            return Ok(());
        }
        sleep(timeout).await;
        Err(StoreError::Unknown("no answer".to_owned()))
    }

    fn count(&self, page: Page) -> Page {
        self.network.read.fetch_add(page.records.len(), SeqCst);
        page
    }
}

#[async_trait]
impl Store for RouterPath {
    async fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
        timeout: ResponseTimeout,
    ) -> Result<Page, StoreError> {
        self.pass(timeout.time + wait).await?;
        let page = self.network.store.read(feed, from, wait, timeout).await?;
        Ok(self.count(page))
    }

    async fn newest(&self, feed: Feed, timeout: ResponseTimeout) -> Result<Page, StoreError> {
        self.pass(timeout.time).await?;
        Ok(self.count(self.network.store.newest(feed, timeout).await?))
    }

    async fn append_at(&self, _: Feed, _: u64, _: &[(String, Bytes)]) -> Result<u64, StoreError> {
        Err(StoreError::Refused("nothing is written here".to_owned()))
    }

    async fn append_next(
        &self,
        _: Feed,
        _: &str,
        _: u64,
        _: (String, Bytes),
    ) -> Result<u64, StoreError> {
        Err(StoreError::Refused("nothing is written here".to_owned()))
    }
}

#[async_trait]
impl PeerFeeds for RouterPath {
    async fn fetch(&self, _feed: Feed, _from: u64) -> Option<PeerPage> {
        None
    }

    fn upstreams(&self, _feed: Feed) -> Option<Upstreams> {
        Some(upstreams(&self.own, &self.network.members))
    }

    async fn follow(&self, vm: &VmName, query: GetFeed, time: Duration) -> Option<PeerUpdate> {
        let place = self
            .network
            .members
            .iter()
            .position(|member| member.vm == *vm)?;
        let is_silent = |vm: &VmName| self.network.silent.lock().expect("a lock").contains(vm);
        if is_silent(vm) || is_silent(&self.own) {
            sleep(time).await;
            return None;
        }
        sleep(ONE_WAY_DELAY).await;
        let node = &self.network.nodes[place];
        let update = node
            .replicas
            .answer(&query, node.process, self.network.apply)
            .await;
        sleep(ONE_WAY_DELAY).await;
        self.network
            .received
            .fetch_add(update.page.records.len(), SeqCst);
        Some(update)
    }
}

pub(crate) struct Fleet {
    network: Arc<Network>,
    _tasks: JoinSet<()>,
}

impl Fleet {
    pub(crate) fn open(count: usize) -> Self {
        Self::open_with(count, APPLY)
    }

    fn open_with(count: usize, apply: Duration) -> Self {
        let node = |vm: usize| {
            let mut settings = crate::pools::settings();
            settings.vm = name(vm);
            settings.config_apply = apply;
            settings.drain = apply;
            let node = Node::new(settings, Arc::new(NoDialect));
            node.pools
                .set_config(&crate::pools::config(), &node.settings);
            Arc::new(node)
        };
        let network = Arc::new(Network {
            store: MemStore::new(),
            members: members(count),
            nodes: (0..count).map(node).collect(),
            cut: Mutex::default(),
            silent: Mutex::default(),
            apply,
            calls: AtomicUsize::new(0),
            read: AtomicUsize::new(0),
            received: AtomicUsize::new(0),
        });
        network
            .store
            .put(Feed::Config, "config", Some(Bytes::from_static(b"x")));
        let mut tasks = JoinSet::new();
        let catalog: Arc<dyn Catalog> = Arc::new(Entries);
        for (vm, node) in network.nodes.iter().enumerate() {
            let path = Arc::new(RouterPath {
                network: Arc::clone(&network),
                own: name(vm),
            });
            let store = Arc::clone(&path) as Arc<dyn Store>;
            let others = path as Arc<dyn PeerFeeds>;
            watch::spawn(&mut tasks, node, &store, &catalog, &others);
        }
        Self {
            network,
            _tasks: tasks,
        }
    }

    pub(crate) fn put(&self, server: &str, entry: Option<&'static str>) {
        self.network
            .store
            .put(Feed::Servers, server, entry.map(Bytes::from));
    }

    fn used(&self, router: usize) -> BTreeMap<String, (u64, u16)> {
        let pool = self.network.nodes[router].pools.get(&"pool".into());
        used(&pool.expect("a pool"))
    }

    /// Time until all routers but the `excluded` ones use these servers.
    pub(crate) async fn convergence_time(
        &self,
        servers: &BTreeMap<String, (u64, u16)>,
        excluded: &[usize],
    ) -> Duration {
        let start = Instant::now();
        let mut left: Vec<usize> = (0..self.network.nodes.len()).collect();
        left.retain(|router| !excluded.contains(router));
        while start.elapsed() < APPLY * 3 {
            left.retain(|router| self.used(*router) != *servers);
            if left.is_empty() {
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        start.elapsed()
    }

    /// Calls of the store, records read there and records received from peers during `time`.
    async fn count_during(&self, time: Duration) -> (usize, usize, usize) {
        let counters = [
            &self.network.calls,
            &self.network.read,
            &self.network.received,
        ];
        let before = counters.map(|counter| counter.load(SeqCst));
        sleep(time).await;
        let after = counters.map(|counter| counter.load(SeqCst));
        (
            after[0] - before[0],
            after[1] - before[1],
            after[2] - before[2],
        )
    }

    /// The roots and the relays of the failure domains.
    fn relays(&self) -> Vec<usize> {
        let follows = |vm: &usize| {
            let upstreams = upstreams(&name(*vm), &self.network.members);
            upstreams.has_followers && !upstreams.is_leaf
        };
        (0..self.network.nodes.len()).filter(follows).collect()
    }
}

pub(crate) fn servers(all: &[(&str, u64, u16)]) -> BTreeMap<String, (u64, u16)> {
    let servers = all.iter();
    servers
        .map(|(name, started, port)| ((*name).to_owned(), (*started, *port)))
        .collect()
}

/// When each router polled the store itself, calls and bytes grew with routers times servers.
#[tokio::test(start_paused = true)]
async fn store_calls_are_independent_of_the_fleet_size() {
    let mut counts = Vec::new();
    for count in [100, 300, 1_000] {
        let fleet = Fleet::open(count);
        fleet.put("a", Some("1 1"));
        let time = fleet.convergence_time(&servers(&[("a", 1, 1)]), &[]).await;
        assert!(time < APPLY, "{count} routers know after {time:?}");
        sleep(Duration::from_secs(2)).await;
        let (calls, ..) = fleet.count_during(Duration::from_secs(4)).await;
        counts.push(calls);
        assert!(calls <= 120, "{count} routers: {calls} calls in 4 s");
    }
    let (min, max) = (counts.iter().min(), counts.iter().max());
    assert!(
        max.zip(min).is_some_and(|(max, min)| max - min <= 12),
        "{counts:?}"
    );
}

/// Heartbeats that change nothing were read by all routers.
#[tokio::test(start_paused = true)]
async fn heartbeats_are_read_by_the_roots_only() {
    let fleet = Fleet::open(100);
    fleet.put("a", Some("1 1"));
    fleet.convergence_time(&servers(&[("a", 1, 1)]), &[]).await;
    // Recent changes are sent to new followers, so let them age first.
    sleep(Duration::from_secs(8)).await;
    for _ in 0..50 {
        fleet.put("a", Some("1 1"));
    }
    let (_, read, received) = fleet.count_during(Duration::from_secs(2)).await;
    assert_eq!(read, 150, "three routers read the store");
    assert_eq!(received, 0);
}

#[tokio::test(start_paused = true)]
async fn a_change_reaches_all_routers_in_time() {
    let fleet = Fleet::open(300);
    fleet.put("a", Some("1 1"));
    fleet.put("b", Some("1 2"));
    fleet
        .convergence_time(&servers(&[("a", 1, 1), ("b", 1, 2)]), &[])
        .await;
    fleet.put("a", None);
    fleet.put("b", Some("2 3"));
    let time = fleet.convergence_time(&servers(&[("b", 2, 3)]), &[]).await;
    assert!(time < APPLY / 4, "{time:?}");
}

/// Guards against a draining server that most routers go on using: an answer of the store had a
/// heartbeat and a later change of the same server, and the heartbeat replaced the change in what
/// relays pass on.
#[tokio::test(start_paused = true)]
async fn a_change_that_is_read_together_with_a_heartbeat_reaches_all_routers() {
    let fleet = Fleet::open(100);
    fleet.put("a", Some("1 1"));
    fleet.convergence_time(&servers(&[("a", 1, 1)]), &[]).await;
    sleep(Duration::from_secs(2)).await;
    fleet.put("a", Some("1 1"));
    fleet.put("a", Some("2 2"));
    let time = fleet.convergence_time(&servers(&[("a", 2, 2)]), &[]).await;
    assert!(time < APPLY / 4, "{time:?}");
}

/// All relays fall silent at the moment of a change.
#[tokio::test(start_paused = true)]
async fn a_change_arrives_in_time_when_all_relays_are_lost() {
    let fleet = Fleet::open(100);
    fleet.put("a", Some("1 1"));
    fleet.convergence_time(&servers(&[("a", 1, 1)]), &[]).await;
    sleep(Duration::from_secs(3)).await;
    let relays = fleet.relays();
    assert!(relays.len() >= 12, "{relays:?}");
    let silent = relays.iter().map(|vm| name(*vm));
    fleet.network.silent.lock().expect("a lock").extend(silent);
    fleet.put("a", Some("2 2"));
    let time = fleet
        .convergence_time(&servers(&[("a", 2, 2)]), &relays)
        .await;
    assert!(time < APPLY, "{time:?}");
}

/// The relays still answer but have lost the store and get no updates.
#[tokio::test(start_paused = true)]
async fn a_change_arrives_in_time_when_the_relays_lose_the_store() {
    let fleet = Fleet::open(100);
    fleet.put("a", Some("1 1"));
    fleet.convergence_time(&servers(&[("a", 1, 1)]), &[]).await;
    sleep(Duration::from_secs(3)).await;
    let relays = fleet.relays();
    let cut = relays.iter().map(|vm| name(*vm));
    fleet.network.cut.lock().expect("a lock").extend(cut);
    fleet.put("a", Some("2 2"));
    let time = fleet
        .convergence_time(&servers(&[("a", 2, 2)]), &relays)
        .await;
    assert!(time < APPLY, "{time:?}");
}

/// Entries that lapse during an outage are written again when the store is back: no router may drop
/// a server meanwhile because another one saw its entry missing.
#[tokio::test(start_paused = true)]
async fn no_router_drops_entries_that_lapsed_during_an_outage_at_once() {
    use swiftlink_gateway::store::StoreFault;
    let fleet = Fleet::open(50);
    fleet.put("a", Some("1 1"));
    fleet.put("b", Some("1 2"));
    let both = servers(&[("a", 1, 1), ("b", 1, 2)]);
    fleet.convergence_time(&both, &[]).await;
    fleet.network.store.set_fault(StoreFault::Unavailable);
    sleep(Duration::from_secs(5)).await;
    fleet.put("a", None);
    fleet.put("b", None);
    fleet.network.store.set_fault(StoreFault::None);
    for _ in 0..15 {
        sleep(Duration::from_millis(100)).await;
        for router in 0..50 {
            assert_eq!(fleet.used(router), both, "router {router}");
        }
    }
    fleet.put("b", Some("1 2"));
    sleep(APPLY).await;
    for router in 0..50 {
        assert_eq!(fleet.used(router), servers(&[("b", 1, 2)]), "{router}");
    }
}

/// Writes the entry of a server again and again, as servers do, until the task is aborted.
async fn send_heartbeats(network: Arc<Network>, server: &'static str, entry: &'static str) {
    loop {
        let value = Some(Bytes::from(entry));
        network.store.put(Feed::Servers, server, value);
        sleep(Duration::from_millis(70)).await;
    }
}

/// How the relays fail.
#[derive(Clone, Copy, Debug)]
enum RelayFault {
    /// They answer no other router.
    Silent,
    /// They answer, but get nothing from the store.
    Outdated,
}

/// Time from the removal of a server's entry, a while after the relays fail, until no other router
/// uses the server.
async fn removal_time(fault: RelayFault, after: Duration, apply: Duration) -> Duration {
    let fleet = Fleet::open_with(40, apply);
    fleet.put("a", Some("1 1"));
    let mut beats = JoinSet::new();
    beats.spawn(send_heartbeats(Arc::clone(&fleet.network), "b", "1 2"));
    let both = servers(&[("a", 1, 1), ("b", 1, 2)]);
    fleet.convergence_time(&both, &[]).await;
    sleep(Duration::from_secs(3)).await;
    let relays = fleet.relays();
    let failed = match fault {
        RelayFault::Silent => &fleet.network.silent,
        RelayFault::Outdated => &fleet.network.cut,
    };
    let names = relays.iter().map(|vm| name(*vm));
    failed.lock().expect("a lock").extend(names);
    sleep(after).await;
    fleet.put("a", None);
    let left = servers(&[("b", 1, 2)]);
    fleet.convergence_time(&left, &relays).await
}

/// Guards against requests that reach a server too long after its entry was removed. Routers whose
/// relays are cut off read the store themselves, in turn with upstreams that don't answer. They took
/// each such read for the end of an outage of the store, in which entries lapse, and kept servers
/// whose entry was missing for two seconds more.
#[tokio::test(start_paused = true)]
async fn a_removed_server_is_unused_in_time_while_the_relays_are_cut_off() {
    let apply = Duration::from_secs(3);
    for fault in [RelayFault::Silent, RelayFault::Outdated] {
        for step in 0..12 {
            let after = Duration::from_millis(340) * step;
            let time = removal_time(fault, after, apply).await;
            assert!(time < apply, "{fault:?} for {after:?}: {time:?}");
        }
    }
}

/// Whatever routers, paths and history are lost: once all can reach each other, all use the servers
/// that the store has, and none ever uses an older instance than before.
#[tokio::test(start_paused = true)]
async fn all_routers_converge_and_none_goes_back() {
    const ROUTERS: usize = 24;
    for seed in 0..12 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let fleet = Fleet::open(ROUTERS);
        let mut expected = BTreeMap::new();
        let mut born = [0_u64; 4];
        let mut newest = vec![BTreeMap::<String, u64>::new(); ROUTERS];
        for _ in 0..60 {
            let vm = name(rng.random_range(0..ROUTERS));
            match rng.random_range(0..8) {
                0..=2 => {
                    let server = rng.random_range(0..born.len());
                    born[server] += 1;
                    let entry: &'static str = format!("{} {}", born[server], 1 + server).leak();
                    fleet.put(&format!("s{server}"), Some(entry));
                    expected.insert(format!("s{server}"), (born[server], 1 + server as u16));
                }
                3 => {
                    let server = format!("s{}", rng.random_range(0..born.len()));
                    fleet.put(&server, None);
                    expected.remove(&server);
                }
                4 => drop(fleet.network.cut.lock().expect("a lock").insert(vm)),
                5 => drop(fleet.network.silent.lock().expect("a lock").insert(vm)),
                6 => fleet.network.store.compact(Feed::Servers),
                _ => {
                    fleet.network.cut.lock().expect("a lock").clear();
                    fleet.network.silent.lock().expect("a lock").clear();
                }
            }
            sleep(Duration::from_millis(rng.random_range(0..700))).await;
            for (router, newest) in newest.iter_mut().enumerate() {
                for (server, (born, _)) in fleet.used(router) {
                    let known = newest.entry(server).or_insert(born);
                    assert!(
                        *known <= born,
                        "seed {seed}, router {router}: back to {born}"
                    );
                    *known = born;
                }
            }
        }
        fleet.network.cut.lock().expect("a lock").clear();
        fleet.network.silent.lock().expect("a lock").clear();
        sleep(APPLY * 3).await;
        for router in 0..ROUTERS {
            assert_eq!(fleet.used(router), expected, "seed {seed}, router {router}");
        }
    }
}
