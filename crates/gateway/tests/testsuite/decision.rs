//! The last decision on new callers.

use std::time::Duration;

use swiftlink_gateway::ingress::CallerDecision;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against readiness that rests on a decision which nobody makes any longer.
#[test]
fn a_decision_to_take_callers_expires() {
    let decision = CallerDecision::new();
    assert!(decision.takes_callers(ms(900)));
    decision.record(ms(900), true);
    assert!(decision.takes_callers(ms(1_800)));
    assert!(!decision.takes_callers(ms(1_900)));
    assert!(!decision.takes_callers(ms(60_000)));
}

/// Guards against a router that stays out after its VM was suspended: the first decision after that
/// counts.
#[test]
fn a_decision_after_a_suspension_counts_at_once() {
    let decision = CallerDecision::new();
    decision.record(ms(900), true);
    assert!(!decision.takes_callers(ms(30_000)));
    decision.record(ms(30_000), true);
    assert!(decision.takes_callers(ms(30_050)));
    decision.record(ms(30_100), false);
    assert!(!decision.takes_callers(ms(30_150)));
}
