//! Watches the link, and closes the router to new callers while it is busy.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use swiftlink_ingress::{Headroom, Readiness, SAMPLE};
use swiftlink_shell::web::Gate;
use swiftlink_telemetry::event;
use tokio::sync::watch;
use tokio::time::{Instant, interval_at};

use super::Ingress;
use crate::node::Node;

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

/// Tracks whether the link has capacity for more callers, and closes the callers' `gate` while the
/// link is overloaded. Publishes the state to `states`. Runs until the task is aborted.
pub(crate) async fn watch_link(
    ingress: Arc<Ingress>,
    node: Arc<Node>,
    gate: Arc<Gate>,
    states: watch::Sender<LinkState>,
) {
    let mut headroom = Headroom::new(ingress.rate);
    let mut readiness = Readiness::new(node.settings.vm.as_str());
    let mut ticks = interval_at(Instant::now() + SAMPLE, SAMPLE);
    loop {
        ticks.tick().await;
        let has_changed = headroom.record(node.traffic.take());
        let utilization = headroom.utilization();
        node.traffic.is_busy.store(utilization >= BUSY_AT, Relaxed);
        let view = ingress.view.load_full();
        let has_switched = readiness.update(
            ingress.now(),
            headroom.is_full(),
            utilization,
            view.as_deref(),
        );
        states.send_replace(LinkState {
            utilization,
            is_ready: readiness.is_ready(),
        });
        if !has_changed && !has_switched {
            continue;
        }
        node.is_link_full.store(!readiness.is_ready(), Relaxed);
        gate.set(!headroom.is_overloaded());
        let own = node.settings.vm.as_str();
        event!(
            info,
            "link.headroom",
            full = headroom.is_full(),
            ready = readiness.is_ready(),
            refusing = headroom.is_overloaded(),
            used = format_args!("{utilization:.2}"),
            unready_peers = view.map_or(-1, |view| view.unready_besides(own) as i64),
            bytes_per_s = ingress.rate,
            in_flight = node.in_flight(),
        );
    }
}
