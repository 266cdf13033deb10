//! A router's quota in memory.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_gateway::dialect::Usage;
use swiftlink_gateway::model::{Config, RequestLimits, RouteTable, Workspace};
use swiftlink_gateway::quota::holders::Placement;
use swiftlink_gateway::quota::{LocalQuota, PeerReservations, QuotaError, QuotaTable};
use swiftlink_types::WorkspaceName;
use swiftlink_wire::link::{Ended, Refusal, Reserve};
use tokio::time::{Instant, advance, sleep};

use crate::clock::TestClock;
use crate::net::{members, name};

/// A configuration with one workspace, `acme`.
pub(crate) fn config(prepaid: Option<u64>) -> Config {
    let workspace = Arc::new(Workspace {
        name: WorkspaceName::from("acme"),
        priority: None,
        allowed_regions: Vec::new(),
        prepaid,
    });
    Config {
        version: 1,
        routes: RouteTable::default(),
        pools: HashMap::new(),
        limits: RequestLimits { max_body: 1_000 },
        workspaces: HashMap::from([(workspace.name.clone(), workspace)]),
        needs_key: false,
        keys: HashMap::new(),
    }
}

fn quotas() -> QuotaTable {
    let placement = Placement::new(name(0), members(5), Instant::now());
    QuotaTable::new(placement, 2, TestClock::new())
}

pub(crate) fn quota() -> (QuotaTable, Arc<LocalQuota>) {
    let quotas = quotas();
    quotas.set_config(&config(Some(10_000)));
    let quota = quotas
        .get(&WorkspaceName::from("acme"))
        .expect("quota of the workspace");
    (quotas, quota)
}

const USAGE: Usage = Usage {
    prompt: 100,
    output: 50,
};

#[tokio::test]
async fn request_pays_its_prompt_and_delivered_output() {
    let (_quotas, quota) = quota();
    quota.grant.credit(1_000);
    let mut reservation = quota.reserve(USAGE, Duration::ZERO).await.expect("quota");
    assert_eq!(quota.balance().reserved, 150);
    reservation.deliver(20);
    drop(reservation);
    let balance = quota.balance();
    assert_eq!((balance.charged, balance.reserved), (120, 0));
}

#[tokio::test]
async fn request_without_delivery_pays_nothing() {
    let (_quotas, quota) = quota();
    quota.grant.credit(1_000);
    let reservation = quota.reserve(USAGE, Duration::ZERO).await.expect("quota");
    assert_eq!(reservation.spent(), 0);
    drop(reservation);
    assert_eq!(quota.balance().charged, 0);
    assert_eq!(quota.grant.available(), 1_000);
}

#[tokio::test]
async fn answer_of_unknown_length_pays_its_maximum() {
    let (_quotas, quota) = quota();
    quota.grant.credit(1_000);
    let mut reservation = quota.reserve(USAGE, Duration::ZERO).await.expect("quota");
    reservation.deliver_all();
    drop(reservation);
    assert_eq!(quota.balance().charged, 150);
}

#[tokio::test]
async fn charge_is_limited_to_the_reservation() {
    let (_quotas, quota) = quota();
    quota.grant.credit(1_000);
    let mut reservation = quota.reserve(USAGE, Duration::ZERO).await.expect("quota");
    reservation.deliver(5_000);
    drop(reservation);
    assert_eq!(quota.balance().charged, 150);
}

#[tokio::test(start_paused = true)]
async fn request_without_quota_is_told_to_retry() {
    let (_quotas, quota) = quota();
    let refused = quota.reserve(USAGE, Duration::from_millis(100)).await;
    assert_eq!(refused.err(), Some(QuotaError::HeldElsewhere));
}

fn reserve_request(number: u64, tokens: u64) -> Reserve {
    Reserve {
        process: 9,
        number,
        workspace: "acme".to_owned(),
        tokens,
        wait_ms: 0,
        time_ms: 1_000,
        lease: None,
    }
}

fn ended(number: u64, spent: u64) -> Ended {
    Ended {
        number,
        spent,
        held: None,
    }
}

