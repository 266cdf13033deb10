//! A router that reports ready takes new connections.
//!
//! Guards against a port that is closed while readiness stays "ready": the gate went by the traffic of
//! the last 0.3 s, and readiness by that of the last second, by the number of unready neighbours and by
//! its recent changes. Neither asked the other.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_ingress::{Availability, DomainView, RouterLoad, SAMPLE, Sample};

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
    let mut availability = Availability::new(OWN, Some(LINK));
    let (mut closed, mut longest) = (Duration::ZERO, Duration::ZERO);
    for sample in 0..600 {
        let now = SAMPLE * sample;
        let bytes = LINK as f64 * SAMPLE.as_secs_f64() * used(sample);
        let sample = Sample {
            bytes: bytes as u64,
            is_accepting: availability.is_open(),
            has_room: true,
            ..Sample::default()
        };
        let view = view(routers / 2, routers, now);
        availability.record(now, &sample, Some(&view));
        closed += SAMPLE;
        if !availability.is_ready() || availability.is_open() {
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

/// Records samples with an idle link from `from` on, for as long as `samples` says; returns when the
/// router was not ready first.
fn first_unready(
    availability: &mut Availability,
    from: Duration,
    sample: &Sample,
) -> Option<Duration> {
    for number in 0..100 {
        let now = from + SAMPLE * number;
        availability.record(now, sample, None);
        if !availability.is_ready() {
            return Some(now - from);
        }
    }
    None
}

/// Guards against a balancer that goes on to send new connections to a router at its limit.
#[test]
fn router_whose_connections_are_all_busy_is_not_ready_until_some_have_ended() {
    let full = Sample {
        rejected: 8,
        is_accepting: true,
        ..Sample::default()
    };
    let mut availability = Availability::new(OWN, None);
    let unready = first_unready(&mut availability, Duration::ZERO, &full);
    assert!(
        unready.is_some_and(|after| after <= MAX_CLOSED),
        "{unready:?}"
    );

    // The balancer sends nothing more, and all connections stay busy.
    let quiet = Sample {
        rejected: 0,
        ..full
    };
    let later = Duration::from_secs(60);
    availability.record(later, &quiet, None);
    assert!(!availability.is_ready());

    let room = Sample {
        has_room: true,
        ..quiet
    };
    availability.record(later + MAX_CLOSED, &room, None);
    assert!(!availability.is_ready(), "ready at once");
    availability.record(later + MAX_CLOSED * 2, &room, None);
    assert!(availability.is_ready());
}

/// Guards against a worker that hangs, or a port that can't be bound again.
#[test]
fn router_that_accepts_nothing_is_not_ready() {
    let stuck = Sample {
        has_room: true,
        ..Sample::default()
    };
    let mut availability = Availability::new(OWN, Some(LINK));
    let unready = first_unready(&mut availability, Duration::ZERO, &stuck);
    assert!(
        unready.is_some_and(|after| after <= MAX_CLOSED),
        "{unready:?}"
    );
}

/// Guards against callers that are moved though the router serves most of them.
#[test]
fn router_that_takes_some_of_the_connections_stays_ready() {
    let busy = Sample {
        taken: 1,
        rejected: 8,
        is_accepting: true,
        ..Sample::default()
    };
    let mut availability = Availability::new(OWN, Some(LINK));
    assert_eq!(
        first_unready(&mut availability, Duration::ZERO, &busy),
        None
    );
}
