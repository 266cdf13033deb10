//! Tokens lost when routers are killed, lose power, end after store outages or restart beside other
//! routers: few are lost, and none is spent twice. Time is paused.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use swiftlink_gateway::clock::Clock;
use swiftlink_gateway::dialect::Usage;
use swiftlink_gateway::model::Workspace;
use swiftlink_gateway::peer_clocks::ClockReading;
use swiftlink_gateway::quota::holders::Placement;
use swiftlink_gateway::quota::{LastSeen, LocalQuota};
use swiftlink_gateway::store::{Feed, MemStore, StoreFault};
use swiftlink_types::WorkspaceName;
use tokio::time::{Instant, sleep};

use crate::book::config;
use crate::clock::TestClock;
use crate::net::{members, name};
use crate::rights::{
    Nobody, PREPAID, ROUTERS, kill_all, request, start, start_all, start_at, start_seen,
};

/// A peer that saw each process a tenth of a second before its end, which was at `ended` by the
/// monotonic clock of its VM.
#[derive(Debug)]
struct Peer {
    ended: u64,
    at: Instant,
}

#[async_trait]
impl LastSeen for Peer {
    async fn since(&self, _process: u64, stamp: u64) -> Option<Duration> {
        let reading = ClockReading {
            steady: self.ended - 100,
            asked: 0,
        };
        let age = self.at.elapsed().as_millis() as u64 + 100;
        Some(reading.since(stamp, age))
    }
}

/// All routers end at once after each has spent some of its quota. All but a few hundredths of the
/// budget must be available again.
async fn all_end_at_once(lost_power: bool) {
    let mut rng = Pcg64::seed_from_u64(7);
    let store = Arc::new(MemStore::new());
    let clocks: Vec<_> = (0..ROUTERS).map(|_| TestClock::new()).collect();
    let mut routers = start_all(&store, &clocks, 1);
    let mut spent = 0;
    while spent < PREPAID / 4 {
        let vm = rng.random_range(0..ROUTERS);
        spent += request(&routers[vm].quota, &mut rng).await;
        // Makes the budget last about fifty seconds, as on the users' deployments.
        sleep(Duration::from_millis(400)).await;
    }
    kill_all(&mut routers, &clocks, lost_power, &mut rng);
    sleep(Duration::from_millis(900)).await;
    let routers = start_all(&store, &clocks, ROUTERS as u64 + 1);
    for _step in 0..2_000 {
        let vm = rng.random_range(0..ROUTERS);
        spent += request(&routers[vm].quota, &mut rng).await;
        sleep(Duration::from_millis(50)).await;
    }
    let least = PREPAID * 90 / 100;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
    assert!(spent >= least, "{spent} of {PREPAID}");
}

#[tokio::test(start_paused = true)]
async fn little_is_lost_when_all_routers_are_killed() {
    all_end_at_once(false).await;
}

#[tokio::test(start_paused = true)]
async fn little_is_lost_when_all_vms_lose_power() {
    all_end_at_once(true).await;
}

/// Routers that have spent nothing for a while lose power together, at any age of their last caps.
/// The time until they restart must not count as a store outage, which would add to the caps.
#[tokio::test(start_paused = true)]
async fn little_is_lost_when_idle_vms_lose_power() {
    for offset in (0..1_500).step_by(100) {
        let store = Arc::new(MemStore::new());
        let clocks: Vec<_> = (0..ROUTERS).map(|_| TestClock::new()).collect();
        let mut routers = start_all(&store, &clocks, 1);
        sleep(Duration::from_millis(3_000 + offset)).await;
        for (router, clock) in routers.iter_mut().zip(&clocks) {
            router.claims.abort();
            clock.lose_power(0);
        }
        sleep(Duration::from_millis(900)).await;
        let routers = start_all(&store, &clocks, ROUTERS as u64 + 1);
        sleep(Duration::from_secs(5)).await;
        let left = routers[0].quota.remaining();
        let least = PREPAID * 98 / 100;
        assert!(
            left >= least,
            "{left} of {PREPAID}, ended after {offset} ms"
        );
    }
}