#[tokio::test]
async fn reservation_counts_at_the_holder_until_released() {
    let (quotas, quota) = quota();
    quota.grant.credit(1_000);
    let reservations = PeerReservations::default();
    let reserved = reservations
        .reserve(&quotas, &reserve_request(1, 600))
        .await;
    assert_eq!(reserved.refusal(), Refusal::Unspecified);
    let balance = quota.balance();
    assert_eq!((balance.granted, balance.reserved), (1_000, 600));

    reservations.release(9, &[ended(1, 250)]);
    let balance = quota.balance();
    assert_eq!((balance.charged, balance.reserved), (250, 0));
    assert_eq!(quota.grant.available(), 750);
}

#[tokio::test]
async fn repeated_or_unknown_release_is_ignored() {
    let (quotas, quota) = quota();
    quota.grant.credit(1_000);
    let reservations = PeerReservations::default();
    reservations
        .reserve(&quotas, &reserve_request(1, 600))
        .await;
    for _repeat in 0..3 {
        reservations.release(9, &[ended(1, 250), ended(7, 100)]);
        reservations.release(8, &[ended(1, 100)]);
    }
    assert_eq!(quota.balance().charged, 250);
    assert_eq!(quota.grant.available(), 750);
}

#[tokio::test]
async fn refusal_states_its_reason() {
    let (quotas, quota) = quota();
    quota.grant.credit(1_000);
    let reservations = PeerReservations::default();
    let refused = reservations
        .reserve(&quotas, &reserve_request(1, 2_000))
        .await;
    assert_eq!(refused.refusal(), Refusal::Elsewhere);
    let refused = reservations
        .reserve(&quotas, &reserve_request(2, 20_000))
        .await;
    assert_eq!((refused.refusal(), refused.rest), (Refusal::Spent, 10_000));
    assert!(reservations.is_empty());
}

#[tokio::test(start_paused = true)]
async fn reservation_released_while_waiting_holds_nothing() {
    let (quotas, quota) = quota();
    let reservations = Arc::new(PeerReservations::default());
    let waiting = Reserve {
        wait_ms: 500,
        ..reserve_request(1, 600)
    };
    let peers = Arc::clone(&reservations);
    let reserved = tokio::spawn(async move { peers.reserve(&quotas, &waiting).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    reservations.release(9, &[ended(1, 0)]);
    quota.grant.credit(1_000);
    reserved.await.expect("an answer");
    assert_eq!(quota.grant.available(), 1_000);
    assert!(reservations.is_empty());
}

#[tokio::test(start_paused = true)]
async fn reservation_never_released_counts_as_spent() {
    let (quotas, quota) = quota();
    quota.grant.credit(1_000);
    let reservations = PeerReservations::default();
    reservations
        .reserve(&quotas, &reserve_request(1, 600))
        .await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(reservations.expire(), 0, "its router may still release it");
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(reservations.expire(), 600);
    assert_eq!(quota.balance().charged, 600);
}

/// Guards against tokens that are lost as spent: a holder that stood still counted reservations as
/// spent whose releases were waiting in its sockets.
#[tokio::test(start_paused = true)]
async fn a_holder_that_stood_still_takes_releases_first() {
    let (quotas, quota) = quota();
    quota.grant.credit(1_000);
    let reservations = Arc::new(PeerReservations::default());
    let expiry = tokio::spawn(Arc::clone(&reservations).expire_until_aborted());
    for number in [1, 2] {
        let request = reserve_request(number, 300);
        reservations.reserve(&quotas, &request).await;
    }
    sleep(Duration::from_secs(3)).await;
    advance(Duration::from_secs(60)).await;
    sleep(Duration::from_millis(500)).await;
    reservations.release(9, &[ended(1, 100)]);
    sleep(Duration::from_secs(20)).await;
    expiry.abort();
    assert_eq!(
        quota.balance().charged,
        100 + 300,
        "spent, and not released"
    );
}

#[test]
fn workspace_without_a_limit_has_no_quota() {
    let quotas = quotas();
    quotas.set_config(&config(None));
    assert!(quotas.get(&WorkspaceName::from("acme")).is_none());
}

/// The time to retry is only known where the holder has enough tokens that a cap will unlock.
#[tokio::test(start_paused = true)]
async fn retry_time_needs_enough_held_tokens() {
    let (quotas, quota) = quota();
    let reservations = PeerReservations::default();
    let refused = reservations
        .reserve(&quotas, &reserve_request(1, 600))
        .await;
    assert_eq!(refused.back_ms, None, "it holds none");
    quota.grant.credit(100);
    let refused = reservations
        .reserve(&quotas, &reserve_request(2, 600))
        .await;
    assert_eq!(refused.back_ms, None, "it holds too little");
}
