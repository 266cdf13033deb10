//! How long a configuration may be treated as the newest one.

use proptest::prelude::*;
use swiftlink_router::freshness::{Freshness, FreshnessPolicy, Pong, Trust};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const POLICY: FreshnessPolicy = FreshnessPolicy {
    max_age: 5 * SECOND,
    pong_validity: 2_500 * MS,
    outage_age: 2_500 * MS,
};
/// Time of the last contact with the log before the outage in the tests below.
const LAST_CONTACT: u64 = 100 * SECOND;

/// A router whose configuration was current when the outage of the log began.
fn current(ledgers: usize) -> Freshness {
    let mut freshness = Freshness::new(POLICY, ledgers);
    freshness.on_page(LAST_CONTACT);
    freshness
}

/// An answer of a ledger whose last contact with the log was at `contact`.
fn pong(at: u64, contact: u64) -> Pong {
    Pong {
        sent_at: at,
        received_at: at,
        log_age: Some(at - contact),
    }
}

#[test]
fn nothing_is_trusted_before_the_first_page() {
    let mut freshness = Freshness::new(POLICY, 1);
    freshness.on_pong(0, pong(60 * SECOND, 0));
    assert_eq!(freshness.trust_at(60 * SECOND), Trust::None);
    assert_eq!(freshness.trusted_until(), None);
}

#[test]
fn an_outage_reported_by_every_ledger_keeps_the_configuration_trusted() {
    let mut freshness = current(3);
    for second in 1..60 {
        let now = LAST_CONTACT + second * SECOND;
        (0..3).for_each(|ledger| freshness.on_pong(ledger, pong(now, LAST_CONTACT)));
        let expected = if second < 3 {
            Trust::Current
        } else {
            Trust::LogUnavailable
        };
        assert_eq!(freshness.trust_at(now), expected, "{second} s");
        assert!(freshness.trusted_until() >= Some(now));
    }
}

#[test]
fn without_an_answer_of_one_ledger_the_age_decides() {
    let mut freshness = current(3);
    let now = LAST_CONTACT + 20 * SECOND;
    (0..3).for_each(|ledger| freshness.on_pong(ledger, pong(now - 3 * SECOND, LAST_CONTACT)));
    (0..2).for_each(|ledger| freshness.on_pong(ledger, pong(now, LAST_CONTACT)));
    assert_eq!(freshness.trust_at(now - SECOND), Trust::LogUnavailable);
    assert_eq!(freshness.trust_at(now), Trust::Stale);
}

#[test]
fn a_ledger_that_reaches_the_log_again_ends_the_trust_at_once() {
    let mut freshness = current(2);
    let now = LAST_CONTACT + 20 * SECOND;
    (0..2).for_each(|ledger| freshness.on_pong(ledger, pong(now, LAST_CONTACT)));
    assert_eq!(freshness.trust_at(now), Trust::LogUnavailable);
    freshness.on_pong(1, pong(now + SECOND, now + SECOND - 10 * MS));
    assert_eq!(freshness.trust_at(now + SECOND), Trust::Stale);
    freshness.on_page(now + SECOND);
    assert_eq!(freshness.trust_at(now + SECOND), Trust::Current);
}

#[test]
fn a_ledger_restarted_during_the_outage_confirms_nothing() {
    let mut freshness = current(2);
    let now = LAST_CONTACT + 20 * SECOND;
    freshness.on_pong(0, pong(now, LAST_CONTACT));
    let restarted = Pong {
        sent_at: now,
        received_at: now,
        log_age: None,
    };
    freshness.on_pong(1, restarted);
    assert_eq!(freshness.trust_at(now), Trust::Stale);
}

#[test]
fn a_ledger_with_newer_contact_than_the_applied_records_ends_the_trust() {
    let mut freshness = current(2);
    let now = LAST_CONTACT + 60 * SECOND;
    let later = LAST_CONTACT + 10 * SECOND;
    freshness.on_pong(0, pong(now, LAST_CONTACT));
    freshness.on_pong(1, pong(now, later));
    assert_eq!(freshness.trust_at(now), Trust::Stale);
    // It serves its newer pages, with the age of its last contact.
    freshness.on_page(later);
    assert_eq!(freshness.trust_at(now), Trust::LogUnavailable);
}

