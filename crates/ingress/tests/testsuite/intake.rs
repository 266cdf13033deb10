//! A router that reports ready takes new connections.
//!
//! Guards against a port that is closed while readiness stays "ready": the gate went by the traffic of
//! the last 0.3 s, and readiness by that of the last second, by the number of unready neighbours and by
//! its recent changes. Neither asked the other.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_ingress::{DomainView, Headroom, Readiness, RouterLoad, SAMPLE};

const OWN: &str = "vm-1";
/// Bytes a second of a link of 10 Mbit/s.
const LINK: u64 = 1_250_000;
/// Longest time in which a router may report ready while its port is closed: the balancer believes
/// the second failed check, a second after the first.
const MAX_CLOSED: Duration = Duration::from_secs(2);

/// A view in which `unready` of `routers` others take no new callers, with busier links.
fn view(unready: usize, routers: usize, at: Duration) -> DomainView {
    let load = |number| RouterLoad {
        vm: Arc::from(format!("vm-{}", number + 2)),
        utilization: 2.0,
        is_ready: false,
    };
    DomainView {
        routers,
        loads: (0..unready).map(load).collect(),
        at,
    }
}

/// Longest time in which the router reports ready while its port is closed, over a minute in which
/// `used` of the link is in use in each sample.
fn longest_closed(routers: usize, used: impl Fn(u32) -> f64) -> Duration {
    let mut headroom = Headroom::new(LINK);
    let mut readiness = Readiness::new(OWN);
    let (mut closed, mut longest) = (Duration::ZERO, Duration::ZERO);
    for sample in 0..600 {
        let now = SAMPLE * sample;
        let bytes = LINK as f64 * SAMPLE.as_secs_f64() * used(sample);
        headroom.record(bytes as u64);
        let view = view(routers / 2, routers, now);
        let (is_full, utilization) = (headroom.is_full(), headroom.utilization());
        readiness.update(now, is_full, utilization, Some(&view));
        closed += SAMPLE;
        if !readiness.is_ready() || !headroom.is_overloaded() {
            closed = Duration::ZERO;
        }
        longest = longest.max(closed);
    }
    longest
}

/// Open connections and tunnels fill the link of the last router of half of its failure domain.
#[test]
fn last_router_of_a_domain_with_a_full_link_is_not_ready() {
    for routers in [2, 3, 28, 75, 300, 985] {
        let longest = longest_closed(routers, |_sample| 1.1);
        assert!(longest <= MAX_CLOSED, "{routers} routers: {longest:?}");
    }
}

/// The link is full again and again, so that readiness has used up its changes of a minute.
#[test]
fn router_whose_link_fills_again_and_again_is_not_ready_while_it_is_full() {
    let used = |sample: u32| if sample % 80 < 50 { 1.1 } else { 0.1 };
    for routers in [1, 3, 28, 985] {
        let longest = longest_closed(routers, used);
        assert!(longest <= MAX_CLOSED, "{routers} routers: {longest:?}");
    }
}
