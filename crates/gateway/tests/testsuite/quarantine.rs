//! Tests which requests are held after crashes of servers that ran them.
//!
//! One request crashes each server that runs it and is retried a few times a second, among hundreds
//! of others on the same servers. Other tests crash servers for other reasons.

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use http::{Method, Uri};
use proptest::prelude::*;
use swiftlink_gateway::fingerprint::{Content, Fingerprint};
use swiftlink_gateway::quarantine::{
    CRASHES_TO_HOLD, Clearance, CrashHistory, HoldChanges, INITIAL_HOLD, MAX_CRASHES,
    MAX_FINGERPRINTS, MAX_HELD, SIMULTANEOUS_WINDOW, ServerCrash,
};
use swiftlink_types::{ServerInstance, ServerName, VmName};

/// Attempts allowed beyond the crashes after which a request is held.
const MAX_EXTRA_ATTEMPTS: usize = 3;
/// One second in the unit of [`CrashHistory`].
const SECOND: u64 = 1_000;

pub(crate) fn fingerprint(number: u32) -> Fingerprint {
    Fingerprint::of(&Content {
        workspace: None,
        method: Method::POST,
        host: "a.example".to_owned(),
        uri: format!("/{number}").parse::<Uri>().expect("a path"),
        body: "".into(),
    })
}

/// The crash of server `number` at `at`, as seen by `vm`.
fn crash(number: u32, at: u64, fingerprints: &[u32], vm: &str) -> ServerCrash {
    ServerCrash {
        instance: ServerInstance::from(ServerName::from(format!("i-{number}").as_str())),
        at,
        fingerprints: fingerprints
            .iter()
            .map(|number| fingerprint(*number))
            .collect(),
        seen_by: BTreeSet::from([VmName::from(vm)]),
    }
}

/// Adds crashes one after the other. Returns the requests that are held.
fn add_crashes(history: &mut CrashHistory, crashes: &[ServerCrash]) -> Vec<Fingerprint> {
    let held = crashes
        .iter()
        .flat_map(|crash| history.on_crash(crash.at, crash).held);
    held.map(|held| held.fingerprint).collect()
}

#[test]
fn only_the_request_common_to_three_crashes_is_held() {
    let mut history = CrashHistory::default();
    let crashes = [
        crash(1, 1_000, &[7, 1, 2, 3], "vm-1"),
        crash(2, 2_000, &[7, 1, 4, 5], "vm-2"),
        crash(3, 3_000, &[7, 2, 6, 8], "vm-3"),
    ];
    assert_eq!(add_crashes(&mut history, &crashes), [fingerprint(7)]);
    assert_eq!(
        history.remaining_hold(&fingerprint(7), 3_000),
        Some(INITIAL_HOLD)
    );
    assert_eq!(history.remaining_hold(&fingerprint(1), 3_000), None);
}

#[test]
fn reports_of_one_crash_are_merged() {
    let mut history = CrashHistory::default();
    for at in [1_000, 2_000] {
        let number = (at / SECOND) as u32;
        assert_eq!(
            add_crashes(&mut history, &[crash(number, at, &[7], "vm-1")]),
            []
        );
        assert_eq!(
            add_crashes(&mut history, &[crash(number, at, &[7, 8], "vm-2")]),
            []
        );
    }
    // The third crash is seen by another router.
    let held = history.on_crash(3_000, &crash(3, 3_000, &[7], "vm-3")).held;
    assert_eq!(held.len(), 1);
    let seen: BTreeSet<VmName> = held[0]
        .crashes
        .iter()
        .flat_map(|crash| crash.seen_by.clone())
        .collect();
    assert_eq!(seen.len(), 3, "reports of all routers are kept");
}

/// Callers retry requests that were on a server crashed by another request, and may meet the next
/// crash.
#[test]
fn crashes_explained_by_a_held_request_do_not_count_for_others() {
    let mut history = CrashHistory::default();
    let crashes = [
        crash(1, 1_000, &[7, 1], "vm-1"),
        crash(2, 2_000, &[7, 1], "vm-1"),
        crash(3, 3_000, &[7, 2], "vm-1"),
        // Attempts of the held request that had already started, next to the innocent one.
        crash(4, 3_400, &[7, 1], "vm-2"),
        crash(5, 3_800, &[7, 1, 2], "vm-3"),
        crash(6, 4_300, &[1], "vm-3"),
    ];
    assert_eq!(add_crashes(&mut history, &crashes), [fingerprint(7)]);
    assert_eq!(history.remaining_hold(&fingerprint(1), 5_000), None);
    assert_eq!(history.remaining_hold(&fingerprint(2), 5_000), None);
}

