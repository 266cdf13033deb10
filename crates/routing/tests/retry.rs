//! The retry budget holds, whatever share of the attempts fails.

use std::time::Duration;

use proptest::prelude::*;
use swiftlink_routing::RetryBudget;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn retries_stay_below_share_and_burst(results in prop::collection::vec(any::<bool>(), 0..2_000)) {
        let budget = RetryBudget::new(0.1, 5);
        let mut successes = 0;
        let mut retries = 0;
        for succeeds in results {
            if succeeds {
                successes += 1;
                budget.on_success();
            } else if budget.take() {
                retries += 1;
            }
            prop_assert!(f64::from(retries) <= 5.0 + 0.1 * f64::from(successes) + 1e-9);
        }
    }
}

#[test]
fn outage_is_not_multiplied() {
    let budget = RetryBudget::default();
    let retries = (0..10_000).filter(|_| budget.take()).count();
    assert_eq!(retries, 10);
    assert_eq!(budget.left(), 0);
}

#[test]
fn successes_fill_the_bucket_only_to_the_burst() {
    let budget = RetryBudget::new(0.3, 2);
    for _ in 0..100 {
        budget.on_success();
    }
    assert!(budget.take());
    for _ in 0..100 {
        budget.on_success();
    }
    assert_eq!(budget.left(), 2);
    assert_eq!((0..10).filter(|_| budget.take()).count(), 2);
}

#[test]
fn a_smaller_bucket_takes_effect_at_once_and_a_larger_one_fills() {
    let budget = RetryBudget::new(1.0, 10);
    budget.set_burst(2);
    assert_eq!(budget.left(), 2);
    budget.set_burst(4);
    assert_eq!(budget.left(), 2);
    for _ in 0..10 {
        budget.on_success();
    }
    assert_eq!(budget.left(), 4);
}

/// One second (µs).
const SEC: u64 = 1_000_000;
const WINDOW: Duration = Duration::from_secs(10);

/// Guards against refusals after the loss of many servers: 300 routers use a pool that loses a
/// quarter of its servers at once. Each router has five requests per second, and its part of the
/// fleet's burst is one retry.
#[test]
fn router_with_few_requests_saves_retries_for_the_loss_of_many_servers() {
    let budget = RetryBudget::with_window(0.12, 1, WINDOW);
    for at in 0..50 {
        budget.on_request(at * SEC / 5);
    }
    let lost_at = 10 * SEC;
    budget.on_request(lost_at);
    let retries = (0..10).filter(|_| budget.take()).count();
    assert!(retries >= 4, "{retries} in the second of the loss");
    assert!(
        retries <= 1 + (0.12 * 26.0) as usize,
        "no more than was saved"
    );
}

#[test]
fn saved_retries_expire_without_requests() {
    let budget = RetryBudget::with_window(0.12, 1, WINDOW);
    for at in 0..500 {
        budget.on_request(at * SEC / 50);
    }
    assert!(budget.left() > 20);
    budget.on_request(60 * SEC);
    assert_eq!(budget.left(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// In any window, retries are bounded by the burst and the share of the requests in it and in
    /// the previous one, whatever fails when.
    #[test]
    fn retries_of_any_window_are_bounded(
        steps in prop::collection::vec((0..400_u64, 0..8_usize), 1..2_000),
    ) {
        let budget = RetryBudget::with_window(0.12, 3, WINDOW);
        let window = WINDOW.as_micros() as u64;
        let mut now = 0;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (pause, failures) in steps {
            now += pause * 1_000;
            requests.push(now);
            budget.on_request(now);
            for _ in 0..failures {
                if budget.take() {
                    retries.push(now);
                }
            }
        }
        let count = |times: &[u64], from: u64, to: u64| {
            times.iter().filter(|at| (from..=to).contains(at)).count() as f64
        };
        for end in &retries {
            let from = end.saturating_sub(window);
            // What a period put in may be kept for the whole next one.
            let fed = count(&requests, from.saturating_sub(window), *end);
            prop_assert!(count(&retries, from, *end) <= 3.0 + 0.12 * fed + 1e-9);
        }
    }
}
