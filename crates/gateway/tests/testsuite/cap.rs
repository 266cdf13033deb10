//! Caps on what a process has spent by some time.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use swiftlink_gateway::clock::Reading;
use swiftlink_gateway::peer_clocks::ClockReading;
use swiftlink_gateway::rights::cap::{Cap, base, draw, elapsed, middle_start, room};
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
fn a_cap_grows_slowly_at_first_and_more_in_a_cut() {
    let cap = Cap {
        base: 1_000,
        rate: 100,
        cut: millis(2_000),
        step: 500,
        cut_rate: 300,
    };
    assert_eq!(cap.after(Duration::ZERO), 1_000);
    assert_eq!(cap.after(millis(1_999)), 1_199);
    assert_eq!(cap.after(millis(2_000)), 1_700);
    assert_eq!(cap.after(millis(4_000)), 2_300);
}

/// The pattern: one VM loses power for three and a half seconds while its peers go on.
#[test]
fn what_peers_have_seen_keeps_a_jump_of_the_clock_out() {
    let stamp = reading("a", 5_000, 1_000_000);
    let back = reading("b", 10, 1_003_500);
    let seen = Some(millis(3_600));
    assert_eq!(elapsed(&stamp, &back, &[], None), Some(millis(6_500)));
    assert_eq!(elapsed(&stamp, &back, &[], seen), seen);
    // Its own clock went back further than it may; only they know.
    let jumped = reading("b", 10, 990_000);
    assert_eq!(elapsed(&stamp, &jumped, &[], None), None);
    assert_eq!(elapsed(&stamp, &jumped, &[], seen), seen);
    // Where the clock has not jumped it may say less.
    let late = Some(millis(9_000));
    assert_eq!(elapsed(&stamp, &back, &[], late), Some(millis(6_500)));
}

proptest! {
    /// A process read its clock after it was asked, so the time since then is never
    /// underestimated, whenever the answer came.
    #[test]
    fn a_sighting_never_underestimates(
        asked in 0..10_000_u64,
        way in 0..5_000_u64,
        stamp in 0..20_000_u64,
        more in 0..20_000_u64,
        ahead in 0..1_000_000_u64,
    ) {
        // The process's clock is `ahead` of the asking router's.
        let read = asked + way;
        let sighting = ClockReading { steady: read + ahead, asked };
        let now = read.max(stamp) + more;
        let most = sighting.since(stamp + ahead, now);
        prop_assert!(most >= millis(now - stamp));
    }
}

/// The pattern: a router whose workspace has forty seconds of use left is cut off, with others
/// or alone. It serves most of its callers until the cut is certain; if it is killed instead,
/// little of what it held is lost.
#[test]
fn a_router_that_is_cut_off_goes_on_with_some_of_what_it_holds() {
    let (held, rate) = (1_000_000, 25_000);
    let cap = Cap {
        base: base(held, rate, millis(5)),
        ..draw(held, rate, Tokens::MAX)
    };
    let served = cap.after(millis(2_000));
    assert!(served >= rate * 2 * 6 / 10, "{served}");
    let lost = cap.after(millis(2_100));
    assert!(lost <= held * 7 / 100, "{lost}");
}

#[test]
fn within_one_boot_the_steady_clock_tells() {
    let stamp = reading("a", 5_000, 1_000_000);
    let later = reading("a", 5_700, 1_002_000);
    assert_eq!(elapsed(&stamp, &later, &[], None), Some(millis(700)));
    // Also where the time of day jumped back meanwhile.
    let jumped = reading("a", 5_700, 998_300);
    assert_eq!(elapsed(&stamp, &jumped, &[], None), Some(millis(700)));
}

#[test]
fn after_a_loss_of_power_a_jump_of_the_clock_is_allowed_for() {
    let stamp = reading("a", 5_000, 1_000_000);
    for later in [
        reading("b", 10, 1_001_000),
        // A VM whose kernel has the name of the one below it.
        reading("a", 900_000, 1_001_000),
        reading("a", 10, 1_001_000),
        reading("", 5_100, 1_001_000),
    ] {
        assert_eq!(elapsed(&stamp, &later, &[], None), Some(millis(4_000)));
    }
}

#[test]
fn a_clock_that_went_back_too_far_proves_nothing() {
    let stamp = reading("a", 5_000, 1_000_000);
    assert_eq!(elapsed(&stamp, &reading("b", 10, 990_000), &[], None), None);
}

