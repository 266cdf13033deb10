//! Sizing policies: what they claim and return.

use std::time::Duration;

use proptest::prelude::*;
use swiftlink_admission::{
    ClaimOutcome, Demand, DemandSizer, EvenSplit, FixedChunk, SizerPolicy, Sizing, Waiting,
};

const SEC: u64 = 1_000_000;
const STEP: u64 = SEC / 10;

fn sizer() -> DemandSizer {
    DemandSizer::new(SizerPolicy::default())
}

/// Runs `secs` seconds of steady demand: `requests` requests per step, of 100 tokens each.
fn spend(sizer: &mut DemandSizer, demand: &mut Demand, from: u64, secs: u64, requests: u64) -> u64 {
    let mut now = from;
    while now < from + secs * SEC {
        demand.requests += requests;
        demand.taken += requests * 100;
        sizer.observe(now, *demand);
        now += STEP;
    }
    now
}

fn granted(granted: u64, free: u64, sharers: u32) -> ClaimOutcome {
    ClaimOutcome {
        granted,
        free,
        held_elsewhere: 0,
        sharers,
    }
}

#[test]
fn nothing_is_claimed_without_demand() {
    let mut sizer = sizer();
    assert_eq!(sizer.claim(0, 0, Waiting::default()), None);
}

#[test]
fn first_waiting_request_causes_a_claim() {
    let mut sizer = sizer();
    let waiting = Waiting {
        min_cost: 80,
        total_cost: 200,
    };
    let size = sizer.claim(0, 0, waiting).expect("a request waits");
    assert_eq!(size.need, 80);
    assert!(size.want >= 200);
}

#[test]
fn target_follows_the_rate_and_ahead() {
    let mut sizer = sizer();
    let mut demand = Demand::default();
    let now = spend(&mut sizer, &mut demand, 0, 120, 5);
    // 50 requests per second of 100 tokens, 10 s ahead.
    let target = sizer.target(now);
    assert!((45_000..60_000).contains(&target), "target {target}");
    let size = sizer
        .claim(now, 10_000, Waiting::default())
        .expect("little quota is left");
    assert_eq!(size.want, target - 10_000);
    assert_eq!(sizer.claim(now, target, Waiting::default()), None);
}

#[test]
fn relayed_requests_count_as_demand() {
    let mut sizer = sizer();
    let mut demand = Demand::default();
    for step in 0..100 {
        demand.missed += 500;
        demand.requests += 5;
        sizer.observe(step * STEP, demand);
    }
    let size = sizer.claim(10 * SEC, 0, Waiting::default());
    assert!(size.expect("a claim").want > 40_000);
}

#[test]
fn target_shrinks_at_the_end_of_a_budget() {
    let mut sizer = sizer();
    let mut demand = Demand::default();
    let now = spend(&mut sizer, &mut demand, 0, 60, 5);
    let full = sizer.target(now);
    sizer.on_budget(now, 1_000_000, 8_000, 4);
    let tail = sizer.target(now);
    assert!(tail * 10 < full, "full {full} tail {tail}");
}

#[test]
fn refused_claims_back_off_until_tokens_are_free() {
    let mut sizer = sizer();
    let waiting = Waiting {
        min_cost: 50,
        total_cost: 50,
    };
    sizer.claim(0, 0, waiting).expect("a request waits");
    sizer.on_claimed(0, &granted(0, 10, 2));
    assert_eq!(sizer.claim(1, 0, waiting), None);
    sizer.on_budget(2, 1_000, 900, 2);
    assert!(sizer.claim(2, 0, waiting).is_some());
}

#[test]
fn idle_quota_is_returned_but_not_while_the_log_is_down() {
    let mut sizer = sizer();
    let mut demand = Demand::default();
    let now = spend(&mut sizer, &mut demand, 0, 10, 5);
    assert_eq!(sizer.surplus(now, 1_000), None);
    let later = now + 31 * SEC;
    sizer.on_failed(later);
    assert_eq!(sizer.surplus(later, 1_000), None);
    sizer.on_claimed(later, &granted(10, 5, 1));
    assert_eq!(sizer.surplus(later, 1_000), Some(1_000));
}

#[test]
fn surplus_is_returned_sooner_at_the_end_of_a_budget() {
    let mut sizer = sizer();
    let mut demand = Demand::default();
    let now = spend(&mut sizer, &mut demand, 0, 60, 5);
    sizer.on_budget(now, 1_000_000, 400, 4);
    let held = 50_000;
    assert_eq!(sizer.surplus(now, held), None);
    let now = spend(&mut sizer, &mut demand, now, 4, 5);
    let back = sizer
        .surplus(now, held)
        .expect("other routers need the surplus");
    assert_eq!(back, held - sizer.target(now));
}

#[test]
fn quota_too_small_for_the_waiting_request_is_returned() {
    let mut sizer = sizer();
    let waiting = Waiting {
        min_cost: 120,
        total_cost: 120,
    };
    sizer.claim(0, 70, waiting).expect("70 tokens are too few");
    sizer.on_claimed(0, &granted(0, 3, 8));
    assert_eq!(sizer.surplus(1, 70), Some(70));
    assert_eq!(sizer.surplus(2, 70), None);
    // Quota that arrives meanwhile makes the total useful.
    sizer
        .claim(SEC, 70, waiting)
        .expect("70 tokens are too few");
    sizer.on_claimed(SEC, &granted(0, 3, 8));
    assert_eq!(sizer.surplus(SEC, 120), None);
}

#[test]
fn even_split_claims_its_share_once() {
    let mut sizer = EvenSplit::new(4);
    sizer.on_budget(0, 1_000, 1_000, 0);
    let size = sizer
        .claim(0, 0, Waiting::default())
        .expect("a share of the budget");
    assert_eq!(size.want, 250);
    sizer.on_claimed(0, &granted(250, 750, 1));
    assert_eq!(sizer.claim(0, 0, Waiting::default()), None);
    sizer.on_budget(1, 2_000, 1_000, 1);
    let more = sizer.claim(1, 0, Waiting::default()).expect("a top-up");
    assert_eq!(more.want, 250);
}

#[test]
fn fixed_chunk_claims_below_half() {
    let mut sizer = FixedChunk::new(100);
    assert_eq!(sizer.claim(0, 60, Waiting::default()), None);
    let size = sizer
        .claim(0, 40, Waiting::default())
        .expect("little quota is left");
    assert_eq!((size.need, size.want), (1, 100));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn claims_are_well_formed(
        steps in prop::collection::vec((0..5_u64, 0..2_000_u64, 0..5_000_u64, 0..3_000_u64), 1..60),
        ahead in 1..600_u64,
    ) {
        let policy = SizerPolicy { ahead: Duration::from_secs(ahead), ..SizerPolicy::default() };
        let mut sizer = DemandSizer::new(policy);
        let mut demand = Demand::default();
        let mut now = 0;
        for (requests, cost, available, waiting_cost) in steps {
            now += STEP;
            demand.requests += requests;
            demand.taken += requests * cost;
            demand.unspent += requests * cost / 3;
            sizer.observe(now, demand);
            let waiting = Waiting { min_cost: waiting_cost, total_cost: waiting_cost * 2 };
            if let Some(size) = sizer.claim(now, available, waiting) {
                prop_assert!(size.need >= 1 && size.need <= size.want);
                prop_assert!(waiting_cost <= available || size.need + available >= waiting_cost);
                sizer.on_claimed(now, &granted(size.need % 2, available, 3));
            }
            if let Some(back) = sizer.surplus(now, available) {
                prop_assert!(back > 0 && back <= available);
            }
        }
    }
}
