//! Speeds of servers between a router and the one that merges samples.

use swiftlink_gateway::fleet::speeds::{decode_sample, encode_speed};
use swiftlink_gateway::fleet::{Pools, ServerCriteria};
use swiftlink_routing::{Prompt, ServerSpeed};
use swiftlink_types::{PoolName, ServerInstance, ServerName};

use crate::pools::{config, servers, settings};

/// Guards against samples that a router never reports, and against a summary that changes nothing:
/// then each router would go on learning alone.
#[test]
fn pool_reports_samples_and_applies_speeds() {
    let pools = Pools::new();
    pools.set_config(&config(), &settings());
    pools.set_servers(servers());
    let pool = pools.get(&PoolName::from("pool")).expect("a pool");
    let criteria = ServerCriteria {
        prefix: 7,
        prompt: Prompt {
            own: 4_000,
            shared: 0,
        },
        ..ServerCriteria::default()
    };
    let (_server, mut ticket) = pool.send(&criteria).expect("a server");
    assert!(pool.take_samples().is_empty(), "no event yet");
    ticket.on_first_event();
    ticket.complete();
    let samples = pool.take_samples();
    assert_eq!(samples.len(), 1);
    let sample = decode_sample(&samples[0]);
    let instance = ServerInstance::from(ServerName::from("s"));
    assert_eq!((&sample.server, sample.work), (&instance, 4_000));
    assert!(pool.take_samples().is_empty(), "taken once");
    assert_eq!(pool.speed_summary().known, 0);
    let speed = ServerSpeed {
        server: instance,
        ratio_milli: 1_667,
        share_milli: 0,
        samples: 40,
    };
    pool.apply_speeds(&[encode_speed(speed)]);
    let summary = pool.speed_summary();
    assert_eq!((summary.known, summary.slowest_milli), (1, 1_667));
}
