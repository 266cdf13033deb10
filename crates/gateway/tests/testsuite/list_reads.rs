//! Reads of the list of servers for streams that no router knows, and what is refused without them.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::Duration;

use async_trait::async_trait;
use futures_util::future::join_all;
use swiftlink_gateway::clock::steady_millis;
use swiftlink_gateway::origins::{OriginError, ServerList, Source};
use tokio::time::{Instant, sleep};

use crate::net::name;
use crate::origins::{key, origin, version};
use crate::recorders::{TestMember, start};
use crate::relay::{Fleet, servers};

/// A list of servers that can be read, or not.
#[derive(Debug, Default)]
pub(crate) struct TestList {
    is_lost: AtomicBool,
}

#[async_trait]
impl ServerList for TestList {
    fn age(&self) -> Option<Duration> {
        Some(Duration::from_secs(self.is_lost().into()))
    }

    fn is_lost(&self) -> bool {
        self.is_lost.load(SeqCst)
    }

    async fn read_since(&self, _moment: Instant) -> bool {
        !self.is_lost()
    }
}

/// Has all of `members` observe the list for longer than a stream lasts.
fn observe_long(members: &[TestMember]) {
    for member in members {
        let since = steady_millis().saturating_sub(120_000);
        member.member.origins.versions().restart(since);
    }
}

fn lose_list(member: &TestMember) {
    member.member.list.is_lost.store(true, SeqCst);
}

/// Guards against refusing what other routers can tell, at a router that has lost the store, and
/// against a conclusion from lists that nobody has read since.
#[tokio::test]
async fn a_router_that_cannot_read_the_list_has_another_one_read_it() {
    let (_network, members) = start(7, &["v1"]);
    observe_long(&members);
    lose_list(&members[0]);
    let found = members[0]
        .find(key("w", 1))
        .await
        .expect("the only version");
    assert_eq!(found.source, Source::OnlyVersion);
    // A version that only the others know.
    members[1].set_versions(&["v1", "v2"]);
    members[1].set_versions(&["v1"]);
    for member in &members[2..] {
        lose_list(member);
    }
    assert!(members[0].find(key("w", 1)).await.is_err());
    lose_list(&members[1]);
    let (_network, members) = start(7, &["v1"]);
    observe_long(&members);
    members.iter().for_each(lose_list);
    let refused = members[0].find(key("w", 1)).await;
    assert!(
        matches!(
            refused,
            Err(OriginError::Unconfirmed {
                is_alone: false,
                ..
            })
        ),
        "{refused:?}"
    );
}

/// Guards against a writer whose list is older than the record: it recorded versions as removed that it
/// didn't know yet.
#[tokio::test]
async fn a_router_that_cannot_read_the_list_records_no_version_as_removed() {
    let (network, members) = start(2, &["v1", "v2"]);
    network.until_recorded(&["v1", "v2"]).await;
    let late = TestMember::start(&network, &[]);
    lose_list(&late);
    for member in &members {
        network.end(&member.member.vm);
    }
    late.set_versions(&["v1"]);
    sleep(Duration::from_secs(4)).await;
    network.until_recorded(&["v1", "v2"]).await;
    late.member.list.is_lost.store(false, SeqCst);
    network.until_recorded(&["v1"]).await;
}

/// Guards against records that count as missing for as long as nobody reads them again.
#[tokio::test]
async fn a_record_that_is_written_after_a_read_is_found() {
    let (network, members) = start(2, &[]);
    members
        .iter()
        .for_each(|member| member.set_versions(&["v1"]));
    for member in &members {
        let _refused_or_not = member.find(key("w", 1)).await;
    }
    network.until_recorded(&["v1"]).await;
    sleep(Duration::from_millis(20)).await;
    for member in &members {
        let found = member.find(key("w", 1)).await.expect("the only version");
        assert_eq!(found.source, Source::OnlyVersion);
    }
}

/// Streams of the only version that are refused while no router can read the list: those whose
/// first router isn't among the ones that are asked.
#[tokio::test]
async fn streams_whose_router_replies_go_on_while_nobody_reads_the_list() {
    const STREAMS: usize = 200;
    for count in [7, 75, 300, 985] {
        let (_network, members) = start(count, &["v1"]);
        observe_long(&members);
        members.iter().for_each(lose_list);
        let mut unknown = 0;
        for number in 0..STREAMS {
            let first = &members[number * 7 % count].member;
            let begun = origin("v1", steady_millis());
            first.origins.record(key("w", number), begun);
            let found = members[(number * 7 + 3) % count]
                .find(key("w", number))
                .await;
            match found {
                Ok(found) => assert_eq!(found.origin.version, version("v1")),
                Err(_) => unknown += 1,
            }
        }
        println!("{count} routers, no list: {unknown} of {STREAMS} streams refused");
        if count == 7 {
            assert_eq!(unknown, 0);
        }
    }
}

/// Guards against reads that grow with the fleet, against leaves that learn no newer state than that
/// of their relays, and against a wait for a store that is away.
#[tokio::test(start_paused = true)]
async fn routers_of_any_fleet_have_the_list_read_up_to_this_moment() {
    for count in [7, 75, 300] {
        let fleet = Fleet::open(count);
        fleet.put("a", Some("1 1"));
        fleet.convergence_time(&servers(&[("a", 1, 1)]), &[]).await;
        sleep(Duration::from_secs(2)).await;
        let nodes = &fleet.network.nodes;
        let read_all = || async {
            let now = Instant::now();
            let reads = nodes.iter().map(|node| node.list.read_since(now));
            let read = join_all(reads).await.into_iter().filter(|is_read| *is_read);
            (read.count(), now.elapsed())
        };
        let before = fleet.network.calls.load(SeqCst);
        fleet.put("b", Some("1 2"));
        let (read, time) = read_all().await;
        let calls = fleet.network.calls.load(SeqCst) - before;
        println!("{count} routers: {read} read within {time:?}, {calls} calls");
        assert_eq!(read, count);
        let pool = "pool".into();
        let lens = nodes
            .iter()
            .map(|node| node.pools.get(&pool).map(|pool| pool.open_len()));
        assert_eq!(lens.filter(|len| *len == Some(2)).count(), count);
        assert!(calls <= 4 * count.min(16), "{count} routers: {calls} calls");
        if count > 75 {
            continue;
        }
        let all = (0..count).map(name);
        fleet.network.cut.lock().expect("a lock").extend(all);
        sleep(Duration::from_secs(4)).await;
        let (read, time) = read_all().await;
        println!("{count} routers without the store: {read} read, known after {time:?}");
        assert_eq!(read, 0);
    }
}
