//! Speeds that all routers know: their estimate, and the choices made with them.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use swiftlink_routing::{
    Fleet, FleetPolicy, LoadReport, PickArgs, PrefillIsolation, Prompt, ServerSample, ServerSpec,
    ServerSpeed, SpeedTable, StreamGaps,
};
use swiftlink_types::{DomainName, ServerInstance, ServerName};

const SEC: u64 = 1_000_000;
const PROMPT: Prompt = Prompt {
    own: 9_000,
    shared: 1_000,
};

fn instance(number: usize, started: u64) -> ServerInstance {
    ServerInstance::new(ServerName::from(format!("runner-{number}")), started)
}

fn spec(number: usize, started: u64) -> ServerSpec {
    ServerSpec {
        instance: instance(number, started),
        domain: DomainName::from("rennes-a"),
        vm: None,
        slots: 32,
        drain: false,
        version: None,
        is_excluded: false,
        is_canary: false,
        cold_until: 0,
    }
}

fn fleet(count: usize) -> Fleet {
    let settings = FleetPolicy::new(DomainName::from("rennes-a"));
    let mut fleet = Fleet::new(settings, Box::new(PrefillIsolation::default()));
    let specs: Vec<ServerSpec> = (0..count).map(|number| spec(number, 1)).collect();
    fleet.set_config(&specs);
    fleet.set_isolation(false);
    fleet
}

fn speed(number: usize, ratio_milli: u32) -> ServerSpeed {
    ServerSpeed {
        server: instance(number, 1),
        ratio_milli,
        share_milli: 0,
        samples: 100,
    }
}

fn args(prefix: u64, now: u64) -> PickArgs<'static> {
    PickArgs {
        now,
        prefix,
        prompt: PROMPT,
        ttft_target: SEC,
        ..PickArgs::default()
    }
}

/// The home of each of many prefixes, by name.
fn homes(fleet: &mut Fleet) -> Vec<ServerName> {
    let mut rng = Pcg64Mcg::new(1);
    let mut prefixes = Pcg64Mcg::seed_from_u64(3);
    let prefixes = (0..6_000).map(|_| prefixes.random::<u64>() | 1);
    let picked = prefixes.map(|prefix| fleet.pick(&args(prefix, SEC), &mut rng));
    let picked: Vec<_> = picked.map(|idx| idx.expect("a server")).collect();
    let names = picked.into_iter();
    names
        .map(|idx| fleet.get(idx).expect("known").name().clone())
        .collect()
}

/// Choices under load, as one number.
fn digest(speeds: &[ServerSpeed], exchanges_updates: bool) -> u64 {
    let mut fleet = fleet(40);
    fleet.set_isolation(exchanges_updates);
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut digest: u64 = 0;
    let mut running = std::collections::VecDeque::new();
    for step in 1..8_000_u64 {
        let now = step * 5_000;
        if step % 2_000 == 1_000 {
            fleet.apply_speeds(now, speeds);
        }
        let prefix = if step % 5 == 0 {
            0
        } else {
            1 + rng.random_range(0..300) * 7_919
        };
        let mut pick = args(prefix, now);
        pick.prompt.own = rng.random_range(100..17_000);
        let mut sent = fleet.send(&pick, &mut rng).expect("a server");
        digest = digest
            .wrapping_mul(31)
            .wrapping_add(sent.idx.index() as u64);
        let gap = 20_000 + 300 * sent.idx.index() as u64;
        fleet.on_gaps(
            sent.idx,
            StreamGaps {
                gap,
                longest: 2 * gap,
            },
        );
        let running_there = 1 + sent.idx.index() as u32 % 9;
        let report = LoadReport {
            running: running_there,
            slots: 32,
            ..LoadReport::default()
        };
        fleet.on_report(sent.idx, now, report);
        running.push_back(sent);
        if running.len() > 60 {
            sent = running.pop_front().expect("some");
            fleet.on_first_token(&mut sent, now);
            fleet.on_end(sent, now + 1);
        }
    }
    digest
}

/// Deployments with equal servers must be served as before. The number is that of the revision
/// before speeds were shared.
#[test]
fn equal_or_unknown_speeds_change_no_choice() {
    const BEFORE: u64 = 7_282_644_919_726_225_694;
    assert_eq!(digest(&[], true), BEFORE);
    assert_eq!(digest(&[], false), BEFORE);
    let almost_equal: Vec<ServerSpeed> = (0..40)
        .map(|number| speed(number, 860 + 9 * number as u32))
        .collect();
    assert_eq!(digest(&almost_equal, false), BEFORE);
    let mut different = almost_equal;
    different[7].ratio_milli = 1_600;
    assert_eq!(digest(&different, true), BEFORE, "a small fleet");
    assert_ne!(digest(&different, false), BEFORE);
}

