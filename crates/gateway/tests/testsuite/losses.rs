//! What is lost, and never spent twice, when routers end: killed, without power, after cuts and
//! beside others. Time is paused.

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
use swiftlink_gateway::rights::holders::Placement;
use swiftlink_gateway::rights::{Book, Witness};
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
/// steady clock of its VM.
#[derive(Debug)]
struct Peer {
    ended: u64,
    at: Instant,
}

#[async_trait]
impl Witness for Peer {
    async fn since(&self, _process: u64, stamp: u64) -> Option<Duration> {
        let sighting = ClockReading {
            steady: self.ended - 100,
            asked: 0,
        };
        let age = self.at.elapsed().as_millis() as u64 + 100;
        Some(sighting.since(stamp, age))
    }
}

/// Each router has used some of its rights when all of them end at once; what they held
/// beyond that is free again, all but a few hundredths of the budget.
async fn all_end_at_once(lost_power: bool) {
    let mut rng = Pcg64::seed_from_u64(7);
    let store = Arc::new(MemStore::new());
    let clocks: Vec<_> = (0..ROUTERS).map(|_| TestClock::new()).collect();
    let mut routers = start_all(&store, &clocks, 1);
    let mut spent = 0;
    while spent < PREPAID / 4 {
        let vm = rng.random_range(0..ROUTERS);
        spent += request(&routers[vm].book, &mut rng).await;
        // As on the users' deployments, a budget is about fifty seconds of use.
        sleep(Duration::from_millis(400)).await;
    }
    kill_all(&mut routers, &clocks, lost_power, &mut rng);
    sleep(Duration::from_millis(900)).await;
    let routers = start_all(&store, &clocks, ROUTERS as u64 + 1);
    for _step in 0..2_000 {
        let vm = rng.random_range(0..ROUTERS);
        spent += request(&routers[vm].book, &mut rng).await;
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

/// Routers that have spent nothing for a while lose power together, at any time since their
/// last caps; the time until they are back is no cut.
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
        let left = routers[0].book.rest();
        let least = PREPAID * 98 / 100;
        assert!(
            left >= least,
            "{left} of {PREPAID}, ended after {offset} ms"
        );
    }
}

/// Spends a prompt of `tokens` if there are rights for it within `wait`; gives what was spent.
async fn spend(book: &Arc<Book>, tokens: u64, wait: Duration) -> u64 {
    let usage = Usage {
        prompt: tokens,
        output: 0,
    };
    let Ok(mut spend) = book.reserve(usage, wait).await else {
        return 0;
    };
    spend.deliver(0);
    spend.spent()
}

/// Spends what is left of the budget, a thousand tokens at a time.
async fn spend_rest(book: &Arc<Book>, wait: Duration) -> u64 {
    let mut spent = 0;
    for _step in 0..400 {
        spent += spend(book, 1_000, wait).await;
    }
    spent
}

/// In a cut a router may spend more and more of what it holds, and its successor counts
/// that as spent.
#[tokio::test(start_paused = true)]
async fn a_cut_that_ends_in_a_kill_costs_what_may_have_been_spent_in_it() {
    let store = Arc::new(MemStore::new());
    let clock = TestClock::new();
    let mut router = start_at(&store, 0, 1, PREPAID, Arc::clone(&clock));
    sleep(Duration::from_secs(2)).await;
    store.set_fault(StoreFault::Away);
    let mut spent = 0;
    for _step in 0..60 {
        spent += spend(&router.book, 1_000, Duration::ZERO).await;
        sleep(Duration::from_secs(1)).await;
    }
    assert!(spent > 10_000, "{spent} in a minute");
    router.claims.abort();
    store.set_fault(StoreFault::None);
    let next = start_at(&store, 0, 2, PREPAID, clock);
    spent += spend_rest(&next.book, Duration::from_millis(100)).await;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
    assert!(spent > PREPAID / 2, "{spent} of {PREPAID}");
}

/// What one VM's loss of power costs, without peers that saw it and with one: the use of some
/// seconds more is lost for a clock that may have jumped.
#[tokio::test(start_paused = true)]
async fn a_peer_that_saw_a_router_spares_what_a_jump_of_the_clock_would_cost() {
    let mut left = Vec::new();
    for is_seen in [false, true] {
        let store = Arc::new(MemStore::new());
        let clock = TestClock::new();
        let mut router = start_at(&store, 0, 1, PREPAID, Arc::clone(&clock));
        for vm in 1..5 {
            let other = start(&store, vm, vm as u64 + 10, 0);
            drop(other.claims);
        }
        spend_some(&router.book).await;
        router.claims.abort();
        let witness: Arc<dyn Witness> = if is_seen {
            Arc::new(Peer {
                ended: clock.steady(),
                at: Instant::now(),
            })
        } else {
            Arc::new(Nobody)
        };
        clock.lose_power(0);
        sleep(Duration::from_millis(1_000)).await;
        let next = start_seen(&store, 0, 2, PREPAID, clock, witness);
        sleep(Duration::from_secs(2)).await;
        left.push(next.book.rest());
    }
    assert!(left[1] >= left[0] + PREPAID / 20, "{left:?}");
}