#[test]
fn when_most_of_the_fleet_started_anew_its_middle_clock_is_trusted() {
    let stamp = reading("a", 5_000, 1_000_000);
    let back = reading("b", 10, 999_000);
    // This VM's clock jumped back by 2.4 seconds; those of five of the six others did not.
    let starts = [
        1_001_300, 1_001_350, 1_001_400, 1_001_420, 1_001_500, 998_900,
    ];
    assert_eq!(middle_start(&stamp, &starts), Some(1_001_400));
    assert_eq!(elapsed(&stamp, &back, &starts, None), Some(millis(1_800)));
    // Half of them are not enough.
    let starts = [1_001_300, 1_001_350, 900_000, 900_000];
    assert_eq!(middle_start(&stamp, &starts), None);
    assert_eq!(middle_start(&stamp, &[]), None);
}

proptest! {
    #[test]
    fn a_cap_never_shrinks(
        unspent in 0_u64..10_000_000,
        rate in 0_u64..1_000_000,
        base in 0_u64..10_000_000,
        first in 0_u64..20_000,
        more in 0_u64..20_000,
    ) {
        let cap = Cap { base, ..draw(unspent, rate, Tokens::MAX) };
        prop_assert!(cap.after(millis(first)) <= cap.after(millis(first + more)));
        prop_assert!(cap.after(Duration::ZERO) == base);
    }

    /// However the one clock jumps by less than is allowed for, the time since the stamp
    /// isn't underestimated.
    #[test]
    fn the_time_since_a_stamp_is_never_underestimated(
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
        let most = elapsed(&stamp, &now, &[], None);
        prop_assert!(most.is_none_or(|most| most >= millis(age)));
    }
}

proptest! {
    /// Callers are told to come back when a cap allows for them: not before, and not much later.
    #[test]
    fn the_time_for_tokens_is_when_a_cap_first_allows_for_them(
        base in 0_u64..1_000_000,
        rate in 0_u64..50_000,
        cut in 0_u64..3_000,
        step in 0_u64..100_000,
        cut_rate in 0_u64..50_000,
        tokens in 0_u64..2_000_000,
    ) {
        let cap = Cap { base, rate, cut: millis(cut), step, cut_rate };
        let Some(time) = cap.time_for(tokens) else {
            prop_assert_eq!(cut_rate, 0);
            prop_assert!(cap.after(millis(3_600_000)) < tokens);
            return Ok(());
        };
        prop_assert!(cap.after(time) >= tokens);
        if time > millis(2) && time != cap.cut {
            prop_assert!(cap.after(time - millis(2)) < tokens);
        }
        if time == cap.cut && cut > 1 {
            prop_assert!(cap.after(time - millis(1)) < tokens);
        }
    }
}

/// The pattern: all VMs lose power for a second, two thirds into a day, with requests running and
/// a budget that the day's use will bring to its end. What nobody can spend any more stays under
/// 3 in 100 of it.
#[test]
fn a_loss_of_all_power_leaves_a_budget_that_can_be_spent() {
    let prepaid = 10_000_000;
    // Fifty seconds of use, by three holders alike.
    let (share, rate, unspent) = (1.0 / 3.0, 200_000 / 3, 1_000_000);
    // Twenty requests run at a holder, which wait for their first event.
    let reserved = 20_000;
    let free = base(unspent, rate, millis(5));
    let room = room(prepaid, share, free + reserved);
    let cap = Cap {
        base: free + reserved,
        ..draw(unspent, rate, room)
    };
    let stranded = 3 * cap.after(millis(1_500));
    assert!(stranded <= prepaid * 3 / 100, "{stranded}");
    let unbound = 3 * (free + reserved + rate * 3 / 2);
    assert!(unbound > prepaid * 3 / 100, "{unbound}: the load shows");
    // Where running requests alone hold more than that, caps grow as ever.
    let crowded = swiftlink_gateway::rights::cap::room(prepaid, share, 2 * prepaid / 100);
    assert_eq!(
        draw(unspent, rate, crowded),
        draw(unspent, rate, Tokens::MAX)
    );
    // Where a budget is large against its use, caps grow as fast as ever.
    let plenty = swiftlink_gateway::rights::cap::room(10 * prepaid, share, free + reserved);
    assert_eq!(
        draw(unspent, rate, plenty),
        draw(unspent, rate, Tokens::MAX)
    );
}
