//! Which software version began a stream, and what routers know of it.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use async_trait::async_trait;
use swiftlink_gateway::clock::steady_millis;
use swiftlink_gateway::fleet::{Pool, Pools};
use swiftlink_gateway::origins::{
    Found, Knowledge, Lookup, MIN_LIFETIME, Origin, OriginError, OriginTable, Origins, Recorders,
    Source, StreamKey, VersionHistory, copy_for, lifetime, receive, reply_to, run,
};
use swiftlink_gateway::peers::record_ranking;
use swiftlink_link::LinkError;
use swiftlink_types::{DomainName, PoolName, ServerInstance, ServerName, VersionName, VmName};
use swiftlink_wire::link::{Noted, reply, request};
use tokio::task::JoinHandle;

use crate::pools;

const HOUR_MS: u64 = 3_600_000;

fn version(name: &str) -> VersionName {
    VersionName::from(name)
}

fn origin(name: &str, now: u64) -> Origin {
    Origin {
        pool: PoolName::from("pool"),
        version: version(name),
        begun: now,
        expires: now + 60_000,
    }
}

fn key(workspace: &str, number: usize) -> StreamKey {
    StreamKey::new(workspace, format!("id-{number}").as_bytes())
}

/// Guards against ids of one workspace that displace, or stand for, the streams of another one.
#[test]
fn a_workspace_neither_displaces_nor_learns_the_streams_of_others() {
    let mut table = OriginTable::default();
    for number in 0..100 {
        table.insert(key("small", number), origin("v1", 0), 0);
    }
    for number in 0..200_000 {
        table.insert(key("large", number), origin("v2", 1), 1);
    }
    assert!(table.len() <= 65_536, "{}", table.len());
    for number in 0..100 {
        let known = table.get(&key("small", number), 2);
        assert_eq!(known, Knowledge::Known(origin("v1", 0)));
    }
    assert_eq!(table.get(&key("large", 0), 2), Knowledge::Unknown);
    let newest = table.get(&key("large", 199_999), 2);
    assert_eq!(newest, Knowledge::Known(origin("v2", 1)));
    assert_eq!(table.get(&key("other", 0), 2), Knowledge::Unknown);
}

/// Guards against many workspaces that together fill the memory.
#[test]
fn the_number_of_streams_is_bounded_over_all_workspaces() {
    let mut table = OriginTable::default();
    for workspace in 0..100 {
        for number in 0..1_000 {
            let name = format!("w{workspace}");
            table.insert(
                key(&name, number),
                origin("v1", number as u64),
                number as u64,
            );
        }
    }
    assert!(table.len() <= 65_536, "{}", table.len());
    let newest = table.get(&key("w99", 999), 1_000);
    assert!(matches!(newest, Knowledge::Known(_)));
}

#[test]
fn an_origin_is_forgotten_when_its_caller_cannot_resume_it_any_more() {
    let mut table = OriginTable::default();
    table.insert(key("w", 1), origin("v1", 0), 0);
    assert!(matches!(
        table.get(&key("w", 1), 59_999),
        Knowledge::Known(_)
    ));
    assert_eq!(table.get(&key("w", 1), 60_000), Knowledge::Unknown);
    table.insert(key("w", 2), origin("v1", 100_000), 100_000);
    assert_eq!(table.len(), 1);
    assert_eq!(lifetime(Duration::from_secs(1), None), MIN_LIFETIME);
    let long = Duration::from_secs(90);
    assert_eq!(lifetime(Duration::from_secs(1), Some(long)), long);
}

/// Guards against a repeated id by which a stream goes on at the version of another one.
#[test]
fn streams_of_two_versions_with_one_id_are_ambiguous() {
    let mut table = OriginTable::default();
    table.insert(key("w", 1), origin("v1", 0), 0);
    table.insert(key("w", 1), origin("v1", 5), 5);
    assert!(matches!(table.get(&key("w", 1), 6), Knowledge::Known(_)));
    table.insert(key("w", 1), origin("v2", 7), 7);
    assert_eq!(table.get(&key("w", 1), 8), Knowledge::Ambiguous);
    assert_eq!(table.all(8).count(), 0);
}

