//! Route matching.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_gateway::model::{Replay, Route, RouteKind, RouteTable, Target};
use swiftlink_types::PoolName;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: Arc::from(name),
        host: Arc::from(host),
        prefix: Arc::from(prefix),
        kind: RouteKind::Idempotent,
        targets: vec![Target {
            pool: PoolName::from("pool"),
            weight: 1,
        }],
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        max_gap: None,
        priority: 0,
        max_attempts: 2,
        allowed_regions: Vec::new(),
        public: false,
        resumable: false,
    }
}

fn find(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|route| route.name.to_string())
}

#[test]
fn the_longest_prefix_wins() {
    let table = RouteTable::new(vec![
        route("all", "a.example", "/"),
        route("deep", "a.example", "/x/y/"),
        route("flat", "a.example", "/x/"),
    ]);
    assert_eq!(find(&table, "a.example", "/x/y/z"), Some("deep".to_owned()));
    assert_eq!(find(&table, "a.example", "/x/z"), Some("flat".to_owned()));
    assert_eq!(find(&table, "a.example", "/xx"), Some("all".to_owned()));
}

#[test]
fn a_prefix_matches_whole_segments_only() {
    let table = RouteTable::new(vec![route("flat", "a.example", "/x/")]);
    assert_eq!(find(&table, "a.example", "/x"), None);
    assert_eq!(find(&table, "a.example", "/xy/"), None);
}

#[test]
fn routes_of_another_host_do_not_match() {
    let table = RouteTable::new(vec![route("flat", "a.example", "/")]);
    assert_eq!(find(&table, "b.example", "/"), None);
}

#[test]
fn a_split_route_follows_its_weights() {
    let mut split = route("split", "a.example", "/");
    split.targets = vec![
        Target {
            pool: PoolName::from("one"),
            weight: 90,
        },
        Target {
            pool: PoolName::from("two"),
            weight: 10,
        },
    ];
    let pool = |draw| split.target(draw).map(|target| target.pool.to_string());
    assert_eq!(pool(0.0), Some("one".to_owned()));
    assert_eq!(pool(0.89), Some("one".to_owned()));
    assert_eq!(pool(0.91), Some("two".to_owned()));
    assert_eq!(pool(0.999), Some("two".to_owned()));
}

#[test]
fn a_split_route_with_zero_weights_has_a_target() {
    let mut split = route("split", "a.example", "/");
    split.targets[0].weight = 0;
    assert!(split.target(0.5).is_some());
}

#[test]
fn only_resumable_streams_are_resumed() {
    let mut stream = route("stream", "a.example", "/");
    stream.kind = RouteKind::Streaming;
    assert_eq!(stream.replay(), Replay::Never);
    stream.resumable = true;
    assert_eq!(stream.replay(), Replay::Resume);
    stream.kind = RouteKind::NonIdempotent;
    assert_eq!(stream.replay(), Replay::Never);
}
