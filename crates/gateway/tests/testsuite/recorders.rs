//! Routers that record the origins of streams for each other, without sockets.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use async_trait::async_trait;
use prost::Message;
use swiftlink_gateway::clock::{SystemClock, steady_millis};
use swiftlink_gateway::fleet::{Pool, Pools};
use swiftlink_gateway::origins::{
    Found, Knowledge, Lookup, MIN_LIFETIME, OriginError, Origins, Recorders, Source, StreamKey,
    VersionRecords, answer, copy_for, receive, reply_to, run, run_records,
};
use swiftlink_gateway::peers::{record_ranking, writers_before};
use swiftlink_gateway::store::{Feed, MemStore, Store, StoreFault};
use swiftlink_link::LinkError;
use swiftlink_types::{DomainName, PoolName, ServerInstance, ServerName, VmName};
use swiftlink_wire::link::{FindOrigin, Noted, reply, request};
use swiftlink_wire::rights::PoolVersions;
use tokio::task::JoinHandle;

use crate::list_reads::TestList;
use crate::origins::{domain, key, origin, version};
use crate::pools;

/// A router, without sockets.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) vm: VmName,
    pub(crate) origins: Arc<Origins>,
    pub(crate) pools: Arc<Pools>,
    pub(crate) list: Arc<TestList>,
}

/// Routers that reach each other, but for those that have ended, and their store.
#[derive(Debug)]
pub(crate) struct Network {
    members: Mutex<Vec<Arc<Member>>>,
    ended: Mutex<HashSet<VmName>>,
    calls: Mutex<HashMap<VmName, usize>>,
    /// Number of questions for what the record of a pool says.
    pub(crate) questions: AtomicUsize,
    pub(crate) store: Arc<MemStore>,
}

impl Network {
    pub(crate) fn new(store: &Arc<MemStore>) -> Arc<Self> {
        Arc::new(Self {
            members: Mutex::default(),
            ended: Mutex::default(),
            calls: Mutex::default(),
            questions: AtomicUsize::new(0),
            store: Arc::clone(store),
        })
    }

