//! Tests which parts of prompts are held after crashes of servers that ran requests with them.
//!
//! Guards against a router that holds nothing, as no two of the requests are alike, and against one
//! that holds what sound requests share with them.

use std::collections::{BTreeSet, HashSet};

use proptest::prelude::*;
use swiftlink_gateway::fingerprint::Fingerprint;
use swiftlink_gateway::quarantine::{
    CRASHES_TO_HOLD, Clearance, CrashHistory, MAX_CRASHES, MAX_FINGERPRINTS, ServerCrash,
};
use swiftlink_types::{PoolName, ServerInstance, ServerName, VmName};

use crate::quarantine::fingerprint;

const SECOND: u64 = 1_000;
/// First part of all prompts.
const FIRST: &str = "f1";
/// Part that crashes servers.
const DEADLY: &str = "dead";

pub(crate) fn part(id: &str) -> Fingerprint {
    Fingerprint::of_part(&PoolName::from("app"), id)
}

fn parts(ids: &[&str]) -> Vec<Fingerprint> {
    ids.iter().map(|id| part(id)).collect()
}

/// The crash of server `number` at `at`, under requests `requests` whose prompts have `ids`.
fn crash(number: u32, at: u64, requests: &[u32], ids: &[&str]) -> ServerCrash {
    let requests = requests.iter().map(|number| fingerprint(*number));
    ServerCrash {
        instance: ServerInstance::from(ServerName::from(format!("i-{number}").as_str())),
        at,
        fingerprints: requests.chain(parts(ids)).collect(),
        seen_by: BTreeSet::from([VmName::from("vm-1")]),
    }
}

/// Whether a prompt with these parts is held.
fn is_held(history: &CrashHistory, ids: &[&str], now: u64) -> bool {
    history.remaining_part_hold(&parts(ids), now).is_some()
}

#[test]
fn part_that_three_crashes_have_in_common_is_held_and_the_first_part_is_not() {
    let mut history = CrashHistory::default();
    for number in 1..=3 {
        let at = u64::from(number) * SECOND;
        // A sound request with the first part completes between the crashes.
        history.on_completed(part(FIRST), at - SECOND / 2);
        history.on_crash(at, &crash(number, at, &[number], &[FIRST, DEADLY]));
    }
    let now = 3 * SECOND;
    assert!(is_held(&history, &[FIRST, DEADLY], now));
    assert!(is_held(&history, &["other", DEADLY], now));
    assert!(!is_held(&history, &[FIRST, "other"], now));
}

/// No request with one part alone has run since the first crash.
#[test]
fn parts_that_come_together_hold_only_prompts_with_all_of_them() {
    let mut history = CrashHistory::default();
    let crashes = [1, 2, 3].map(|number| {
        let at = u64::from(number) * SECOND;
        crash(number, at, &[number], &[FIRST, DEADLY])
    });
    let mut held = Vec::new();
    for crash in &crashes {
        held.extend(history.on_crash(crash.at, crash).held);
    }
    let now = 3 * SECOND;
    assert!(is_held(&history, &[FIRST, DEADLY], now));
    assert!(!is_held(&history, &[FIRST, "other"], now));
    assert!(!is_held(&history, &["other", DEADLY], now));

    // What another router gets says the same, whichever part it hears of first.
    held.sort_by_key(|one| one.fingerprint);
    let mut other = CrashHistory::default();
    for crash in held.iter().flat_map(|one| one.evidence()) {
        other.on_crash(now, &crash);
    }
    assert!(is_held(&other, &[FIRST, DEADLY], now));
    assert!(!is_held(&other, &[FIRST, "other"], now));

    // A sound request tells them apart.
    assert_ne!(history.on_completed(part(FIRST), now), Clearance::Nothing);
    assert!(!is_held(&history, &[FIRST, "other"], now));
    assert!(is_held(&history, &["other", DEADLY], now));
}

