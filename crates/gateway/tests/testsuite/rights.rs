//! Histories of routers that share a budget while they, the store and its answers fail.
//!
//! Time is paused, so a history of minutes takes a moment; its seed is printed when it
//! fails.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use swiftlink_gateway::clock::Clock;
use swiftlink_gateway::dialect::Usage;
use swiftlink_gateway::model::Workspace;
use swiftlink_gateway::rights::{Book, Books, Claims, NoRights, Witness};
use swiftlink_gateway::sightings::Sighting;
use swiftlink_gateway::store::{Feed, MemStore, Store, StoreFault};
use swiftlink_types::{VmName, WorkspaceName};
use swiftlink_wire::rights::Member;
use tokio::time::{Instant, sleep};

use crate::book::config;
use crate::clock::TestClock;

const PREPAID: u64 = 200_000;
const ROUTERS: usize = 5;
const STEPS: usize = 400;

struct Router {
    claims: Claims,
    book: Arc<Book>,
    books: Arc<Books>,
}

fn start(store: &Arc<MemStore>, vm: usize, process: u64, prepaid: u64) -> Router {
    start_at(store, vm, process, prepaid, TestClock::new())
}

fn start_at(
    store: &Arc<MemStore>,
    vm: usize,
    process: u64,
    prepaid: u64,
    clock: Arc<TestClock>,
) -> Router {
    start_seen(store, vm, process, prepaid, clock, Arc::new(Nobody))
}

/// Nobody has seen anything.
#[derive(Debug)]
struct Nobody;

#[async_trait]
impl Witness for Nobody {
    async fn since(&self, _process: u64, _stamp: u64) -> Option<Duration> {
        None
    }
}

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
        let sighting = Sighting {
            steady: self.ended - 100,
            asked: 0,
        };
        let age = self.at.elapsed().as_millis() as u64 + 100;
        Some(sighting.since(stamp, age))
    }
}

fn start_seen(
    store: &Arc<MemStore>,
    vm: usize,
    process: u64,
    prepaid: u64,
    clock: Arc<TestClock>,
    witness: Arc<dyn Witness>,
) -> Router {
    let member = Member {
        started_ms: clock.read().wall,
        ..Member::default()
    };
    let member = Bytes::from(member.encode_to_vec());
    store.put(Feed::Members, &format!("vm{vm}"), Some(member));
    let books = Arc::new(Books::new(2, clock));
    books.set_config(&config(Some(prepaid)));
    let store: Arc<dyn Store> = Arc::clone(store) as Arc<dyn Store>;
    let vm = VmName::from(format!("vm{vm}"));
    let claims = Claims::spawn(&books, &store, witness, &vm, process);
    let book = books.get(&WorkspaceName::from("acme")).expect("a book");
    Router {
        claims,
        book,
        books,
    }
}

/// One request; gives the tokens that it spent.
async fn request(book: &Arc<Book>, rng: &mut Pcg64) -> u64 {
    let usage = Usage {
        prompt: rng.random_range(1..3_000),
        output: rng.random_range(0..500),
    };
    let wait = Duration::from_millis(rng.random_range(0..50));
    let Ok(mut spend) = book.reserve(usage, wait).await else {
        return 0;
    };
    if rng.random_bool(0.1) {
        // No piece of an answer came.
        return 0;
    }
    spend.deliver(rng.random_range(0..=usage.output));
    spend.spent()
}

fn draw_fault(rng: &mut Pcg64) -> StoreFault {
    match rng.random_range(0..8) {
        0 => StoreFault::Away,
        1 => StoreFault::LoseAnswers,
        2 => StoreFault::Late,
        3 => StoreFault::Stale,
        _ => StoreFault::None,
    }
}

/// Ends a router without a last word. Its VM may lose power and come back with another
/// steady clock.
fn kill(router: &mut Router, clock: &TestClock, lost_power: bool, rng: &mut Pcg64) {
    router.claims.abort();
    if lost_power {
        clock.lose_power(rng.random_range(0..100_000_000));
    }
}

/// Ends all routers at the same time. One clock jumps.
fn kill_all(routers: &mut [Router], clocks: &[Arc<TestClock>], lost_power: bool, rng: &mut Pcg64) {
    for (router, clock) in routers.iter_mut().zip(clocks) {
        kill(router, clock, lost_power, rng);
    }
    jump(&clocks[rng.random_range(0..clocks.len())], rng);
}

/// Lets a time of day jump, by less than 3 seconds.
fn jump(clock: &TestClock, rng: &mut Pcg64) {
    clock.set_jump(rng.random_range(-1_400..1_500));
}

