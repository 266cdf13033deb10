//! Which requests are held, by the ends of servers that worked on them.
//!
//! The load: one request ends each server that begins to run it and comes back a few times a second,
//! among hundreds of others that share its servers; and loads in which servers end for other reasons.

use std::collections::{BTreeSet, HashSet};

use http::{Method, Uri};
use proptest::prelude::*;
use swiftlink_gateway::fingerprint::{Content, Fingerprint};
use swiftlink_gateway::quarantine::{
    Cases, ENDS, ENDS_MAX, HELD_MAX, HOLD, ONE_MOMENT, PRINTS_MAX, ServerEnd,
};
use swiftlink_types::{ServerName, Start, VmName};

/// A second in the unit of [`Cases`].
const SECOND: u64 = 1_000;

fn print(number: u32) -> Fingerprint {
    Fingerprint::of(&Content {
        workspace: None,
        method: Method::POST,
        host: "a.example".to_owned(),
        uri: format!("/{number}").parse::<Uri>().expect("a path"),
        body: "".into(),
    })
}

/// The end of server `number` at `at`, as `vm` saw it.
fn end(number: u32, at: u64, prints: &[u32], vm: &str) -> ServerEnd {
    ServerEnd {
        start: Start::from(ServerName::from(format!("i-{number}").as_str())),
        at,
        prints: prints.iter().map(|number| print(*number)).collect(),
        seen_by: BTreeSet::from([VmName::from(vm)]),
    }
}

/// Takes ends one after the other, and gives what is held by them.
fn take(cases: &mut Cases, ends: &[ServerEnd]) -> Vec<Fingerprint> {
    let held = ends.iter().flat_map(|end| cases.on_end(end.at, end));
    held.map(|held| held.print).collect()
}

#[test]
fn the_request_that_three_ends_have_in_common_is_held_and_its_neighbours_are_not() {
    let mut cases = Cases::default();
    let ends = [
        end(1, 1_000, &[7, 1, 2, 3], "vm-1"),
        end(2, 2_000, &[7, 1, 4, 5], "vm-2"),
        end(3, 3_000, &[7, 2, 6, 8], "vm-3"),
    ];
    assert_eq!(take(&mut cases, &ends), [print(7)]);
    assert_eq!(cases.rest(&print(7), 3_000), Some(HOLD));
    assert_eq!(cases.rest(&print(1), 3_000), None);
}

#[test]
fn what_several_routers_saw_of_one_end_counts_once_and_adds_up() {
    let mut cases = Cases::default();
    for at in [1_000, 2_000] {
        let number = (at / SECOND) as u32;
        assert_eq!(take(&mut cases, &[end(number, at, &[7], "vm-1")]), []);
        assert_eq!(take(&mut cases, &[end(number, at, &[7, 8], "vm-2")]), []);
    }
    // The one that sees the third is another one.
    let held = cases.on_end(3_000, &end(3, 3_000, &[7], "vm-3"));
    assert_eq!(held.len(), 1);
    let seen: BTreeSet<VmName> = held[0]
        .ends
        .iter()
        .flat_map(|end| end.seen_by.clone())
        .collect();
    assert_eq!(seen.len(), 3, "the line says who saw it");
}

/// Callers whose requests were on a server that another one ended send them again, and meet the
/// next server that ends.
#[test]
fn ends_that_a_held_request_explains_count_for_no_other_one() {
    let mut cases = Cases::default();
    let ends = [
        end(1, 1_000, &[7, 1], "vm-1"),
        end(2, 2_000, &[7, 1], "vm-1"),
        end(3, 3_000, &[7, 2], "vm-1"),
        // Sends of the held request that were under way, beside the innocent one.
        end(4, 3_400, &[7, 1], "vm-2"),
        end(5, 3_800, &[7, 1, 2], "vm-3"),
        end(6, 4_300, &[1], "vm-3"),
    ];
    assert_eq!(take(&mut cases, &ends), [print(7)]);
    assert_eq!(cases.rest(&print(1), 5_000), None);
    assert_eq!(cases.rest(&print(2), 5_000), None);
}

/// A rack takes all its servers at a moment, and a body that is asked for often is on each.
#[test]
fn servers_that_end_at_one_moment_count_once() {
    let mut cases = Cases::default();
    let moment = ONE_MOMENT.as_millis() as u64;
    let ends: Vec<ServerEnd> = (0..12)
        .map(|number| {
            end(
                number,
                1_000 + u64::from(number) * moment / 11,
                &[7],
                "vm-1",
            )
        })
        .collect();
    assert_eq!(take(&mut cases, &ends), []);
}