/// Guards against a home for each prefix whatever the server's speed: slow servers were overloaded
/// while fast ones idled.
#[test]
fn homes_are_distributed_by_speed() {
    let mut fleet = fleet(9);
    let ratios = [1_667, 1_000, 625];
    let speeds: Vec<ServerSpeed> = (0..9)
        .map(|number| speed(number, ratios[number % 3]))
        .collect();
    assert_eq!(fleet.apply_speeds(0, &speeds), 9);
    let homes = homes(&mut fleet);
    let count = |kind: usize| {
        let numbers = (0..9).filter(|number| number % 3 == kind);
        let names: Vec<ServerName> = numbers.map(|number| instance(number, 1).name).collect();
        homes.iter().filter(|home| names.contains(home)).count() as f64
    };
    // In eighths: 5, 8 and 13.
    for (kind, eighths) in [(0, 5.0), (1, 8.0), (2, 13.0)] {
        let relative = count(kind) / (6_000.0 * eighths / 26.0);
        assert!((0.93..1.07).contains(&relative), "{kind}: {relative}");
    }
}

/// Guards against prefixes that change their homes between servers whose speeds haven't changed:
/// each move costs another prefill of the shared part.
#[test]
fn a_change_of_one_speed_moves_only_its_part() {
    let mut fleet = fleet(9);
    let mut speeds: Vec<ServerSpeed> = (0..9).map(|number| speed(number, 1_000)).collect();
    speeds[0].ratio_milli = 600;
    fleet.apply_speeds(0, &speeds);
    let before = homes(&mut fleet);
    speeds[4].ratio_milli = 2_000;
    fleet.apply_speeds(0, &speeds);
    let after = homes(&mut fleet);
    let name = instance(4, 1).name;
    let moved = before
        .iter()
        .zip(&after)
        .filter(|(before, after)| before != after);
    let mut count = 0;
    for (from, _) in moved {
        assert_eq!(*from, name);
        count += 1;
    }
    // Its share falls from 8 of 77 eighths to 4 of 73.
    assert!((230..360).contains(&count), "{count} of 6000");
    speeds[4].ratio_milli = 2_040;
    fleet.apply_speeds(0, &speeds);
    assert_eq!(homes(&mut fleet), after, "a small change moves nothing");
}

#[test]
fn speeds_of_another_instance_are_ignored_and_old_ones_expire() {
    let mut fleet = fleet(3);
    let ordinary = homes(&mut fleet);
    let mut other = speed(1, 3_000);
    other.server.started = 2;
    assert_eq!(fleet.apply_speeds(SEC, &[other]), 0);
    assert_eq!(fleet.apply_speeds(SEC, &[speed(1, 3_000)]), 1);
    assert_ne!(homes(&mut fleet), ordinary);
    let restarted: Vec<ServerSpec> = (0..3).map(|number| spec(number, 2)).collect();
    fleet.set_config(&restarted);
    assert_eq!(fleet.speed_summary().known, 0);
    assert_eq!(homes(&mut fleet), ordinary);
    let mut late = speed(1, 3_000);
    late.server.started = 2;
    fleet.apply_speeds(SEC, &[late]);
    let mut rng = Pcg64Mcg::new(1);
    fleet.pick(&args(5, 400 * SEC), &mut rng);
    assert_eq!(fleet.speed_summary().known, 0, "no summary for minutes");
}

/// A server may be several times slower for a fraction of a second. Guards against requests that
/// go there meanwhile, and against a home that is given up for it afterwards.
#[test]
fn the_pace_of_a_report_counts_for_about_a_second() {
    let mut fleet = fleet(4);
    let mut rng = Pcg64Mcg::new(1);
    // Requests that show the time per token: 30 µs.
    for step in 1..40_u64 {
        let mut sent = fleet.send(&args(step, step * SEC), &mut rng).expect("one");
        fleet.on_first_token(&mut sent, step * SEC + 300_000);
        fleet.on_end(sent, step * SEC + 400_000);
    }
    let now = 100 * SEC;
    let home = fleet.pick(&args(1_077, now), &mut rng).expect("one");
    let report = |pace| LoadReport {
        running: 1,
        slots: 32,
        pace,
        ..LoadReport::default()
    };
    fleet.on_report(home, now, report(Some(400)));
    assert_ne!(fleet.pick(&args(1_077, now + 50_000), &mut rng), Some(home));
    assert_eq!(
        fleet.pick(&args(1_077, now + 2 * SEC), &mut rng),
        Some(home)
    );
    let old = LoadReport {
        age: Duration::from_secs(2),
        ..report(Some(400))
    };
    fleet.on_report(home, now + 4 * SEC, old);
    assert_eq!(
        fleet.pick(&args(1_077, now + 4 * SEC), &mut rng),
        Some(home)
    );
    fleet.on_report(home, now + 5 * SEC, report(None));
    assert_eq!(
        fleet.pick(&args(1_077, now + 5 * SEC), &mut rng),
        Some(home)
    );
}

