//! Cold servers under the loads that bring them most: how many requests come to one in any second
//! from all routers together, none of which knows what the others send.

use std::collections::HashSet;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use swiftlink_routing::{Fleet, FleetPolicy, Pick, Prompt, Sent, ServerSpec, Unmixed, Warmup};
use swiftlink_types::{DomainName, Micros, ServerInstance, ServerName};

const SEC: Micros = 1_000_000;
/// What a cold server bears (requests a second), and for how long a start makes it cold.
const WARMUP: Warmup = Warmup {
    time: Duration::from_secs(3),
    rate: 7.7,
};
/// The most that may come to a cold server within a second.
const MOST: f64 = 1.5 * 7.7 + 5.0;
/// Time that a server takes for a request; the prompts of a hot prefix take as much.
const WORK: Micros = 250_000;

/// A load before servers of which some are cold.
struct Load {
    routers: usize,
    servers: usize,
    /// Requests a second, and the part of them that has one prefix.
    rate: f64,
    hot: f64,
    /// Part of the requests that come to one router.
    crowd: f64,
    /// Which servers are cold at a time.
    is_cold: fn(usize) -> bool,
}

/// What came of a load.
#[derive(Debug)]
struct Outcome {
    /// The most requests that came to a cold server within a second.
    most: usize,
    /// Part of the requests that found a server.
    served: f64,
}

fn domain(server: usize) -> DomainName {
    DomainName::from(format!("d{}", server % 4))
}

fn specs(load: &Load, now: Micros, cold: bool) -> Vec<ServerSpec> {
    let spec = |server| ServerSpec {
        instance: ServerInstance::from(ServerName::from(format!("s{server}"))),
        domain: domain(server),
        vm: None,
        slots: 24,
        drain: false,
        is_canary: false,
        cold_until: if cold && (load.is_cold)(server) {
            now + 3 * SEC
        } else {
            0
        },
    };
    (0..load.servers).map(spec).collect()
}

fn fleets(load: &Load, warmup: Option<Warmup>) -> Vec<Fleet> {
    let fleet = |router: usize| {
        let mut policy = FleetPolicy::new(domain(router));
        policy.seed = router as u64 + 1;
        let mut fleet = Fleet::new(policy, Box::new(Unmixed::default()));
        fleet.set_warmup(warmup);
        fleet.set_routers(load.routers);
        fleet.set_config(&specs(load, 0, false));
        fleet
    };
    (0..load.routers).map(fleet).collect()
}

/// Plays two seconds of the load, then three with the servers cold.
fn play(load: &Load, warmup: Option<Warmup>, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleets = fleets(load, warmup);
    let mut running: Vec<(Micros, usize, Sent)> = Vec::new();
    let mut arrivals: Vec<Vec<Micros>> = vec![Vec::new(); load.servers];
    let (mut now, mut asked, mut served) = (0, 0, 0);
    let mut is_cold = false;
    while now < 5 * SEC {
        now += (-(1.0 - rng.random::<f64>()).ln() / load.rate * SEC as f64) as Micros;
        if !is_cold && now >= 2 * SEC {
            is_cold = true;
            for fleet in &mut fleets {
                fleet.set_config(&specs(load, now, true));
            }
        }
        let (done, rest) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = rest;
        for (end, router, sent) in done {
            let _: Micros = end;
            fleets[router].on_end(sent, now);
        }
        let router = if rng.random_bool(load.crowd) {
            0
        } else {
            rng.random_range(0..load.routers)
        };
        let is_hot = rng.random_bool(load.hot);
        let prefix = if is_hot { 7 } else { rng.random::<u64>() | 1 };
        let pick = Pick {
            now,
            prefix,
            prompt: Prompt {
                own: 2_890,
                shared: 6_300,
            },
            aim: 600_000,
            is_canary: false,
            may_probe: true,
            ..Pick::default()
        };
        asked += u32::from(is_cold);
        let Some(sent) = fleets[router].send(&pick, &mut rng) else {
            continue;
        };
        served += u32::from(is_cold);
        let name = fleets[router].get(sent.idx).expect("a server").name();
        let server: usize = name.as_str()[1..].parse().expect("a number");
        if is_cold && (load.is_cold)(server) {
            arrivals[server].push(now);
        }
        running.push((now + WORK, router, sent));
    }
    Outcome {
        most: arrivals
            .iter()
            .map(|times| busiest(times))
            .max()
            .unwrap_or(0),
        served: f64::from(served) / f64::from(asked),
    }
}

