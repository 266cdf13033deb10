//! How long a configuration may be taken for the newest one.

use proptest::prelude::*;
use swiftlink_router::freshness::{Freshness, FreshnessPolicy, Pong, Trust};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const POLICY: FreshnessPolicy = FreshnessPolicy {
    max_age: 5 * SECOND,
    pong_validity: 2_500 * MS,
    outage_age: 2_500 * MS,
};
/// Moment of the last contact with the log in the stories below.
const OUT: u64 = 100 * SECOND;

/// A router that was current when the log went out.
fn current(ledgers: usize) -> Freshness {
    let mut fresh = Freshness::new(POLICY, ledgers);
    fresh.on_page(OUT);
    fresh
}

/// An answer of a ledger that heard last from the log at `contact`.
fn pong(at: u64, contact: u64) -> Pong {
    Pong {
        sent_at: at,
        received_at: at,
        log_age: Some(at - contact),
    }
}

#[test]
fn nothing_is_trusted_before_the_first_page() {
    let mut fresh = Freshness::new(POLICY, 1);
    fresh.on_pong(0, pong(60 * SECOND, 0));
    assert_eq!(fresh.trust_at(60 * SECOND), Trust::None);
    assert_eq!(fresh.trusted_until(), None);
}

#[test]
fn an_outage_for_every_ledger_makes_nothing_stale() {
    let mut fresh = current(3);
    for second in 1..60 {
        let now = OUT + second * SECOND;
        (0..3).for_each(|ledger| fresh.on_pong(ledger, pong(now, OUT)));
        let told = if second < 3 {
            Trust::Current
        } else {
            Trust::LogUnavailable
        };
        assert_eq!(fresh.trust_at(now), told, "{second} s");
        assert!(fresh.trusted_until() >= Some(now));
    }
}

#[test]
fn one_ledger_that_is_not_heard_leaves_the_age_to_decide() {
    let mut fresh = current(3);
    let now = OUT + 20 * SECOND;
    (0..3).for_each(|ledger| fresh.on_pong(ledger, pong(now - 3 * SECOND, OUT)));
    (0..2).for_each(|ledger| fresh.on_pong(ledger, pong(now, OUT)));
    assert_eq!(fresh.trust_at(now - SECOND), Trust::LogUnavailable);
    assert_eq!(fresh.trust_at(now), Trust::Stale);
}

#[test]
fn a_ledger_that_hears_the_log_again_ends_the_trust_at_once() {
    let mut fresh = current(2);
    let now = OUT + 20 * SECOND;
    (0..2).for_each(|ledger| fresh.on_pong(ledger, pong(now, OUT)));
    assert_eq!(fresh.trust_at(now), Trust::LogUnavailable);
    fresh.on_pong(1, pong(now + SECOND, now + SECOND - 10 * MS));
    assert_eq!(fresh.trust_at(now + SECOND), Trust::Stale);
    fresh.on_page(now + SECOND);
    assert_eq!(fresh.trust_at(now + SECOND), Trust::Current);
}

#[test]
fn a_ledger_that_was_restarted_in_the_outage_speaks_for_nobody() {
    let mut fresh = current(2);
    let now = OUT + 20 * SECOND;
    fresh.on_pong(0, pong(now, OUT));
    let restarted = Pong {
        sent_at: now,
        received_at: now,
        log_age: None,
    };
    fresh.on_pong(1, restarted);
    assert_eq!(fresh.trust_at(now), Trust::Stale);
}

#[test]
fn a_ledger_that_heard_more_than_is_folded_here_ends_the_trust() {
    let mut fresh = current(2);
    let now = OUT + 60 * SECOND;
    let later = OUT + 10 * SECOND;
    fresh.on_pong(0, pong(now, OUT));
    fresh.on_pong(1, pong(now, later));
    assert_eq!(fresh.trust_at(now), Trust::Stale);
    // It gives its pages in turn, with the age of its knowledge.
    fresh.on_page(later);
    assert_eq!(fresh.trust_at(now), Trust::LogUnavailable);
}