/// Reports to a table: each of ten servers processes a prompt of 10,000 tokens in each of five
/// reports a second. `time` is that of a server's prompt (µs).
fn observe(
    table: &mut SpeedTable,
    seconds: std::ops::Range<u64>,
    time: impl Fn(usize, u64) -> u64,
) {
    for second in seconds {
        for number in 0..10 {
            for part in 0..5 {
                let sample = ServerSample {
                    server: instance(number, 1),
                    work: 10_000,
                    time: time(number, second),
                    count: 1,
                };
                table.add(second * SEC + part * 200_000, &sample);
            }
        }
        table.update(second * SEC + 900_000);
    }
}

/// The ratio that a receiver without any speeds is told.
fn ratio(table: &mut SpeedTable, number: usize) -> u32 {
    let all = table.changes(rand::random(), 400 * SEC);
    let found = all.iter().find(|speed| speed.server == instance(number, 1));
    found.map_or(0, |speed| speed.ratio_milli)
}

/// Slowness of a second must not move the homes of prefixes; lasting slowness must.
#[test]
fn only_lasting_slowness_changes_a_speed() {
    let mut table = SpeedTable::new();
    observe(&mut table, 0..80, |_number, _second| 100_000);
    assert_eq!(ratio(&mut table, 3), 1_000);
    let is_slow = |number, second: u64| number == 3 && (second == 80 || second == 95);
    observe(&mut table, 80..160, |number, second| {
        100_000 * if is_slow(number, second) { 4 } else { 1 }
    });
    assert_eq!(ratio(&mut table, 3), 1_000);
    // A server that is twice as slow can't process more than half.
    for second in 160..400 {
        observe(&mut table, second..second + 1, |number, _second| {
            100_000 * if number == 3 { 2 } else { 1 }
        });
    }
    assert!(
        (1_900..2_100).contains(&ratio(&mut table, 3)),
        "{}",
        ratio(&mut table, 3)
    );
}

/// Guards against a busy server that is taken for slow: its prompts always wait, but it processes
/// as many tokens as an ordinary one can.
#[test]
fn a_server_with_a_queue_is_not_taken_for_slow() {
    let mut table = SpeedTable::new();
    // Five prompts of 190 ms a second: the servers are almost always busy.
    observe(&mut table, 0..120, |number, _second| {
        if number == 3 { 600_000 } else { 190_000 }
    });
    assert!(
        (950..1_100).contains(&ratio(&mut table, 3)),
        "{}",
        ratio(&mut table, 3)
    );
}

/// Guards against speeds that a receiver never gets since a summary was lost, and against summaries
/// that repeat all speeds each time.
#[test]
fn speeds_are_told_once_and_again_later() {
    let mut table = SpeedTable::new();
    observe(&mut table, 0..100, |number, _second| {
        if number == 3 { 190_000 } else { 100_000 }
    });
    assert_eq!(table.changes(1, 100 * SEC).len(), 10);
    assert_eq!(table.changes(1, 101 * SEC).len(), 0);
    assert_eq!(table.changes(1, 221 * SEC).len(), 10);
    table.update(400 * SEC);
    let left = table.changes(2, 401 * SEC);
    assert!(left.is_empty(), "servers without samples are dropped");
}

#[test]
fn samples_are_taken_once() {
    let mut fleet = fleet(1);
    let mut rng = Pcg64Mcg::new(1);
    for now in [0, SEC] {
        let mut sent = fleet.send(&args(9, now), &mut rng).expect("one");
        fleet.on_first_token(&mut sent, now + 270_000);
        fleet.on_end(sent, now + 300_000);
    }
    let sample = ServerSample {
        server: instance(0, 1),
        work: 9_000 + 9_000,
        time: 540_000,
        count: 2,
    };
    assert_eq!(fleet.take_samples(), vec![sample]);
    assert_eq!(fleet.take_samples(), Vec::new());
}
