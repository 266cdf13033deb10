//! When a router takes new callers again.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_ingress::{DomainView, Readiness, RouterLoad};

const OWN: &str = "vm-1";

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// A view of eight routers of which `unready` others take no new callers, with busier links.
fn view(unready: usize, at: Duration) -> DomainView {
    let load = |number| RouterLoad {
        vm: Arc::from(format!("vm-{}", number + 2)),
        utilization: 0.9,
        is_ready: false,
    };
    DomainView {
        routers: 8,
        loads: (0..unready).map(load).collect(),
        at,
    }
}

/// Updates once a second from `from` until `to`, with a calm link; returns when it became ready.
fn ready_after(readiness: &mut Readiness, from: u64, to: u64, unready: usize) -> Option<u64> {
    (from..to).find(|now| {
        let view = view(unready, secs(*now));
        readiness.update(secs(*now), false, 0.1, Some(&view)) && readiness.is_ready()
    })
}

/// Guards against callers that all return as soon as the link has calmed down.
#[test]
fn router_stays_unready_after_its_link_has_calmed_down() {
    let mut readiness = Readiness::new(OWN);
    assert!(readiness.update(secs(100), true, 0.8, Some(&view(0, secs(100)))));
    assert!(!readiness.is_ready());
    assert_eq!(ready_after(&mut readiness, 101, 200, 0), Some(130));
}

/// Neighbours are out of touch: the router decides by its own link alone.
#[test]
fn router_without_a_view_is_ready_as_soon_as_its_link_has_capacity() {
    let mut readiness = Readiness::new(OWN);
    readiness.update(secs(100), true, 0.8, None);
    assert!(!readiness.is_ready());
    assert!(readiness.update(secs(101), false, 0.3, None));
    assert!(readiness.is_ready());
}

/// Guards against a summary from before a partition that keeps routers unready.
#[test]
fn old_view_is_ignored() {
    let mut readiness = Readiness::new(OWN);
    let old = view(0, secs(100));
    readiness.update(secs(100), true, 0.8, Some(&old));
    assert!(readiness.update(secs(104), false, 0.3, Some(&old)));
    assert!(readiness.is_ready());
}

/// The balancer uses all routers of a failure domain once fewer than half of them are ready.
#[test]
fn half_of_the_routers_stay_ready() {
    let mut readiness = Readiness::new(OWN);
    let now = secs(100);
    assert!(!readiness.update(now, true, 0.8, Some(&view(4, now))));
    assert!(readiness.is_ready());
    assert!(readiness.update(now, true, 0.8, Some(&view(3, now))));
}

/// Guards against a failure domain in which no further router can turn callers away.
#[test]
fn calmest_router_returns_early_when_another_one_needs_its_place() {
    let mut readiness = Readiness::new(OWN);
    readiness.update(secs(100), true, 0.8, Some(&view(2, secs(100))));
    assert_eq!(ready_after(&mut readiness, 101, 110, 2), None);
    assert_eq!(ready_after(&mut readiness, 110, 119, 3), Some(110));
}

/// Guards against flapping: each change moves callers.
#[test]
fn readiness_changes_six_times_a_minute_at_most() {
    let mut readiness = Readiness::new(OWN);
    let changes = (0..600).filter(|step| {
        let now = Duration::from_millis(step * 100);
        readiness.update(now, step % 2 == 0, 0.5, None)
    });
    assert_eq!(changes.count(), 6);
    assert!(readiness.is_ready(), "it ends ready");
}