/// Two queries of death at a time, and an innocent request that is in crashes of both before either
/// is in its third. Once it was held, its crashes no longer counted against the others, and one of
/// them crashed five servers.
#[test]
fn innocent_request_held_first_is_released_and_does_not_hide_the_cause() {
    let mut history = CrashHistory::default();
    let crashes = [
        crash(1, 1_000, &[7, 1], "vm-1"),
        crash(2, 2_000, &[7, 1], "vm-2"),
        crash(3, 3_000, &[8, 1], "vm-3"),
    ];
    assert_eq!(add_crashes(&mut history, &crashes), [fingerprint(1)]);
    assert_eq!(
        add_crashes(&mut history, &[crash(4, 4_000, &[8, 2], "vm-1")]),
        []
    );
    // In as many crashes as the innocent request the cause is still hidden, in one more it isn't.
    let third = add_crashes(&mut history, &[crash(5, 5_000, &[7, 3], "vm-1")]);
    let fourth = add_crashes(&mut history, &[crash(6, 6_000, &[7, 4], "vm-1")]);
    assert_eq!([third, fourth].concat(), [fingerprint(7)]);
    add_crashes(&mut history, &[crash(7, 7_000, &[8, 5], "vm-1")]);
    add_crashes(&mut history, &[crash(8, 8_000, &[8, 6], "vm-1")]);
    assert!(history.remaining_hold(&fingerprint(8), 8_000).is_some());
    assert_eq!(
        history.remaining_hold(&fingerprint(1), 8_000),
        None,
        "others explain its crashes"
    );
    // It was held before, so one crash suffices to hold it again.
    assert_eq!(
        add_crashes(&mut history, &[crash(9, 9_000, &[1], "vm-1")]),
        [fingerprint(1)]
    );
}

/// A rack failure crashes all its servers at once, and a frequent request runs on each of them.
#[test]
fn simultaneous_crashes_count_once() {
    let mut history = CrashHistory::default();
    let window = SIMULTANEOUS_WINDOW.as_millis() as u64;
    let crashes: Vec<ServerCrash> = (0..12)
        .map(|number| {
            crash(
                number,
                1_000 + u64::from(number) * window / 11,
                &[7],
                "vm-1",
            )
        })
        .collect();
    assert_eq!(add_crashes(&mut history, &crashes), []);
}

/// A release restarts one server after the other, each while it runs the request.
#[test]
fn request_completed_between_crashes_is_never_held() {
    let mut history = CrashHistory::default();
    for number in 0..40 {
        let at = u64::from(number) * SECOND;
        assert_eq!(
            add_crashes(&mut history, &[crash(number, at, &[7], "vm-1")]),
            []
        );
        history.on_completed(fingerprint(7), at + SECOND / 2);
    }
}

#[test]
fn completion_lifts_a_hold_and_clears_crashes_reported_later() {
    let mut history = CrashHistory::default();
    let crashes = [1, 2, 3].map(|number| crash(number, u64::from(number) * SECOND, &[7], "vm-1"));
    assert_eq!(add_crashes(&mut history, &crashes), [fingerprint(7)]);
    assert_eq!(history.on_completed(fingerprint(7), 3_500), Clearance::Hold);
    assert_eq!(history.remaining_hold(&fingerprint(7), 3_500), None);
    // Another router reports the same crashes, and one more from before the completion.
    let later = [4, 2, 1].map(|number| crash(number, 3_000, &[7], "vm-2"));
    assert_eq!(add_crashes(&mut history, &later), []);
    assert_eq!(history.remaining_hold(&fingerprint(7), 3_600), None);
}

#[test]
fn request_held_before_is_held_again_after_one_crash() {
    let mut history = CrashHistory::default();
    let crashes = [1, 2, 3].map(|number| crash(number, u64::from(number) * SECOND, &[7], "vm-1"));
    assert_eq!(add_crashes(&mut history, &crashes), [fingerprint(7)]);
    let expiry = 3 * SECOND + INITIAL_HOLD.as_millis() as u64;
    assert_eq!(
        history.remaining_hold(&fingerprint(7), expiry),
        None,
        "it may be tried once"
    );
    assert_eq!(
        add_crashes(&mut history, &[crash(9, expiry, &[7], "vm-1")]),
        [fingerprint(7)]
    );
    assert_eq!(
        history.remaining_hold(&fingerprint(7), expiry),
        Some(INITIAL_HOLD * 2)
    );
}

/// If all routers released the request at the same time, each of them would crash a server.
#[test]
fn holds_expire_staggered_and_independently_of_arrival_times() {
    let late = Duration::from_secs(7);
    let mut first = CrashHistory::default();
    let mut second = CrashHistory::with_stagger(late);
    let crashes = [1, 2, 3].map(|number| crash(number, u64::from(number) * SECOND, &[7], "vm-1"));
    assert_eq!(add_crashes(&mut first, &crashes), [fingerprint(7)]);
    for crash in &crashes {
        second.on_crash(60 * SECOND, crash);
    }
    let now = 60 * SECOND;
    let left = first.remaining_hold(&fingerprint(7), now).expect("held");
    assert_eq!(left, INITIAL_HOLD - Duration::from_secs(57));
    assert_eq!(
        second.remaining_hold(&fingerprint(7), now),
        Some(left + late)
    );
}

