//! Versions that the store's record of a pool doesn't name yet.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use swiftlink_gateway::fleet::ServerCriteria;
use swiftlink_gateway::store::{MemStore, StoreFault};
use swiftlink_types::{ServerName, VersionName};

use crate::pools;
use crate::recorders::{Network, TestMember};

/// A router that lists a version which is recorded, and can't record others.
async fn start(versions: &[&str]) -> (Arc<Network>, TestMember) {
    let network = Network::new(&Arc::new(MemStore::new()));
    let member = TestMember::start(&network, versions);
    network.until_recorded(versions).await;
    network.store.set_fault(StoreFault::Contended);
    (network, member)
}

/// The versions at which responses begin.
fn begun_at(member: &TestMember, is_resumable: bool) -> Vec<String> {
    let criteria = ServerCriteria {
        is_resumable,
        ..ServerCriteria::default()
    };
    let sent = (0..50).filter_map(|_| member.pool().send(&criteria));
    let versions: HashSet<VersionName> = sent.map(|(server, _)| server.version).collect();
    let mut versions: Vec<String> = versions.iter().map(VersionName::to_string).collect();
    versions.sort_unstable();
    versions
}

/// Guards against streams of a version that nobody remembers once all routers have ended.
#[tokio::test]
async fn a_stream_begins_at_a_version_that_is_recorded() {
    let (network, member) = start(&["v1"]).await;
    member.set_versions(&["v1", "v2"]);
    assert_eq!(begun_at(&member, true), ["v1"]);
    assert_eq!(begun_at(&member, false), ["v1", "v2"]);
    network.store.set_fault(StoreFault::None);
    network.until_recorded(&["v1", "v2"]).await;
    tokio::task::yield_now().await;
    assert_eq!(begun_at(&member, true), ["v1", "v2"]);
}

/// Guards against a version that came back after its removal was recorded.
#[tokio::test]
async fn a_version_that_has_come_back_is_recorded_again() {
    let (_network, member) = start(&["v1", "v2"]).await;
    member.set_versions(&["v1"]);
    member.set_versions(&["v1", "v2"]);
    assert_eq!(begun_at(&member, true), ["v1"]);
}

/// Guards against refusing streams, or waiting, while the store can't be written.
#[tokio::test]
async fn a_stream_begins_at_any_version_if_no_recorded_one_can_take_it() {
    let (network, member) = start(&["v1"]).await;
    member.set_versions(&["v2", "v3"]);
    assert_eq!(begun_at(&member, true), ["v2", "v3"], "v1 has left");
    let template = pools::servers().into_values().next().expect("a server");
    let servers = [("v1", true), ("v2", false)].map(|(name, draining)| {
        let mut entry = template.clone();
        entry.instance.name = ServerName::from(name);
        entry.version = name.into();
        entry.draining = draining;
        (entry.instance.name.clone(), entry)
    });
    member.member.pools.set_servers(HashMap::from(servers));
    assert_eq!(begun_at(&member, true), ["v2"], "v1 drains");
    let unrecorded = Network::new(&network.store);
    let first = TestMember::start(&unrecorded, &["v4", "v5"]);
    assert_eq!(begun_at(&first, true), ["v4", "v5"], "the first start");
}
