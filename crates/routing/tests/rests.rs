//! Servers that announce a drain or ask for a backoff, under load.
//!
//! Half of a pool's servers refuse requests and ask for seconds of backoff, while requests arrive
//! continuously. Each refusal costs its caller an attempt, and the server the backoff that it asked
//! for.

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use swiftlink_routing::{Fleet, FleetPolicy, PickArgs, PrefillIsolation, ServerIdx, ServerSpec};
use swiftlink_types::{DomainName, Micros, ServerInstance, ServerName};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;

fn specs(count: usize) -> Vec<ServerSpec> {
    let spec = |number: usize| ServerSpec {
        instance: ServerInstance::from(ServerName::from(format!("s{number}").as_str())),
        domain: DomainName::from("a"),
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
    let policy = FleetPolicy::new(DomainName::from("a"));
    let mut fleet = Fleet::new(policy, Box::new(PrefillIsolation::default()));
    fleet.set_config(&specs(count));
    fleet
}

fn idx(fleet: &Fleet, number: usize) -> ServerIdx {
    let name = ServerName::from(format!("s{number}").as_str());
    fleet.find(&name).expect("a server")
}

fn send(fleet: &mut Fleet, now: Micros, rng: &mut SmallRng) -> Option<ServerIdx> {
    let pick = PickArgs {
        now,
        is_canary: false,
        may_probe: true,
        ..PickArgs::default()
    };
    let sent = fleet.send(&pick, rng)?;
    let idx = sent.idx;
    fleet.on_end(sent, now + MS);
    Some(idx)
}

/// A request every 5 ms for 12 s at ten servers, of which five ask for 3 s of backoff at each
/// request within the first 6 s.
#[test]
fn server_gets_one_request_per_backoff() {
    let mut fleet = fleet(10);
    let mut rng = SmallRng::seed_from_u64(7);
    let backing_off: Vec<ServerIdx> = (0..5).map(|number| idx(&fleet, number)).collect();
    let mut requested = vec![Vec::new(); backing_off.len()];
    let mut served_again = 0;
    for step in 0..2_400 {
        let now = SECOND + step * 5 * MS;
        let chosen = send(&mut fleet, now, &mut rng).expect("five others are open");
        let Some(number) = backing_off.iter().position(|server| *server == chosen) else {
            continue;
        };
        if now > 7 * SECOND {
            served_again += 1;
            continue;
        }
        requested[number].push(now);
        fleet.on_backoff(chosen, now, now + 3 * SECOND);
    }
    for times in &requested {
        assert!(times.windows(2).all(|two| two[1] - two[0] >= 3 * SECOND));
    }
    assert!(served_again > 100, "they get work after their backoff");
}

#[test]
fn backed_off_pool_reports_when_the_first_server_is_back() {
    let mut fleet = fleet(3);
    let mut rng = SmallRng::seed_from_u64(1);
    for (number, secs) in [(0, 5), (1, 2), (2, 9)] {
        let idx = idx(&fleet, number);
        fleet.on_backoff(idx, SECOND, SECOND + secs * SECOND);
    }
    assert_eq!(send(&mut fleet, SECOND, &mut rng), None);
    assert_eq!(fleet.open_len(), 0);
    let left = fleet.backoff_left(SECOND).expect("all are backed off");
    assert_eq!(left.as_secs(), 2);
    assert_eq!(send(&mut fleet, 3 * SECOND, &mut rng), Some(idx(&fleet, 1)));
}

#[test]
fn shorter_backoff_does_not_end_a_longer_one() {
    let mut fleet = fleet(1);
    let mut rng = SmallRng::seed_from_u64(1);
    let server = idx(&fleet, 0);
    fleet.on_backoff(server, SECOND, 9 * SECOND);
    fleet.on_backoff(server, SECOND, 2 * SECOND);
    assert_eq!(send(&mut fleet, 3 * SECOND, &mut rng), None);
    assert_eq!(send(&mut fleet, 9 * SECOND, &mut rng), Some(server));
}

/// A newer load report revokes a drain that an answer indicated (`on_draining`), but never an
/// announced one (`mark_drained`).
#[test]
fn drained_server_gets_nothing_until_it_restarts() {
    let mut fleet = fleet(1);
    let mut rng = SmallRng::seed_from_u64(1);
    let server = idx(&fleet, 0);
    fleet.mark_drained(server);
    fleet.on_report(server, 2 * SECOND, swiftlink_routing::LoadReport::default());
    assert_eq!(send(&mut fleet, 3 * SECOND, &mut rng), None);
    let mut next = specs(1);
    next[0].instance.started = 5;
    fleet.set_config(&next);
    assert!(send(&mut fleet, 4 * SECOND, &mut rng).is_some());
}

proptest! {
    #[test]
    fn no_request_is_sent_during_a_backoff_and_all_servers_are_open_afterwards(
        backoffs in prop::collection::vec((0_usize..6, 0_u64..20, 1_u64..20), 0..30),
        seed in any::<u64>(),
    ) {
        let mut fleet = fleet(6);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut until = [0; 6];
        let mut backoffs = backoffs;
        backoffs.sort_by_key(|backoff| backoff.1);
        for (number, at, secs) in backoffs {
            let now = SECOND + at * SECOND;
            let server = idx(&fleet, number);
            fleet.on_backoff(server, now, now + secs * SECOND);
            until[number] = until[number].max(now + secs * SECOND);
            for _ in 0..8 {
                let Some(chosen) = send(&mut fleet, now, &mut rng) else {
                    prop_assert!(until.iter().all(|until| *until > now));
                    continue;
                };
                let number = (0..6).find(|number| idx(&fleet, *number) == chosen);
                prop_assert!(until[number.expect("a server")] <= now);
            }
        }
        prop_assert!(send(&mut fleet, 100 * SECOND, &mut rng).is_some());
        prop_assert_eq!(fleet.open_len(), 6);
    }
}
