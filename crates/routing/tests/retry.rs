//! The retry budget holds whatever share of the attempts fails.

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