#[test]
fn crashes_and_holds_expire() {
    let mut history = CrashHistory::default();
    let hour = 3_600 * SECOND;
    assert_eq!(
        add_crashes(&mut history, &[crash(1, SECOND, &[7], "vm-1")]),
        []
    );
    assert_eq!(
        add_crashes(&mut history, &[crash(2, hour, &[7], "vm-1")]),
        []
    );
    assert_eq!(
        add_crashes(&mut history, &[crash(3, 2 * hour, &[7], "vm-1")]),
        []
    );
    // An old crash that is reported late has no effect.
    let late = history.on_crash(9 * hour, &crash(4, hour, &[7], "vm-2"));
    assert_eq!(late, HoldChanges::default());
    assert!(history.is_empty());
}

#[test]
fn memory_is_bounded_and_holds_are_kept() {
    let mut history = CrashHistory::default();
    let crashes = [1, 2, 3].map(|number| crash(number, u64::from(number) * SECOND, &[7], "vm-1"));
    assert_eq!(add_crashes(&mut history, &crashes), [fingerprint(7)]);
    // A caller floods servers with many different requests and crashes them.
    for number in 10..10 + 3 * MAX_CRASHES as u32 {
        let first = number * 1_000;
        let fingerprints: Vec<u32> = (first..first + 2 * MAX_FINGERPRINTS as u32).collect();
        history.on_crash(
            4 * SECOND,
            &crash(number, 4 * SECOND, &fingerprints, "vm-1"),
        );
    }
    assert!(
        history
            .remaining_hold(&fingerprint(7), 4 * SECOND)
            .is_some()
    );
    assert!(history.held_len() <= MAX_HELD);
    let text = format!("{history:?}");
    let kept = text.matches("Fingerprint(").count();
    // Each is kept with its crash and once on its own.
    assert!(
        kept <= 2 * MAX_CRASHES * MAX_FINGERPRINTS + MAX_HELD,
        "{kept} fingerprints are kept"
    );
}

proptest! {
    /// Servers crash while running one request, among random neighbors that are retried and meet
    /// further crashes. The request is held from the last crash that it takes, and no request in
    /// fewer crashes is held.
    #[test]
    fn no_request_is_held_by_too_few_crashes(
        rows in prop::collection::vec(prop::collection::hash_set(0_u32..40, 0..8), 1..24),
    ) {
        let mut history = CrashHistory::default();
        let mut crash_counts = std::collections::HashMap::<u32, usize>::new();
        let mut query_crashes = 0;
        for (number, neighbors) in rows.iter().enumerate() {
            let at = (number as u64 + 1) * SECOND;
            if history.remaining_hold(&fingerprint(99), at).is_some() {
                break;
            }
            let mut fingerprints: HashSet<u32> = neighbors.clone();
            fingerprints.retain(|one| history.remaining_hold(&fingerprint(*one), at).is_none());
            for one in &fingerprints {
                *crash_counts.entry(*one).or_default() += 1;
            }
            fingerprints.insert(99);
            query_crashes += 1;
            let fingerprints: Vec<u32> = fingerprints.into_iter().collect();
            history.on_crash(at, &crash(number as u32, at, &fingerprints, "vm-1"));
            prop_assert_eq!(
                history.remaining_hold(&fingerprint(99), at).is_some(),
                query_crashes >= CRASHES_TO_HOLD
            );
            for (one, count) in &crash_counts {
                prop_assert!(
                    history.remaining_hold(&fingerprint(*one), at).is_none()
                        || *count >= CRASHES_TO_HOLD
                );
            }
        }
    }

    /// Two queries of death among neighbors that meet crashes of both: neither crashes more servers
    /// than allowed.
    #[test]
    fn two_concurrent_queries_of_death_are_both_held(
        rows in prop::collection::vec((any::<bool>(), prop::collection::hash_set(0_u32..12, 0..6)), 1..40),
    ) {
        let mut history = CrashHistory::default();
        let mut crashes = [0; 2];
        for (number, (is_second, neighbors)) in rows.iter().enumerate() {
            let at = (number as u64 + 1) * SECOND;
            let query = 98 + u32::from(*is_second);
            if history.remaining_hold(&fingerprint(query), at).is_some() {
                continue;
            }
            let mut fingerprints: Vec<u32> = neighbors.iter().copied().collect();
            fingerprints.retain(|one| history.remaining_hold(&fingerprint(*one), at).is_none());
            fingerprints.push(query);
            history.on_crash(at, &crash(number as u32, at, &fingerprints, "vm-1"));
            crashes[usize::from(*is_second)] += 1;
        }
        prop_assert!(
            crashes.iter().all(|crashes| *crashes <= CRASHES_TO_HOLD + MAX_EXTRA_ATTEMPTS),
            "{:?}",
            crashes
        );
    }
}
