//! When a router's link is full, and how that spreads callers who all come to one router.

use http::HeaderMap;
use http::header::{CONTENT_TYPE, HOST};
use swiftlink_gateway::headroom::{Headroom, SAMPLE, Traffic, head_bytes};

/// Bytes a second of the link.
const RATE: u64 = 2_500_000;
/// Samples in a second.
const SAMPLES_PER_SEC: usize = 10;

/// Bytes of one sample at this utilization of the link.
fn sample_bytes(utilization: f64) -> u64 {
    (RATE as f64 * SAMPLE.as_secs_f64() * utilization) as u64
}

/// Records `samples` samples at this utilization.
fn record(headroom: &mut Headroom, utilization: f64, samples: usize) {
    for _ in 0..samples {
        headroom.record(sample_bytes(utilization));
    }
}

#[test]
fn link_in_ordinary_use_is_not_full() {
    let mut headroom = Headroom::new(RATE);
    for utilization in [0.2, 0.6, 0.1, 0.65] {
        record(&mut headroom, utilization, SAMPLES_PER_SEC);
        assert!(!headroom.is_full(), "{utilization}");
        assert!(!headroom.is_overloaded(), "{utilization}");
    }
}

#[test]
fn full_link_recovers_only_well_below_its_limit() {
    let mut headroom = Headroom::new(RATE);
    record(&mut headroom, 0.72, SAMPLES_PER_SEC);
    assert!(headroom.is_full());
    record(&mut headroom, 0.6, 3 * SAMPLES_PER_SEC);
    assert!(headroom.is_full(), "returning callers would fill it again");
    record(&mut headroom, 0.4, SAMPLES_PER_SEC);
    assert!(!headroom.is_full());
}

#[test]
fn burst_is_noticed_before_the_next_health_check() {
    let mut headroom = Headroom::new(RATE);
    record(&mut headroom, 0.5, SAMPLES_PER_SEC);
    record(&mut headroom, 1.0, 3);
    assert!(headroom.is_overloaded(), "connections are refused first");
    assert!(!headroom.is_full());
    record(&mut headroom, 1.0, 2);
    assert!(headroom.is_full());
}

#[test]
fn one_full_sample_does_not_refuse_connections() {
    let mut headroom = Headroom::new(RATE);
    record(&mut headroom, 0.5, SAMPLES_PER_SEC);
    assert!(!headroom.record(sample_bytes(1.0)));
}

#[test]
fn head_bytes_counts_names_and_values() {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, "a.example".parse().expect("a value"));
    headers.insert(CONTENT_TYPE, "text/plain".parse().expect("a value"));
    assert_eq!(
        head_bytes(&headers),
        "host: a.example\r\ncontent-type: text/plain\r\n".len()
    );
}

#[test]
fn traffic_returns_the_busier_direction() {
    let traffic = Traffic::default();
    traffic.received(1_000);
    traffic.sent(400);
    traffic.relayed(50);
    assert_eq!(traffic.take(), 1_050);
    assert_eq!(traffic.take(), 0);
}

/// Bytes of a request, body included.
const REQUEST_BYTES: f64 = 5_000.0;
/// Fraction of the open connections that callers close in the time of a sample.
const CLOSE_FRACTION: f64 = 0.05;
/// Seconds of queued bytes from which on callers have timed out before they are answered.
const CALLER_TIMEOUT: f64 = 0.3;
/// Steps between two health checks of the balancer.
const HEALTH_CHECK: usize = 10;

/// A router behind the balancer.
struct Vm {
    headroom: Headroom,
    /// Requests a second on open connections.
    rate: f64,
    /// Bytes queued for the link.
    queued: f64,
    failed_checks: u32,
}

/// Routers of a failure domain. The balancer sends all callers of one workspace to the first
/// healthy one.
struct Domain {
    vms: Vec<Vm>,
    /// Whether routers report that their link is full.
    reports: bool,
    requests: f64,
    lost: f64,
}

impl Domain {
    fn new(reports: bool) -> Self {
        let vms = (0..6).map(|_| Vm {
            headroom: Headroom::new(RATE),
            rate: 0.0,
            queued: 0.0,
            failed_checks: 0,
        });
        Self {
            vms: vms.collect(),
            reports,
            requests: 0.0,
            lost: 0.0,
        }
    }

    fn step(&mut self, step: usize, demand: f64) {
        let time = SAMPLE.as_secs_f64();
        let capacity = RATE as f64 * time;
        if step.is_multiple_of(HEALTH_CHECK) {
            for vm in &mut self.vms {
                let is_ready = !(self.reports && vm.headroom.is_full());
                vm.failed_checks = if is_ready { 0 } else { vm.failed_checks + 1 };
            }
        }
        self.requests += demand * time;
        for vm in &mut self.vms {
            vm.rate *= 1.0 - CLOSE_FRACTION;
        }
        let on_open: f64 = self.vms.iter().map(|vm| vm.rate).sum();
        let incoming = (demand - on_open).max(0.0);
        for vm in &mut self.vms {
            vm.rate *= (demand / on_open.max(1.0)).min(1.0);
        }
        let target = self
            .vms
            .iter()
            .position(|vm| vm.failed_checks < 2)
            .unwrap_or(0);
        let vm = &mut self.vms[target];
        if self.reports && vm.headroom.is_overloaded() {
            self.lost += incoming * time;
        } else {
            vm.rate += incoming;
        }
        for vm in &mut self.vms {
            vm.queued += vm.rate * REQUEST_BYTES * time;
            let carried = vm.queued.min(capacity);
            vm.queued -= carried;
            vm.headroom.record(carried as u64);
            if vm.queued > CALLER_TIMEOUT * RATE as f64 {
                // Callers have timed out, and half of them reconnect.
                self.lost += vm.rate * time;
                vm.rate /= 2.0;
                vm.queued = CALLER_TIMEOUT * RATE as f64;
            }
        }
    }
}

/// Fraction of requests lost at twice the link's capacity for ten seconds, after ten seconds at
/// half of it.
fn lost_fraction(reports: bool) -> f64 {
    let mut domain = Domain::new(reports);
    for step in 0..10 * SAMPLES_PER_SEC {
        domain.step(step, 250.0);
    }
    assert!(
        domain.lost < 1.0,
        "no request is lost at half of the link's capacity"
    );
    domain.requests = 0.0;
    for step in 0..10 * SAMPLES_PER_SEC {
        domain.step(step, 1_000.0);
    }
    domain.lost / domain.requests
}

/// A workspace with half of a failure domain's callers, which the balancer sends to one router,
/// sends four times its usual load, twice what one link carries. A router that doesn't report its
/// full link loses most of the load for as long as it lasts; one that does shares it with the next
/// routers.
#[test]
fn hot_workspace_spreads_over_several_links() {
    let (silent, reporting) = (lost_fraction(false), lost_fraction(true));
    assert!(silent > 0.6, "{silent}");
    assert!(reporting < silent / 2.0, "{reporting} of {silent}");
}