#[test]
fn an_answer_that_came_late_changes_nothing() {
    let mut fresh = current(1);
    let now = OUT + 20 * SECOND;
    fresh.on_pong(0, pong(now, now));
    fresh.on_pong(0, pong(now - SECOND, OUT));
    assert_eq!(fresh.trust_at(now), Trust::Stale);
}

/// Time between two steps of the property test, and its number of steps.
const STEP: u64 = 100 * MS;
const STEPS: u64 = 600;
/// Moment of the first step.
const START: u64 = 10 * SECOND;
/// Longest time after which a ledger finds that the log is back for its VM.
const FINDS: u64 = 2 * SECOND;
/// Time between two pings of a ledger.
const PING: u64 = SECOND;

/// One VM: when the log was out for it, and when the router could not reach it.
#[derive(Debug, Clone)]
struct Vm {
    out: (u64, u64),
    cut: (u64, u64),
    finds: u64,
}

fn span() -> impl Strategy<Value = (u64, u64)> {
    let step = |step| START + step * STEP;
    (0..STEPS, 0..STEPS).prop_map(move |(from, length)| (step(from), step(from + length)))
}

fn vm() -> impl Strategy<Value = Vm> {
    (span(), span(), 0..FINDS).prop_map(|(out, cut, finds)| Vm { out, cut, finds })
}

fn within(span: (u64, u64), at: u64) -> bool {
    (span.0..span.1).contains(&at)
}

impl Vm {
    /// The log answers this VM, so that its operator may accept a change.
    fn has_log(&self, at: u64) -> bool {
        !within(self.out, at)
    }

    /// Its ledger's last contact, which comes back later than the operator's.
    fn contact(&self, at: u64) -> u64 {
        if within((self.out.0, self.out.1 + self.finds), at) {
            self.out.0
        } else {
            at
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Whatever is cut and out: once a change may have been accepted anywhere, a router
    /// that has not got it trusts its configuration for 5 s at most.
    #[test]
    fn no_change_is_missed_for_longer_than_the_age(vms in prop::collection::vec(vm(), 1..5)) {
        let mut fresh = Freshness::new(POLICY, vms.len());
        // Moments at which a change may have been accepted.
        let mut changes = Vec::new();
        for step in 0..STEPS {
            let now = START + step * STEP;
            if vms.iter().any(|vm| vm.has_log(now)) {
                changes.push(now);
            }
            for (ledger, vm) in vms.iter().enumerate() {
                if within(vm.cut, now) {
                    continue;
                }
                if now.is_multiple_of(PING) {
                    fresh.on_pong(ledger, pong(now, vm.contact(now)));
                }
                fresh.on_page(vm.contact(now));
            }
            let missing = changes.iter().find(|at| Some(**at) > fresh.confirmed_at());
            let Some(since) = missing.filter(|since| now - **since > POLICY.max_age) else {
                continue;
            };
            let trust = fresh.trust_at(now);
            prop_assert!(
                !matches!(trust, Trust::Current | Trust::LogUnavailable),
                "{trust:?} at {now} without a change of {since}: {vms:?}"
            );
            prop_assert!(fresh.trusted_until() < Some(now));
        }
    }

    /// Pings and pages in any order never make the judgement contradict `until`.
    #[test]
    fn the_moment_agrees_with_the_judgement(
        inputs in prop::collection::vec((0..3_usize, 0..60_u64, 0..20_u64, any::<bool>()), 0..40),
        now in 0..80_u64,
    ) {
        let mut fresh = Freshness::new(POLICY, 3);
        for (ledger, at, age, is_page) in inputs {
            if is_page {
                fresh.on_page(at * SECOND);
            } else {
                let log_age = (age < 15).then_some(age * SECOND);
                let at = at * SECOND;
                fresh.on_pong(ledger, Pong { sent_at: at, received_at: at, log_age });
            }
        }
        let now = now * SECOND;
        let trusted = matches!(fresh.trust_at(now), Trust::Current | Trust::LogUnavailable);
        prop_assert_eq!(trusted, fresh.trusted_until().is_some_and(|until| now <= until));
    }
}