/// The most that came within a second.
fn busiest(times: &[Micros]) -> usize {
    let within = |(index, first): (usize, &Micros)| {
        let later = times[index..].iter();
        later.take_while(|time| **time < first + SEC).count()
    };
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

/// The worst of some plays.
fn worst(load: &Load, warmup: Option<Warmup>) -> Outcome {
    let plays: Vec<Outcome> = (0..2).map(|seed| play(load, warmup, seed)).collect();
    Outcome {
        most: plays.iter().map(|play| play.most).max().unwrap_or(0),
        served: plays.iter().map(|play| play.served).fold(1.0, f64::min),
    }
}

fn check(load: &Load, least: f64) {
    let outcome = worst(load, Some(WARMUP));
    assert!(outcome.most as f64 <= MOST, "{outcome:?}");
    assert!(outcome.served >= least, "{outcome:?}");
}

const ORDINARY: Load = Load {
    routers: 75,
    servers: 140,
    rate: 565.0,
    hot: 0.1,
    crowd: 0.0,
    is_cold: |_| false,
};

/// One server in four, among them the home of a prefix that a tenth of all requests has. Without
/// the limit that server gets three times what it bears.
#[test]
fn a_domain_that_comes_back_cold_with_the_home_of_a_hot_prefix() {
    for residue in [
        |server| server % 4 == 0,
        |server| server % 4 == 1,
        |server| server % 4 == 2,
        |server| server % 4 == 3,
    ] {
        let load = Load {
            is_cold: residue,
            ..ORDINARY
        };
        check(&load, 1.0);
    }
    let all = Load {
        is_cold: |_| true,
        ..ORDINARY
    };
    let unlimited = worst(&all, None);
    assert!(unlimited.most as f64 > 2.0 * MOST, "{unlimited:?}");
}

#[test]
fn a_release_of_half_the_servers_takes_nothing_from_callers() {
    for routers in [8, 75, 300] {
        let load = Load {
            routers,
            is_cold: |server| server < 70,
            ..ORDINARY
        };
        check(&load, 1.0);
    }
}

/// Where nearly all are cold, they get what they bear together and no more.
#[test]
fn most_servers_are_cold_at_once() {
    for routers in [8, 75, 300] {
        let load = Load {
            routers,
            is_cold: |server| server % 10 != 0,
            ..ORDINARY
        };
        check(&load, 1.0);
        let load = Load {
            routers,
            rate: 300.0,
            is_cold: |_| true,
            ..ORDINARY
        };
        check(&load, 0.6);
    }
}

/// All callers of a workspace come to one router.
#[test]
fn one_router_with_half_of_the_requests_sends_no_more_than_its_part() {
    let load = Load {
        crowd: 0.5,
        is_cold: |server| server % 10 != 0,
        ..ORDINARY
    };
    check(&load, 1.0);
}

#[test]
fn a_small_fleet_before_twelve_cold_servers() {
    let load = Load {
        routers: 8,
        servers: 12,
        rate: 30.0,
        is_cold: |_| true,
        ..ORDINARY
    };
    check(&load, 0.6);
}

/// A router that doesn't know how many others there are sends cold servers nothing.
#[test]
fn a_router_that_knows_no_others_spares_cold_servers() {
    let load = Load {
        servers: 4,
        is_cold: |_| true,
        ..ORDINARY
    };
    let mut fleet = fleets(&load, Some(WARMUP)).remove(0);
    fleet.set_routers(0);
    fleet.set_config(&specs(&load, SEC, true));
    let pick = Pick {
        now: 2 * SEC,
        prefix: 1,
        ..Pick::default()
    };
    let mut rng = StdRng::seed_from_u64(1);
    assert!(fleet.send(&pick, &mut rng).is_none());
    assert_eq!(fleet.warm_in(2 * SEC), Some(Duration::from_secs(2)));
    let later = Pick {
        now: 4 * SEC,
        ..pick
    };
    assert!(fleet.send(&later, &mut rng).is_some());
}

/// What is taken back may be cold, and its prefixes return to their homes once it isn't.
#[test]
fn a_domain_that_is_taken_back_gets_its_prefixes_once_it_is_warm() {
    let load = ORDINARY;
    let mut fleet = fleets(&load, Some(WARMUP)).remove(0);
    let mut rng = StdRng::seed_from_u64(1);
    let mut home = |fleet: &mut Fleet, prefix: u64, now: Micros| {
        let pick = Pick {
            now,
            prefix,
            ..Pick::default()
        };
        let idx = fleet.pick(&pick, &mut rng).expect("a server");
        let server = fleet.get(idx).expect("a server");
        (server.name().clone(), server.domain().clone())
    };
    let before: Vec<_> = (1..200).map(|prefix| home(&mut fleet, prefix, 0)).collect();
    let emptied = HashSet::from([domain(0)]);
    fleet.set_emptied(&emptied, SEC);
    for (prefix, (name, old)) in (1..).zip(&before) {
        let (moved, new) = home(&mut fleet, prefix, SEC);
        assert_ne!(new, domain(0));
        assert_eq!(
            moved == *name,
            *old != domain(0),
            "only those that must move do"
        );
        assert_eq!(moved, home(&mut fleet, prefix, 2 * SEC).0, "and once");
    }
    fleet.set_emptied(&HashSet::new(), 9 * SEC);
    for prefix in 1..200 {
        assert_ne!(
            home(&mut fleet, prefix, 10 * SEC).1,
            domain(0),
            "it may be cold"
        );
    }
    for (prefix, (name, _)) in (1..).zip(&before) {
        assert_eq!(home(&mut fleet, prefix, 13 * SEC).0, *name);
    }
}

#[test]
fn a_request_goes_to_no_domain_but_its_own() {
    let load = Load {
        servers: 8,
        ..ORDINARY
    };
    let mut fleet = fleets(&load, Some(WARMUP)).remove(0);
    let mut rng = StdRng::seed_from_u64(1);
    let homes = HashSet::from([domain(1)]);
    for prefix in 0..100 {
        let pick = Pick {
            prefix,
            domains: Some(&homes),
            ..Pick::default()
        };
        let idx = fleet.pick(&pick, &mut rng).expect("a server");
        assert_eq!(*fleet.get(idx).expect("a server").domain(), domain(1));
    }
    fleet.set_emptied(&homes, SEC);
    let pick = Pick {
        domains: Some(&homes),
        ..Pick::default()
    };
    assert!(fleet.pick(&pick, &mut rng).is_none());
}
