//! Servers that say they leave or want rest, under load.
//!
//! The load: half of a pool's servers refuse and ask for seconds of rest, while requests come all
//! the time. Each refusal costs its caller a send and the server the rest that it asked for.

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use swiftlink_routing::{Fleet, FleetPolicy, Pick, ServerIdx, ServerSpec, Unmixed};
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
        is_canary: false,
        cold_until: 0,
    };
    (0..count).map(spec).collect()
}

fn fleet(count: usize) -> Fleet {
    let policy = FleetPolicy::new(DomainName::from("a"));
    let mut fleet = Fleet::new(policy, Box::new(Unmixed::default()));
    fleet.set_config(&specs(count));
    fleet
}

fn idx(fleet: &Fleet, number: usize) -> ServerIdx {
    let name = ServerName::from(format!("s{number}").as_str());
    fleet.find(&name).expect("a server")
}

fn send(fleet: &mut Fleet, now: Micros, rng: &mut SmallRng) -> Option<ServerIdx> {
    let pick = Pick {
        now,
        is_canary: false,
        may_probe: true,
        ..Pick::default()
    };
    let sent = fleet.send(&pick, rng)?;
    let idx = sent.idx;
    fleet.on_end(sent, now + MS);
    Some(idx)
}

/// A request every 5 ms for 12 s before ten servers of which five ask for 3 s of rest each time
/// that they are asked within the first 6 s.
#[test]
fn servers_that_ask_for_rest_are_asked_once_in_each() {
    let mut fleet = fleet(10);
    let mut rng = SmallRng::seed_from_u64(7);
    let tired: Vec<ServerIdx> = (0..5).map(|number| idx(&fleet, number)).collect();
    let mut asked = vec![Vec::new(); tired.len()];
    let mut served_again = 0;
    for step in 0..2_400 {
        let now = SECOND + step * 5 * MS;
        let chosen = send(&mut fleet, now, &mut rng).expect("five others are open");
        let Some(number) = tired.iter().position(|one| *one == chosen) else {
            continue;
        };
        if now > 7 * SECOND {
            served_again += 1;
            continue;
        }
        asked[number].push(now);
        fleet.on_rest(chosen, now, now + 3 * SECOND);
    }
    for times in &asked {
        assert!(times.windows(2).all(|two| two[1] - two[0] >= 3 * SECOND));
    }
    assert!(served_again > 100, "they take work when their rest is over");
}

#[test]
fn a_pool_that_rests_as_a_whole_says_when_the_first_server_is_back() {
    let mut fleet = fleet(3);
    let mut rng = SmallRng::seed_from_u64(1);
    for (number, secs) in [(0, 5), (1, 2), (2, 9)] {
        let idx = idx(&fleet, number);
        fleet.on_rest(idx, SECOND, SECOND + secs * SECOND);
    }
    assert_eq!(send(&mut fleet, SECOND, &mut rng), None);
    assert_eq!(fleet.open_len(), 0);
    let left = fleet.rest_left(SECOND).expect("all rest");
    assert_eq!(left.as_secs(), 2);
    assert_eq!(send(&mut fleet, 3 * SECOND, &mut rng), Some(idx(&fleet, 1)));
}

#[test]
fn a_shorter_rest_does_not_end_a_longer_one() {
    let mut fleet = fleet(1);
    let mut rng = SmallRng::seed_from_u64(1);
    let one = idx(&fleet, 0);
    fleet.on_rest(one, SECOND, 9 * SECOND);
    fleet.on_rest(one, SECOND, 2 * SECOND);
    assert_eq!(send(&mut fleet, 3 * SECOND, &mut rng), None);
    assert_eq!(send(&mut fleet, 9 * SECOND, &mut rng), Some(one));
}

/// A younger report of its load takes an answer's word back elsewhere; here nothing does.
#[test]
fn a_server_that_leaves_gets_nothing_until_it_starts_again() {
    let mut fleet = fleet(1);
    let mut rng = SmallRng::seed_from_u64(1);
    let one = idx(&fleet, 0);
    fleet.on_leaving(one);
    fleet.on_report(one, 2 * SECOND, swiftlink_routing::LoadReport::default());
    assert_eq!(send(&mut fleet, 3 * SECOND, &mut rng), None);
    let mut next = specs(1);
    next[0].instance.started = 5;
    fleet.set_config(&next);
    assert!(send(&mut fleet, 4 * SECOND, &mut rng).is_some());
}

proptest! {
    #[test]
    fn nobody_is_sent_to_while_it_rests_and_all_are_open_afterwards(
        rests in prop::collection::vec((0_usize..6, 0_u64..20, 1_u64..20), 0..30),
        seed in any::<u64>(),
    ) {
        let mut fleet = fleet(6);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut until = [0; 6];
        let mut rests = rests;
        rests.sort_by_key(|rest| rest.1);
        for (number, at, secs) in rests {
            let now = SECOND + at * SECOND;
            let one = idx(&fleet, number);
            fleet.on_rest(one, now, now + secs * SECOND);
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