/// A single request that crashes servers must not bring the parts of its prompt into disrepute.
#[test]
fn request_goes_before_a_part_that_is_in_the_same_crashes() {
    let mut history = CrashHistory::default();
    for number in 1..=3 {
        let at = u64::from(number) * SECOND;
        history.on_crash(at, &crash(number, at, &[7], &[FIRST, "subject"]));
    }
    let now = 3 * SECOND;
    assert!(history.remaining_hold(&fingerprint(7), now).is_some());
    assert!(!is_held(&history, &[FIRST, "subject"], now));
}

/// A request with the part is repeated until it is held itself; others with the part follow.
#[test]
fn part_is_held_though_a_request_with_it_is_held_already() {
    let mut history = CrashHistory::default();
    let requests = [7, 7, 7, 8, 9];
    for (number, request) in (1..).zip(requests) {
        let at = u64::from(number) * SECOND;
        history.on_completed(part(FIRST), at - 1);
        history.on_crash(at, &crash(number, at, &[request], &[FIRST, DEADLY]));
    }
    assert!(is_held(&history, &[FIRST, DEADLY], 5 * SECOND));
    assert!(!is_held(&history, &[FIRST], 5 * SECOND));
}

/// Servers crash for other reasons while requests with a popular part are on all of them.
#[test]
fn part_that_completes_between_crashes_is_never_held() {
    let mut history = CrashHistory::default();
    for number in 1..40 {
        let at = u64::from(number) * SECOND;
        history.on_crash(at, &crash(number, at, &[number], &[FIRST, "popular"]));
        assert!(!is_held(&history, &[FIRST, "popular"], at));
        history.on_completed(part(FIRST), at + 1);
        history.on_completed(part("popular"), at + 1);
    }
}

/// Guards against callers that invent parts until the evidence against others is forgotten.
#[test]
fn invented_parts_are_bounded_and_do_not_end_a_hold() {
    let mut history = CrashHistory::default();
    for number in 1..=3 {
        let at = u64::from(number) * SECOND;
        history.on_completed(part(FIRST), at - 1);
        history.on_crash(at, &crash(number, at, &[number], &[FIRST, DEADLY]));
    }
    let now = 4 * SECOND;
    for number in 10..10 + 2 * MAX_CRASHES as u32 {
        let ids: Vec<String> = (0..2 * MAX_FINGERPRINTS)
            .map(|id| format!("{number}-{id}"))
            .collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        history.on_crash(now, &crash(number, now, &[], &ids));
    }
    assert!(history.crashes_len() <= MAX_CRASHES);
    assert!(is_held(&history, &[FIRST, DEADLY], now));
}

proptest! {
    /// Requests with the deadly part come among sound ones whose parts complete elsewhere between
    /// two crashes. The part is held from the third crash on, and no prompt without it ever.
    #[test]
    fn only_prompts_with_the_deadly_part_are_held(
        rows in prop::collection::vec(prop::collection::hash_set(0_u32..6, 0..6), 1..12),
    ) {
        let mut history = CrashHistory::default();
        let name = |number: &u32| format!("a{number}");
        for (number, neighbors) in (1..).zip(&rows) {
            let at = u64::from(number) * SECOND;
            if is_held(&history, &[FIRST, DEADLY], at) {
                prop_assert!(number as usize > CRASHES_TO_HOLD);
                break;
            }
            prop_assert!(number as usize <= CRASHES_TO_HOLD);
            let ids: Vec<String> = neighbors.iter().map(name).collect();
            let mut ids: Vec<&str> = ids.iter().map(String::as_str).collect();
            ids.extend([FIRST, DEADLY]);
            history.on_crash(at, &crash(number, at, &[number], &ids));
            let sound: HashSet<&str> = ids.iter().copied().filter(|id| *id != DEADLY).collect();
            for id in sound {
                prop_assert!(!is_held(&history, &[FIRST, id], at));
                history.on_completed(part(id), at + SECOND / 2);
            }
        }
    }
}