/// The time until processes are back.
async fn down(rng: &mut Pcg64) {
    sleep(Duration::from_millis(rng.random_range(0..1_500))).await;
}

async fn history(seed: u64) {
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
                // Killed: nothing of it is left but what stands on the store.
                let lost_power = rng.random_bool(0.5);
                process += 1;
                kill(&mut routers[vm], &clocks[vm], lost_power, &mut rng);
                jump(&clocks[vm], &mut rng);
                down(&mut rng).await;
                let clock = Arc::clone(&clocks[vm]);
                routers[vm] = start_at(&store, vm, process, PREPAID, clock);
            }
            2..3 => {
                let lost_power = rng.random_bool(0.5);
                kill_all(&mut routers, &clocks, lost_power, &mut rng);
                down(&mut rng).await;
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
            11 => (0..12).for_each(|part| store.compact(Feed::Rights(part))),
            12..16 => {
                let lender = rng.random_range(0..ROUTERS);
                let lent = routers[lender].book.lend(rng.random_range(0..5_000), 0);
                // The answer may be lost.
                if rng.random_bool(0.8) {
                    routers[vm].book.borrow(lent);
                }
            }
            16..40 => sleep(Duration::from_millis(rng.random_range(0..800))).await,
            _ => spent += request(&routers[vm].book, &mut rng).await,
        }
        assert!(spent <= PREPAID, "seed {seed}: {spent} of {PREPAID} spent");
    }
}

/// Without a router's own limit on what it spends, without the condition on appends, or
/// with rights taken back while an append may still be done, this overspends.
#[tokio::test(start_paused = true)]
async fn no_history_spends_more_than_was_prepaid() {
    for seed in 0..200 {
        history(seed).await;
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
        spent += request(&routers[vm].book, &mut rng).await;
        sleep(Duration::from_millis(50)).await;
    }
    let least = PREPAID * 97 / 100;
    assert!(spent >= least, "{spent} of {PREPAID}");
}

#[tokio::test(start_paused = true)]
async fn rights_of_a_stopped_router_are_free_at_once() {
    let store = Arc::new(MemStore::new());
    let first = start(&store, 0, 1, 10_000);
    sleep(Duration::from_secs(2)).await;
    assert!(first.book.grant.available() > 0);
    first.claims.stop(Duration::from_secs(1)).await;
    let second = start(&store, 1, 2, 10_000);
    let usage = Usage {
        prompt: 10_000,
        output: 0,
    };
    let spend = second.book.reserve(usage, Duration::from_secs(1)).await;
    assert!(spend.is_ok(), "{spend:?}");
}

#[tokio::test(start_paused = true)]
async fn a_top_up_is_there_for_the_next_request() {
    let store = Arc::new(MemStore::new());
    let router = start(&store, 0, 1, 1_000);
    let usage = Usage {
        prompt: 5_000,
        output: 0,
    };
    let wait = Duration::from_millis(500);
    assert!(router.book.reserve(usage, wait).await.is_err());
    router.books.set_config(&config(Some(20_000)));
    assert!(router.book.reserve(usage, wait).await.is_ok());
}

/// A return whose append had no answer may still be done: until the feed has moved on, the
/// returned rights must not be used again.
#[tokio::test(start_paused = true)]
async fn rights_of_a_return_without_an_answer_are_not_used_again() {
    let wait = Duration::from_millis(500);
    let large = Usage {
        prompt: 60_000,
        output: 0,
    };
    let store = Arc::new(MemStore::new());
    let first = start(&store, 0, 1, 100_000);
    let idle = first.book.reserve(large, wait).await.expect("rights");
    drop(idle);

    store.set_fault(StoreFault::Late);
    sleep(Duration::from_secs(2)).await;
    let mut spent = 0;
    if let Ok(mut spend) = first.book.reserve(large, wait).await {
        spend.deliver(0);
        spent += spend.spent();
    }
    store.release();
    store.set_fault(StoreFault::None);

    let second = start(&store, 1, 2, 100_000);
    let rest = Usage {
        prompt: 90_000,
        output: 0,
    };
    // Which of the late appends is done depends on when the rounds fell; whoever lacks
    // rights at first has them once the routers have talked about it.
    for _attempt in 0..20 {
        let Ok(mut spend) = second.book.reserve(rest, wait).await else {
            continue;
        };
        spend.deliver(0);
        spent += spend.spent();
        break;
    }
    assert!(spent <= 100_000, "{spent} of 100000");
    assert!(spent >= 60_000, "someone was served");
}

