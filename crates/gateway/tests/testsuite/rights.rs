//! Randomized runs of routers that share a budget while routers, the store and its answers fail.
//!
//! Time is paused, so a run of minutes takes little time; a failed run prints its seed.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use swiftlink_gateway::clock::Clock;
use swiftlink_gateway::dialect::Usage;
use swiftlink_gateway::quota::holders::Placement;
use swiftlink_gateway::quota::{Claims, LastSeen, LocalQuota, QuotaError, QuotaTable};
use swiftlink_gateway::store::{Feed, MemStore, Store, StoreFault};
use swiftlink_types::{VmName, WorkspaceName};
use swiftlink_wire::rights::Member;
use tokio::time::{Instant, sleep};

use crate::book::config;
use crate::clock::TestClock;
use crate::net::members;

pub(crate) const PREPAID: u64 = 200_000;
pub(crate) const ROUTERS: usize = 5;
const STEPS: usize = 400;

pub(crate) struct Router {
    pub(crate) claims: Claims,
    pub(crate) quota: Arc<LocalQuota>,
    pub(crate) quotas: Arc<QuotaTable>,
}

pub(crate) fn start(store: &Arc<MemStore>, vm: usize, process: u64, prepaid: u64) -> Router {
    start_at(store, vm, process, prepaid, TestClock::new())
}

pub(crate) fn start_at(
    store: &Arc<MemStore>,
    vm: usize,
    process: u64,
    prepaid: u64,
    clock: Arc<TestClock>,
) -> Router {
    start_seen(store, vm, process, prepaid, clock, Arc::new(Nobody))
}

/// Peers that have seen no process.
#[derive(Debug)]
pub(crate) struct Nobody;

#[async_trait]
impl LastSeen for Nobody {
    async fn since(&self, _process: u64, _stamp: u64) -> Option<Duration> {
        None
    }
}

pub(crate) fn start_seen(
    store: &Arc<MemStore>,
    vm: usize,
    process: u64,
    prepaid: u64,
    clock: Arc<TestClock>,
    last_seen: Arc<dyn LastSeen>,
) -> Router {
    let member = Member {
        started_ms: clock.read().wall,
        ..Member::default()
    };
    let member = Bytes::from(member.encode_to_vec());
    store.put(Feed::Members(0), &format!("vm{vm}"), Some(member));
    let own = VmName::from(format!("vm{vm}"));
    let placement = Placement::new(own.clone(), members(ROUTERS), Instant::now());
    let quotas = Arc::new(QuotaTable::new(placement, 2, clock));
    quotas.set_config(&config(Some(prepaid)));
    let store: Arc<dyn Store> = Arc::clone(store) as Arc<dyn Store>;
    let claims = Claims::spawn(&quotas, &store, last_seen, &own, process);
    let quota = quotas
        .get(&WorkspaceName::from("acme"))
        .expect("quota of the workspace");
    Router {
        claims,
        quota,
        quotas,
    }
}

/// Starts a router on each VM; `process` is the first one's process.
pub(crate) fn start_all(
    store: &Arc<MemStore>,
    clocks: &[Arc<TestClock>],
    process: u64,
) -> Vec<Router> {
    let vms = clocks.iter().enumerate();
    let start = |(vm, clock): (usize, &Arc<TestClock>)| {
        start_at(store, vm, process + vm as u64, PREPAID, Arc::clone(clock))
    };
    vms.map(start).collect()
}

/// Runs one request and returns the tokens that it spent.
pub(crate) async fn request(quota: &Arc<LocalQuota>, rng: &mut Pcg64) -> u64 {
    let usage = Usage {
        prompt: rng.random_range(1..3_000),
        output: rng.random_range(0..500),
    };
    let wait = Duration::from_millis(rng.random_range(0..50));
    let Ok(mut reservation) = quota.reserve(usage, wait).await else {
        return 0;
    };
    if rng.random_bool(0.1) {
        // The caller received nothing.
        return 0;
    }
    reservation.deliver(rng.random_range(0..=usage.output));
    reservation.spent()
}