    /// Waits until the versions of the pool are recorded as listed, and no others.
    pub(crate) async fn until_recorded(&self, versions: &[&str]) {
        for _ in 0..500 {
            let value = self.store.get(Feed::Versions, "pool");
            let record = value.map(|value| PoolVersions::decode(value).expect("a record"));
            let all = record.unwrap_or_default().versions;
            let listed = all.iter().filter(|version| version.removed_ms == 0);
            let mut listed: Vec<&str> = listed.map(|version| version.version.as_str()).collect();
            listed.sort_unstable();
            if listed == versions {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the versions weren't recorded");
    }

    fn all(&self) -> Vec<(VmName, DomainName)> {
        let members = self.members.lock().expect("a lock");
        let all = members.iter().enumerate();
        all.map(|(number, member)| (member.vm.clone(), domain(number)))
            .collect()
    }

    pub(crate) fn end(&self, vm: &VmName) {
        self.ended.lock().expect("a lock").insert(vm.clone());
    }

    fn calls(&self, vm: &VmName) -> usize {
        self.calls
            .lock()
            .expect("a lock")
            .get(vm)
            .copied()
            .unwrap_or(0)
    }
}

/// The network as one router sees it.
#[derive(Debug)]
struct Others {
    own: VmName,
    network: Weak<Network>,
}

impl Others {
    fn network(&self) -> Arc<Network> {
        self.network.upgrade().expect("a network")
    }
}

#[async_trait]
impl Recorders for Others {
    fn recorders(&self, key: &StreamKey) -> Vec<VmName> {
        let mut ranking = record_ranking(self.network().all(), key);
        ranking.retain(|vm| *vm != self.own);
        ranking
    }

    fn writers_before(&self, pool: &PoolName) -> Option<Vec<VmName>> {
        Some(writers_before(self.network().all(), &self.own, pool))
    }

    fn is_recorder(&self) -> bool {
        true
    }

    async fn call(
        &self,
        vm: &VmName,
        kind: request::Kind,
        _time: Duration,
    ) -> Result<reply::Kind, LinkError> {
        let network = self.network();
        if network.ended.lock().expect("a lock").contains(vm) {
            return Err(LinkError::Down);
        }
        if matches!(&kind, request::Kind::FindOrigin(ask) if ask.key.is_none() && ask.lifetime_ms == 0)
        {
            network.questions.fetch_add(1, SeqCst);
        } else {
            let mut calls = network.calls.lock().expect("a lock");
            *calls.entry(vm.clone()).or_default() += 1;
        }
        let members = network.members.lock().expect("a lock").clone();
        let member = members.iter().find(|member| member.vm == *vm);
        let Member {
            origins,
            pools,
            list,
            ..
        } = &**member.ok_or(LinkError::Down)?;
        Ok(match kind {
            request::Kind::StreamOrigins(message) => {
                receive(origins, &message);
                reply::Kind::Noted(Noted::default())
            }
            request::Kind::FindOrigin(ask) => {
                reply::Kind::OriginReply(answer(origins, &**list, &ask).await)
            }
            request::Kind::CopyOrigins(_) => reply::Kind::StreamOrigins(copy_for(origins, pools)),
            other => panic!("{other:?}"),
        })
    }
}

/// A running router of the network.
pub(crate) struct TestMember {
    pub(crate) member: Arc<Member>,
    pub(crate) lookup: Lookup,
    tasks: [JoinHandle<()>; 2],
}

impl TestMember {
    pub(crate) fn start(network: &Arc<Network>, versions: &[&str]) -> Self {
        let store = Arc::clone(&network.store);
        Self::start_with(network, versions, store)
    }

    /// Starts a router that reaches the store through `store`.
    pub(crate) fn start_with(
        network: &Arc<Network>,
        versions: &[&str],
        store: Arc<dyn Store>,
    ) -> Self {
        let number = network.members.lock().expect("a lock").len();
        let member = Arc::new(Member {
            vm: VmName::from(format!("vm-{number}")),
            origins: Arc::default(),
            pools: Arc::new(Pools::new()),
            list: Arc::default(),
        });
        network
            .members
            .lock()
            .expect("a lock")
            .push(Arc::clone(&member));
        member
            .pools
            .set_config(&pools::config(), &pools::settings());
        // The pools' own origins are those of the router.
        let origins = Arc::clone(member.pools.origins());
        let member = Arc::new(Member {
            vm: member.vm.clone(),
            origins: Arc::clone(&origins),
            pools: Arc::clone(&member.pools),
            list: Arc::clone(&member.list),
        });
        network.members.lock().expect("a lock")[number] = Arc::clone(&member);
        let recorders: Arc<dyn Recorders> = Arc::new(Others {
            own: member.vm.clone(),
            network: Arc::downgrade(network),
        });
        let sending = tokio::spawn(run(
            Arc::clone(&origins),
            Arc::clone(&member.pools),
            Arc::clone(&recorders),
        ));
        let records = Arc::new(VersionRecords::new(Arc::new(SystemClock::open())));
        let recording = tokio::spawn(run_records(
            Arc::clone(&records),
            Arc::clone(&origins),
            Arc::clone(&recorders),
            store,
            Arc::clone(&member.list) as _,
        ));
        let lookup = Lookup {
            origins,
            recorders,
            records,
            list: Arc::clone(&member.list) as _,
        };
        let started = Self {
            member,
            lookup,
            tasks: [sending, recording],
        };
        started.set_versions(versions);
        started
    }

    /// Lists a server of each version.
    pub(crate) fn set_versions(&self, versions: &[&str]) {
        let template = pools::servers().into_values().next().expect("a server");
        let servers = versions.iter().map(|name| {
            let mut entry = template.clone();
            let server = ServerName::from(format!("s-{name}"));
            entry.instance = ServerInstance::new(server.clone(), 1);
            entry.version = version(name);
            (server, entry)
        });
        self.member.pools.set_servers(servers.collect());
    }

    pub(crate) fn pool(&self) -> Arc<Pool> {
        self.member
            .pools
            .get(&PoolName::from("pool"))
            .expect("a pool")
    }

    pub(crate) async fn find(&self, key: StreamKey) -> Result<Found, OriginError> {
        self.lookup
            .find(Some(key), &self.pool(), MIN_LIFETIME)
            .await
    }
}

impl Drop for TestMember {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

pub(crate) fn start(count: usize, versions: &[&str]) -> (Arc<Network>, Vec<TestMember>) {
    let network = Network::new(&Arc::new(MemStore::new()));
    let members = (0..count).map(|_| TestMember::start(&network, versions));
    let members = members.collect();
    (network, members)
}

/// Guards against streams that only the router which began them knows: it may have ended.
#[tokio::test]
async fn any_router_knows_the_origin_of_a_stream_also_if_the_first_one_has_ended() {
    let (network, members) = start(12, &["v1", "v2"]);
    let now = steady_millis();
    for number in 0..100 {
        let name = ["v1", "v2"][number % 2];
        let origins = &members[number % 3].member.origins;
        origins
            .record_now(key("w", number), origin(name, now))
            .await;
    }
    for member in &members[..3] {
        network.end(&member.member.vm);
    }
    let mut sources = HashSet::new();
    for number in 0..100 {
        let found = members[5].find(key("w", number)).await.expect("an origin");
        assert_eq!(found.origin.version, version(["v1", "v2"][number % 2]));
        sources.insert(found.source);
    }
    assert!(sources.len() > 2, "{sources:?}");
    let again = members[5].find(key("w", 7)).await.expect("an origin");
    assert_eq!(again.source, Source::Own);
}

/// Guards against recorders that are down and leave a stream with fewer copies.
#[tokio::test]
async fn the_next_routers_record_a_stream_in_place_of_those_that_are_down() {
    let (network, members) = start(12, &["v1", "v2"]);
    let recorders = members[0].lookup.recorders.recorders(&key("w", 1));
    for vm in &recorders[..2] {
        network.end(vm);
    }
    let now = steady_millis();
    members[0]
        .member
        .origins
        .record_now(key("w", 1), origin("v1", now))
        .await;
    // The first recorder has it; those in place of the others follow.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let known = members[1..]
        .iter()
        .filter(|member| matches!(member.member.origins.get(&key("w", 1)), Knowledge::Known(_)));
    assert_eq!(known.count(), 3);
}

/// Guards against messages with each stream of a pool that has one version, and against streams that
/// nobody knows when a second version starts beside them.
#[tokio::test]
async fn origins_are_sent_once_a_pool_has_a_second_version() {
    let (network, members) = start(12, &["v1"]);
    let now = steady_millis();
    for number in 0..50 {
        members[0]
            .member
            .origins
            .record(key("w", number), origin("v1", now));
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let calls = |from: usize| -> usize {
        members[from..]
            .iter()
            .map(|member| network.calls(&member.member.vm))
            .sum()
    };
    assert_eq!(calls(0), 0);
    for member in &members {
        member.set_versions(&["v1", "v2"]);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!((1..=11).contains(&calls(0)), "{} messages", calls(0));
    network.end(&members[0].member.vm);
    for number in 0..50 {
        let found = members[7].find(key("w", number)).await.expect("an origin");
        assert_eq!(found.origin.version, version("v1"));
    }
}

/// Guards against taking an unknown stream for one that any version may go on with.
#[tokio::test]
async fn an_unknown_stream_goes_on_only_if_one_version_can_have_begun_it() {
    let (_network, members) = start(7, &["v1", "v2"]);
    let unknown = members[2].find(key("w", 1)).await;
    assert_eq!(
        unknown,
        Err(OriginError::Unknown {
            versions: vec![version("v1"), version("v2")]
        })
    );
    // A version that has left may have begun it, too.
    for member in &members {
        member.set_versions(&["v2"]);
    }
    assert!(members[2].find(key("w", 1)).await.is_err());
    let (network, members) = start(7, &["v1"]);
    network.until_recorded(&["v1"]).await;
    let found = members[2]
        .find(key("w", 1))
        .await
        .expect("the only version");
    assert_eq!(found.source, Source::OnlyVersion);
    assert_eq!(found.origin.version, version("v1"));
    let unnamed = members[2]
        .lookup
        .find(None, &members[2].pool(), MIN_LIFETIME)
        .await;
    assert!(unnamed.is_ok());
}

/// Guards against a router that has started and knows of one version, where others know that there
/// was another one.
#[tokio::test]
async fn a_router_that_has_started_asks_which_versions_there_were() {
    let (network, members) = start(7, &["v1", "v2"]);
    for member in &members {
        member.set_versions(&["v2"]);
    }
    let started = TestMember::start(&network, &["v2"]);
    assert!(started.find(key("w", 1)).await.is_err());
}

/// Guards against a router that is cut off from all others and from the store, and knows too little
/// by itself.
#[tokio::test]
async fn a_router_that_has_started_and_reaches_nobody_refuses() {
    let (network, members) = start(7, &["v1"]);
    network.until_recorded(&["v1"]).await;
    network.store.set_fault(StoreFault::Silent);
    for member in &members[1..] {
        network.end(&member.member.vm);
    }
    assert!(members[0].find(key("w", 1)).await.is_err());
}

/// Guards against a repeated id that makes a stream go on at another version, at any router.
#[tokio::test]
async fn a_stream_with_an_id_of_two_versions_is_refused_everywhere() {
    let (_network, members) = start(12, &["v1", "v2"]);
    let now = steady_millis();
    members[0]
        .member
        .origins
        .record_now(key("w", 1), origin("v1", now))
        .await;
    members[1]
        .member
        .origins
        .record_now(key("w", 1), origin("v2", now))
        .await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(
        members[5].find(key("w", 1)).await,
        Err(OriginError::Ambiguous)
    );
}

/// Guards against recorders that start again, one after the other, and know nothing.
#[tokio::test]
async fn a_router_that_starts_copies_the_origins_of_others() {
    let (network, members) = start(7, &["v1", "v2"]);
    let now = steady_millis();
    for number in 0..100 {
        members[0]
            .member
            .origins
            .record_now(key("w", number), origin("v1", now))
            .await;
    }
    let started = TestMember::start(&network, &["v1", "v2"]);
    for _ in 0..100 {
        if started.member.origins.len() >= 50 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for member in &members {
        network.end(&member.member.vm);
    }
    let known = (0..100).filter(|number| {
        matches!(
            started.member.origins.get(&key("w", *number)),
            Knowledge::Known(_)
        )
    });
    assert!(known.count() >= 50);
}

/// Guards against replies that leave out versions of which a stream may be resumed: those with a long
/// deadline may be for ten minutes.
#[test]
fn a_reply_names_the_versions_of_the_whole_time_that_is_asked_for() {
    let origins = Origins::default();
    let pool = PoolName::from("pool");
    for (name, at) in [("v1", 0), ("v2", 100_000), ("v3", 200_000)] {
        origins.versions().set(&pool, [version(name)], at);
    }
    let versions = |lifetime_ms: u64| {
        let ask = FindOrigin {
            key: None,
            pool: pool.to_string(),
            lifetime_ms,
            is_confirming: false,
        };
        let mut versions = reply_to(&origins, &ask, None, 300_000).versions;
        versions.sort_unstable();
        versions
    };
    assert_eq!(versions(250_000), ["v1", "v2", "v3"]);
    assert_eq!(versions(150_000), ["v2", "v3"]);
    // Routers of an older build name no time.
    assert_eq!(versions(0), ["v3"]);
}
