//! Reservations that are made while their requests already run.
//!
//! The load is that of a router whose link is full of callers' bodies: holders' answers arrive late, or
//! not at all.

use std::time::Duration;

use swiftlink_gateway::dialect::Usage;
use swiftlink_gateway::quota::pending::is_ample;
use swiftlink_gateway::quota::{RequestQuota, Timeouts};
use swiftlink_gateway::store::StoreFault;
use tokio::time::sleep;

use crate::net::{Fleet, workspaces};

const ROUTERS: usize = 80;
/// A router that isn't a holder.
const ASKER: usize = 79;
const PREPAID: u64 = 1_000_000_000;
const USAGE: Usage = Usage {
    prompt: 8_500,
    output: 100,
};
const TIMEOUTS: Timeouts = Timeouts {
    wait: Duration::from_millis(75),
    request: Duration::from_secs(6),
};

async fn start() -> Fleet {
    let fleet = Fleet::start(ROUTERS, workspaces(1, PREPAID));
    sleep(Duration::from_secs(2)).await;
    fleet
}

async fn reserve_behind(fleet: &Fleet) -> RequestQuota {
    let vm = &fleet.vms[ASKER];
    let quota = vm.quota(0);
    let reserved = vm.reserver.reserve_behind(&quota, USAGE, TIMEOUTS);
    reserved.await.expect("a reservation")
}

/// A request whose tokens a holder has granted.
async fn grant_one(fleet: &Fleet) {
    let reservation = fleet.vms[ASKER].reserve(0, USAGE).await;
    drop(reservation.expect("a reservation"));
}

/// Tokens that the holders count as charged, and as reserved.
fn sums(fleet: &Fleet) -> (u64, u64) {
    let balances = fleet.vms.iter().map(|vm| vm.quota(0).balance());
    balances.fold((0, 0), |sums, balance| {
        (sums.0 + balance.charged, sums.1 + balance.reserved)
    })
}

#[test]
fn budget_near_its_end_is_not_ample() {
    assert!(is_ample(500_000, 1_000_000, 1_000));
    assert!(!is_ample(99_999, 1_000_000, 100), "a tenth is left");
    assert!(!is_ample(500_000, 1_000_000, 3_000), "many others run");
}

/// Guards against requests that run although nobody knows whether holders can be reached.
#[tokio::test(start_paused = true)]
async fn first_request_waits_for_its_tokens() {
    let fleet = start().await;
    let quota = reserve_behind(&fleet).await;
    assert!(matches!(quota, RequestQuota::Reserved(_)));
}

/// Guards against a response that is delivered before its tokens are reserved, and against tokens
/// that are charged twice or not at all.
#[tokio::test(start_paused = true)]
async fn nothing_is_delivered_before_the_tokens_are_reserved() {
    let fleet = start().await;
    grant_one(&fleet).await;
    let mut quota = reserve_behind(&fleet).await;
    assert!(quota.reservation().is_none(), "still being reserved");
    quota.reserved().await.expect("tokens");
    quota.reservation().expect("a reservation").deliver_all();
    assert_eq!(quota.spent(), USAGE.max_total());
    drop(quota);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(sums(&fleet), (USAGE.max_total(), 0));
}

/// Holders fall silent after a grant. Guards against a request that is served without tokens.
#[tokio::test(start_paused = true)]
async fn request_without_tokens_fails() {
    let fleet = start().await;
    grant_one(&fleet).await;
    for vm in fleet.holders(0) {
        fleet.net.set_silent(vm, true);
    }
    fleet.store.set_fault(StoreFault::Unavailable);
    let mut quota = reserve_behind(&fleet).await;
    assert!(quota.reserved().await.is_err());
    assert!(quota.reservation().is_none());
}

/// Guards against tokens that stay reserved for a request whose caller has left.
#[tokio::test(start_paused = true)]
async fn abandoned_reservation_is_released() {
    let fleet = start().await;
    grant_one(&fleet).await;
    for _ in 0..20 {
        drop(reserve_behind(&fleet).await);
        let quota = reserve_behind(&fleet).await;
        sleep(Duration::from_millis(1)).await;
        drop(quota);
    }
    sleep(Duration::from_secs(3)).await;
    assert_eq!(sums(&fleet), (0, 0));
}