/// Other routers write to the feed of caps all the time; a router that starts after a loss of
/// power, and waits a while to see who else did, has its rights all the same.
#[tokio::test(start_paused = true)]
async fn a_router_starts_beside_others_that_write() {
    let store = Arc::new(MemStore::new());
    let clock = TestClock::new();
    let mut router = start_at(&store, 0, 1, PREPAID, Arc::clone(&clock));
    for vm in 1..5 {
        let other = start(&store, vm, vm as u64 + 10, 0);
        drop(other.claims);
    }
    let mut spent = spend_some(&router.book).await;
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
    spent += spend_rest(&next.book, Duration::from_millis(200)).await;
    writer.abort();
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
    assert!(spent > PREPAID / 2, "{spent} of {PREPAID}");
}

/// A page of the feed of caps that is older than what was acknowledged isn't trusted.
#[tokio::test(start_paused = true)]
async fn an_old_page_of_caps_opens_nothing() {
    let store = Arc::new(MemStore::new());
    let clock = TestClock::new();
    let mut router = start_at(&store, 0, 1, PREPAID, Arc::clone(&clock));
    sleep(Duration::from_secs(1)).await;
    // Reads answer from here on as if nothing had been spent yet.
    store.set_fault(StoreFault::Stale);
    let mut spent = spend_some(&router.book).await;
    router.claims.abort();
    let next = start_at(&store, 0, 2, PREPAID, clock);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(next.book.standing().granted, 0);
    store.set_fault(StoreFault::None);
    spent += spend_rest(&next.book, Duration::from_millis(200)).await;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
    assert!(spent > PREPAID / 2, "{spent} of {PREPAID}");
}

/// Spends thirty thousand tokens or so in three seconds.
async fn spend_some(book: &Arc<Book>) -> u64 {
    let mut spent = 0;
    for _step in 0..30 {
        spent += spend(book, 1_000, Duration::from_millis(50)).await;
        sleep(Duration::from_millis(100)).await;
    }
    spent
}

/// A cap that was sent may be stored late, so it binds from the moment that it is sent, also
/// where the one before it allows more.
#[tokio::test(start_paused = true)]
async fn a_cap_without_an_answer_binds_as_well_as_the_one_before_it() {
    let store = Arc::new(MemStore::new());
    let clock = TestClock::new();
    let mut router = start_at(&store, 0, 1, PREPAID, Arc::clone(&clock));
    sleep(Duration::from_secs(1)).await;
    let large = Usage {
        prompt: 100_000,
        output: 0,
    };
    let wait = Duration::from_millis(300);
    // The cap stored now allows for it; it doesn't run, and the next cap is small again.
    drop(router.book.reserve(large, wait).await.expect("rights"));
    store.set_fault(StoreFault::Late);
    sleep(Duration::from_millis(700)).await;
    let mut spent = spend(&router.book, large.prompt, Duration::ZERO).await;
    router.claims.abort();
    store.release();
    store.set_fault(StoreFault::None);
    let next = start_at(&store, 0, 2, PREPAID, clock);
    spent += spend_rest(&next.book, wait).await;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
}

/// A workspace that holds nothing isn't in a new cap, and what an older cap allowed it must
/// not count any more: its successor takes a workspace that isn't there as unspent.
#[tokio::test(start_paused = true)]
async fn a_workspace_that_is_left_out_of_a_cap_is_bound_by_that() {
    let store = Arc::new(MemStore::new());
    let clock = TestClock::new();
    let mut router = start_at(&store, 0, 1, PREPAID, Arc::clone(&clock));
    // One of a hundred routers, and not strong enough to hold accounts.
    let mut fleet = members(100);
    fleet[0].strength = 1;
    let placement = Placement::new(name(0), fleet, Instant::now());
    router.books.set_placement(placement);
    let mut both = config(Some(PREPAID));
    let other = Arc::new(Workspace {
        name: WorkspaceName::from("other"),
        priority: None,
        allowed_regions: Vec::new(),
        prepaid: Some(PREPAID),
    });
    both.workspaces.insert(other.name.clone(), other);
    router.books.set_config(&both);
    let large = Usage {
        prompt: 100_000,
        output: 0,
    };
    let wait = Duration::from_millis(500);
    drop(router.book.reserve(large, wait).await.expect("rights"));
    let other = router.books.get(&WorkspaceName::from("other"));
    let held = other.expect("a book").reserve(large, wait).await;
    // Without callers it gives all back; the other workspace's request goes on.
    sleep(Duration::from_secs(120)).await;
    assert!(held.is_ok());
    assert_eq!(router.book.standing().granted, 0);
    store.set_fault(StoreFault::NoNumbered);
    let mut spent = spend(&router.book, large.prompt, wait).await;
    router.claims.abort();
    store.set_fault(StoreFault::None);
    let next = start_at(&store, 0, 2, PREPAID, clock);
    spent += spend_rest(&next.book, wait).await;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
}
