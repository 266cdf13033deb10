//! A planned stop.

use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use swiftlink_telemetry::event;
use tokio::time::{Instant, sleep};

use crate::router::Router;

/// How long new connections may still come after the balancer can have noticed: it asks
/// once a second and believes the second miss.
const NOTICE: Duration = Duration::from_millis(2_200);
/// What is left of the grace for giving rights back, and how long holders may take to hear of
/// the last requests.
const RIGHTS_TIME: Duration = Duration::from_millis(500);
/// What is left of the grace when everything should be done.
const MARGIN: Duration = Duration::from_millis(300);

/// Ends a router: unready at once, then no new connections, then the requests in flight,
/// then its rights go back.
pub(crate) async fn stop(router: Router) {
    let Router {
        node,
        callers,
        readiness,
        metrics,
        claims,
        remote,
        mut tasks,
    } = router;
    let end = Instant::now() + node.settings.grace.saturating_sub(MARGIN);
    node.is_stopping.store(true, Relaxed);
    event!(info, "router.stopping", in_flight = node.in_flight());
    sleep(NOTICE.min(node.settings.grace / 3)).await;
    let left = end.saturating_duration_since(Instant::now());
    callers.stop(left.saturating_sub(RIGHTS_TIME)).await;
    // What holders hear later counts as spent.
    remote.flush(RIGHTS_TIME).await;
    let left = end.saturating_duration_since(Instant::now());
    claims.stop(left.max(RIGHTS_TIME)).await;
    tasks.shutdown().await;
    readiness.stop(Duration::ZERO).await;
    if let Some(metrics) = metrics {
        metrics.stop(Duration::ZERO).await;
    }
    event!(info, "router.stopped", in_flight = node.in_flight());
}
