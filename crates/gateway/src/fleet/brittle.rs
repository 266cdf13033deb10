//! Servers that crash if they have to refuse too many requests.
//!
//! What such a server can refuse in a second counts over all routers, and its queue may shrink
//! without notice. So a router relies on no queue of a brittle server and sends it only what fits
//! into its slots by what the router knows. It may know little, since reports are old and other
//! routers send too. After a refusal it therefore leaves the server alone for so long that all
//! routers together stay well below the number, however many there are.

use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use swiftlink_routing::ServerIdx;
use swiftlink_telemetry::event;

use super::{Pool, SelectedServer};

/// Share of the refusals that a server can bear which all routers together cause, if each sends one
/// request too many after each pause.
const REJECTION_SHARE: f64 = 0.25;
/// Minimum and maximum pause after a refusal. The maximum bounds how long a server that has recovered
/// goes unused; in fleets where it applies, one router sends a server few requests.
const PAUSE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(120));

/// Pause of each of `routers` after a refusal by a server that can refuse `max` requests a second.
#[must_use]
pub fn rejection_pause(routers: usize, max: f64) -> Duration {
    let secs = routers.max(1) as f64 / (max * REJECTION_SHARE).max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(secs)
        .unwrap_or(PAUSE.1)
        .clamp(PAUSE.0, PAUSE.1)
}

impl Pool {
    /// Handles whether a response names a number of refusals that its server can bear, and whether
    /// it `is_refusal` itself.
    pub fn on_max_rejections(
        &self,
        idx: ServerIdx,
        server: &SelectedServer,
        max: Option<f64>,
        is_refusal: bool,
    ) {
        let has_changed = self.fleet().set_brittle(idx, max.is_some());
        if has_changed {
            event!(
                info,
                "server.brittle",
                server = server.instance.name,
                max_rejections = max.unwrap_or(-1.0),
            );
        }
        let Some(max) = max.filter(|_| is_refusal) else {
            return;
        };
        let pause = rejection_pause(self.routers.load(Relaxed), max);
        // Spreads the routers' next requests.
        self.on_backoff(idx, server, pause.mul_f64(0.5 + rand::random::<f64>()));
    }
}
