//! Counts new connections of callers and their bytes, and logs the connections and bodies that weren't
//! taken.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_shell::web::{BodyCounts, MeteredBytes};
use swiftlink_telemetry::event;
use tokio::time::{Instant, interval_at};

use super::port::{Port, Reading};
use super::watch::BUSY_AT;
use crate::node::Node;

/// Interval between two counts.
const INTERVAL: Duration = Duration::from_secs(1);

/// Adds the connections of each interval and their bytes to the metrics. Runs until the task is
/// aborted.
pub(crate) async fn count_connections(node: Arc<Node>, port: Port) {
    let mut reading = Reading::default();
    let mut ticks = interval_at(Instant::now() + INTERVAL, INTERVAL);
    loop {
        ticks.tick().await;
        let Reading {
            counts,
            bytes,
            bodies,
        } = port.advance(&mut reading);
        node.metrics.port.connected(&counts);
        node.metrics.port.carried(&bytes);
        node.metrics.port.set_bodies(&port.memory);
        log_bytes(&node, &bytes);
        log_bodies(&port, &bodies);
        if counts.rejected() + counts.stalled == 0 && port.intake.is_listening() {
            continue;
        }
        event!(
            warn,
            "callers.not_taken",
            ready = node.is_ready(),
            listening = port.intake.is_listening(),
            taken = counts.taken,
            refused = counts.refused,
            closed = counts.closed,
            failed = counts.failed,
            stalled = counts.stalled,
            in_flight = node.in_flight(),
        );
    }
}

/// Logs the bodies of an interval that weren't taken.
fn log_bodies(port: &Port, bodies: &BodyCounts) {
    if *bodies == BodyCounts::default() {
        return;
    }
    event!(
        warn,
        "callers.bodies",
        refused = bodies.refused,
        stalled = bodies.stalled,
        held = port.memory.held(),
        limit = port.memory.limit(),
    );
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
