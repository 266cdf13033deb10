//! Counts new connections of callers and their bytes, and logs the connections that weren't taken.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_shell::web::{Intake, IntakeCounts, Meter, MeteredBytes};
use swiftlink_telemetry::event;
use tokio::time::{Instant, interval_at};

use super::watch::BUSY_AT;
use crate::node::Node;

/// Interval between two counts.
const INTERVAL: Duration = Duration::from_secs(1);

/// Adds the connections of each interval and their bytes to the metrics. Runs until the task is
/// aborted.
pub(crate) async fn count_connections(node: Arc<Node>, intake: Arc<Intake>, meter: Arc<Meter>) {
    let mut before = IntakeCounts::default();
    let mut bytes_before = MeteredBytes::default();
    let mut ticks = interval_at(Instant::now() + INTERVAL, INTERVAL);
    loop {
        ticks.tick().await;
        let total = intake.counts();
        let recent = total.since(&before);
        before = total;
        node.metrics.port.connected(&recent);
        let total = meter.total();
        let bytes = total.since(&bytes_before);
        bytes_before = total;
        node.metrics.port.carried(&bytes);
        log_bytes(&node, &bytes);
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

/// Logs the bytes of an interval in which callers used much of the link.
fn log_bytes(node: &Node, bytes: &MeteredBytes) {
    let Some(rate) = node.settings.link else {
        return;
    };
    let used = bytes.received.max(bytes.sent) as f64 / rate as f64;
    if used < BUSY_AT {
        return;
    }
    event!(
        info,
        "callers.bytes",
        ready = node.is_ready(),
        received = bytes.received,
        sent = bytes.sent,
        used = format_args!("{used:.2}"),
    );
}
