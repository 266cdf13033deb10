//! Fleets whose routers hear the feeds from each other: what the store is asked for, and how soon all
//! know of a change while routers and ways are lost. No network; time is paused.

use std::collections::{BTreeMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use swiftlink_gateway::quota::holders::Member;
use swiftlink_gateway::store::{Feed, Late, MemStore, Page, Store, StoreError};
use swiftlink_gateway::watch::{self, Heard, Others, Told, Upstreams, upstreams};
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
/// One way between two routers.
const WAY: Duration = Duration::from_millis(2);

/// The store, the links and who can't be reached.
#[derive(Debug)]
struct World {
    store: MemStore,
    members: Vec<Member>,
    nodes: Vec<Arc<Node>>,
    /// Routers that the store doesn't answer.
    cut: Mutex<HashSet<VmName>>,
    /// Routers that answer nobody.
    silent: Mutex<HashSet<VmName>>,
    calls: AtomicUsize,
    /// Records that routers read at the store, and that they heard from each other.
    read: AtomicUsize,
    heard: AtomicUsize,
}

/// A router's way to the store and to the others.
#[derive(Debug)]
struct Way {
    world: Arc<World>,
    own: VmName,
}

impl Way {
    async fn pass(&self, late: Duration) -> Result<(), StoreError> {
        self.world.calls.fetch_add(1, SeqCst);
        if !self.world.cut.lock().expect("a lock").contains(&self.own) {
            return Ok(());
        }
        sleep(late).await;
        Err(StoreError::Unknown("no answer".to_owned()))
    }

    fn count(&self, page: Page) -> Page {
        self.world.read.fetch_add(page.records.len(), SeqCst);
        page
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
        self.pass(late.time + wait).await?;
        let page = self.world.store.read(feed, from, wait, late).await?;
        Ok(self.count(page))
    }

    async fn newest(&self, feed: Feed, late: Late) -> Result<Page, StoreError> {
        self.pass(late.time).await?;
        Ok(self.count(self.world.store.newest(feed, late).await?))
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
impl Others for Way {
    async fn tell(&self, _feed: Feed, _from: u64) -> Option<Told> {
        None
    }

    fn upstreams(&self, _feed: Feed) -> Option<Upstreams> {
        Some(upstreams(&self.own, &self.world.members))
    }

    async fn follow(&self, vm: &VmName, question: GetFeed, time: Duration) -> Option<Heard> {
        let place = self
            .world
            .members
            .iter()
            .position(|member| member.vm == *vm)?;
        let is_silent = |vm: &VmName| self.world.silent.lock().expect("a lock").contains(vm);
        if is_silent(vm) || is_silent(&self.own) {
            sleep(time).await;
            return None;
        }
        sleep(WAY).await;
        let node = &self.world.nodes[place];
        let heard = node.replicas.answer(&question, node.process, APPLY).await;
        sleep(WAY).await;
        self.world.heard.fetch_add(heard.told.records.len(), SeqCst);
        Some(heard)
    }
}

struct Fleet {
    world: Arc<World>,
    _tasks: JoinSet<()>,
}

impl Fleet {
    fn open(count: usize) -> Self {
        let node = |vm: usize| {
            let mut settings = crate::pools::settings();
            settings.vm = name(vm);
            settings.config_apply = APPLY;
            let node = Node::new(settings, Arc::new(NoDialect));
            node.pools
                .set_config(&crate::pools::config(), &node.settings);
            Arc::new(node)
        };
        let world = Arc::new(World {
            store: MemStore::new(),
            members: members(count),
            nodes: (0..count).map(node).collect(),
            cut: Mutex::default(),
            silent: Mutex::default(),
            calls: AtomicUsize::new(0),
            read: AtomicUsize::new(0),
            heard: AtomicUsize::new(0),
        });
        world
            .store
            .put(Feed::Config, "config", Some(Bytes::from_static(b"x")));
        let mut tasks = JoinSet::new();
        let catalog: Arc<dyn Catalog> = Arc::new(Entries);
        for (vm, node) in world.nodes.iter().enumerate() {
            let way = Arc::new(Way {
                world: Arc::clone(&world),
                own: name(vm),
            });
            let store = Arc::clone(&way) as Arc<dyn Store>;
            let others = way as Arc<dyn Others>;
            watch::spawn(&mut tasks, node, &store, &catalog, &others);
        }
        Self {
            world,
            _tasks: tasks,
        }
    }

    fn put(&self, server: &str, entry: Option<&'static str>) {
        self.world
            .store
            .put(Feed::Servers, server, entry.map(Bytes::from));
    }

    fn used(&self, router: usize) -> BTreeMap<String, (u64, u16)> {
        let pool = self.world.nodes[router].pools.get(&"pool".into());
        used(&pool.expect("a pool"))
    }

    /// Time until all routers but `spared` ones use these servers.
    async fn settled(&self, servers: &BTreeMap<String, (u64, u16)>, spared: &[usize]) -> Duration {
        let start = Instant::now();
        let mut left: Vec<usize> = (0..self.world.nodes.len()).collect();
        left.retain(|router| !spared.contains(router));
        while start.elapsed() < APPLY * 3 {
            left.retain(|router| self.used(*router) != *servers);
            if left.is_empty() {
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        start.elapsed()
    }

    /// Calls and records of the store, and records heard, while `time` passes.
    async fn counted(&self, time: Duration) -> (usize, usize, usize) {
        let counters = [&self.world.calls, &self.world.read, &self.world.heard];
        let before = counters.map(|counter| counter.load(SeqCst));
        sleep(time).await;
        let after = counters.map(|counter| counter.load(SeqCst));
        (
            after[0] - before[0],
            after[1] - before[1],
            after[2] - before[2],
        )
    }

    /// Routers that read the store, and those that the others of their domain follow by.
    fn watchers(&self) -> Vec<usize> {
        let follows = |vm: &usize| {
            let upstreams = upstreams(&name(*vm), &self.world.members);
            upstreams.is_followed && !upstreams.is_leaf
        };
        (0..self.world.nodes.len()).filter(follows).collect()
    }
}

fn servers(all: &[(&str, u64, u16)]) -> BTreeMap<String, (u64, u16)> {
    let servers = all.iter();
    servers
        .map(|(name, born, port)| ((*name).to_owned(), (*born, *port)))
        .collect()
}

/// Each router polled the store by itself, so calls and bytes grew with routers times servers.
#[tokio::test(start_paused = true)]
async fn the_store_is_asked_as_often_whatever_the_size_of_the_fleet() {
    let mut counts = Vec::new();
    for count in [100, 300, 1_000] {
        let fleet = Fleet::open(count);
        fleet.put("a", Some("1 1"));
        let time = fleet.settled(&servers(&[("a", 1, 1)]), &[]).await;
        assert!(time < APPLY, "{count} routers know after {time:?}");
        sleep(Duration::from_secs(2)).await;
        let (calls, ..) = fleet.counted(Duration::from_secs(4)).await;
        counts.push(calls);
        assert!(calls <= 120, "{count} routers: {calls} calls in 4 s");
    }
    let (least, most) = (counts.iter().min(), counts.iter().max());
    assert!(
        most.zip(least)
            .is_some_and(|(most, least)| most - least <= 12),
        "{counts:?}"
    );
}

/// Heartbeats that change nothing were read by all routers.
#[tokio::test(start_paused = true)]
async fn heartbeats_are_read_by_those_who_watch_alone() {
    let fleet = Fleet::open(100);
    fleet.put("a", Some("1 1"));
    fleet.settled(&servers(&[("a", 1, 1)]), &[]).await;
    // What began right before is told to routers that begin to follow.
    sleep(Duration::from_secs(8)).await;
    for _ in 0..50 {
        fleet.put("a", Some("1 1"));
    }
    let (_, read, heard) = fleet.counted(Duration::from_secs(2)).await;
    assert_eq!(read, 150, "three routers read the store");
    assert_eq!(heard, 0);
}

#[tokio::test(start_paused = true)]
async fn a_change_is_known_everywhere_in_time() {
    let fleet = Fleet::open(300);
    fleet.put("a", Some("1 1"));
    fleet.put("b", Some("1 2"));
    fleet
        .settled(&servers(&[("a", 1, 1), ("b", 1, 2)]), &[])
        .await;
    fleet.put("a", None);
    fleet.put("b", Some("2 3"));
    let time = fleet.settled(&servers(&[("b", 2, 3)]), &[]).await;
    assert!(time < APPLY / 4, "{time:?}");
}

/// All that the fleet follows by fall silent at the moment of a change.
#[tokio::test(start_paused = true)]
async fn a_change_is_known_in_time_also_where_all_watchers_are_lost() {
    let fleet = Fleet::open(100);
    fleet.put("a", Some("1 1"));
    fleet.settled(&servers(&[("a", 1, 1)]), &[]).await;
    sleep(Duration::from_secs(3)).await;
    let watchers = fleet.watchers();
    assert!(watchers.len() >= 12, "{watchers:?}");
    let silent = watchers.iter().map(|vm| name(*vm));
    fleet.world.silent.lock().expect("a lock").extend(silent);
    fleet.put("a", Some("2 2"));
    let time = fleet.settled(&servers(&[("a", 2, 2)]), &watchers).await;
    assert!(time < APPLY, "{time:?}");
}

/// Those that watch answer still, and know nothing new: they lost the store.
#[tokio::test(start_paused = true)]
async fn a_change_is_known_in_time_also_where_the_watchers_lose_the_store() {
    let fleet = Fleet::open(100);
    fleet.put("a", Some("1 1"));
    fleet.settled(&servers(&[("a", 1, 1)]), &[]).await;
    sleep(Duration::from_secs(3)).await;
    let watchers = fleet.watchers();
    let cut = watchers.iter().map(|vm| name(*vm));
    fleet.world.cut.lock().expect("a lock").extend(cut);
    fleet.put("a", Some("2 2"));
    let time = fleet.settled(&servers(&[("a", 2, 2)]), &watchers).await;
    assert!(time < APPLY, "{time:?}");
}

/// Entries that lapse while the store is away are back with it: nobody may drop a server for a
/// moment because another router saw its entry missing.
#[tokio::test(start_paused = true)]
async fn what_lapsed_while_the_store_was_away_is_dropped_by_nobody_at_once() {
    use swiftlink_gateway::store::StoreFault;
    let fleet = Fleet::open(50);
    fleet.put("a", Some("1 1"));
    fleet.put("b", Some("1 2"));
    let both = servers(&[("a", 1, 1), ("b", 1, 2)]);
    fleet.settled(&both, &[]).await;
    fleet.world.store.set_fault(StoreFault::Away);
    sleep(Duration::from_secs(5)).await;
    fleet.put("a", None);
    fleet.put("b", None);
    fleet.world.store.set_fault(StoreFault::None);
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

/// Whatever routers and ways are lost meanwhile, and also where history is: once all can reach each other
/// all use what the store has, and none ever uses an older start than it did.
#[tokio::test(start_paused = true)]
async fn all_agree_in_the_end_and_nobody_goes_back() {
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
                4 => drop(fleet.world.cut.lock().expect("a lock").insert(vm)),
                5 => drop(fleet.world.silent.lock().expect("a lock").insert(vm)),
                6 => fleet.world.store.compact(Feed::Servers),
                _ => {
                    fleet.world.cut.lock().expect("a lock").clear();
                    fleet.world.silent.lock().expect("a lock").clear();
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
        fleet.world.cut.lock().expect("a lock").clear();
        fleet.world.silent.lock().expect("a lock").clear();
        sleep(APPLY * 3).await;
        for router in 0..ROUTERS {
            assert_eq!(fleet.used(router), expected, "seed {seed}, router {router}");
        }
    }
}