/// Spends a prompt of `tokens` if there is quota for it within `wait`; returns the tokens spent.
async fn spend(quota: &Arc<LocalQuota>, tokens: u64, wait: Duration) -> u64 {
    let usage = Usage {
        prompt: tokens,
        output: 0,
    };
    let Ok(mut reservation) = quota.reserve(usage, wait).await else {
        return 0;
    };
    reservation.deliver(0);
    reservation.spent()
}

/// Spends what is left of the budget, a thousand tokens at a time.
async fn spend_rest(quota: &Arc<LocalQuota>, wait: Duration) -> u64 {
    let mut spent = 0;
    for _step in 0..400 {
        spent += spend(quota, 1_000, wait).await;
    }
    spent
}

/// In a store outage a router may spend more and more of its quota, and its successor must count
/// that as spent.
#[tokio::test(start_paused = true)]
async fn kill_after_an_outage_costs_what_may_have_been_spent() {
    let store = Arc::new(MemStore::new());
    let clock = TestClock::new();
    let mut router = start_at(&store, 0, 1, PREPAID, Arc::clone(&clock));
    sleep(Duration::from_secs(2)).await;
    store.set_fault(StoreFault::Unavailable);
    let mut spent = 0;
    for _step in 0..60 {
        spent += spend(&router.quota, 1_000, Duration::ZERO).await;
        sleep(Duration::from_secs(1)).await;
    }
    assert!(spent > 10_000, "{spent} in a minute");
    router.claims.abort();
    store.set_fault(StoreFault::None);
    let next = start_at(&store, 0, 2, PREPAID, clock);
    spent += spend_rest(&next.quota, Duration::from_millis(100)).await;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
    assert!(spent > PREPAID / 2, "{spent} of {PREPAID}");
}

/// Compares the cost of one VM's power loss without a peer that saw the router and with one.
/// Without it, some seconds more of use are lost, since the clock may have jumped.
#[tokio::test(start_paused = true)]
async fn clock_reading_by_a_peer_avoids_the_allowance_for_a_clock_jump() {
    let mut left = Vec::new();
    for is_seen in [false, true] {
        let store = Arc::new(MemStore::new());
        let clock = TestClock::new();
        let mut router = start_at(&store, 0, 1, PREPAID, Arc::clone(&clock));
        for vm in 1..5 {
            let other = start(&store, vm, vm as u64 + 10, 0);
            drop(other.claims);
        }
        spend_some(&router.quota).await;
        router.claims.abort();
        let last_seen: Arc<dyn LastSeen> = if is_seen {
            Arc::new(Peer {
                ended: clock.steady(),
                at: Instant::now(),
            })
        } else {
            Arc::new(Nobody)
        };
        clock.lose_power(0);
        sleep(Duration::from_millis(1_000)).await;
        let next = start_seen(&store, 0, 2, PREPAID, clock, last_seen);
        sleep(Duration::from_secs(2)).await;
        left.push(next.quota.remaining());
    }
    assert!(left[1] >= left[0] + PREPAID / 20, "{left:?}");
}

/// A router that starts after a power loss waits to see which others restarted. It must get its
/// quota although other routers write to the feed of caps all the time.
#[tokio::test(start_paused = true)]
async fn router_starts_while_others_write() {
    let store = Arc::new(MemStore::new());
    let clock = TestClock::new();
    let mut router = start_at(&store, 0, 1, PREPAID, Arc::clone(&clock));
    for vm in 1..5 {
        let other = start(&store, vm, vm as u64 + 10, 0);
        drop(other.claims);
    }
    let mut spent = spend_some(&router.quota).await;
    router.claims.abort();
    clock.lose_power(0);
    let feed = Arc::clone(&store);
    let writer = tokio::spawn(async move {
        loop {
            for part in 0..12 {
                feed.put(Feed::Caps(part), "vm9/1", Some(Bytes::new()));
            }
            sleep(Duration::from_millis(70)).await;
        }
    });
    let next = start_at(&store, 0, 2, PREPAID, clock);
    sleep(Duration::from_secs(2)).await;
    spent += spend_rest(&next.quota, Duration::from_millis(200)).await;
    writer.abort();
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
    assert!(spent > PREPAID / 2, "{spent} of {PREPAID}");
}

