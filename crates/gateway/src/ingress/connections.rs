//! Counts new connections of callers, and logs those that weren't taken.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_shell::web::{Intake, IntakeCounts};
use swiftlink_telemetry::event;
use tokio::time::{Instant, interval_at};

use crate::node::Node;

/// Interval between two counts.
const INTERVAL: Duration = Duration::from_secs(1);

/// Adds the connections of each interval to the metrics. Runs until the task is aborted.
pub(crate) async fn count_connections(node: Arc<Node>, intake: Arc<Intake>) {
    let mut before = IntakeCounts::default();
    let mut ticks = interval_at(Instant::now() + INTERVAL, INTERVAL);
    loop {
        ticks.tick().await;
        let total = intake.counts();
        let recent = total.since(&before);
        before = total;
        node.metrics.connected(&recent);
        if recent.rejected() == 0 && intake.is_listening() {
            continue;
        }
        event!(
            warn,
            "callers.not_taken",
            ready = node.is_ready(),
            listening = intake.is_listening(),
            taken = recent.taken,
            refused = recent.refused,
            closed = recent.closed,
            failed = recent.failed,
            in_flight = node.in_flight(),
        );
    }
}