#[test]
fn an_answer_to_an_earlier_ping_is_ignored() {
    let mut freshness = current(1);
    let now = LAST_CONTACT + 20 * SECOND;
    freshness.on_pong(0, pong(now, now));
    freshness.on_pong(0, pong(now - SECOND, LAST_CONTACT));
    assert_eq!(freshness.trust_at(now), Trust::Stale);
}

/// Time between two steps of the property test, and its number of steps.
const STEP: u64 = 100 * MS;
const STEPS: u64 = 600;
/// Time of the first step.
const START: u64 = 10 * SECOND;
/// Maximum delay until a ledger notices that its VM can reach the log again.
const MAX_NOTICE_DELAY: u64 = 2 * SECOND;
/// Time between two pings of a ledger.
const PING_INTERVAL: u64 = SECOND;

/// One VM: when the log was unavailable to it, and when the router could not reach it.
#[derive(Debug, Clone)]
struct Vm {
    outage: (u64, u64),
    partition: (u64, u64),
    notice_delay: u64,
}

fn span() -> impl Strategy<Value = (u64, u64)> {
    let step = |step| START + step * STEP;
    (0..STEPS, 0..STEPS).prop_map(move |(from, length)| (step(from), step(from + length)))
}

fn vm() -> impl Strategy<Value = Vm> {
    (span(), span(), 0..MAX_NOTICE_DELAY).prop_map(|(outage, partition, notice_delay)| Vm {
        outage,
        partition,
        notice_delay,
    })
}

fn within(span: (u64, u64), at: u64) -> bool {
    (span.0..span.1).contains(&at)
}

impl Vm {
    /// Whether this VM reaches the log, so that its operator may accept a change.
    fn has_log(&self, at: u64) -> bool {
        !within(self.outage, at)
    }

    /// Last contact of its ledger, which notices the end of an outage later than the
    /// operator does.
    fn contact(&self, at: u64) -> u64 {
        if within((self.outage.0, self.outage.1 + self.notice_delay), at) {
            self.outage.0
        } else {
            at
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// For any partitions and outages: once a change may have been accepted on any VM, a
    /// router that has not received it trusts its configuration for 5 s at most.
    #[test]
    fn no_change_is_missed_for_longer_than_the_maximum_age(vms in prop::collection::vec(vm(), 1..5)) {
        let mut freshness = Freshness::new(POLICY, vms.len());
        // Times at which a change may have been accepted.
        let mut changes = Vec::new();
        for step in 0..STEPS {
            let now = START + step * STEP;
            if vms.iter().any(|vm| vm.has_log(now)) {
                changes.push(now);
            }
            for (ledger, vm) in vms.iter().enumerate() {
                if within(vm.partition, now) {
                    continue;
                }
                if now.is_multiple_of(PING_INTERVAL) {
                    freshness.on_pong(ledger, pong(now, vm.contact(now)));
                }
                freshness.on_page(vm.contact(now));
            }
            let missing = changes.iter().find(|at| Some(**at) > freshness.confirmed_at());
            let Some(since) = missing.filter(|since| now - **since > POLICY.max_age) else {
                continue;
            };
            let trust = freshness.trust_at(now);
            prop_assert!(
                !matches!(trust, Trust::Current | Trust::LogUnavailable),
                "{trust:?} at {now} without a change of {since}: {vms:?}"
            );
            prop_assert!(freshness.trusted_until() < Some(now));
        }
    }

    /// With pings and pages in any order, `trust_at` agrees with `trusted_until`.
    #[test]
    fn the_trusted_time_agrees_with_the_trust(
        inputs in prop::collection::vec((0..3_usize, 0..60_u64, 0..20_u64, any::<bool>()), 0..40),
        now in 0..80_u64,
    ) {
        let mut freshness = Freshness::new(POLICY, 3);
        for (ledger, at, age, is_page) in inputs {
            if is_page {
                freshness.on_page(at * SECOND);
            } else {
                let log_age = (age < 15).then_some(age * SECOND);
                let at = at * SECOND;
                freshness.on_pong(ledger, Pong { sent_at: at, received_at: at, log_age });
            }
        }
        let now = now * SECOND;
        let trusted = matches!(freshness.trust_at(now), Trust::Current | Trust::LogUnavailable);
        prop_assert_eq!(trusted, freshness.trusted_until().is_some_and(|until| now <= until));
    }
}
