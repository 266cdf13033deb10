//! Readiness endpoint for the load balancer.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use async_trait::async_trait;
use http::StatusCode;
use swiftlink_shell::web::{Gate, Incoming, Response, Service, text};
use swiftlink_telemetry::event;
use tokio::time::{Instant, interval_at};

use crate::headroom::{Headroom, SAMPLE};
use crate::node::Node;

/// Answers readiness probes of the load balancer.
pub(crate) struct Readiness(pub(crate) Arc<Node>);

#[async_trait(?Send)]
impl Service for Readiness {
    async fn call(&self, _request: Incoming) -> Response {
        if self.0.is_ready() {
            return text(StatusCode::OK, "ready\n");
        }
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// Tracks whether the VM's link, which carries `rate` bytes per second each way, has capacity for
/// more callers, and closes the callers' `gate` while the link is overloaded. Runs until the task
/// is aborted.
pub(crate) async fn watch_link(node: Arc<Node>, gate: Arc<Gate>, rate: u64) {
    let mut headroom = Headroom::new(rate);
    let mut ticks = interval_at(Instant::now() + SAMPLE, SAMPLE);
    loop {
        ticks.tick().await;
        if !headroom.record(node.traffic.take()) {
            continue;
        }
        let is_full = headroom.is_full();
        node.is_link_full.store(is_full, Relaxed);
        gate.set(!headroom.is_overloaded());
        event!(
            info,
            "link.headroom",
            full = is_full,
            refusing = headroom.is_overloaded(),
            used = format_args!("{:.2}", headroom.utilization()),
            bytes_per_s = rate,
            in_flight = node.in_flight(),
        );
    }
}
