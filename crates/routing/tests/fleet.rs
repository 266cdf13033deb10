//! Which servers get work, and what the fleet learns of them.

use std::time::Duration;

use proptest::prelude::*;
use rand_pcg::Pcg64Mcg;
use swiftlink_routing::{
    ErrorKind, ExpectedWait, Fleet, FleetPolicy, LeastReported, ListedVm, LoadReport, PickArgs,
    Policy, Random, RoundRobin, ServerIdx, ServerSpec, TwoChoices,
};
use swiftlink_types::{DomainName, ServerInstance, ServerName, VmName};

const MS: u64 = 1_000;
const SEC: u64 = 1_000_000;

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::new(42)
}

fn specs(count: usize) -> Vec<ServerSpec> {
    let spec = |number| ServerSpec {
        instance: ServerInstance::from(ServerName::from(format!("runner-{number}"))),
        domain: DomainName::from(["rennes-a", "brest"][number % 2]),
        vm: Some(VmName::from(format!("vm-{number}"))),
        slots: 8,
        drain: false,
        version: None,
        is_excluded: false,
        is_canary: false,
        cold_until: 0,
    };
    (0..count).map(spec).collect()
}

fn fleet_of(policy: Box<dyn Policy>, count: usize) -> Fleet {
    let settings = FleetPolicy::new(DomainName::from("rennes-a"));
    let mut fleet = Fleet::new(settings, policy);
    fleet.set_config(&specs(count));
    fleet
}

fn fleet(count: usize) -> Fleet {
    fleet_of(Box::new(ExpectedWait::default()), count)
}

fn at(now: u64) -> PickArgs<'static> {
    PickArgs {
        now,
        is_canary: false,
        may_probe: true,
        ..PickArgs::default()
    }
}

fn named(fleet: &Fleet, number: usize) -> ServerIdx {
    let name = ServerName::from(format!("runner-{number}"));
    fleet.find(&name).expect("configured")
}

/// How many of 200 picks go to the server.
fn picks_of(fleet: &mut Fleet, idx: ServerIdx, now: u64) -> usize {
    let mut rng = rng();
    let picks = (0..200).filter_map(|_| fleet.pick(&at(now), &mut rng));
    picks.filter(|pick| *pick == idx).count()
}

fn fail(fleet: &mut Fleet, idx: ServerIdx, now: u64) {
    let sent = fleet.on_sent(idx, now).expect("configured");
    fleet.on_error(sent, now, ErrorKind::Status);
}

fn serve(fleet: &mut Fleet, idx: ServerIdx, now: u64, first: u64) {
    let mut sent = fleet.on_sent(idx, now).expect("configured");
    fleet.on_first_token(&mut sent, now + first);
    fleet.on_end(sent, now + 2 * first);
}

#[test]
fn each_drain_signal_stops_new_work() {
    let mut fleet = fleet_of(Box::new(Random), 4);
    let idx = named(&fleet, 1);
    assert!(picks_of(&mut fleet, idx, 0) > 0);

    let mut drained = specs(4);
    drained[1].drain = true;
    fleet.set_config(&drained);
    assert_eq!(picks_of(&mut fleet, idx, 0), 0);
    fleet.set_config(&specs(4));
    assert!(picks_of(&mut fleet, idx, 0) > 0);

    let vm = |number: usize, leaving| ListedVm {
        name: VmName::from(format!("vm-{number}")),
        leaving,
    };
    fleet.set_vm_list(&[vm(0, false), vm(1, true)]);
    assert_eq!(picks_of(&mut fleet, idx, 0), 0);
    fleet.set_vm_list(&[vm(0, false), vm(1, false)]);
    assert!(picks_of(&mut fleet, idx, 0) > 0);
    fleet.set_vm_list(&[vm(0, false)]);
    assert_eq!(picks_of(&mut fleet, idx, 0), 0);
    let never_listed = named(&fleet, 3);
    assert!(picks_of(&mut fleet, never_listed, 0) > 0);
    fleet.set_vm_list(&[vm(1, false)]);

    fleet.on_draining(idx, 10 * SEC);
    assert_eq!(picks_of(&mut fleet, idx, 10 * SEC), 0);
    let older = LoadReport {
        age: Duration::from_secs(2),
        ..LoadReport::default()
    };
    fleet.on_report(idx, 11 * SEC, older);
    assert_eq!(
        picks_of(&mut fleet, idx, 11 * SEC),
        0,
        "made before it drained"
    );
    fleet.on_report(idx, 14 * SEC, older);
    assert!(picks_of(&mut fleet, idx, 14 * SEC) > 0);
}