/// In a release servers end one after the other, each with requests of that body.
#[test]
fn a_body_that_is_served_between_the_ends_is_never_held() {
    let mut cases = Cases::default();
    for number in 0..40 {
        let at = u64::from(number) * SECOND;
        assert_eq!(take(&mut cases, &[end(number, at, &[7], "vm-1")]), []);
        cases.on_served(print(7), at + SECOND / 2);
    }
}

#[test]
fn a_good_end_lifts_a_hold_and_clears_of_ends_that_are_told_later() {
    let mut cases = Cases::default();
    let ends = [1, 2, 3].map(|number| end(number, u64::from(number) * SECOND, &[7], "vm-1"));
    assert_eq!(take(&mut cases, &ends), [print(7)]);
    assert!(cases.on_served(print(7), 3_500));
    assert_eq!(cases.rest(&print(7), 3_500), None);
    // Another router tells of the same ends, and of one more from before.
    let later = [4, 2, 1].map(|number| end(number, 3_000, &[7], "vm-2"));
    assert_eq!(take(&mut cases, &later), []);
    assert_eq!(cases.rest(&print(7), 3_600), None);
}

#[test]
fn a_request_that_was_held_is_not_trusted_a_second_time() {
    let mut cases = Cases::default();
    let ends = [1, 2, 3].map(|number| end(number, u64::from(number) * SECOND, &[7], "vm-1"));
    assert_eq!(take(&mut cases, &ends), [print(7)]);
    let over = 3 * SECOND + HOLD.as_millis() as u64;
    assert_eq!(cases.rest(&print(7), over), None, "it may be tried once");
    assert_eq!(take(&mut cases, &[end(9, over, &[7], "vm-1")]), [print(7)]);
    assert_eq!(cases.rest(&print(7), over), Some(HOLD * 2));
}

#[test]
fn ends_age_and_so_do_holds() {
    let mut cases = Cases::default();
    let hour = 3_600 * SECOND;
    assert_eq!(take(&mut cases, &[end(1, SECOND, &[7], "vm-1")]), []);
    assert_eq!(take(&mut cases, &[end(2, hour, &[7], "vm-1")]), []);
    assert_eq!(take(&mut cases, &[end(3, 2 * hour, &[7], "vm-1")]), []);
    // An old end that is told late isn't news.
    assert!(
        cases
            .on_end(9 * hour, &end(4, hour, &[7], "vm-2"))
            .is_empty()
    );
    assert!(cases.is_empty());
}

#[test]
fn memory_is_bounded_and_what_is_held_stays_held() {
    let mut cases = Cases::default();
    let ends = [1, 2, 3].map(|number| end(number, u64::from(number) * SECOND, &[7], "vm-1"));
    assert_eq!(take(&mut cases, &ends), [print(7)]);
    // A caller floods servers that it ends with requests of all sorts.
    for number in 10..10 + 3 * ENDS_MAX as u32 {
        let first = number * 1_000;
        let prints: Vec<u32> = (first..first + 2 * PRINTS_MAX as u32).collect();
        cases.on_end(4 * SECOND, &end(number, 4 * SECOND, &prints, "vm-1"));
    }
    assert!(cases.rest(&print(7), 4 * SECOND).is_some());
    assert!(cases.held_len() <= HELD_MAX);
    let text = format!("{cases:?}");
    let kept = text.matches("Fingerprint(").count();
    // Each is kept with its end and once by itself.
    assert!(
        kept <= 2 * ENDS_MAX * PRINTS_MAX + HELD_MAX,
        "{kept} prints are kept"
    );
}

proptest! {
    /// Servers end under a request, among random neighbours that come again and meet further ends:
    /// it is held by the last of so many ends, and nobody who met fewer.
    #[test]
    fn nobody_is_held_by_fewer_ends_than_it_takes(
        rows in prop::collection::vec(prop::collection::hash_set(0_u32..40, 0..8), 1..24),
    ) {
        let mut cases = Cases::default();
        let mut met = std::collections::HashMap::<u32, usize>::new();
        let mut deadly_ends = 0;
        for (number, neighbours) in rows.iter().enumerate() {
            let at = (number as u64 + 1) * SECOND;
            if cases.rest(&print(99), at).is_some() {
                break;
            }
            let mut prints: HashSet<u32> = neighbours.clone();
            prints.retain(|one| cases.rest(&print(*one), at).is_none());
            for one in &prints {
                *met.entry(*one).or_default() += 1;
            }
            prints.insert(99);
            deadly_ends += 1;
            let prints: Vec<u32> = prints.into_iter().collect();
            cases.on_end(at, &end(number as u32, at, &prints, "vm-1"));
            prop_assert_eq!(cases.rest(&print(99), at).is_some(), deadly_ends >= ENDS);
            for (one, count) in &met {
                prop_assert!(cases.rest(&print(*one), at).is_none() || *count >= ENDS);
            }
        }
    }
}
