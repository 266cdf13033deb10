//! When a router's link is full or overloaded.

use swiftlink_ingress::{Headroom, SAMPLE};

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