fn draw_fault(rng: &mut Pcg64) -> StoreFault {
    match rng.random_range(0..8) {
        0 => StoreFault::Unavailable,
        1 => StoreFault::LoseAnswers,
        2 => StoreFault::Late,
        3 => StoreFault::Stale,
        _ => StoreFault::None,
    }
}

/// Kills a router. Its VM may lose power and restart with another monotonic clock.
fn kill(router: &mut Router, clock: &TestClock, lost_power: bool, rng: &mut Pcg64) {
    router.claims.abort();
    if lost_power {
        clock.lose_power(rng.random_range(0..100_000_000));
    }
}

/// Kills all routers at the same time. One VM's clock jumps.
pub(crate) fn kill_all(
    routers: &mut [Router],
    clocks: &[Arc<TestClock>],
    lost_power: bool,
    rng: &mut Pcg64,
) {
    for (router, clock) in routers.iter_mut().zip(clocks) {
        kill(router, clock, lost_power, rng);
    }
    jump(&clocks[rng.random_range(0..clocks.len())], rng);
}

/// Makes a wall clock jump by less than 3 seconds.
fn jump(clock: &TestClock, rng: &mut Pcg64) {
    clock.set_jump(rng.random_range(-1_400..1_500));
}

/// Sleeps until ended processes restart.
async fn restart_delay(rng: &mut Pcg64) {
    sleep(Duration::from_millis(rng.random_range(0..1_500))).await;
}

async fn run(seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let store = Arc::new(MemStore::new());
    let mut process = 0;
    let mut routers = Vec::new();
    let clocks: Vec<_> = (0..ROUTERS).map(|_| TestClock::new()).collect();
    for (vm, clock) in clocks.iter().enumerate() {
        process += 1;
        let clock = Arc::clone(clock);
        routers.push(start_at(&store, vm, process, PREPAID, clock));
    }
    let mut spent = 0;
    for _step in 0..STEPS {
        let vm = rng.random_range(0..ROUTERS);
        match rng.random_range(0..100) {
            0..2 => {
                // Killed: only what is on the store remains.
                let lost_power = rng.random_bool(0.5);
                process += 1;
                kill(&mut routers[vm], &clocks[vm], lost_power, &mut rng);
                jump(&clocks[vm], &mut rng);
                restart_delay(&mut rng).await;
                let clock = Arc::clone(&clocks[vm]);
                routers[vm] = start_at(&store, vm, process, PREPAID, clock);
            }
            2..3 => {
                let lost_power = rng.random_bool(0.5);
                kill_all(&mut routers, &clocks, lost_power, &mut rng);
                restart_delay(&mut rng).await;
                for (vm, clock) in clocks.iter().enumerate() {
                    process += 1;
                    let clock = Arc::clone(clock);
                    routers[vm] = start_at(&store, vm, process, PREPAID, clock);
                }
            }
            3..4 => {
                process += 1;
                let old = routers.remove(vm);
                old.claims.stop(Duration::from_secs(1)).await;
                let clock = Arc::clone(&clocks[vm]);
                let next = start_at(&store, vm, process, PREPAID, clock);
                routers.insert(vm, next);
            }
            4..8 => store.set_fault(draw_fault(&mut rng)),
            8..11 => store.release(),
            11 => (0..12).for_each(|part| store.compact(Feed::Quota(part))),
            12..40 => sleep(Duration::from_millis(rng.random_range(0..800))).await,
            _ => spent += request(&routers[vm].quota, &mut rng).await,
        }
        assert!(spent <= PREPAID, "seed {seed}: {spent} of {PREPAID} spent");
    }
}

/// Overspends without a router's own limit on what it spends, without conditional appends, or if
/// returned quota is used again while the append that returned it may still succeed.
#[tokio::test(start_paused = true)]
async fn no_run_spends_more_than_was_prepaid() {
    for seed in 0..200 {
        run(seed).await;
    }
}

