//! How many log records a sizer causes: claims and returns follow demand, and there are none
//! without it.

use std::time::Duration;

use proptest::prelude::*;
use swiftlink_admission::{ClaimOutcome, DemandSizer, Grant, SizerPolicy, Sizing, Waiting};

const SEC: u64 = 1_000_000;
/// Time between two ticks of the claimer.
const TICK: u64 = SEC / 10;
/// Ticks that a request runs, and the divisor that gives the part of its reservation left unspent.
const RUN_TICKS: usize = 12;
const UNSPENT_DIVISOR: u64 = 3;
const SHARERS: u32 = 3;
const IDLE_TICKS: usize = 301;

/// Records that a sizer has caused.
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

    fn total(self) -> u64 {
        self.claims + self.returns
    }
}

/// One router on a budget; claims are decided as the log does it.
struct Router {
    sizer: DemandSizer,
    grant: Grant,
    free: u64,
    now: u64,
    running: Vec<(usize, u64)>,
    queued: Vec<(usize, u64)>,
    ticks: usize,
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
            queued: Vec::new(),
            ticks: 0,
            records: Records::default(),
        }
    }

    /// `requests` requests of `cost` tokens each arrive; then the claimer runs once.
    fn tick(&mut self, requests: u64, cost: u64) {
        self.now += TICK;
        self.ticks += 1;
        for _ in 0..requests {
            self.queued.push((self.ticks + 1, cost));
        }
        self.settle_ended();
        self.serve();
        self.run_claimer();
        self.serve();
    }

    fn settle_ended(&mut self) {
        let ticks = self.ticks;
        for (_, cost) in self.running.extract_if(.., |(until, _)| *until <= ticks) {
            self.grant.settle(cost, cost - cost / UNSPENT_DIVISOR);
        }
    }

    /// Waiting requests reserve quota; those that waited too long are refused.
    fn serve(&mut self) {
        for (until, cost) in std::mem::take(&mut self.queued) {
            if self.grant.reserve(cost).is_some() {
                self.running.push((self.ticks + RUN_TICKS, cost));
            } else if until > self.ticks {
                self.queued.push((until, cost));
            } else {
                self.grant.miss(cost);
            }
        }
    }

    fn run_claimer(&mut self) {
        self.sizer.observe(self.now, self.grant.demand());
        let available = self.grant.available();
        let costs = self.queued.iter().map(|(_, cost)| *cost);
        let waiting = Waiting {
            min_cost: costs.clone().min().unwrap_or(0),
            total_cost: costs.sum(),
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
                held_elsewhere: 0,
                sharers: SHARERS,
            };
            return self.sizer.on_claimed(self.now, &outcome);
        }
        if waiting.min_cost > available {
            return;
        }
        if let Some(extra) = self.sizer.surplus(self.now, available) {
            self.records.returns += 1;
            self.free += self.grant.shrink(extra);
        }
    }

    fn idle(&mut self, ticks: usize) -> Records {
        let before = self.records;
        for _ in 0..ticks {
            self.tick(0, 0);
        }
        self.records.since(before)
    }
}

/// Phases of demand: requests per tick, their cost, and the number of ticks.
fn demand() -> impl Strategy<Value = Vec<(u64, u64, usize)>> {
    let phase = (0..4_u64, 1..3_000_u64, 1..400_usize);
    prop::collection::vec(phase, 1..8)
}

fn policies() -> impl Strategy<Value = SizerPolicy> {
    (1..900_u64, 0..5_000_u64).prop_map(|(ahead, min_grant)| SizerPolicy {
        ahead: Duration::from_secs(ahead),
        min_grant,
        ..SizerPolicy::default()
    })
}

#[test]
fn an_idle_router_causes_no_records() {
    let mut router = Router::new(SizerPolicy::default(), 1_000_000);
    for _ in 0..50 {
        router.tick(1, 100);
    }
    let first = router.idle(IDLE_TICKS + RUN_TICKS);
    assert!(first.total() <= 3, "{first:?}");
    assert_eq!(router.idle(6_000), Records::default(), "ten idle minutes");
    assert_eq!(router.grant.available(), 0, "all was returned");
}

#[test]
fn resumed_demand_gets_its_old_claim_size_at_once() {
    let mut router = Router::new(SizerPolicy::default(), 10_000_000);
    for _ in 0..600 {
        router.tick(2, 100);
    }
    let old_target = router.sizer.target(router.now);
    router.idle(3_000);
    assert_eq!(router.grant.available(), 0);
    let before = router.records;
    router.tick(2, 100);
    assert_eq!(router.records.since(before).claims, 1);
    let held = router.grant.available();
    assert!(
        held * 10 >= old_target * 8,
        "{held} of {old_target} held before"
    );
}

#[test]
fn steady_demand_causes_few_records() {
    let mut router = Router::new(SizerPolicy::default(), 100_000_000);
    for tick in 0..10_000 {
        router.tick(u64::from(tick % 10 == 0), 500);
    }
    let made = router.records.total();
    assert!(made <= 250, "{made} records for 1000 requests");
}

#[test]
fn claims_on_an_empty_budget_back_off() {
    let mut router = Router::new(SizerPolicy::default(), 1_000);
    for tick in 0..10_000 {
        router.tick(u64::from(tick % 10 == 0), 500);
    }
    let made = router.records.total();
    assert!(made <= 1_500, "{made} records for 1000 requests");
    let late = router.idle(IDLE_TICKS);
    assert!(late.total() <= 5, "{late:?}");
    assert_eq!(router.idle(6_000), Records::default());
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
        for (requests, cost, ticks) in demand {
            for _ in 0..ticks {
                router.tick(requests, cost);
            }
        }
        // Requests that wait or run still count as demand.
        router.idle(RUN_TICKS + 2);
        let before = router.records;
        router.idle(IDLE_TICKS - RUN_TICKS - 2);
        let late = router.idle(3_000);
        prop_assert!(late.claims == 0 && late.returns <= 1, "{late:?}");
        prop_assert_eq!(router.grant.available(), 0);
        let total = router.records.since(before);
        prop_assert!(total.returns <= 2, "{total:?}");
    }

    #[test]
    fn records_are_bounded_by_the_requests(
        policy in policies(),
        free in prop_oneof![1..5_000_u64, 100_000..50_000_000_u64],
        demand in demand(),
    ) {
        let mut router = Router::new(policy, free);
        for (requests, cost, ticks) in demand {
            for _ in 0..ticks {
                router.tick(requests, cost);
            }
            router.idle(400);
        }
        let asked = router.grant.demand().requests;
        let made = router.records.total();
        prop_assert!(made <= 2 * asked + 20, "{made} records for {asked} requests");
    }
}
