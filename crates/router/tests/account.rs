//! How a request that needs quota waits, is relayed or is refused, by the outcome of the
//! last claim.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_router::account::{Account, Holder, WaitPolicy};
use swiftlink_types::{BudgetName, Outcome, RefusalKind};
use tokio::time::Instant;

fn account() -> Arc<Account> {
    Arc::new(Account::new(BudgetName::from("registry")))
}

fn policy() -> WaitPolicy {
    WaitPolicy {
        deadline: Instant::now() + Duration::from_secs(10),
        claim_wait: Duration::from_secs(1),
        pause: Duration::from_millis(100),
        has_log: true,
    }
}

/// Applies `answer` when the account's claimer is woken next.
fn claimer(account: &Arc<Account>, answer: impl FnOnce(&Account) + Send + 'static) {
    let account = Arc::clone(account);
    tokio::spawn(async move {
        account.wake.notified().await;
        answer(&account);
    });
}

#[tokio::test(start_paused = true)]
async fn available_quota_is_reserved_without_a_claim() {
    let account = account();
    account.grant.credit(100);
    let held = account
        .reserve(60, policy(), true)
        .await
        .expect("available");
    assert_eq!(held.amount(), 60);
    assert_eq!(account.grant.available(), 40);
    drop(held);
    assert_eq!(account.grant.available(), 100, "nothing was dispatched");
}

#[tokio::test(start_paused = true)]
async fn a_granted_claim_serves_the_waiter() {
    let account = account();
    claimer(&account, |account| {
        assert_eq!(account.waiting().min_cost, 60);
        account.grant.credit(80);
        account.update_status(|status| status.updated_at = Some(Instant::now()));
    });
    let held = account.reserve(60, policy(), true).await.expect("granted");
    assert_eq!(held.amount(), 60);
    assert_eq!(account.waiting().total_cost, 0);
}

#[tokio::test(start_paused = true)]
async fn an_empty_budget_is_refused() {
    let account = account();
    claimer(&account, |account| {
        account.update_status(|status| status.updated_at = Some(Instant::now()));
    });
    let shortage = account
        .reserve(60, policy(), true)
        .await
        .expect_err("empty");
    assert_eq!(shortage.refusal.kind, RefusalKind::NoBudget);
    assert_eq!(shortage.refusal.outcome, Outcome::NotRun);
    assert!(shortage.holders.is_empty());
}

#[tokio::test(start_paused = true)]
async fn quota_of_another_router_makes_the_request_relayed() {
    let address = "127.0.0.1:7101".parse().expect("an address");
    let account = account();
    claimer(&account, move |account| {
        account.update_status(|status| {
            status.updated_at = Some(Instant::now());
            status.held_elsewhere = 500;
            status.holders = Arc::from([Holder { address, held: 500 }]);
        });
    });
    let shortage = account
        .reserve(60, policy(), true)
        .await
        .expect_err("held elsewhere");
    assert_eq!(shortage.holders, [address]);
    // A request that was relayed already is refused, with a retry delay.
    claimer(&account, |account| {
        account.update_status(|status| status.updated_at = Some(Instant::now()));
    });
    let shortage = account
        .reserve(60, policy(), false)
        .await
        .expect_err("held elsewhere");
    assert_eq!(shortage.refusal.kind, RefusalKind::BudgetBusy);
    assert!(shortage.refusal.retry_after.is_some());
    assert!(shortage.holders.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_failed_claim_ends_the_wait_at_once() {
    let account = account();
    claimer(&account, |account| {
        account.update_status(|status| {
            status.updated_at = Some(Instant::now());
            status.is_failed = true;
        });
    });
    let start = Instant::now();
    let shortage = account
        .reserve(60, policy(), true)
        .await
        .expect_err("the claim failed");
    assert_eq!(shortage.refusal.kind, RefusalKind::LogUnavailable);
    assert!(start.elapsed() < policy().claim_wait, "paused clock");
}

#[tokio::test(start_paused = true)]
async fn an_unavailable_log_is_not_waited_for() {
    let account = account();
    let policy = WaitPolicy {
        has_log: false,
        ..policy()
    };
    let start = Instant::now();
    let shortage = account
        .reserve(60, policy, true)
        .await
        .expect_err("the log is unavailable");
    assert_eq!(shortage.refusal.kind, RefusalKind::LogUnavailable);
    assert_eq!(start.elapsed(), Duration::ZERO, "paused clock");
}

#[tokio::test(start_paused = true)]
async fn an_unanswered_claim_ends_after_the_wait() {
    let account = account();
    let start = Instant::now();
    let shortage = account
        .reserve(60, policy(), true)
        .await
        .expect_err("unanswered");
    assert_eq!(shortage.refusal.kind, RefusalKind::LogUnavailable);
    assert_eq!(shortage.refusal.outcome, Outcome::NotRun);
    assert_eq!(start.elapsed(), policy().claim_wait, "paused clock");
}

#[tokio::test(start_paused = true)]
async fn quota_reserved_by_requests_in_flight_is_waited_for() {
    let account = account();
    account.grant.credit(100);
    let mut running = account.take(100).expect("available");
    running.dispatch();
    claimer(&account, |account| {
        account.update_status(|status| status.updated_at = Some(Instant::now()));
    });
    let ending = Arc::clone(&account);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(running.settle(30), 30);
        ending.on_released();
    });
    let held = account.reserve(60, policy(), true).await.expect("released");
    assert_eq!(held.amount(), 60);
    assert_eq!(account.grant.available(), 10);
}