#[tokio::test(start_paused = true)]
async fn nearly_all_of_a_budget_can_be_spent() {
    let mut rng = Pcg64::seed_from_u64(1);
    let store = Arc::new(MemStore::new());
    let mut routers = Vec::new();
    for vm in 0..ROUTERS {
        routers.push(start(&store, vm, vm as u64 + 1, PREPAID));
    }
    let mut spent = 0;
    for _step in 0..2_000 {
        let vm = rng.random_range(0..ROUTERS);
        spent += request(&routers[vm].quota, &mut rng).await;
        sleep(Duration::from_millis(50)).await;
    }
    let least = PREPAID * 97 / 100;
    assert!(spent >= least, "{spent} of {PREPAID}");
}

#[tokio::test(start_paused = true)]
async fn quota_of_a_stopped_router_is_free_at_once() {
    let store = Arc::new(MemStore::new());
    let first = start(&store, 0, 1, 10_000);
    sleep(Duration::from_secs(2)).await;
    assert!(first.quota.grant.available() > 0);
    first.claims.stop(Duration::from_secs(1)).await;
    let second = start(&store, 1, 2, 10_000);
    let usage = Usage {
        prompt: 10_000,
        output: 0,
    };
    let reservation = second.quota.reserve(usage, Duration::from_secs(1)).await;
    assert!(reservation.is_ok(), "{reservation:?}");
}

#[tokio::test(start_paused = true)]
async fn top_up_covers_the_next_request() {
    let store = Arc::new(MemStore::new());
    let router = start(&store, 0, 1, 1_000);
    let usage = Usage {
        prompt: 5_000,
        output: 0,
    };
    let wait = Duration::from_millis(500);
    assert!(router.quota.reserve(usage, wait).await.is_err());
    router.quotas.set_config(&config(Some(20_000)));
    assert!(router.quota.reserve(usage, wait).await.is_ok());
}

/// An append without an answer may still succeed: until the feed has grown, quota that it returns
/// must not be used again.
#[tokio::test(start_paused = true)]
async fn quota_returned_by_an_unconfirmed_append_is_not_used_again() {
    let wait = Duration::from_millis(500);
    let large = Usage {
        prompt: 60_000,
        output: 0,
    };
    let store = Arc::new(MemStore::new());
    let first = start(&store, 0, 1, 100_000);
    let idle = first.quota.reserve(large, wait).await.expect("quota");
    drop(idle);

    store.set_fault(StoreFault::Late);
    sleep(Duration::from_secs(2)).await;
    let mut spent = 0;
    if let Ok(mut reservation) = first.quota.reserve(large, wait).await {
        reservation.deliver(0);
        spent += reservation.spent();
    }
    store.release();
    store.set_fault(StoreFault::None);

    let second = start(&store, 1, 2, 100_000);
    let rest = Usage {
        prompt: 90_000,
        output: 0,
    };
    // Which of the late appends succeeds depends on the timing of the rounds. A router without
    // quota gets it once the routers have updated the account.
    for _attempt in 0..20 {
        let Ok(mut reservation) = second.quota.reserve(rest, wait).await else {
            continue;
        };
        reservation.deliver(0);
        spent += reservation.spent();
        break;
    }
    assert!(spent <= 100_000, "{spent} of 100000");
    assert!(spent >= 60_000, "a request was served");
}

/// Callers are told different times to retry: an outage lasts seconds, contention does not.
#[tokio::test(start_paused = true)]
async fn contended_account_is_not_taken_for_a_store_outage() {
    let store = Arc::new(MemStore::new());
    store.set_fault(StoreFault::Contended);
    let router = start(&store, 0, 1, 10_000);
    let usage = Usage {
        prompt: 5_000,
        output: 0,
    };
    let wait = Duration::from_secs(5);
    let refused = router.quota.reserve(usage, wait).await;
    assert_eq!(refused.err(), Some(QuotaError::HeldElsewhere));
    store.set_fault(StoreFault::Unavailable);
    let refused = router.quota.reserve(usage, wait).await;
    assert_eq!(refused.err(), Some(QuotaError::StoreUnavailable));
}