#[test]
fn fast_failing_server_is_ejected_and_probed() {
    let mut fleet = fleet(4);
    let idx = named(&fleet, 2);
    for _ in 0..3 {
        fail(&mut fleet, idx, SEC);
    }
    assert_eq!(picks_of(&mut fleet, idx, SEC), 0);
    let due = 2 * SEC + 1;
    let once = PickArgs {
        is_canary: false,
        may_probe: false,
        ..at(due)
    };
    assert_ne!(fleet.pick(&once, &mut rng()), Some(idx));
    let probe = fleet.send(&at(due), &mut rng()).expect("a probe");
    assert_eq!(probe.idx, idx);
    assert_eq!(picks_of(&mut fleet, idx, due), 0, "one probe at a time");
    fleet.on_error(probe, due, ErrorKind::Status);
    assert_eq!(picks_of(&mut fleet, idx, due + SEC), 0, "twice as long");
    let probe = fleet.send(&at(due + 2 * SEC), &mut rng()).expect("a probe");
    assert_eq!(probe.idx, idx);
    fleet.on_end(probe, due + 3 * SEC);
    assert!(picks_of(&mut fleet, idx, due + 3 * SEC) > 0);
}

#[test]
fn overload_errors_never_eject_the_whole_pool() {
    let mut fleet = fleet(10);
    for number in 0..10 {
        for _ in 0..20 {
            let idx = named(&fleet, number);
            fail(&mut fleet, idx, SEC);
        }
    }
    assert!(fleet.pick(&at(SEC), &mut rng()).is_some());
}

#[test]
fn unreachable_pool_is_left_alone_until_a_probe_is_due() {
    let mut fleet = fleet(2);
    for number in 0..2 {
        let idx = named(&fleet, number);
        let sent = fleet.on_sent(idx, 0).expect("configured");
        fleet.on_error(sent, 0, ErrorKind::Unreachable);
    }
    assert_eq!(fleet.pick(&at(0), &mut rng()), None);
    assert_eq!(fleet.probe_in(0), Some(Duration::from_secs(1)));
    assert!(fleet.pick(&at(SEC), &mut rng()).is_some());
}

/// Guards against refusing callers while a server can be reached: links to the servers of a pool
/// fail for some milliseconds each, one after the other, so that all are ejected while all but one
/// are reachable. A refused connection costs no time, so each server is tried before the request is
/// refused.
#[test]
fn refusing_servers_are_all_tried_before_a_request_is_refused() {
    let mut fleet = fleet(3);
    for number in 0..3 {
        let idx = named(&fleet, number);
        let now = number as u64 * 200 * MS;
        let sent = fleet.on_sent(idx, now).expect("configured");
        fleet.on_error(sent, now, ErrorKind::Connect);
    }
    let now = 410 * MS;
    let once = PickArgs {
        is_canary: false,
        may_probe: false,
        ..at(now)
    };
    let first = fleet.send(&once, &mut rng()).expect("a server is tried");
    assert_eq!(first.idx, named(&fleet, 0), "the one ejected longest ago");
    for _ in 0..20 {
        let other = fleet.send(&at(now), &mut rng());
        assert!(other.is_some(), "not one at a time");
    }
    let tried = [first.idx];
    let next = PickArgs {
        exclude: &tried,
        domains: None,
        ..at(now)
    };
    let second = fleet.send(&next, &mut rng()).expect("another is tried");
    let idx = second.idx;
    assert_ne!(idx, first.idx);
    fleet.on_end(second, now + MS);
    assert!(picks_of(&mut fleet, idx, now + MS) > 0, "it is back");
    let all: Vec<_> = (0..3).map(|number| named(&fleet, number)).collect();
    let spent = PickArgs {
        exclude: &all,
        domains: None,
        ..at(now)
    };
    assert_eq!(fleet.pick(&spent, &mut rng()), None, "each once a request");
}