#[tokio::test(start_paused = true)]
async fn the_wait_for_requests_in_flight_is_bounded() {
    let account = account();
    account.grant.credit(100);
    let mut running = account.take(100).expect("available");
    running.dispatch();
    claimer(&account, |account| {
        account.update_status(|status| status.updated_at = Some(Instant::now()));
    });
    let start = Instant::now();
    let shortage = account
        .reserve(60, policy(), true)
        .await
        .expect_err("too late");
    assert_eq!(shortage.refusal.kind, RefusalKind::BudgetBusy);
    assert_eq!(start.elapsed(), policy().claim_wait, "paused clock");
}

#[tokio::test(start_paused = true)]
async fn a_request_without_quota_counts_as_one_miss() {
    let address = "127.0.0.1:7101".parse().expect("an address");
    let account = account();
    // Relayed: another router holds quota.
    claimer(&account, move |account| {
        account.update_status(|status| {
            status.updated_at = Some(Instant::now());
            status.held_elsewhere = 500;
            status.holders = Arc::from([Holder { address, held: 500 }]);
        });
    });
    let relayed = account.reserve(60, policy(), true).await;
    assert_eq!(relayed.expect_err("held elsewhere").holders, [address]);
    let demand = account.grant.demand();
    assert_eq!((demand.missed, demand.requests), (60, 1));
    // Refused: the request was relayed here already.
    let refused = account.reserve(40, policy(), false).await;
    assert!(refused.is_err());
    let demand = account.grant.demand();
    assert_eq!((demand.missed, demand.requests), (100, 2));
    // A request that waits and then reserves isn't a miss.
    account.wake.notified().await;
    tokio::time::sleep(policy().pause * 2).await;
    claimer(&account, |account| {
        account.grant.credit(80);
        account.update_status(|status| status.updated_at = Some(Instant::now()));
    });
    let held = account.reserve(30, policy(), false).await.expect("granted");
    assert_eq!(held.amount(), 30);
    let demand = account.grant.demand();
    assert_eq!((demand.taken, demand.missed, demand.requests), (30, 100, 3));
}

#[tokio::test(start_paused = true)]
async fn a_miss_wakes_the_claimer() {
    let account = account();
    let silent = WaitPolicy {
        has_log: false,
        ..policy()
    };
    let mut waits = std::pin::pin!(account.wake.notified());
    waits.as_mut().enable();
    let refused = account.reserve(60, silent, true).await;
    assert!(refused.is_err());
    waits.await;
    // The claimer may have read the demand before the miss was recorded.
    let again = tokio::time::timeout(Duration::from_secs(1), account.wake.notified()).await;
    assert!(again.is_ok(), "a second wake, after the miss");
    assert_eq!(account.grant.demand().missed, 60);
}
