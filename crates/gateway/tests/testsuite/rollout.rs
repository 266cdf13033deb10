//! Roll-outs over a store in memory: what the servers of a pool get, and who may write.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_gateway::Node;
use swiftlink_gateway::catalog::ServerEntry;
use swiftlink_gateway::fleet::{Pool, Wish};
use swiftlink_rollout::{Order, Progress, Stage, Terms};
use swiftlink_types::{DomainName, PoolName, ServerName, Start, VersionName};
use tokio::time::Instant;

use crate::watch::NoDialect;

const SERVERS: usize = 20;
const TERMS: Terms = Terms {
    share: 0.2,
    slack: 50.0,
};

fn entry(version: &str, number: usize) -> ServerEntry {
    ServerEntry {
        start: Start::from(ServerName::from(format!("{version}-{number}"))),
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
    all.map(|entry| (entry.start.name.clone(), entry)).collect()
}

fn node() -> Node {
    let mut settings = crate::pools::settings();
    settings.rollouts = Some(TERMS);
    let node = Node::new(settings, Arc::new(NoDialect));
    node.pools
        .set_config(&crate::pools::config(), &node.settings);
    node.pools.set_servers(servers(&["v1"]));
    node
}

fn order(node: &Node) {
    let order = Order {
        pool: PoolName::from("pool"),
        version: VersionName::from("v2"),
        time: Duration::from_secs(10),
        number: 7,
    };
    let orders = HashMap::from([(order.pool.clone(), order)]);
    node.pools.set_orders(orders);
}

fn go(node: &Node, stage: Stage) {
    let progress = Progress {
        order: 7,
        version: VersionName::from("v2"),
        stage,
        started: 0,
    };
    node.pools.set_progress(&PoolName::from("pool"), &progress);
}

/// How many of 2,000 requests go to servers of `v2`, and to how many servers.
fn sent(pool: &Arc<Pool>) -> (usize, usize) {
    let route: Arc<str> = Arc::from("route");
    let mut new = HashMap::new();
    for _ in 0..2_000 {
        let wish = Wish {
            route: Some(&route),
            may_try: true,
            ..Wish::default()
        };
        let (chosen, ticket) = pool.send(&wish).expect("a server");
        if chosen.start.name.as_str().starts_with("v2") {
            *new.entry(chosen.start.name).or_insert(0) += 1;
        }
        ticket.end();
    }
    (new.values().sum(), new.len())
}

fn pool(node: &Node) -> Arc<Pool> {
    node.pools.get(&PoolName::from("pool")).expect("a pool")
}

/// Servers of a new version got as much as all others from the moment at which they were listed.
#[tokio::test]
async fn a_new_version_gets_what_the_stage_allows() {
    let node = node();
    let pool = pool(&node);
    node.pools.set_servers(servers(&["v1", "v2"]));
    assert_eq!(sent(&pool).0, 0, "an order may be on its way");
    order(&node);
    node.pools.confirm_orders(Instant::now());
    assert_eq!(sent(&pool).0, 0, "nobody has begun it");
    go(&node, Stage::Trial);
    let (requests, servers) = sent(&pool);
    let expected = 2_000.0 * TERMS.trial();
    let off = (requests as f64 - expected).abs();
    assert!(off < expected * 0.3, "{requests} of {expected}");
    let few = (SERVERS as f64 * TERMS.trial()).ceil() as usize;
    assert_eq!(servers, few, "as busy as the others");
    go(&node, Stage::Shift);
    assert_eq!(sent(&pool).0, 2_000);
    go(&node, Stage::Completed);
    assert_eq!(sent(&pool).0, 2_000);
}

#[tokio::test]
async fn a_version_that_is_reverted_is_barred_for_requests_that_wait() {
    let node = node();
    let pool = pool(&node);
    order(&node);
    node.pools.set_servers(servers(&["v1", "v2"]));
    go(&node, Stage::Trial);
    go(&node, Stage::Shift);
    let (chosen, ticket) = pool.send(&Wish::default()).expect("a server");
    assert!(chosen.start.name.as_str().starts_with("v2"));
    assert!(chosen.eligibility.block_reason().is_none());
    go(&node, Stage::Reverted);
    assert!(chosen.eligibility.block_reason().is_some());
    drop(ticket);
    assert_eq!(sent(&pool).0, 0);
}

#[tokio::test]
async fn a_version_without_an_order_is_used_once_all_orders_are_known() {
    let node = node();
    let pool = pool(&node);
    let before = Instant::now();
    tokio::time::sleep(Duration::from_millis(5)).await;
    node.pools.set_servers(servers(&["v1", "v2"]));
    node.pools.confirm_orders(before);
    assert_eq!(sent(&pool).0, 0);
    node.pools
        .confirm_orders(Instant::now() + Duration::from_millis(1));
    assert!(sent(&pool).0 > 0);
}

/// The requests of the old version go on at a shift, and are counted until they end.
#[tokio::test]
async fn what_runs_at_the_versions_before_is_known() {
    let node = node();
    let pool = pool(&node);
    let running = pool.send(&Wish::default()).expect("a server");
    order(&node);
    node.pools.set_servers(servers(&["v1", "v2"]));
    go(&node, Stage::Trial);
    go(&node, Stage::Shift);
    let version = VersionName::from("v2");
    assert_eq!(pool.running_elsewhere(&version), 1);
    running.1.end();
    assert_eq!(pool.running_elsewhere(&version), 0);
}
