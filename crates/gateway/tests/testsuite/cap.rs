//! Caps on what a process can have spent by some time.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use swiftlink_gateway::clock::Reading;
use swiftlink_gateway::peer_clocks::ClockReading;
use swiftlink_gateway::quota::cap::{
    Cap, base, elapsed, is_same_boot, max_growth, median_start, plan_growth,
};
use swiftlink_types::Tokens;

fn reading(boot: &str, steady: u64, wall: u64) -> Reading {
    Reading {
        boot: Arc::from(boot),
        steady,
        wall,
    }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn cap_grows_faster_in_an_outage() {
    let cap = Cap {
        base: 1_000,
        rate: 100,
        outage_at: millis(2_000),
        outage_step: 500,
        outage_rate: 300,
    };
    assert_eq!(cap.limit_after(Duration::ZERO), 1_000);
    assert_eq!(cap.limit_after(millis(1_999)), 1_199);
    assert_eq!(cap.limit_after(millis(2_000)), 1_700);
    assert_eq!(cap.limit_after(millis(4_000)), 2_300);
}

/// One VM loses power for three and a half seconds while its peers keep running. The time since its
/// last record must be bounded by what peers have seen, not by its wall clock that may have jumped.
#[test]
fn clock_readings_of_peers_limit_the_effect_of_a_clock_jump() {
    let stamp = reading("a", 5_000, 1_000_000);
    let back = reading("b", 10, 1_003_500);
    let seen = Some(millis(3_600));
    assert_eq!(elapsed(&stamp, &back, &[], None), Some(millis(6_500)));
    assert_eq!(elapsed(&stamp, &back, &[], seen), seen);
    // Its own clock went back further than it may, so only the peers' bound is left.
    let jumped = reading("b", 10, 990_000);
    assert_eq!(elapsed(&stamp, &jumped, &[], None), None);
    assert_eq!(elapsed(&stamp, &jumped, &[], seen), seen);
    // The wall clock says less, as it went back.
    let late = Some(millis(9_000));
    assert_eq!(elapsed(&stamp, &back, &[], late), late);
}

/// Guards against tokens that are granted twice: six of seven VMs lost power for a second in a store
/// outage of twelve, in which the clocks of four had gone back by five seconds. The median of their
/// start times was too early by that, and went before what the seventh VM knew.
#[test]
fn clocks_that_went_back_do_not_shorten_what_a_peer_has_seen() {
    let stamp = reading("a", 5_000, 1_000_000);
    let back = reading("b", 10, 1_001_400);
    let starts = [1_001_300, 1_001_400, 1_001_500, 1_006_300, 1_006_400];
    let seen = Some(millis(6_339));
    assert_eq!(elapsed(&stamp, &back, &starts, seen), seen);
}

/// Guards against another run of the monotonic clock that is taken for the same: the boot ID comes from
/// the host, and the VM has run for longer by now than its predecessor had.
#[test]
fn clock_of_another_boot_with_the_same_id_is_noticed() {
    let stamp = reading("a", 2_000, 1_000_000);
    let other = reading("a", 2_700, 1_012_000);
    assert!(!is_same_boot(&stamp, &other));
    assert_eq!(elapsed(&stamp, &other, &[], None), Some(millis(15_000)));
    let same = reading("a", 2_700, 1_000_700 + 3_000);
    assert!(is_same_boot(&stamp, &same));
}

proptest! {
    /// A process reads its clock after it is asked, so the time since then is never underestimated,
    /// however late the answer arrives.
    #[test]
    fn clock_reading_never_underestimates(
        asked in 0..10_000_u64,
        delay in 0..5_000_u64,
        stamp in 0..20_000_u64,
        more in 0..20_000_u64,
        ahead in 0..1_000_000_u64,
    ) {
        // The process's clock is `ahead` of the clock of the router that asks.
        let read = asked + delay;
        let reading = ClockReading { steady: read + ahead, asked };
        let now = read.max(stamp) + more;
        let max = reading.since(stamp + ahead, now);
        prop_assert!(max >= millis(now - stamp));
    }
}

/// A router with forty seconds of use left loses the connection to the store, with others or alone.
/// It must serve most of its callers until the outage is certain, and lose little of what it held
/// if it is killed instead.
#[test]
fn router_in_an_outage_continues_with_part_of_its_quota() {
    let (held, rate) = (1_000_000, 25_000);
    let cap = Cap {
        base: base(held, rate, millis(5)),
        ..plan_growth(held, rate, Tokens::MAX)
    };
    let served = cap.limit_after(millis(2_000));
    assert!(served >= rate * 2 * 6 / 10, "{served}");
    let lost = cap.limit_after(millis(2_100));
    assert!(lost <= held * 7 / 100, "{lost}");
}

#[test]
fn monotonic_clock_is_exact_within_one_boot() {
    let stamp = reading("a", 5_000, 1_000_000);
    let later = reading("a", 5_700, 1_002_000);
    assert_eq!(elapsed(&stamp, &later, &[], None), Some(millis(700)));
    // Also where the wall clock jumped back in between.
    let jumped = reading("a", 5_700, 998_300);
    assert_eq!(elapsed(&stamp, &jumped, &[], None), Some(millis(700)));
}

#[test]
fn clock_jump_is_allowed_for_after_a_power_loss() {
    let stamp = reading("a", 5_000, 1_000_000);
    for later in [
        reading("b", 10, 1_001_000),
        // A VM that gets its boot ID from the host.
        reading("a", 900_000, 1_001_000),
        reading("a", 10, 1_001_000),
        reading("", 5_100, 1_001_000),
    ] {
        assert_eq!(elapsed(&stamp, &later, &[], None), Some(millis(4_000)));
    }
}

#[test]
fn clock_that_went_back_too_far_gives_no_bound() {
    let stamp = reading("a", 5_000, 1_000_000);
    assert_eq!(elapsed(&stamp, &reading("b", 10, 990_000), &[], None), None);
}

#[test]
fn median_clock_is_used_when_most_of_the_fleet_restarted() {
    let stamp = reading("a", 5_000, 1_000_000);
    let back = reading("b", 10, 999_000);
    // This VM's clock jumped back by 2.4 seconds; those of five of the six others did not.
    let starts = [
        1_001_300, 1_001_350, 1_001_400, 1_001_420, 1_001_500, 998_900,
    ];
    assert_eq!(median_start(&stamp, &starts), Some(1_001_400));
    assert_eq!(elapsed(&stamp, &back, &starts, None), Some(millis(1_800)));
    // Half of the fleet isn't enough.
    let starts = [1_001_300, 1_001_350, 900_000, 900_000];
    assert_eq!(median_start(&stamp, &starts), None);
    assert_eq!(median_start(&stamp, &[]), None);
}

proptest! {
    #[test]
    fn cap_never_shrinks(
        unspent in 0_u64..10_000_000,
        rate in 0_u64..1_000_000,
        base in 0_u64..10_000_000,
        first in 0_u64..20_000,
        more in 0_u64..20_000,
    ) {
        let cap = Cap { base, ..plan_growth(unspent, rate, Tokens::MAX) };
        prop_assert!(cap.limit_after(millis(first)) <= cap.limit_after(millis(first + more)));
        prop_assert!(cap.limit_after(Duration::ZERO) == base);
    }

    /// A clock jump of less than the allowance never leads to an underestimate of the time since
    /// the stamp.
    #[test]
    fn time_since_a_stamp_is_never_underestimated(
        age in 0_u64..30_000,
        jump in -2_999_i64..3_000,
        same_boot in any::<bool>(),
        steady in 0_u64..200_000,
    ) {
        let stamp = reading("a", 50_000, 1_000_000);
        let wall = (1_000_000 + age).saturating_add_signed(jump);
        let now = if same_boot {
            reading("a", 50_000 + age, wall)
        } else {
            reading("b", steady, wall)
        };
        let max = elapsed(&stamp, &now, &[], None);
        prop_assert!(max.is_none_or(|max| max >= millis(age)));
    }
}

proptest! {
    /// Callers are told to retry when a cap first allows their request, and not much later.
    #[test]
    fn time_until_is_when_a_cap_first_allows_the_tokens(
        base in 0_u64..1_000_000,
        rate in 0_u64..50_000,
        outage_at in 0_u64..3_000,
        outage_step in 0_u64..100_000,
        outage_rate in 0_u64..50_000,
        tokens in 0_u64..2_000_000,
    ) {
        let cap = Cap { base, rate, outage_at: millis(outage_at), outage_step, outage_rate };
        let Some(time) = cap.time_until(tokens) else {
            prop_assert_eq!(outage_rate, 0);
            prop_assert!(cap.limit_after(millis(3_600_000)) < tokens);
            return Ok(());
        };
        prop_assert!(cap.limit_after(time) >= tokens);
        if time > millis(2) && time != cap.outage_at {
            prop_assert!(cap.limit_after(time - millis(2)) < tokens);
        }
        if time == cap.outage_at && outage_at > 1 {
            prop_assert!(cap.limit_after(time - millis(1)) < tokens);
        }
    }
}

/// All VMs lose power for a second, two thirds into a day, with requests running and a budget that
/// the day's use will exhaust. Tokens that can't be spent any more must stay under 3 in 100 of it.
#[test]
fn power_loss_of_all_vms_strands_little_of_a_budget() {
    let prepaid = 10_000_000;
    // Fifty seconds of use, by three holders with equal shares.
    let (share, rate, unspent) = (1.0 / 3.0, 200_000 / 3, 1_000_000);
    // Twenty requests that wait for their first event run at each holder.
    let reserved = 20_000;
    let free = base(unspent, rate, millis(5));
    let max_growth = max_growth(prepaid, share, free + reserved);
    let cap = Cap {
        base: free + reserved,
        ..plan_growth(unspent, rate, max_growth)
    };
    let stranded = 3 * cap.limit_after(millis(1_500));
    assert!(stranded <= prepaid * 3 / 100, "{stranded}");
    let unlimited = 3 * (free + reserved + rate * 3 / 2);
    assert!(
        unlimited > prepaid * 3 / 100,
        "{unlimited}: the load needs the limit"
    );
    // Where running requests alone hold more than that, growth isn't limited.
    let crowded = swiftlink_gateway::quota::cap::max_growth(prepaid, share, 2 * prepaid / 100);
    assert_eq!(
        plan_growth(unspent, rate, crowded),
        plan_growth(unspent, rate, Tokens::MAX)
    );
    // Where a budget is large compared to its use, the limit has no effect.
    let plenty = swiftlink_gateway::quota::cap::max_growth(10 * prepaid, share, free + reserved);
    assert_eq!(
        plan_growth(unspent, rate, plenty),
        plan_growth(unspent, rate, Tokens::MAX)
    );
}
