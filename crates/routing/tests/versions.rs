//! Requests that must run on the software version that began them.

use std::collections::HashSet;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use swiftlink_routing::{ErrorKind, Fleet, FleetPolicy, PickArgs, PrefillIsolation, ServerSpec};
use swiftlink_types::{DomainName, Micros, ServerInstance, ServerName, VersionName};

const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
const SECOND: Micros = 1_000_000;

fn spec(number: usize, version: &str) -> ServerSpec {
    ServerSpec {
        instance: ServerInstance::new(ServerName::from(format!("s{number}").as_str()), 1),
        domain: DomainName::from(["a", "b"][number % 2]),
        vm: None,
        slots: 4,
        drain: false,
        version: Some(VersionName::from(version)),
        is_excluded: false,
        is_canary: false,
        cold_until: 0,
    }
}

fn fleet(specs: &[ServerSpec]) -> Fleet {
    let policy = FleetPolicy::new(DomainName::from("a"));
    let mut fleet = Fleet::new(policy, Box::new(PrefillIsolation::default()));
    fleet.set_config(specs);
    fleet
}

/// The versions of the servers that get 50 requests begun by `version`.
fn picked(fleet: &mut Fleet, specs: &[ServerSpec], version: Option<&VersionName>) -> Vec<String> {
    let mut rng = Pcg64::seed_from_u64(7);
    let args = PickArgs {
        now: SECOND,
        version,
        may_probe: true,
        ..PickArgs::default()
    };
    let mut versions = HashSet::new();
    for _ in 0..50 {
        let Some(idx) = fleet.pick(&args, &mut rng) else {
            continue;
        };
        let server = fleet.get(idx).expect("a server").instance().clone();
        let spec = specs.iter().find(|spec| spec.instance == server);
        let version = spec.and_then(|spec| spec.version.as_ref());
        versions.insert(version.expect("a version").to_string());
    }
    let mut versions: Vec<String> = versions.into_iter().collect();
    versions.sort_unstable();
    versions
}

/// Guards against a version that can't complete what it began once a rollout excludes it, and
/// against new requests at such a version.
#[test]
fn an_excluded_version_gets_only_what_it_began() {
    let mut specs = vec![spec(0, "v1"), spec(1, "v2"), spec(2, "v2")];
    for spec in &mut specs[1..] {
        spec.is_excluded = true;
    }
    let mut fleet = fleet(&specs);
    assert_eq!(picked(&mut fleet, &specs, None), ["v1"]);
    let second = VersionName::from("v2");
    assert_eq!(picked(&mut fleet, &specs, Some(&second)), ["v2"]);
}

/// Guards against canary servers that can't complete what they began.
#[test]
fn a_canary_gets_what_it_began() {
    let mut specs = vec![spec(0, "v1"), spec(1, "v2")];
    specs[1].is_canary = true;
    let mut fleet = fleet(&specs);
    assert_eq!(picked(&mut fleet, &specs, None), ["v1"]);
    let second = VersionName::from("v2");
    assert_eq!(picked(&mut fleet, &specs, Some(&second)), ["v2"]);
}

/// Guards against refusing what a version began because its servers are ejected: for other requests
/// there are other servers.
#[test]
fn an_ejected_version_gets_what_it_began_if_it_has_no_other_server() {
    let specs = vec![spec(0, "v1"), spec(1, "v1"), spec(2, "v2"), spec(3, "v2")];
    let mut fleet = fleet(&specs);
    for number in [2, 3] {
        let idx = fleet.find(&specs[number].instance.name).expect("a server");
        for _ in 0..8 {
            let dispatch = fleet.on_sent(idx, SECOND).expect("a dispatch");
            fleet.on_error(dispatch, SECOND, ErrorKind::Broken);
        }
    }
    assert_eq!(fleet.ejected_len(), 2);
    assert_eq!(picked(&mut fleet, &specs, None), ["v1"]);
    let second = VersionName::from("v2");
    assert_eq!(picked(&mut fleet, &specs, Some(&second)), ["v2"]);
}

#[derive(Clone, Debug)]
struct State {
    version: usize,
    drain: bool,
    is_excluded: bool,
    is_canary: bool,
    is_cold: bool,
    is_ejected: bool,
    is_refusing: bool,
}

fn states() -> impl Strategy<Value = Vec<State>> {
    let flag = || prop::bool::weighted(0.3);
    let flags = (flag(), flag(), flag(), flag(), flag(), flag());
    let state = (0..VERSIONS.len(), flags).prop_map(
        |(version, (drain, is_excluded, is_canary, is_cold, is_ejected, is_refusing))| State {
            version,
            drain,
            is_excluded,
            is_canary,
            is_cold,
            is_ejected,
            is_refusing,
        },
    );
    prop::collection::vec(state, 1..12)
}

proptest! {
    /// Whatever state servers are in, no other version gets a request, by no way of choosing.
    #[test]
    fn a_request_goes_to_the_version_that_began_it_only(
        states in states(),
        is_domain_drained in any::<bool>(),
        now in 0..3 * SECOND,
    ) {
        let specs: Vec<ServerSpec> = states.iter().enumerate().map(|(number, state)| ServerSpec {
            drain: state.drain,
            is_excluded: state.is_excluded,
            is_canary: state.is_canary,
            cold_until: if state.is_cold { 10 * SECOND } else { 0 },
            ..spec(number, VERSIONS[state.version])
        }).collect();
        let mut fleet = fleet(&specs);
        if is_domain_drained {
            fleet.set_drained_domains(&HashSet::from([DomainName::from("a")]), 0);
        }
        for (spec, state) in specs.iter().zip(&states) {
            let idx = fleet.find(&spec.instance.name).expect("a server");
            if !state.is_ejected {
                continue;
            }
            let kind = if state.is_refusing { ErrorKind::Connect } else { ErrorKind::Broken };
            for _ in 0..8 {
                let dispatch = fleet.on_sent(idx, 0).expect("a dispatch");
                fleet.on_error(dispatch, 0, kind);
            }
        }
        for name in VERSIONS {
            let version = VersionName::from(name);
            let mut rng = Pcg64::seed_from_u64(now);
            let args = PickArgs { now, version: Some(&version), may_probe: true, ..PickArgs::default() };
            for _ in 0..10 {
                let Some(dispatch) = fleet.send(&args, &mut rng) else {
                    break;
                };
                let server = fleet.get(dispatch.idx).expect("a server").instance().clone();
                let spec = specs.iter().find(|spec| spec.instance == server).expect("its spec");
                prop_assert_eq!(spec.version.as_ref(), Some(&version));
                prop_assert!(!spec.drain);
                prop_assert!(!is_domain_drained || spec.domain != DomainName::from("a"));
                fleet.on_abandoned(dispatch, now);
            }
        }
    }
}
