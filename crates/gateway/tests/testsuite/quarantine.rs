//! Which requests are held, by the ends of servers that worked on them.
//!
//! The load: one request ends each server that begins to run it and comes back a few times a second,
//! among hundreds of others that share its servers; and loads in which servers end for other reasons.

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use http::{Method, Uri};
use proptest::prelude::*;
use swiftlink_gateway::fingerprint::{Content, Fingerprint};
use swiftlink_gateway::quarantine::{
    Cases, Cleared, ENDS, ENDS_MAX, HELD_MAX, HOLD, ONE_MOMENT, PRINTS_MAX, ServerEnd, Verdict,
};
use swiftlink_types::{ServerName, Start, VmName};

/// Sends that are allowed after as many ends as show what a request does.
const MORE: usize = 3;
/// A second in the unit of [`Cases`].
const SECOND: u64 = 1_000;

pub(crate) fn print(number: u32) -> Fingerprint {
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
    let held = ends.iter().flat_map(|end| cases.on_end(end.at, end).held);
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
    let held = cases.on_end(3_000, &end(3, 3_000, &[7], "vm-3")).held;
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

/// Two deadly requests at a time, and an innocent one that met both before either had its third
/// end. It was held, and what it had met was no longer put down to the others: one of them ended five
/// servers.
#[test]
fn an_innocent_request_that_was_held_first_neither_hides_the_cause_nor_stays_held() {
    let mut cases = Cases::default();
    let ends = [
        end(1, 1_000, &[7, 1], "vm-1"),
        end(2, 2_000, &[7, 1], "vm-2"),
        end(3, 3_000, &[8, 1], "vm-3"),
    ];
    assert_eq!(take(&mut cases, &ends), [print(1)]);
    assert_eq!(take(&mut cases, &[end(4, 4_000, &[8, 2], "vm-1")]), []);
    // With as many ends as the innocent one the cause is still hidden, with one more it isn't.
    let third = take(&mut cases, &[end(5, 5_000, &[7, 3], "vm-1")]);
    let fourth = take(&mut cases, &[end(6, 6_000, &[7, 4], "vm-1")]);
    assert_eq!([third, fourth].concat(), [print(7)]);
    take(&mut cases, &[end(7, 7_000, &[8, 5], "vm-1")]);
    take(&mut cases, &[end(8, 8_000, &[8, 6], "vm-1")]);
    assert!(cases.rest(&print(8), 8_000).is_some());
    assert_eq!(
        cases.rest(&print(1), 8_000),
        None,
        "others explain its ends"
    );
    // It isn't trusted as before.
    assert_eq!(take(&mut cases, &[end(9, 9_000, &[1], "vm-1")]), [print(1)]);
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
    assert_eq!(cases.on_served(print(7), 3_500), Cleared::Hold);
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

/// All routers may send the request once the time is over, and each would end a server.
#[test]
fn routers_let_go_one_after_the_other_and_whenever_they_heard_of_it() {
    let late = Duration::from_secs(7);
    let mut first = Cases::default();
    let mut second = Cases::with_stagger(late);
    let ends = [1, 2, 3].map(|number| end(number, u64::from(number) * SECOND, &[7], "vm-1"));
    assert_eq!(take(&mut first, &ends), [print(7)]);
    for end in &ends {
        second.on_end(60 * SECOND, end);
    }
    let now = 60 * SECOND;
    let left = first.rest(&print(7), now).expect("held");
    assert_eq!(left, HOLD - Duration::from_secs(57));
    assert_eq!(second.rest(&print(7), now), Some(left + late));
}

#[test]
fn ends_age_and_so_do_holds() {
    let mut cases = Cases::default();
    let hour = 3_600 * SECOND;
    assert_eq!(take(&mut cases, &[end(1, SECOND, &[7], "vm-1")]), []);
    assert_eq!(take(&mut cases, &[end(2, hour, &[7], "vm-1")]), []);
    assert_eq!(take(&mut cases, &[end(3, 2 * hour, &[7], "vm-1")]), []);
    // An old end that is told late isn't news.
    let late = cases.on_end(9 * hour, &end(4, hour, &[7], "vm-2"));
    assert_eq!(late, Verdict::default());
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

    /// Two deadly requests among neighbours that meet the ends of both: neither ends more servers than
    /// is allowed.
    #[test]
    fn two_deadly_requests_at_a_time_are_both_found(
        rows in prop::collection::vec((any::<bool>(), prop::collection::hash_set(0_u32..12, 0..6)), 1..40),
    ) {
        let mut cases = Cases::default();
        let mut ends = [0; 2];
        for (number, (is_second, neighbours)) in rows.iter().enumerate() {
            let at = (number as u64 + 1) * SECOND;
            let deadly = 98 + u32::from(*is_second);
            if cases.rest(&print(deadly), at).is_some() {
                continue;
            }
            let mut prints: Vec<u32> = neighbours.iter().copied().collect();
            prints.retain(|one| cases.rest(&print(*one), at).is_none());
            prints.push(deadly);
            cases.on_end(at, &end(number as u32, at, &prints, "vm-1"));
            ends[usize::from(*is_second)] += 1;
        }
        prop_assert!(ends.iter().all(|ends| *ends <= ENDS + MORE), "{:?}", ends);
    }
}
