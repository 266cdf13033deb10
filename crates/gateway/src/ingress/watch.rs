//! Watches the link and new connections, and closes the router to new callers while it can't serve
//! them.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use swiftlink_ingress::{Availability, SAMPLE, Sample};
use swiftlink_telemetry::event;
use tokio::sync::watch;
use tokio::time::{Instant, interval_at};

use super::Ingress;
use super::port::{Port, Reading};
use crate::node::Node;
use crate::traffic::Traffic;

/// Utilization from which on answers of other routers may be late: packets of callers' bodies come in
/// bursts well before the mean reaches the link's rate.
pub(super) const BUSY_AT: f64 = 0.35;

/// What other routers are told of this one's link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LinkState {
    /// Fraction of the link's rate that was used in the last second.
    pub(super) utilization: f64,
    /// Whether the router takes new callers.
    pub(super) is_ready: bool,
}

impl Default for LinkState {
    fn default() -> Self {
        Self {
            utilization: 0.0,
            is_ready: true,
        }
    }
}

/// What the decision needs to know of the time since the reading `before`.
fn sample(port: &Port, traffic: &Traffic, before: &mut Reading) -> Sample {
    let recent = port.advance(before);
    Sample {
        bytes: traffic.take(recent.bytes),
        taken: recent.counts.taken,
        rejected: recent.counts.rejected(),
        is_accepting: port.intake.is_accepting(),
        has_room: port.intake.has_room(),
    }
}

/// Tracks whether new callers can be served. Opens and closes the callers' port, sets the readiness of
/// the router, and publishes the state to `states`. Runs until the task is aborted.
pub(crate) async fn watch_port(
    ingress: Arc<Ingress>,
    node: Arc<Node>,
    port: Port,
    states: watch::Sender<LinkState>,
) {
    let own = node.settings.vm.as_str();
    let mut availability = Availability::new(own, ingress.rate);
    let mut reading = Reading::default();
    let mut ticks = interval_at(Instant::now() + SAMPLE, SAMPLE);
    loop {
        ticks.tick().await;
        let sample = sample(&port, &node.traffic, &mut reading);
        let view = ingress.view.load_full();
        let has_changed = availability.record(ingress.now(), &sample, view.as_deref());
        let utilization = availability.utilization();
        node.traffic.is_busy.store(utilization >= BUSY_AT, Relaxed);
        node.decision.record(node.uptime(), availability.is_ready());
        states.send_replace(LinkState {
            utilization,
            is_ready: availability.is_ready(),
        });
        if !has_changed {
            continue;
        }
        port.gate.set(availability.is_open());
        event!(
            info,
            "link.headroom",
            full = availability.is_full(),
            ready = availability.is_ready(),
            refusing = !availability.is_open(),
            blocked = availability.is_blocked(),
            used = format_args!("{utilization:.2}"),
            unready_peers = view.map_or(-1, |view| view.unready_besides(own) as i64),
            bytes_per_s = ingress.rate.unwrap_or(0),
            in_flight = node.in_flight(),
        );
    }
}
