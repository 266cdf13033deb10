//! Graceful shutdown: refuses new requests, completes those in flight, waits until all charges
//! are decided and returns all unused quota.

use std::sync::atomic::Ordering;
use std::time::Duration;

use swiftlink_admission::GrantCounters;
use swiftlink_telemetry::event;
use swiftlink_wire::log::record;
use tokio::time::{Instant, sleep, timeout};

use crate::account::Account;
use crate::members::Membership;
use crate::node::Node;
use crate::router::Router;

/// Time between checks for requests in flight.
const POLL_PERIOD: Duration = Duration::from_millis(5);
/// Shortest time that open connections get to end.
const WEB_GRACE: Duration = Duration::from_secs(2);
/// Longest wait for the return of one account's quota.
const RETURN_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for background tasks to end after their cancellation.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Shuts the router down within the `stop_ms` of its settings, plus the minimum times above.
pub async fn stop(router: Router) {
    let Router {
        node,
        web,
        admin,
        upkeep,
        claims,
    } = router;
    let limit = Instant::now() + Duration::from_millis(node.settings.stop_ms);
    node.stopping.store(true, Ordering::SeqCst);
    event!(info, "stop.draining", in_flight = node.keys.in_flight());
    while node.keys.in_flight() > 0 && Instant::now() < limit {
        sleep(POLL_PERIOD).await;
    }
    let left = limit.saturating_duration_since(Instant::now());
    web.stop(left.max(WEB_GRACE)).await;
    node.closing.cancel();
    claims.cancel();
    // Deferred charges are submitted now; after that all charges are awaited.
    node.deferred.close();
    let deferred = timeout(RETURN_TIMEOUT, node.deferred.wait()).await;
    if deferred.is_err() {
        event!(warn, "stop.charges-left", count = node.deferred.len());
    }
    let settled = node
        .settler
        .drain(limit.max(Instant::now() + RETURN_TIMEOUT))
        .await;
    let pending = node.settler.counts().pending.load(Ordering::Relaxed);
    event!(info, "stop.settled", all = settled, pending = pending);
    return_quota(&node).await;
    upkeep.cancel();
    node.tasks.close();
    if timeout(JOIN_TIMEOUT, node.tasks.wait()).await.is_err() {
        event!(warn, "stop.tasks-left", count = node.tasks.len());
    }
    admin.stop().await;
    node.ledgers.stop().await;
}

/// Returns all unused quota and waits until the log has decided each return.
async fn return_quota(node: &Node) {
    let mut returns = Vec::new();
    for membership in node.members.all() {
        for account in membership.accounts() {
            returns.push(return_account(
                node,
                std::sync::Arc::clone(&membership),
                account,
            ));
        }
    }
    futures_util::future::join_all(returns).await;
}

async fn return_account(
    node: &Node,
    membership: std::sync::Arc<Membership>,
    account: std::sync::Arc<Account>,
) {
    account.grant.shrink(u64::MAX);
    let GrantCounters {
        returned, reserved, ..
    } = account.grant.counters();
    if returned == 0 {
        return;
    }
    let kind = record::Kind::GiveBack(account.give_back(&membership));
    let decided = node
        .ledgers
        .submit(membership.shard, kind, RETURN_TIMEOUT)
        .await;
    event!(
        info,
        "stop.returned",
        budget = account.budget,
        total = returned,
        still_reserved = reserved,
        decided = decided.is_ok(),
    );
}
