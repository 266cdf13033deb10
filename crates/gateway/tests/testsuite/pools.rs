//! Tests of pools and their servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Barrier};
use std::time::Duration;

use swiftlink_gateway::catalog::ServerEntry;
use swiftlink_gateway::fleet::Pools;
use swiftlink_gateway::fleet::brittle::rejection_pause;
use swiftlink_gateway::model::{Config, PoolSpec};
use swiftlink_gateway::{RetryLimits, RouterSettings};
use swiftlink_types::{DomainName, PoolName, ServerInstance, ServerName, VmName};

use crate::book;

pub(crate) fn settings() -> RouterSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    RouterSettings {
        admission: true,
        vm: VmName::from("vm"),
        domain: DomainName::from("a"),
        regions: HashMap::new(),
        callers: any,
        readiness: any,
        metrics: None,
        peers: any,
        cpu_millis: 1_000,
        link: None,
        bootstrap: false,
        workers: 1,
        connections: 10,
        receive_buffer: 64 << 10,
        body_memory: 64 << 20,
        config_apply: Duration::from_secs(2),
        drain: Duration::from_secs(2),
        heartbeat: Duration::from_millis(1_200),
        copy_lag: swiftlink_gateway::quota::COPY_LAG,
        grace: Duration::from_secs(1),
        retries: RetryLimits {
            ratio: 0.2,
            slack: 10.0,
            window: Duration::from_secs(10),
        },
        rollouts: None,
        partitions: 1,
    }
}

pub(crate) fn config() -> Config {
    let mut config = book::config(None);
    let pool = PoolSpec {
        name: PoolName::from("pool"),
        max_event_tokens: None,
        max_gap: None,
        warmup: None,
    };
    config.pools.insert(pool.name.clone(), Arc::new(pool));
    config
}

pub(crate) fn servers() -> HashMap<ServerName, ServerEntry> {
    let entry = ServerEntry {
        instance: ServerInstance::from(ServerName::from("s")),
        pool: PoolName::from("pool"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        domain: DomainName::from("a"),
        slots: 4,
        version: "v1".into(),
        draining: false,
        warmup: Duration::ZERO,
    };
    HashMap::from([(entry.instance.name.clone(), entry)])
}

/// The configuration and the servers come from two feeds that two threads follow. Guards against a
/// pool that stays without servers, since it was configured while its servers were being read.
#[test]
fn pool_has_its_servers_in_any_order_of_updates() {
    for _round in 0..3_000 {
        let pools = Pools::new();
        let (settings, config) = (settings(), config());
        let barrier = Barrier::new(2);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                barrier.wait();
                pools.set_config(&config, &settings);
            });
            scope.spawn(|| {
                let servers = servers();
                barrier.wait();
                pools.set_servers(servers);
            });
        });
        let pool = pools.get(&PoolName::from("pool")).expect("a pool");
        assert_eq!(pool.open_len(), 1);
    }
}

/// Guards against a pause that is right for one router and not for the sum of all.
#[test]
fn routers_together_cause_fewer_refusals_than_a_brittle_server_can_bear() {
    for (routers, max) in [
        (1, 5.0),
        (7, 5.0),
        (75, 5.0),
        (75, 20.0),
        (300, 20.0),
        (985, 50.0),
    ] {
        let pause = rejection_pause(routers, max).as_secs_f64();
        // Half of the pause is the shortest that a router draws.
        let most = routers as f64 / (pause / 2.0);
        assert!(
            most <= max,
            "{routers} routers: {most} of {max} refusals a second"
        );
    }
    assert!(rejection_pause(7, 0.0) >= Duration::from_secs(120));
}
