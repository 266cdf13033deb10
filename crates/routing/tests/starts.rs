//! Servers that restart under the same name.

use rand_pcg::Pcg64Mcg;
use swiftlink_routing::{
    ErrorKind, ExpectedWait, Fleet, FleetPolicy, LoadReport, PickArgs, ServerSpec,
};
use swiftlink_types::{DomainName, ServerInstance, ServerName};

const SEC: u64 = 1_000_000;
/// Load report of a busy server.
const LOADED: LoadReport = LoadReport {
    running: 8,
    waiting: 20,
    slots: 8,
    pace: None,
    draining: false,
    age: std::time::Duration::ZERO,
};

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::new(42)
}

fn specs(count: usize) -> Vec<ServerSpec> {
    let spec = |number| ServerSpec {
        instance: ServerInstance::from(ServerName::from(format!("runner-{number}"))),
        domain: DomainName::from("rennes-a"),
        vm: None,
        slots: 8,
        drain: false,
        version: None,
        is_excluded: false,
        is_canary: false,
        cold_until: 0,
    };
    (0..count).map(spec).collect()
}

fn fleet(count: usize) -> Fleet {
    let settings = FleetPolicy::new(DomainName::from("rennes-a"));
    let mut fleet = Fleet::new(settings, Box::new(ExpectedWait::default()));
    fleet.set_config(&specs(count));
    fleet
}

fn at(now: u64) -> PickArgs<'static> {
    PickArgs {
        now,
        is_canary: false,
        may_probe: true,
        ..PickArgs::default()
    }
}

/// The servers after a restart of the one at `position`.
fn restarted(specs: &[ServerSpec], position: usize, started: u64) -> Vec<ServerSpec> {
    let mut specs = specs.to_vec();
    specs[position].instance.started = started;
    specs
}

/// Guards against a restarted server that stays ejected: its address was given to another server,
/// so 300 routers ejected it for the longest time. When it restarts elsewhere, each router sends it
/// work as soon as its entry arrives. Repeating an entry keeps the state.
#[test]
fn restarted_server_gets_work_from_all_routers_at_once() {
    let mut rng = rng();
    let specs = specs(1);
    for _router in 0..300 {
        let mut fleet = fleet(1);
        let idx = fleet.find(&specs[0].instance.name).expect("known");
        let sent = fleet.on_sent(idx, 0).expect("known");
        fleet.on_error(sent, SEC, ErrorKind::Misdirected);
        assert_eq!(fleet.pick(&at(2 * SEC), &mut rng), None);
        let again = restarted(&specs, 0, 5);
        fleet.set_config(&again);
        let picked = fleet.pick(&at(2 * SEC), &mut rng);
        assert!(picked.is_some_and(|picked| picked != idx), "{picked:?}");
        fleet.set_config(&again);
        assert_eq!(fleet.pick(&at(2 * SEC), &mut rng), picked);
    }
}

/// Answers that arrive after the entry of the new instance belong to the previous one.
#[test]
fn late_results_do_not_affect_the_next_instance() {
    let specs = specs(1);
    let mut fleet = fleet(1);
    let name = &specs[0].instance.name;
    let old = fleet.find(name).expect("known");
    let mut late: Vec<_> = (0..5).filter_map(|_| fleet.on_sent(old, 0)).collect();
    fleet.on_report(old, 1, LOADED);
    fleet.set_config(&restarted(&specs, 0, 5));
    let new = fleet.find(name).expect("known");
    assert_ne!(new, old);
    fleet.on_error(late.pop().expect("one"), SEC, ErrorKind::Connect);
    fleet.on_end(late.pop().expect("one"), SEC);
    fleet.on_abandoned(late.pop().expect("one"), SEC);
    fleet.on_report(old, SEC, LOADED);
    fleet.on_draining(old, SEC);
    assert!(fleet.on_sent(old, SEC).is_none());
    let server = fleet.get(new).expect("known");
    assert!(server.health().is_open());
    assert!(!server.is_draining());
    assert_eq!(server.load().in_flight(), 0);
    assert_eq!(server.load().reported(), 0);
}
