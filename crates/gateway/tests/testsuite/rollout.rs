//! Tests of rollouts on one node: the requests that servers of a pool get by their versions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_gateway::Node;
use swiftlink_gateway::catalog::ServerEntry;
use swiftlink_gateway::fleet::{Pool, ServerCriteria};
use swiftlink_rollout::{ExposureLimit, Order, Progress, Stage};
use swiftlink_types::{DomainName, PoolName, ServerInstance, ServerName, VersionName};
use tokio::time::Instant;

use crate::watch::NoDialect;

const SERVERS: usize = 20;
const EXPOSURE: ExposureLimit = ExposureLimit {
    share: 0.2,
    slack: 50.0,
};

fn entry(version: &str, number: usize) -> ServerEntry {
    ServerEntry {
        instance: ServerInstance::from(ServerName::from(format!("{version}-{number}"))),
        pool: PoolName::from("pool"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        domain: DomainName::from("a"),
        version: VersionName::from(version),
        slots: 4,
        draining: false,
        warmup: Duration::ZERO,
    }
}

fn servers(versions: &[&str]) -> HashMap<ServerName, ServerEntry> {
    let all = versions
        .iter()
        .flat_map(|version| (0..SERVERS).map(|number| entry(version, number)));
    all.map(|entry| (entry.instance.name.clone(), entry))
        .collect()
}

fn node() -> Node {
    let mut settings = crate::pools::settings();
    settings.rollouts = Some(EXPOSURE);
    let node = Node::new(settings, Arc::new(NoDialect));
    node.pools
        .set_config(&crate::pools::config(), &node.settings);
    node.pools.set_servers(servers(&["v1"]));
    node
}

fn submit_order(node: &Node) {
    let order = Order {
        pool: PoolName::from("pool"),
        version: VersionName::from("v2"),
        time_limit: Duration::from_secs(10),
        number: 7,
    };
    let orders = HashMap::from([(order.pool.clone(), order)]);
    node.pools.set_orders(orders);
}

fn set_stage(node: &Node, stage: Stage) {
    let progress = Progress {
        order: 7,
        version: VersionName::from("v2"),
        stage,
        started: 0,
    };
    node.pools.set_progress(&PoolName::from("pool"), &progress);
}

/// How many of 2,000 requests go to servers of `v2`, and to how many servers.
fn send_requests(pool: &Arc<Pool>) -> (usize, usize) {
    let route: Arc<str> = Arc::from("route");
    let mut new = HashMap::new();
    for _ in 0..2_000 {
        let criteria = ServerCriteria {
            route: Some(&route),
            may_canary: true,
            ..ServerCriteria::default()
        };
        let (server, ticket) = pool.send(&criteria).expect("a server");
        if server.instance.name.as_str().starts_with("v2") {
            *new.entry(server.instance.name).or_insert(0) += 1;
        }
        ticket.complete();
    }
    (new.values().sum(), new.len())
}

fn pool(node: &Node) -> Arc<Pool> {
    node.pools.get(&PoolName::from("pool")).expect("a pool")
}

/// Guards against servers of a new version getting as many requests as all others as soon as they
/// are listed.
#[tokio::test]
async fn new_version_gets_requests_by_stage() {
    let node = node();
    let pool = pool(&node);
    node.pools.set_servers(servers(&["v1", "v2"]));
    assert_eq!(send_requests(&pool).0, 0, "an order may be on its way");
    submit_order(&node);
    node.pools.confirm_orders(Instant::now());
    assert_eq!(send_requests(&pool).0, 0, "the rollout has not begun");
    set_stage(&node, Stage::Canary);
    let (requests, servers) = send_requests(&pool);
    let expected = 2_000.0 * EXPOSURE.canary_share();
    let off = (requests as f64 - expected).abs();
    assert!(off < expected * 0.3, "{requests} of {expected}");
    let canary_servers = (SERVERS as f64 * EXPOSURE.canary_share()).ceil() as usize;
    assert_eq!(servers, canary_servers, "as busy as the others");
    set_stage(&node, Stage::Shift);
    assert_eq!(send_requests(&pool).0, 2_000);
    set_stage(&node, Stage::Completed);
    assert_eq!(send_requests(&pool).0, 2_000);
}

#[tokio::test]
async fn reverted_version_is_blocked_for_waiting_requests() {
    let node = node();
    let pool = pool(&node);
    submit_order(&node);
    node.pools.set_servers(servers(&["v1", "v2"]));
    set_stage(&node, Stage::Canary);
    set_stage(&node, Stage::Shift);
    let (server, ticket) = pool.send(&ServerCriteria::default()).expect("a server");
    assert!(server.instance.name.as_str().starts_with("v2"));
    assert!(server.eligibility.block_reason().is_none());
    set_stage(&node, Stage::Reverted);
    assert!(server.eligibility.block_reason().is_some());
    drop(ticket);
    assert_eq!(send_requests(&pool).0, 0);
}

#[tokio::test]
async fn version_without_an_order_is_used_once_all_orders_are_known() {
    let node = node();
    let pool = pool(&node);
    let before = Instant::now();
    tokio::time::sleep(Duration::from_millis(5)).await;
    node.pools.set_servers(servers(&["v1", "v2"]));
    node.pools.confirm_orders(before);
    assert_eq!(send_requests(&pool).0, 0);
    node.pools
        .confirm_orders(Instant::now() + Duration::from_millis(1));
    assert!(send_requests(&pool).0 > 0);
}

/// Requests on the old version continue after a shift, and are counted until they end.
#[tokio::test]
async fn requests_on_old_versions_are_counted() {
    let node = node();
    let pool = pool(&node);
    let running = pool.send(&ServerCriteria::default()).expect("a server");
    submit_order(&node);
    node.pools.set_servers(servers(&["v1", "v2"]));
    set_stage(&node, Stage::Canary);
    set_stage(&node, Stage::Shift);
    let version = VersionName::from("v2");
    assert_eq!(pool.running_on_others(&version), 1);
    running.1.complete();
    assert_eq!(pool.running_on_others(&version), 0);
}
