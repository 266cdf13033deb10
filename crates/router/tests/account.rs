//! What a request does that needs rights, by what the last claim has told.

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

/// Answers the account's next claim as `told` says.
fn claimer(account: &Arc<Account>, told: impl FnOnce(&Account) + Send + 'static) {
    let account = Arc::clone(account);
    tokio::spawn(async move {
        account.wake.notified().await;
        told(&account);
    });
}

#[tokio::test(start_paused = true)]
async fn rights_at_hand_are_taken_without_a_claim() {
    let account = account();
    account.grant.credit(100);
    let held = account.obtain(60, policy(), true).await.expect("at hand");
    assert_eq!(held.amount(), 60);
    assert_eq!(account.grant.available(), 40);
    drop(held);
    assert_eq!(account.grant.available(), 100, "nothing was dispatched");
}

#[tokio::test(start_paused = true)]
async fn a_granted_claim_serves_the_waiter() {
    let account = account();
    claimer(&account, |account| {
        assert_eq!(account.waiting().least, 60);
        account.grant.credit(80);
        account.tell(|news| news.at = Some(Instant::now()));
    });
    let held = account.obtain(60, policy(), true).await.expect("granted");
    assert_eq!(held.amount(), 60);
    assert_eq!(account.waiting().total, 0);
}

#[tokio::test(start_paused = true)]
async fn an_empty_budget_is_refused_as_empty() {
    let account = account();
    claimer(&account, |account| {
        account.tell(|news| news.at = Some(Instant::now()));
    });
    let shortage = account.obtain(60, policy(), true).await.expect_err("empty");
    assert_eq!(shortage.refusal.kind, RefusalKind::NoBudget);
    assert_eq!(shortage.refusal.outcome, Outcome::NotRun);
    assert!(shortage.holders.is_empty());
}

#[tokio::test(start_paused = true)]
async fn rights_held_elsewhere_send_the_request_there() {
    let address = "127.0.0.1:7101".parse().expect("an address");
    let account = account();
    claimer(&account, move |account| {
        account.tell(|news| {
            news.at = Some(Instant::now());
            news.elsewhere = 500;
            news.holders = Arc::from([Holder { address, held: 500 }]);
        });
    });
    let shortage = account
        .obtain(60, policy(), true)
        .await
        .expect_err("elsewhere");
    assert_eq!(shortage.holders, [address]);
    // Relayed once already: it ends here, with the time to come back.
    claimer(&account, |account| {
        account.tell(|news| news.at = Some(Instant::now()));
    });
    let shortage = account
        .obtain(60, policy(), false)
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
        account.tell(|news| {
            news.at = Some(Instant::now());
            news.is_out = true;
        });
    });
    let start = Instant::now();
    let shortage = account.obtain(60, policy(), true).await.expect_err("out");
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
    let shortage = account.obtain(60, policy, true).await.expect_err("silent");
    assert_eq!(shortage.refusal.kind, RefusalKind::LogOut);
    assert_eq!(start.elapsed(), Duration::ZERO, "paused clock");
}

#[tokio::test(start_paused = true)]
async fn an_unanswered_claim_ends_after_the_wait() {
    let account = account();
    let start = Instant::now();
    let shortage = account
        .obtain(60, policy(), true)
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
        account.tell(|news| news.at = Some(Instant::now()));
    });
    let ending = Arc::clone(&account);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(running.settle(30), 30);
        ending.freed();
    });
    let held = account.obtain(60, policy(), true).await.expect("freed");
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
        account.tell(|news| news.at = Some(Instant::now()));
    });
    let start = Instant::now();
    let shortage = account
        .obtain(60, policy(), true)
        .await
        .expect_err("too late");
    assert_eq!(shortage.refusal.kind, RefusalKind::BudgetBusy);
    assert_eq!(start.elapsed(), policy().claim_wait, "paused clock");
}