#[test]
fn a_version_counts_until_its_streams_cannot_be_resumed() {
    let mut history = VersionHistory::default();
    let (one, two) = (version("v1"), version("v2"));
    assert!(!history.set([], 0));
    assert_eq!(history.known_for(500), Duration::ZERO);
    assert!(history.set([one.clone(), one.clone()], 1_000));
    assert!(!history.set([one.clone()], 2_000));
    assert!(history.set([two.clone(), one.clone()], 3_000));
    assert!(!history.set([two.clone()], 4_000));
    let within = |time| history.within(Duration::from_millis(time), 10_000);
    assert_eq!(within(6_000), [two.clone(), one]);
    assert_eq!(within(5_999), [two]);
    assert_eq!(history.known_for(10_000), Duration::from_secs(9));
}

/// A router, without sockets.
#[derive(Debug)]
struct Member {
    vm: VmName,
    origins: Arc<Origins>,
    pools: Arc<Pools>,
}

/// Routers that reach each other, but for those that have ended.
#[derive(Debug, Default)]
struct Network {
    members: Mutex<Vec<Arc<Member>>>,
    ended: Mutex<HashSet<VmName>>,
    calls: Mutex<HashMap<VmName, usize>>,
}

impl Network {
    fn all(&self) -> Vec<(VmName, DomainName)> {
        let members = self.members.lock().expect("a lock");
        let all = members.iter().enumerate();
        all.map(|(number, member)| (member.vm.clone(), domain(number)))
            .collect()
    }

