//! Tests of entries that another writer wrote under the names of servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use swiftlink_gateway::Node;
use swiftlink_gateway::catalog::ServerEntry;
use swiftlink_gateway::clock::Reading;
use swiftlink_gateway::origins::{MIN_LIFETIME, VersionHistory, VersionRecord};
use swiftlink_gateway::store::{Feed, MemStore};
use swiftlink_gateway::watch::{Directory, EntryChange};
use swiftlink_types::{ServerInstance, ServerName, VersionName, WallMs, wall_ms};
use tokio::time::sleep;

use crate::relay::{Fleet, servers};
use crate::starts::{Entries, used};
use crate::watch::{NoDialect, follow_alone};

/// Time within which a router has read what was written.
const READ_TIME: Duration = Duration::from_secs(2);

fn entry(started: WallMs, port: u16) -> ServerEntry {
    let mut entry = crate::pools::servers().remove("s").expect("a server");
    entry.instance = ServerInstance::new(ServerName::from("s"), started);
    entry.address = SocketAddr::from(([127, 0, 0, 1], port));
    entry
}

/// Guards against a server that isn't used again until the routers restart: its own entries counted
/// as outdated after one with a start time far ahead, also when that one had been removed.
#[tokio::test(start_paused = true)]
async fn a_start_time_far_ahead_does_not_outdate_the_servers_own_entries() {
    let store = Arc::new(MemStore::new());
    let node = Arc::new(Node::new(crate::pools::settings(), Arc::new(NoDialect)));
    node.pools
        .set_config(&crate::pools::config(), &node.settings);
    let _tasks = follow_alone(&node, &store, Entries);
    let started = wall_ms() - 60_000;
    let own = format!("{started} 1");
    for is_removed in [false, true] {
        for value in [&own, &format!("{} 2", u64::MAX)] {
            store.put(Feed::Servers, "s", Some(Bytes::from(value.clone())));
            sleep(READ_TIME).await;
        }
        if is_removed {
            store.put(Feed::Servers, "s", None);
            sleep(READ_TIME).await;
        }
        store.put(Feed::Servers, "s", Some(Bytes::from(own.clone())));
        sleep(READ_TIME).await;
        let pool = node.pools.get(&"pool".into()).expect("a pool");
        assert_eq!(used(&pool)["s"], (started, 1), "removed: {is_removed}");
    }
}

/// Guards against a server that isn't used for good: its clock was ahead when an earlier instance
/// started, or another writer wrote a start time that is possible.
#[tokio::test(start_paused = true)]
async fn a_later_start_that_is_not_confirmed_outdates_others_for_a_limited_time() {
    let mut directory = Directory::default();
    let now = wall_ms();
    directory.put(entry(now, 1));
    assert_eq!(directory.put(entry(now - 1, 2)), EntryChange::Outdated);
    sleep(Duration::from_secs(110)).await;
    assert_eq!(directory.put(entry(now - 1, 2)), EntryChange::Outdated);
    assert_eq!(directory.put(entry(now, 1)), EntryChange::Unchanged);
    sleep(Duration::from_secs(110)).await;
    assert_eq!(directory.put(entry(now - 1, 2)), EntryChange::Outdated);
    sleep(Duration::from_secs(11)).await;
    assert_eq!(directory.put(entry(now - 1, 2)), EntryChange::Changed);
}

/// Guards against a router that lists no server as its clock is behind.
#[tokio::test(start_paused = true)]
async fn start_times_ahead_of_the_routers_clock_are_used_if_nothing_contradicts_them() {
    let mut directory = Directory::default();
    let ahead = wall_ms() + 3_600_000;
    assert_eq!(directory.put(entry(ahead, 1)), EntryChange::Changed);
    assert_eq!(directory.put(entry(ahead, 1)), EntryChange::Unchanged);
    directory.put(entry(ahead + 1, 1));
    let used = &directory.entries()[&ServerName::from("s")];
    assert_eq!(used.instance.started, ahead + 1);
}

/// Guards against an entry without a start time, or with one far ahead, that is used instead of the
/// server's own: a router behind relays doesn't see the entries that confirm a start time.
#[tokio::test(start_paused = true)]
async fn a_listed_server_is_not_replaced_by_an_entry_without_a_possible_start_time() {
    for started in [0, u64::MAX] {
        let mut directory = Directory::default();
        directory.put(entry(wall_ms(), 1));
        sleep(Duration::from_secs(3_600)).await;
        assert_eq!(directory.put(entry(started, 2)), EntryChange::Foreign);
    }
}

/// Guards against relays that pass on what they don't use themselves, and against followers that
/// judge differently, since they see fewer entries.
#[tokio::test(start_paused = true)]
async fn routers_behind_relays_use_the_server_that_the_roots_use() {
    let fleet = Fleet::open(60);
    let limit = Duration::from_secs(2);
    let odd = [
        ("18446744073709551615 2", servers(&[])),
        ("0 2", servers(&[])),
        ("9 2", servers(&[("s", 9, 2)])),
        ("5 1", servers(&[("s", 9, 2)])),
    ];
    let own = servers(&[("s", 5, 1)]);
    fleet.put("s", Some("5 1"));
    fleet.convergence_time(&own, &[]).await;
    for (value, used) in odd {
        fleet.put("s", Some(value));
        sleep(READ_TIME).await;
        let time = fleet.convergence_time(&used, &[]).await;
        assert!(time < limit, "{value}: {time:?}");
        if used.is_empty() {
            fleet.put("s", Some("5 1"));
            let time = fleet.convergence_time(&own, &[]).await;
            assert!(time < limit, "after {value}: {time:?}");
        }
    }
    for _ in 0..130 {
        fleet.put("s", Some("5 1"));
        sleep(Duration::from_secs(1)).await;
    }
    let time = fleet.convergence_time(&own, &[]).await;
    assert!(time < limit, "after two minutes: {time:?}");
}

/// Guards against a record of versions with a time far ahead: it ended the task that writes the
/// records, and the version counted as removed a moment ago for good.
#[test]
fn a_version_that_was_removed_in_the_far_future_counts_as_removed_now() {
    let at = |secs: u64, wall: WallMs| Reading {
        boot: Arc::from(""),
        steady: secs * 1_000,
        wall,
    };
    let mut history = VersionHistory::default();
    history.set([VersionName::from("v1")], 0);
    history.set([VersionName::from("v2")], 10_000);
    let mut record = VersionRecord::default();
    record.update(&history, &at(20, WallMs::MAX));
    record.update(&history, &at(30, 1_000_000_000));
    let later = 1_000_000_000 + 200_000;
    assert_eq!(record.within(MIN_LIFETIME, later), ["v2".into()]);
}
