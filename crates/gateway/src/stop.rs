//! Graceful shutdown.

use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use swiftlink_telemetry::event;
use tokio::time::{Instant, sleep};

use crate::router::Router;

/// How long new connections may still arrive after the router turns unready: the load balancer
/// probes once a second and acts on the second failure.
const BALANCER_DELAY: Duration = Duration::from_millis(2_200);
/// Part of the grace period that is reserved for returning quota, and the maximum time for sending
/// the last releases to holders.
const QUOTA_RETURN_TIME: Duration = Duration::from_millis(500);
/// Part of the grace period that is left when the shutdown should be complete.
const MARGIN: Duration = Duration::from_millis(300);

/// Shuts a router down: turns unready at once, then refuses new connections, completes the
/// requests in flight, and returns the quota.
pub(crate) async fn stop(router: Router) {
    let Router {
        node,
        callers,
        readiness,
        metrics,
        claims,
        reserver,
        tunnels,
        mut tasks,
    } = router;
    let end = Instant::now() + node.settings.grace.saturating_sub(MARGIN);
    node.is_stopping.store(true, Relaxed);
    event!(info, "router.stopping", in_flight = node.in_flight());
    sleep(BALANCER_DELAY.min(node.settings.grace / 3)).await;
    let left = end.saturating_duration_since(Instant::now());
    let callers_end = Instant::now() + left.saturating_sub(QUOTA_RETURN_TIME);
    let callers_stopped = callers.stop(left.saturating_sub(QUOTA_RETURN_TIME));
    tokio::join!(callers_stopped, tunnels.stop(callers_end));
    // Holders count reservations as spent if their releases don't arrive by then.
    reserver.flush(QUOTA_RETURN_TIME).await;
    let left = end.saturating_duration_since(Instant::now());
    claims.stop(left.max(QUOTA_RETURN_TIME)).await;
    tasks.shutdown().await;
    readiness.stop(Duration::ZERO).await;
    if let Some(metrics) = metrics {
        metrics.stop(Duration::ZERO).await;
    }
    event!(info, "router.stopped", in_flight = node.in_flight());
}
