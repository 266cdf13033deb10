//! What a request does that needs rights, by what the last claim has answer.

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

/// Answers the account's next claim as `answer` says.
fn claimer(account: &Arc<Account>, answer: impl FnOnce(&Account) + Send + 'static) {
    let account = Arc::clone(account);
    tokio::spawn(async move {
        account.wake.notified().await;
        answer(&account);
    });
}

#[tokio::test(start_paused = true)]
async fn rights_at_hand_are_taken_without_a_claim() {
    let account = account();
    account.grant.credit(100);
    let held = account.reserve(60, policy(), true).await.expect("at hand");
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
async fn an_empty_budget_is_refused_as_empty() {
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
async fn rights_held_elsewhere_send_the_request_there() {
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
        .expect_err("elsewhere");
    assert_eq!(shortage.holders, [address]);
    // Relayed once already: it ends here, with the time to come back.
    claimer(&account, |account| {
        account.update_status(|status| status.updated_at = Some(Instant::now()));
    });
    let shortage = account
        .reserve(60, policy(), false)
        .await
        .expect_err("elsewhere");
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
    let shortage = account.reserve(60, policy(), true).await.expect_err("out");
    assert_eq!(shortage.refusal.kind, RefusalKind::LogOut);
    assert!(start.elapsed() < policy().claim_wait, "paused clock");
}

#[tokio::test(start_paused = true)]
async fn a_silent_log_is_not_waited_for() {
    let account = account();
    let policy = WaitPolicy {
        has_log: false,
        ..policy()
    };
    let start = Instant::now();
    let shortage = account.reserve(60, policy, true).await.expect_err("silent");
    assert_eq!(shortage.refusal.kind, RefusalKind::LogOut);
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
    assert_eq!(shortage.refusal.kind, RefusalKind::LogOut);
    assert_eq!(shortage.refusal.outcome, Outcome::NotRun);
    assert_eq!(start.elapsed(), policy().claim_wait, "paused clock");
}

#[tokio::test(start_paused = true)]
async fn rights_of_requests_in_flight_are_waited_for() {
    let account = account();
    account.grant.credit(100);
    let mut running = account.take(100).expect("at hand");
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
    let held = account.reserve(60, policy(), true).await.expect("freed");
    assert_eq!(held.amount(), 60);
    assert_eq!(account.grant.available(), 10);
}

#[tokio::test(start_paused = true)]
async fn the_wait_for_requests_in_flight_is_bounded() {
    let account = account();
    account.grant.credit(100);
    let mut running = account.take(100).expect("at hand");
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
async fn a_request_without_rights_is_one_miss() {
    let address = "127.0.0.1:7101".parse().expect("an address");
    let account = account();
    // Relayed: another router holds rights.
    claimer(&account, move |account| {
        account.update_status(|status| {
            status.updated_at = Some(Instant::now());
            status.held_elsewhere = 500;
            status.holders = Arc::from([Holder { address, held: 500 }]);
        });
    });
    let relayed = account.reserve(60, policy(), true).await;
    assert_eq!(relayed.expect_err("elsewhere").holders, [address]);
    let demand = account.grant.demand();
    assert_eq!((demand.missed, demand.requests), (60, 1));
    // Refused: it was relayed here already.
    let refused = account.reserve(40, policy(), false).await;
    assert!(refused.is_err());
    let demand = account.grant.demand();
    assert_eq!((demand.missed, demand.requests), (100, 2));
    // One that waits and then reserves is no miss.
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
    // The claimer may have looked at the demand before the miss was noted.
    let again = tokio::time::timeout(Duration::from_secs(1), account.wake.notified()).await;
    assert!(again.is_ok(), "a second wake, after the miss");
    assert_eq!(account.grant.demand().missed, 60);
}
