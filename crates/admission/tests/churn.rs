//! How many records a sizer makes: claims and returns by demand, none without it.

use std::time::Duration;

use proptest::prelude::*;
use swiftlink_admission::{ClaimOutcome, DemandSizer, Grant, SizerPolicy, Sizing, Waiting};

const SEC: u64 = 1_000_000;
/// Time between two looks of the claimer.
const LOOK: u64 = SEC / 10;
/// Looks after which requests end, and the part of the bound that they leave.
const RUN: usize = 12;
const UNSPENT: u64 = 3;
const SHARERS: u32 = 3;
const IDLE_LOOKS: usize = 301;

/// Records that a sizer has made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Records {
    claims: u64,
    returns: u64,
}

impl Records {
    fn since(self, before: Self) -> Self {
        Self {
            claims: self.claims - before.claims,
            returns: self.returns - before.returns,
        }
    }

    fn all(self) -> u64 {
        self.claims + self.returns
    }
}

/// One router on a budget, with claims decided as the log does.
struct Router {
    sizer: DemandSizer,
    grant: Grant,
    free: u64,
    now: u64,
    running: Vec<(usize, u64)>,
    waits: Vec<(usize, u64)>,
    looks: usize,
    records: Records,
}

impl Router {
    fn new(policy: SizerPolicy, free: u64) -> Self {
        Self {
            sizer: DemandSizer::new(policy),
            grant: Grant::new(),
            free,
            now: 0,
            running: Vec::new(),
            waits: Vec::new(),
            looks: 0,
            records: Records::default(),
        }
    }

    /// `requests` come, each of `cost` tokens; then the claimer looks once.
    fn look(&mut self, requests: u64, cost: u64) {
        self.now += LOOK;
        self.looks += 1;
        for _ in 0..requests {
            self.waits.push((self.looks + 1, cost));
        }
        self.end();
        self.serve();
        self.act();
        self.serve();
    }

    fn end(&mut self) {
        let looks = self.looks;
        for (_, cost) in self.running.extract_if(.., |(until, _)| *until <= looks) {
            self.grant.settle(cost, cost - cost / UNSPENT);
        }
    }

    /// Waiting requests take rights; those that waited for long are refused.
    fn serve(&mut self) {
        for (until, cost) in std::mem::take(&mut self.waits) {
            if self.grant.reserve(cost).is_some() {
                self.running.push((self.looks + RUN, cost));
            } else if until > self.looks {
                self.waits.push((until, cost));
            } else {
                self.grant.miss(cost);
            }
        }
    }

    fn act(&mut self) {
        self.sizer.observe(self.now, self.grant.demand());
        let available = self.grant.available();
        let costs = self.waits.iter().map(|(_, cost)| *cost);
        let waiting = Waiting {
            least: costs.clone().min().unwrap_or(0),
            total: costs.sum(),
        };
        if let Some(size) = self.sizer.claim(self.now, available, waiting) {
            self.records.claims += 1;
            let share = self.free / (2 * u64::from(SHARERS));
            let granted = match self.free {
                free if free < size.need => 0,
                _ => size.want.min(size.need.max(share)),
            };
            self.free -= granted;
            self.grant.credit(granted);
            let outcome = ClaimOutcome {
                granted,
                free: self.free,
                elsewhere: 0,
                sharers: SHARERS,
            };
            return self.sizer.on_claimed(self.now, &outcome);
        }
        if waiting.least > available {
            return;
        }
        if let Some(extra) = self.sizer.surplus(self.now, available) {
            self.records.returns += 1;
            self.free += self.grant.shrink(extra);
        }
    }

    fn rest(&mut self, looks: usize) -> Records {
        let before = self.records;
        for _ in 0..looks {
            self.look(0, 0);
        }
        self.records.since(before)
    }
}

/// Stretches of demand: requests in each look, their cost, and looks.
fn demand() -> impl Strategy<Value = Vec<(u64, u64, usize)>> {
    let stretch = (0..4_u64, 1..3_000_u64, 1..400_usize);
    prop::collection::vec(stretch, 1..8)
}

fn policies() -> impl Strategy<Value = SizerPolicy> {
    (1..900_u64, 0..5_000_u64).prop_map(|(ahead, min_grant)| SizerPolicy {
        ahead: Duration::from_secs(ahead),
        min_grant,
        ..SizerPolicy::default()
    })
}

#[test]
fn an_idle_router_makes_no_records() {
    let mut router = Router::new(SizerPolicy::default(), 1_000_000);
    for _ in 0..50 {
        router.look(1, 100);
    }
    let first = router.rest(IDLE_LOOKS + RUN);
    assert!(first.all() <= 3, "{first:?}");
    assert_eq!(router.rest(6_000), Records::default(), "ten idle minutes");
    assert_eq!(router.grant.available(), 0, "all was returned");
}

#[test]
fn demand_that_returns_gets_its_old_size_at_once() {
    let mut router = Router::new(SizerPolicy::default(), 10_000_000);
    for _ in 0..600 {
        router.look(2, 100);
    }
    let usual = router.sizer.target(router.now);
    router.rest(3_000);
    assert_eq!(router.grant.available(), 0);
    let before = router.records;
    router.look(2, 100);
    assert_eq!(router.records.since(before).claims, 1);
    let held = router.grant.available();
    assert!(held * 10 >= usual * 8, "{held} of {usual} held before");
}

#[test]
fn steady_demand_makes_few_records() {
    let mut router = Router::new(SizerPolicy::default(), 100_000_000);
    for look in 0..10_000 {
        router.look(u64::from(look % 10 == 0), 500);
    }
    let made = router.records.all();
    assert!(made <= 250, "{made} records for 1000 requests");
}

#[test]
fn an_empty_budget_is_not_asked_again_and_again() {
    let mut router = Router::new(SizerPolicy::default(), 1_000);
    for look in 0..10_000 {
        router.look(u64::from(look % 10 == 0), 500);
    }
    let made = router.records.all();
    assert!(made <= 1_500, "{made} records for 1000 requests");
    let late = router.rest(IDLE_LOOKS);
    assert!(late.all() <= 5, "{late:?}");
    assert_eq!(router.rest(6_000), Records::default());
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn without_demand_at_most_one_return_and_no_claim(
        policy in policies(),
        free in prop_oneof![1..5_000_u64, 100_000..50_000_000_u64],
        demand in demand(),
    ) {
        let mut router = Router::new(policy, free);
        for (requests, cost, looks) in demand {
            for _ in 0..looks {
                router.look(requests, cost);
            }
        }
        // Requests that wait or run are demand still.
        router.rest(RUN + 2);
        let before = router.records;
        router.rest(IDLE_LOOKS - RUN - 2);
        let late = router.rest(3_000);
        prop_assert!(late.claims == 0 && late.returns <= 1, "{late:?}");
        prop_assert_eq!(router.grant.available(), 0);
        let all = router.records.since(before);
        prop_assert!(all.returns <= 2, "{all:?}");
    }

    #[test]
    fn records_are_bounded_by_the_requests(
        policy in policies(),
        free in prop_oneof![1..5_000_u64, 100_000..50_000_000_u64],
        demand in demand(),
    ) {
        let mut router = Router::new(policy, free);
        for (requests, cost, looks) in demand {
            for _ in 0..looks {
                router.look(requests, cost);
            }
            router.rest(400);
        }
        let asked = router.grant.demand().requests;
        let made = router.records.all();
        prop_assert!(made <= 2 * asked + 20, "{made} records for {asked} requests");
    }
}