/// A page of the feed of caps that is older than an acknowledged append must not be used.
#[tokio::test(start_paused = true)]
async fn stale_page_of_caps_grants_nothing() {
    let store = Arc::new(MemStore::new());
    let clock = TestClock::new();
    let mut router = start_at(&store, 0, 1, PREPAID, Arc::clone(&clock));
    sleep(Duration::from_secs(1)).await;
    // From here on, reads return the state before anything was spent.
    store.set_fault(StoreFault::Stale);
    let mut spent = spend_some(&router.quota).await;
    router.claims.abort();
    let next = start_at(&store, 0, 2, PREPAID, clock);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(next.quota.balance().granted, 0);
    store.set_fault(StoreFault::None);
    spent += spend_rest(&next.quota, Duration::from_millis(200)).await;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
    assert!(spent > PREPAID / 2, "{spent} of {PREPAID}");
}

/// Spends about thirty thousand tokens in three seconds.
async fn spend_some(quota: &Arc<LocalQuota>) -> u64 {
    let mut spent = 0;
    for _step in 0..30 {
        spent += spend(quota, 1_000, Duration::from_millis(50)).await;
        sleep(Duration::from_millis(100)).await;
    }
    spent
}

/// A cap that was sent may be stored late, so it applies from the moment that it is sent, even
/// where the one before allows more.
#[tokio::test(start_paused = true)]
async fn unconfirmed_cap_applies_together_with_the_one_before() {
    let store = Arc::new(MemStore::new());
    let clock = TestClock::new();
    let mut router = start_at(&store, 0, 1, PREPAID, Arc::clone(&clock));
    sleep(Duration::from_secs(1)).await;
    let large = Usage {
        prompt: 100_000,
        output: 0,
    };
    let wait = Duration::from_millis(300);
    // The stored cap allows this request. It is dropped, so the next cap is small again.
    drop(router.quota.reserve(large, wait).await.expect("quota"));
    store.set_fault(StoreFault::Late);
    sleep(Duration::from_millis(700)).await;
    let mut spent = spend(&router.quota, large.prompt, Duration::ZERO).await;
    router.claims.abort();
    store.release();
    store.set_fault(StoreFault::None);
    let next = start_at(&store, 0, 2, PREPAID, clock);
    spent += spend_rest(&next.quota, wait).await;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
}

/// A new cap omits workspaces without quota, and a successor counts an omitted workspace as
/// unspent. So what an older cap allowed must not be used after that.
#[tokio::test(start_paused = true)]
async fn workspace_omitted_from_a_cap_spends_nothing() {
    let store = Arc::new(MemStore::new());
    let clock = TestClock::new();
    let mut router = start_at(&store, 0, 1, PREPAID, Arc::clone(&clock));
    // One of a hundred routers, with too little processor time to hold accounts.
    let mut fleet = members(100);
    fleet[0].cpu_millis = 1;
    let placement = Placement::new(name(0), fleet, Instant::now());
    router.quotas.set_placement(placement);
    let mut both = config(Some(PREPAID));
    let other = Arc::new(Workspace {
        name: WorkspaceName::from("other"),
        priority: None,
        allowed_regions: Vec::new(),
        prepaid: Some(PREPAID),
    });
    both.workspaces.insert(other.name.clone(), other);
    router.quotas.set_config(&both);
    let large = Usage {
        prompt: 100_000,
        output: 0,
    };
    let wait = Duration::from_millis(500);
    drop(router.quota.reserve(large, wait).await.expect("quota"));
    let other = router.quotas.get(&WorkspaceName::from("other"));
    let held = other
        .expect("quota of the workspace")
        .reserve(large, wait)
        .await;
    // Without callers it returns all quota; the other workspace's request keeps running.
    sleep(Duration::from_secs(120)).await;
    assert!(held.is_ok());
    assert_eq!(router.quota.balance().granted, 0);
    store.set_fault(StoreFault::NoNumbered);
    let mut spent = spend(&router.quota, large.prompt, wait).await;
    router.claims.abort();
    store.set_fault(StoreFault::None);
    let next = start_at(&store, 0, 2, PREPAID, clock);
    spent += spend_rest(&next.quota, wait).await;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
}
