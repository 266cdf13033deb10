//! A planned stop: no new requests, those in flight to their end, every charge
//! decided, every unused right returned.

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

/// Time between looks at the requests in flight.
const POLL: Duration = Duration::from_millis(5);
/// Least time for the end of the connections.
const WEB_GRACE: Duration = Duration::from_secs(2);
/// Longest wait for the return of one account's rights.
const RETURN_WAIT: Duration = Duration::from_secs(5);
/// Longest wait for background work that was told to end.
const JOIN_WAIT: Duration = Duration::from_secs(5);

/// Stops the router within the limit of its settings.
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
        sleep(POLL).await;
    }
    let left = limit.saturating_duration_since(Instant::now());
    web.stop(left.max(WEB_GRACE)).await;
    node.closing.cancel();
    claims.cancel();
    // What was put off is handed over now; then all charges are waited for.
    node.late.close();
    let late = timeout(RETURN_WAIT, node.late.wait()).await;
    if late.is_err() {
        event!(warn, "stop.late-left", count = node.late.len());
    }
    let settled = node
        .settler
        .drain(limit.max(Instant::now() + RETURN_WAIT))
        .await;
    let pending = node.settler.counts().pending.load(Ordering::Relaxed);
    event!(info, "stop.settled", all = settled, pending = pending);
    return_all(&node).await;
    upkeep.cancel();
    node.tasks.close();
    if timeout(JOIN_WAIT, node.tasks.wait()).await.is_err() {
        event!(warn, "stop.tasks-left", count = node.tasks.len());
    }
    admin.stop().await;
    node.ledgers.stop().await;
}

/// Returns all unused rights and waits for the log's word.
async fn return_all(node: &Node) {
    let mut returns = Vec::new();
    for seat in node.members.all() {
        for account in seat.accounts() {
            returns.push(return_one(node, std::sync::Arc::clone(&seat), account));
        }
    }
    futures_util::future::join_all(returns).await;
}

async fn return_one(
    node: &Node,
    seat: std::sync::Arc<Membership>,
    account: std::sync::Arc<Account>,
) {
    account.grant.shrink(u64::MAX);
    let GrantCounters {
        returned, reserved, ..
    } = account.grant.counters();
    if returned == 0 {
        return;
    }
    let kind = record::Kind::GiveBack(account.give_back(&seat));
    let decided = node.ledgers.submit(seat.shard, kind, RETURN_WAIT).await;
    event!(
        info,
        "stop.returned",
        budget = account.budget,
        total = returned,
        still_reserved = reserved,
        decided = decided.is_ok(),
    );
}