/// Guards against probes at servers that are gone: servers crash while the router is cut off from
/// the directory, and other services get their addresses. Each is asked once, instead of with a
/// caller's request every second.
#[test]
fn misdirected_server_gets_no_early_probes() {
    let mut fleet = fleet(4);
    let idx = named(&fleet, 1);
    let sent = fleet.on_sent(idx, 0).expect("configured");
    fleet.on_error(sent, 0, ErrorKind::Misdirected);
    for secs in [0, 1, 2, 5, 15, 29] {
        assert_eq!(picks_of(&mut fleet, idx, secs * SEC), 0, "after {secs} s");
    }
    let due = 30 * SEC;
    let probe = fleet.send(&at(due), &mut rng()).expect("a probe");
    assert_eq!(probe.idx, idx, "the misdirection may have been an error");
}

#[test]
fn slow_server_gets_no_requests() {
    let mut fleet = fleet(4);
    for round in 0..20 {
        for number in 0..4 {
            let idx = named(&fleet, number);
            let first = if number == 1 { 400 * MS } else { 40 * MS };
            serve(&mut fleet, idx, round * SEC, first);
        }
    }
    let idx = named(&fleet, 1);
    assert_eq!(picks_of(&mut fleet, idx, 20 * SEC), 0);
}

#[test]
fn server_with_slow_tokens_gets_no_requests() {
    let mut fleet = fleet(4);
    for round in 0..20 {
        for number in 0..4 {
            let idx = named(&fleet, number);
            let mut sent = fleet.on_sent(idx, round * SEC).expect("configured");
            fleet.on_first_token(&mut sent, round * SEC + 40 * MS);
            sent.tokens = 100;
            let time = if number == 0 { 800 * MS } else { 200 * MS };
            fleet.on_end(sent, round * SEC + 40 * MS + time);
        }
    }
    let idx = named(&fleet, 0);
    assert_eq!(picks_of(&mut fleet, idx, 20 * SEC), 0);
}

#[test]
fn stalled_server_is_avoided_before_it_answers() {
    let mut fleet = fleet(4);
    for number in 0..4 {
        let idx = named(&fleet, number);
        serve(&mut fleet, idx, 0, 40 * MS);
    }
    let idx = named(&fleet, 0);
    let stalled = fleet.on_sent(idx, SEC).expect("configured");
    assert_eq!(picks_of(&mut fleet, idx, 3 * SEC), 0);
    fleet.on_abandoned(stalled, 3 * SEC);
    assert!(picks_of(&mut fleet, idx, 3 * SEC) > 0);
}

#[test]
fn known_prefix_stays_on_its_server_until_the_load_is_over_the_bound() {
    let mut fleet = fleet(10);
    let mut rng = rng();
    let pick = PickArgs {
        prefix: 99,
        ..at(SEC)
    };
    for number in 0..10 {
        let idx = named(&fleet, number);
        for _ in 0..4 {
            let _sent = fleet.on_sent(idx, SEC);
        }
    }
    fleet.pick(&pick, &mut rng).expect("a server");
    let home = fleet.pick(&pick, &mut rng).expect("a server");
    for _ in 0..50 {
        assert_eq!(fleet.pick(&pick, &mut rng), Some(home));
    }
    let _sent = fleet.on_sent(home, SEC);
    let next = fleet.pick(&pick, &mut rng).expect("a server");
    assert_ne!(next, home);
    for _ in 0..50 {
        assert_eq!(
            fleet.pick(&pick, &mut rng),
            Some(next),
            "the second in order"
        );
    }
}

#[test]
fn new_prefixes_do_not_unbalance_the_load() {
    let mut fleet = fleet(10);
    let mut rng = rng();
    for prefix in 1..=100 {
        let pick = PickArgs { prefix, ..at(SEC) };
        let _sent = fleet.send(&pick, &mut rng).expect("a server");
    }
    let loads: Vec<u32> = fleet.views(SEC).iter().map(|view| view.in_flight).collect();
    assert!(
        loads.iter().all(|load| (8..=12).contains(load)),
        "{loads:?}"
    );
}