    fn end(&self, vm: &VmName) {
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

fn domain(number: usize) -> DomainName {
    DomainName::from(format!("d{}", number % 4))
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

    fn is_alone(&self) -> bool {
        self.network().all().len() == 1
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
        *network
            .calls
            .lock()
            .expect("a lock")
            .entry(vm.clone())
            .or_default() += 1;
        let members = network.members.lock().expect("a lock").clone();
        let member = members.iter().find(|member| member.vm == *vm);
        let Member { origins, pools, .. } = &**member.ok_or(LinkError::Down)?;
        Ok(match kind {
            request::Kind::StreamOrigins(message) => {
                receive(origins, &message);
                reply::Kind::Noted(Noted::default())
            }
            request::Kind::FindOrigin(ask) => {
                reply::Kind::OriginReply(reply_to(origins, pools, &ask))
            }
            request::Kind::CopyOrigins(_) => reply::Kind::StreamOrigins(copy_for(origins, pools)),
            other => panic!("{other:?}"),
        })
    }
}

/// A running router of the network.
struct TestMember {
    member: Arc<Member>,
    lookup: Lookup,
    task: JoinHandle<()>,
}

impl TestMember {
    fn start(network: &Arc<Network>, versions: &[&str]) -> Self {
        let number = network.members.lock().expect("a lock").len();
        let member = Arc::new(Member {
            vm: VmName::from(format!("vm-{number}")),
            origins: Arc::default(),
            pools: Arc::new(Pools::new()),
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
        });
        network.members.lock().expect("a lock")[number] = Arc::clone(&member);
        let recorders: Arc<dyn Recorders> = Arc::new(Others {
            own: member.vm.clone(),
            network: Arc::downgrade(network),
        });
        let task = tokio::spawn(run(
            Arc::clone(&origins),
            Arc::clone(&member.pools),
            Arc::clone(&recorders),
        ));
        let started = Self {
            member,
            lookup: Lookup { origins, recorders },
            task,
        };
        started.set_versions(versions);
        started
    }

    /// Lists a server of each version.
    fn set_versions(&self, versions: &[&str]) {
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

    fn pool(&self) -> Arc<Pool> {
        self.member
            .pools
            .get(&PoolName::from("pool"))
            .expect("a pool")
    }

    async fn find(&self, key: StreamKey) -> Result<Found, OriginError> {
        self.lookup
            .find(Some(key), &self.pool(), MIN_LIFETIME)
            .await
    }
}

impl Drop for TestMember {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn start(count: usize, versions: &[&str]) -> (Arc<Network>, Vec<TestMember>) {
    let network = Arc::<Network>::default();
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
    let (_network, members) = start(7, &["v1"]);
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

/// Guards against a router that is cut off from all others and knows too little by itself.
#[tokio::test]
async fn a_router_that_has_started_and_reaches_no_other_refuses() {
    let (network, members) = start(7, &["v1"]);
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

/// What a fleet of `count` routers knows of `streams` streams after a part of it is lost.
fn unknown_share(count: usize, lost: f64, streams: usize) -> (f64, f64) {
    let members: Vec<(VmName, DomainName)> = (0..count)
        .map(|number| (VmName::from(format!("vm-{number}")), domain(number)))
        .collect();
    let hash = |number: usize, salt: u64| {
        let bytes = (number as u64).to_le_bytes();
        xxhash_rust::xxh3::xxh3_64_with_seed(&bytes, salt)
    };
    let mut ranked: Vec<usize> = (0..count).collect();
    ranked.sort_by_key(|number| hash(*number, 99));
    let ended = (count as f64 * lost).round() as usize;
    let ended: HashSet<&VmName> = ranked[..ended]
        .iter()
        .map(|number| &members[*number].0)
        .collect();
    let mut unknown = 0;
    let mut received: HashMap<VmName, usize> = HashMap::new();
    for number in 0..streams {
        let key = key("w", number);
        let ranking = record_ranking(members.clone(), &key);
        let first = &members[hash(number, 1) as usize % count].0;
        let recorders = ranking.iter().filter(|vm| *vm != first).take(3);
        let mut holders: Vec<&VmName> = recorders.collect();
        for vm in &holders {
            *received.entry((*vm).clone()).or_default() += 1;
        }
        holders.push(first);
        holders.retain(|vm| !ended.contains(*vm));
        let alive: Vec<&VmName> = members
            .iter()
            .map(|(vm, _)| vm)
            .filter(|vm| !ended.contains(*vm))
            .collect();
        let Some(asker) = alive.get(hash(number, 2) as usize % alive.len().max(1)) else {
            unknown += 1;
            continue;
        };
        let asked = ranking.iter().filter(|vm| vm != asker).take(4);
        let known = asked.chain([*asker]).any(|vm| holders.contains(&vm));
        unknown += usize::from(!known);
    }
    let busiest = received.values().copied().max().unwrap_or(0);
    (
        unknown as f64 / streams as f64,
        busiest as f64 / streams as f64,
    )
}

/// Guards against a number of copies that a lost rack takes with it, at any size of the fleet.
#[test]
fn few_streams_are_unknown_after_a_tenth_of_any_fleet_is_lost() {
    const STREAMS: usize = 1_000;
    for count in [7, 75, 300, 985] {
        let shares = [0.01, 0.1, 1.0].map(|lost| unknown_share(count, lost, STREAMS).0);
        let busiest = unknown_share(count, 0.0, STREAMS).1;
        println!("{count} routers: unknown {shares:?}, busiest recorder {busiest:.3} of streams");
        assert_eq!(shares[0], 0.0, "{count} routers, one in a hundred lost");
        assert!(
            shares[1] <= 0.01,
            "{count} routers, a tenth lost: {shares:?}"
        );
        assert_eq!(shares[2], 1.0);
    }
}

/// Guards against a version history that grows for as long as the router runs.
#[test]
fn versions_that_left_long_ago_are_forgotten() {
    let mut history = VersionHistory::default();
    for number in 0..100 {
        let now = number * HOUR_MS;
        history.set([version(&format!("v{number}"))], now);
        history.prune(MIN_LIFETIME, now);
    }
    let all = history.within(Duration::from_secs(1_000_000), 100 * HOUR_MS);
    assert!(all.len() <= 2, "{all:?}");
}
