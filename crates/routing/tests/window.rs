//! Working sets of very large pools.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use swiftlink_routing::{Fleet, FleetPolicy, LoadReport, PickArgs, PrefillIsolation, ServerSpec};
use swiftlink_types::{DomainName, ServerInstance, ServerName};

/// Servers in the model pool of the largest fleet.
const SERVERS: usize = 9_600;
const DOMAINS: usize = 6;

fn domain(number: usize) -> DomainName {
    DomainName::from(format!("d{number}"))
}

fn specs(count: usize) -> Vec<ServerSpec> {
    let spec = |number: usize| ServerSpec {
        instance: ServerInstance::from(ServerName::from(format!("s{number}"))),
        domain: domain(number % DOMAINS),
        vm: None,
        slots: 32,
        drain: false,
        version: None,
        is_excluded: false,
        is_canary: false,
        cold_until: 0,
    };
    (0..count).map(spec).collect()
}

fn fleet(router: u64, home: usize, count: usize) -> Fleet {
    let mut policy = FleetPolicy::new(domain(home));
    policy.seed = router;
    let mut fleet = Fleet::new(policy, Box::new(PrefillIsolation::default()));
    fleet.set_config(&specs(count));
    fleet
}

fn pick(prefix: u64, now: u64) -> PickArgs<'static> {
    PickArgs {
        now,
        prefix,
        may_probe: true,
        ..PickArgs::default()
    }
}

/// Guards against cache misses from spreading too wide: when each router sent to any of ten
/// thousand servers, prompts rarely reached one with their shared part cached.
#[test]
fn routers_of_a_domain_share_a_small_working_set() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut used: HashMap<usize, HashSet<ServerName>> = HashMap::new();
    for router in 0..60 {
        let home = router as usize % DOMAINS;
        let mut fleet = fleet(router, home, SERVERS);
        for request in 0..40 {
            let sent = fleet
                .send(&pick(request, request), &mut rng)
                .expect("a server");
            let server = fleet.get(sent.idx).expect("a server");
            assert_eq!(*server.domain(), domain(home));
            used.entry(home).or_default().insert(server.name().clone());
            fleet.on_end(sent, request + 1);
        }
    }
    for servers in used.values() {
        assert!(servers.len() <= 64, "{}", servers.len());
    }
}

#[test]
fn busy_working_set_grows() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = fleet(1, 0, SERVERS);
    assert_eq!(fleet.open_len(), 64);
    for second in 1..20_u64 {
        let now = second * 1_000_000;
        for request in 0..10 {
            let sent = fleet.send(&pick(request, now), &mut rng).expect("a server");
            let report = LoadReport {
                running: 20,
                slots: 32,
                age: Duration::ZERO,
                ..LoadReport::default()
            };
            fleet.on_report(sent.idx, now, report);
            fleet.on_end(sent, now + 1);
        }
    }
    assert!(fleet.open_len() >= 1_000, "{}", fleet.open_len());
}

/// When all servers of the router's own domain drain, those of other domains are used instead.
#[test]
fn servers_of_other_domains_replace_draining_ones() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = fleet(1, 0, SERVERS);
    let mut specs = specs(SERVERS);
    for spec in &mut specs {
        spec.drain = spec.domain == domain(0);
    }
    fleet.set_config(&specs);
    assert_eq!(fleet.open_len(), 64);
    assert!(fleet.send(&pick(1, 1), &mut rng).is_some());
}

#[test]
fn pool_of_some_hundreds_is_used_whole() {
    assert_eq!(fleet(1, 0, 256).open_len(), 256);
}

/// Guards against a quadratic search for free indices: searching all of them for each added server
/// took a second of CPU time for a list of ten thousand.
#[test]
fn index_of_a_removed_server_is_reused() {
    let mut fleet = fleet(1, 0, 200);
    let mut specs = specs(210);
    let idx = fleet.find(&specs[7].instance.name).expect("a server");
    specs.remove(7);
    specs.truncate(200);
    fleet.set_config(&specs);
    let new = fleet.find(&specs[199].instance.name).expect("a server");
    assert_eq!(new.index(), idx.index());
    assert!(fleet.get(idx).is_none(), "its generation differs");
}
