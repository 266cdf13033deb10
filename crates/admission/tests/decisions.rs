//! Shortfalls, scheduled retries, averages and the concurrency limiter.

use std::time::Duration;

use swiftlink_admission::{
    Ewma, HolderState, Limiter, LimiterPolicy, RetryPolicy, RetrySchedule, Shortfall,
    ShortfallAction, shortfall,
};
use swiftlink_types::{Outcome, RefusalKind};

const SEC: u64 = 1_000_000;

fn case(holders: &[HolderState]) -> Shortfall<'_> {
    Shortfall {
        cost: 100,
        now: 0,
        deadline: SEC,
        is_log_up: true,
        claim_time: Duration::from_millis(20),
        free: Some(1_000),
        held_elsewhere: 500,
        holders,
    }
}

fn holder(held: u64, relay_time_ms: u64) -> HolderState {
    HolderState {
        held,
        relay_time: Duration::from_millis(relay_time_ms),
        is_reachable: true,
    }
}

#[test]
fn faster_of_claim_and_relay_is_chosen() {
    assert_eq!(shortfall(&case(&[])), ShortfallAction::Wait);
    assert_eq!(shortfall(&case(&[holder(500, 30)])), ShortfallAction::Wait);
    let near = [holder(500, 30), holder(500, 2), holder(150, 1)];
    assert_eq!(shortfall(&case(&near)), ShortfallAction::Relay(1));
}

#[test]
fn relay_replaces_a_claim_that_cannot_succeed() {
    let holders = [holder(500, 30)];
    let mut log_down = case(&holders);
    log_down.is_log_up = false;
    assert_eq!(shortfall(&log_down), ShortfallAction::Relay(0));
    let mut used_up = case(&holders);
    used_up.free = Some(10);
    assert_eq!(shortfall(&used_up), ShortfallAction::Relay(0));
}

#[test]
fn refusal_kind_matches_the_cause() {
    let kind = |case: &Shortfall<'_>| match shortfall(case) {
        ShortfallAction::Refuse(refusal) => {
            assert_eq!(refusal.outcome, Outcome::NotRun);
            (refusal.kind, refusal.retry_after.is_some())
        }
        step => panic!("{step:?} instead of a refusal"),
    };
    let mut spent = case(&[]);
    spent.free = Some(10);
    assert_eq!(kind(&spent), (RefusalKind::BudgetBusy, true));
    spent.held_elsewhere = 20;
    assert_eq!(kind(&spent), (RefusalKind::NoBudget, false));
    let mut log_down = case(&[]);
    log_down.is_log_up = false;
    assert_eq!(kind(&log_down), (RefusalKind::LogUnavailable, true));
}

#[test]
fn a_claim_too_slow_for_the_deadline_is_not_refused_as_held_elsewhere() {
    let mut late = case(&[]);
    late.claim_time = Duration::from_secs(5);
    for free in [Some(998_500), None] {
        late.free = free;
        let ShortfallAction::Refuse(refusal) = shortfall(&late) else {
            panic!("a claim after the deadline must be refused");
        };
        assert_eq!(refusal.kind, RefusalKind::LogUnavailable);
        assert_eq!(refusal.retry_after, Some(late.claim_time));
        assert!(!refusal.detail.contains("elsewhere"), "{}", refusal.detail);
    }
}

#[test]
fn refusal_of_a_low_budget_states_the_amounts() {
    let mut tail = case(&[]);
    tail.cost = 2_060;
    tail.free = Some(1_100);
    tail.held_elsewhere = 40;
    let ShortfallAction::Refuse(refusal) = shortfall(&tail) else {
        panic!("the budget can't cover it");
    };
    assert_eq!(refusal.kind, RefusalKind::NoBudget);
    for part in ["2060", "1100", "40", "max_tokens"] {
        assert!(refusal.detail.contains(part), "{part}: {}", refusal.detail);
    }
    tail.free = Some(0);
    tail.held_elsewhere = 0;
    let ShortfallAction::Refuse(refusal) = shortfall(&tail) else {
        panic!("the budget is empty");
    };
    assert!(
        !refusal.detail.contains("max_tokens"),
        "no max_tokens would fit"
    );
}

#[test]
fn retries_are_spaced_by_the_rate_and_accepted_once() {
    let mut schedule = RetrySchedule::new(RetryPolicy::default());
    let rate = 10.0 / RetryPolicy::default().share;
    let first = schedule.assign(0, 1, SEC, rate);
    let second = schedule.assign(0, 2, SEC, rate);
    assert_eq!(second - first, SEC / 10);
    assert_eq!(
        schedule.assign(5, 1, SEC, rate),
        first,
        "a key keeps its place"
    );
    assert_eq!(schedule.due_by(first), 1);
    assert!(!schedule.redeem(0, 1), "too early");
    assert!(schedule.redeem(first, 1));
    assert!(!schedule.redeem(first, 1), "accepted only once");
    assert!(!schedule.redeem(second + 60 * SEC, 2), "too late");
    assert!(schedule.is_empty());
}

#[test]
fn next_places_are_earlier_after_an_overload() {
    let mut schedule = RetrySchedule::new(RetryPolicy::default());
    for key in 1..=100 {
        schedule.assign(0, key, SEC, 1.0);
    }
    assert!(schedule.assign(0, 101, SEC, 1.0) > 100 * SEC);
    schedule.remove_key(101);
    assert_eq!(schedule.len(), 100);
    schedule.on_free_slot(2 * SEC);
    let due = schedule.assign(2 * SEC, 102, 3 * SEC, 1.0);
    assert!(due > 100 * SEC, "the overload may still last");
    schedule.on_free_slot(8 * SEC);
    assert!(schedule.assign(8 * SEC, 103, 9 * SEC, 1.0) <= 10 * SEC);
}

#[test]
fn average_converges_to_a_steady_rate_and_decays() {
    let mut rate = Ewma::new(Duration::from_secs(10));
    for step in 1..=600 {
        rate.add(step * SEC / 10, 5.0);
    }
    let seen = rate.per_sec(60 * SEC);
    assert!((48.0..52.0).contains(&seen), "{seen}");
    assert!(rate.per_sec(160 * SEC) < 0.1);
}

#[test]
fn limiter_shrinks_when_servers_queue_and_recovers() {
    let mut limiter = Limiter::new(LimiterPolicy::default());
    for _ in 0..64 {
        limiter.on_first_token(20_000, 100);
    }
    for _ in 0..1_000 {
        limiter.on_first_token(400_000, 1_000);
    }
    let low = limiter.limit();
    assert!(low < 100, "{low}");
    for _ in 0..2_000 {
        limiter.on_first_token(20_000, limiter.limit());
    }
    assert!(limiter.limit() > 4 * low, "{} {low}", limiter.limit());
}

#[test]
fn limiter_handles_pools_of_few_slots() {
    for max in 0..6 {
        let mut limiter = Limiter::new(LimiterPolicy::default());
        limiter.set_max(max);
        for time in (1..100).map(|step| 20_000 * step) {
            limiter.on_first_token(time, max);
            limiter.on_full();
            assert!(limiter.limit() <= max, "{} of {max}", limiter.limit());
        }
    }
}