/// The time to come back differs: an outage lasts seconds, a busy account does not.
#[tokio::test(start_paused = true)]
async fn a_busy_account_is_not_taken_for_a_store_that_is_away() {
    let store = Arc::new(MemStore::new());
    store.set_fault(StoreFault::Contended);
    let router = start(&store, 0, 1, 10_000);
    let usage = Usage {
        prompt: 5_000,
        output: 0,
    };
    let wait = Duration::from_secs(5);
    let refused = router.book.reserve(usage, wait).await;
    assert_eq!(refused.err(), Some(NoRights::Elsewhere));
    store.set_fault(StoreFault::Away);
    let refused = router.book.reserve(usage, wait).await;
    assert_eq!(refused.err(), Some(NoRights::Away));
}

/// Each router has used some of its rights when all of them end at once; what they held
/// beyond that is free again, all but a few hundredths of the budget.
async fn all_end_at_once(lost_power: bool) {
    let mut rng = Pcg64::seed_from_u64(7);
    let store = Arc::new(MemStore::new());
    let clocks: Vec<_> = (0..ROUTERS).map(|_| TestClock::new()).collect();
    let mut routers = Vec::new();
    for (vm, clock) in clocks.iter().enumerate() {
        let process = vm as u64 + 1;
        let clock = Arc::clone(clock);
        routers.push(start_at(&store, vm, process, PREPAID, clock));
    }
    let mut spent = 0;
    while spent < PREPAID / 4 {
        let vm = rng.random_range(0..ROUTERS);
        spent += request(&routers[vm].book, &mut rng).await;
        // As on the users' deployments, a budget is about fifty seconds of use.
        sleep(Duration::from_millis(400)).await;
    }
    kill_all(&mut routers, &clocks, lost_power, &mut rng);
    sleep(Duration::from_millis(900)).await;
    for (vm, clock) in clocks.iter().enumerate() {
        let process = (ROUTERS + vm) as u64 + 1;
        let clock = Arc::clone(clock);
        routers[vm] = start_at(&store, vm, process, PREPAID, clock);
    }
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
        let mut routers = Vec::new();
        for (vm, clock) in clocks.iter().enumerate() {
            let clock = Arc::clone(clock);
            routers.push(start_at(&store, vm, vm as u64 + 1, PREPAID, clock));
        }
        sleep(Duration::from_millis(3_000 + offset)).await;
        for (router, clock) in routers.iter_mut().zip(&clocks) {
            router.claims.abort();
            clock.lose_power(0);
        }
        sleep(Duration::from_millis(900)).await;
        for (vm, clock) in clocks.iter().enumerate() {
            let process = (ROUTERS + vm) as u64 + 1;
            let clock = Arc::clone(clock);
            routers[vm] = start_at(&store, vm, process, PREPAID, clock);
        }
        sleep(Duration::from_secs(5)).await;
        let left = routers[0].book.rest();
        let least = PREPAID * 98 / 100;
        assert!(
            left >= least,
            "{left} of {PREPAID}, ended after {offset} ms"
        );
    }
}

/// Spends what is left of the budget, a thousand tokens at a time.
async fn spend_rest(book: &Arc<Book>, wait: Duration) -> u64 {
    let usage = Usage {
        prompt: 1_000,
        output: 0,
    };
    let mut spent = 0;
    for _step in 0..400 {
        if let Ok(mut spend) = book.reserve(usage, wait).await {
            spend.deliver(0);
            spent += spend.spent();
        }
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
    let usage = Usage {
        prompt: 1_000,
        output: 0,
    };
    for _step in 0..60 {
        if let Ok(mut spend) = router.book.reserve(usage, Duration::ZERO).await {
            spend.deliver(0);
            spent += spend.spent();
        }
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
    let usage = Usage {
        prompt: 1_000,
        output: 0,
    };
    let mut spent = 0;
    for _step in 0..30 {
        if let Ok(mut spend) = book.reserve(usage, Duration::from_millis(50)).await {
            spend.deliver(0);
            spent += spend.spent();
        }
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
    let mut spent = 0;
    if let Ok(mut spend) = router.book.reserve(large, Duration::ZERO).await {
        spend.deliver(0);
        spent += spend.spent();
    }
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
    router.books.set_fleet(100);
    let mut both = config(Some(PREPAID));
    let other = Arc::new(Workspace {
        name: WorkspaceName::from("other"),
        priority: None,
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
    let mut spent = 0;
    if let Ok(mut spend) = router.book.reserve(large, wait).await {
        spend.deliver(0);
        spent += spend.spent();
    }
    router.claims.abort();
    store.set_fault(StoreFault::None);
    let next = start_at(&store, 0, 2, PREPAID, clock);
    spent += spend_rest(&next.book, wait).await;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
}
