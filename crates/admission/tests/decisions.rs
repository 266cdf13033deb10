//! Shortfalls, appointments, averages and the slot limiter.

use std::time::Duration;

use swiftlink_admission::{
    Appointments, BookPolicy, Ewma, Holding, Limiter, LimiterPolicy, Shortfall, Step, shortfall,
};
use swiftlink_types::{Outcome, RefusalKind};

const SEC: u64 = 1_000_000;

fn case(holders: &[Holding]) -> Shortfall<'_> {
    Shortfall {
        cost: 100,
        now: 0,
        deadline: SEC,
        has_log: true,
        claim_time: Duration::from_millis(20),
        free: Some(1_000),
        elsewhere: 500,
        holders,
    }
}

fn holder(held: u64, detour_ms: u64) -> Holding {
    Holding {
        held,
        detour: Duration::from_millis(detour_ms),
        is_up: true,
    }
}

#[test]
fn sooner_of_claim_and_relay_is_taken() {
    assert_eq!(shortfall(&case(&[])), Step::Wait);
    assert_eq!(shortfall(&case(&[holder(500, 30)])), Step::Wait);
    let near = [holder(500, 30), holder(500, 2), holder(150, 1)];
    assert_eq!(shortfall(&case(&near)), Step::Relay(1));
}

#[test]
fn relay_stands_in_for_a_claim_that_cannot_succeed() {
    let holders = [holder(500, 30)];
    let mut out = case(&holders);
    out.has_log = false;
    assert_eq!(shortfall(&out), Step::Relay(0));
    let mut used_up = case(&holders);
    used_up.free = Some(10);
    assert_eq!(shortfall(&used_up), Step::Relay(0));
}

#[test]
fn refusals_say_why() {
    let kind = |case: &Shortfall<'_>| match shortfall(case) {
        Step::Refuse(refusal) => {
            assert_eq!(refusal.outcome, Outcome::NotRun);
            (refusal.kind, refusal.retry_after.is_some())
        }
        step => panic!("{step:?} in place of a refusal"),
    };
    let mut spent = case(&[]);
    spent.free = Some(10);
    assert_eq!(kind(&spent), (RefusalKind::BudgetBusy, true));
    spent.elsewhere = 20;
    assert_eq!(kind(&spent), (RefusalKind::NoBudget, false));
    let mut out = case(&[]);
    out.has_log = false;
    assert_eq!(kind(&out), (RefusalKind::LogUnavailable, true));
}

#[test]
fn a_claim_that_comes_too_late_is_not_blamed_on_other_holders() {
    let mut late = case(&[]);
    late.claim_time = Duration::from_secs(5);
    for free in [Some(998_500), None] {
        late.free = free;
        let Step::Refuse(refusal) = shortfall(&late) else {
            panic!("a claim after the deadline is of no use");
        };
        assert_eq!(refusal.kind, RefusalKind::LogUnavailable);
        assert_eq!(refusal.retry_after, Some(late.claim_time));
        assert!(!refusal.detail.contains("elsewhere"), "{}", refusal.detail);
    }
}

#[test]
fn a_budget_with_too_little_left_says_how_much() {
    let mut tail = case(&[]);
    tail.cost = 2_060;
    tail.free = Some(1_100);
    tail.elsewhere = 40;
    let Step::Refuse(refusal) = shortfall(&tail) else {
        panic!("the budget can't cover it");
    };
    assert_eq!(refusal.kind, RefusalKind::NoBudget);
    for part in ["2060", "1100", "40", "max_tokens"] {
        assert!(refusal.detail.contains(part), "{part}: {}", refusal.detail);
    }
    tail.free = Some(0);
    tail.elsewhere = 0;
    let Step::Refuse(refusal) = shortfall(&tail) else {
        panic!("the budget is empty");
    };
    assert!(!refusal.detail.contains("max_tokens"), "nothing fits");
}

#[test]
fn appointments_are_spaced_by_the_rate_and_kept_once() {
    let mut book = Appointments::new(BookPolicy::default());
    let rate = 10.0 / BookPolicy::default().share;
    let first = book.book(0, 1, SEC, rate);
    let second = book.book(0, 2, SEC, rate);
    assert_eq!(second - first, SEC / 10);
    assert_eq!(book.book(5, 1, SEC, rate), first, "an appointment is kept");
    assert_eq!(book.expected(first), 1);
    assert!(!book.keep(0, 1), "too early");
    assert!(book.keep(first, 1));
    assert!(!book.keep(first, 1), "once only");
    assert!(!book.keep(second + 60 * SEC, 2), "too late");
    assert!(book.is_empty());
}

#[test]
fn end_of_an_overload_frees_the_next_places() {
    let mut book = Appointments::new(BookPolicy::default());
    for key in 1..=100 {
        book.book(0, key, SEC, 1.0);
    }
    assert!(book.book(0, 101, SEC, 1.0) > 100 * SEC);
    book.strike(101);
    assert_eq!(book.len(), 100);
    book.relax(2 * SEC);
    let due = book.book(2 * SEC, 102, 3 * SEC, 1.0);
    assert!(due > 100 * SEC, "too soon to tell");
    book.relax(8 * SEC);
    assert!(book.book(8 * SEC, 103, 9 * SEC, 1.0) <= 10 * SEC);
}

#[test]
fn average_finds_a_steady_rate_and_forgets() {
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
fn limiter_bears_pools_of_few_slots() {
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