#[test]
fn reports_count_others_and_not_own_requests_twice() {
    let mut fleet = fleet(1);
    let idx = named(&fleet, 0);
    let sent: Vec<_> = (0..3).filter_map(|_| fleet.on_sent(idx, SEC)).collect();
    let report = LoadReport {
        running: 5,
        age: Duration::from_millis(500),
        ..LoadReport::default()
    };
    fleet.on_report(idx, 2 * SEC, report);
    let server = fleet.get(idx).expect("configured");
    assert_eq!(server.load().estimate(2 * SEC) as u32, 5);
    for sent in sent {
        fleet.on_end(sent, 2 * SEC);
    }
    let server = fleet.get(idx).expect("configured");
    assert_eq!(server.load().estimate(2 * SEC) as u32, 2);
}

#[test]
fn subsets_cover_the_pool_evenly() {
    const SERVERS: usize = 60;
    const ROUTERS: u64 = 60;
    let mut used = std::collections::HashMap::<ServerName, usize>::new();
    for seed in 0..ROUTERS {
        let mut settings = FleetPolicy::new(DomainName::from("brest"));
        settings.subset = 10;
        settings.seed = seed;
        let mut fleet = Fleet::new(settings, Box::new(Random));
        fleet.set_config(&specs(SERVERS));
        assert_eq!(fleet.members().len(), 10);
        for (_, name) in fleet.members() {
            *used.entry(name).or_default() += 1;
        }
    }
    assert_eq!(used.len(), SERVERS, "no server is left out");
    assert!(used.values().all(|count| *count < 25));
}

fn policy(number: usize) -> Box<dyn Policy> {
    match number {
        0 => Box::new(Random),
        1 => Box::<RoundRobin>::default(),
        2 => Box::new(LeastReported),
        3 => Box::new(TwoChoices),
        _ => Box::new(ExpectedWait::default()),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// After any sequence of events, a picked server is configured and neither draining nor
    /// excluded, in-flight counts match the open dispatches, and a server that can take the request
    /// is found if there is one.
    #[test]
    fn picks_are_eligible_servers(
        which in 0..5_usize,
        steps in prop::collection::vec((0..8_u8, 0..12_usize, any::<u64>()), 1..200),
    ) {
        let mut fleet = fleet_of(policy(which), 8);
        let mut rng = rng();
        let mut open = Vec::new();
        let mut drained = specs(8);
        for (step, (action, number, prefix)) in steps.into_iter().enumerate() {
            let now = step as u64 * 100 * MS;
            match action {
                0 if !open.is_empty() => fleet.on_end(open.swap_remove(number % open.len()), now),
                1 if !open.is_empty() => {
                    fleet.on_error(open.swap_remove(number % open.len()), now, ErrorKind::Status);
                }
                2 if number < 8 => {
                    drained[number].drain = !drained[number].drain;
                    fleet.set_config(&drained);
                }
                3 => {
                    let kept = &drained[..8 - number % 4];
                    fleet.set_config(kept);
                }
                _ => {
                    let name = &drained[number % 8].instance.name;
                    let exclude: Vec<_> = fleet.find(name).into_iter().collect();
                    let pick = PickArgs { prefix, exclude: &exclude, ..at(now) };
                    let sent = fleet.send(&pick, &mut rng);
                    let is_any_eligible = fleet.views(now).iter().any(|view| {
                        !view.draining && view.ejected_until.is_none() && !exclude.contains(&view.idx)
                    });
                    prop_assert!(sent.is_some() || !is_any_eligible);
                    if let Some(sent) = sent {
                        let server = fleet.get(sent.idx).expect("configured");
                        prop_assert!(!server.is_draining());
                        prop_assert!(!exclude.contains(&sent.idx));
                        open.push(sent);
                    }
                }
            }
            for view in fleet.views(now) {
                let expected = open.iter().filter(|sent| sent.idx == view.idx).count();
                prop_assert_eq!(view.in_flight as usize, expected);
            }
        }
    }
}

#[test]
fn report_older_than_the_last_is_dropped() {
    let mut fleet = fleet(1);
    let idx = named(&fleet, 0);
    let report = |running, secs| LoadReport {
        running,
        age: Duration::from_secs(secs),
        ..LoadReport::default()
    };
    fleet.on_report(idx, 10 * SEC, report(4, 1));
    fleet.on_report(idx, 11 * SEC, report(9, 5));
    let server = fleet.get(idx).expect("configured");
    assert_eq!(server.load().reported(), 4);
}
