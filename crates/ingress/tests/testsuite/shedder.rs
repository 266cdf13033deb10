//! Which requests a busy link refuses from their heads.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use swiftlink_ingress::{Shedder, ShedderState};

/// Bytes that the link carries in the time of a sample.
const CAPACITY: f64 = 125_000.0;
/// Length of a request.
const BYTES: u64 = 5_000;
/// Samples until the shed fraction has settled, and in the measured period.
const SETTLE: usize = 50;
const MEASURED: usize = 100;

/// Callers that send a number of requests in each sample.
#[derive(Clone, Copy)]
struct Callers {
    workspace: u64,
    priority: u8,
    requests: usize,
}

/// Fraction of each group of callers that is admitted, and the mean utilization of the link.
fn admitted(all: &[Callers]) -> (Vec<f64>, f64) {
    let mut rng = Pcg64::seed_from_u64(1);
    let shedder = Shedder::default();
    let mut state = ShedderState::default();
    let mut counts = vec![0; all.len()];
    let mut carried = 0;
    let mut recent = [0.0; 2];
    for sample in 0..SETTLE + MEASURED {
        let mut bytes = 0;
        for (index, callers) in all.iter().enumerate() {
            for _ in 0..callers.requests {
                let draw = rng.random();
                if shedder.sheds(callers.workspace, callers.priority, BYTES, draw) {
                    continue;
                }
                bytes += BYTES;
                counts[index] += usize::from(sample >= SETTLE);
            }
        }
        carried += if sample >= SETTLE { bytes } else { 0 };
        recent = [bytes as f64 / CAPACITY, recent[0]];
        shedder.update(&mut state, (recent[0] + recent[1]) / 2.0);
    }
    let fractions = all.iter().zip(counts);
    let fractions =
        fractions.map(|(callers, count)| count as f64 / (callers.requests * MEASURED) as f64);
    let utilization = carried as f64 / (CAPACITY * MEASURED as f64);
    (fractions.collect(), utilization)
}

/// Guards against refusals on a link that carries all that arrives.
#[test]
fn link_with_capacity_refuses_nothing() {
    let callers = Callers {
        workspace: 1,
        priority: 0,
        requests: 17,
    };
    assert_eq!(admitted(&[callers]).0, [1.0]);
}

/// Guards against control traffic that queues behind bodies: twice what the link carries arrives.
#[test]
fn overloaded_link_keeps_room_for_control_traffic() {
    let callers = Callers {
        workspace: 1,
        priority: 0,
        requests: 50,
    };
    let (_, utilization) = admitted(&[callers]);
    assert!((0.7..0.8).contains(&utilization), "{utilization}");
}

/// A workspace sends seven times what the others send, and the link carries half of it all. Guards
/// against refusals of those who stay within their share.
#[test]
fn workspaces_within_their_share_are_not_refused() {
    let others = [2, 3, 4].map(|workspace| Callers {
        workspace,
        priority: 1,
        requests: 4,
    });
    let hot = Callers {
        workspace: 1,
        priority: 0,
        requests: 28,
    };
    let (fractions, _) = admitted(&[hot, others[0], others[1], others[2]]);
    assert!(fractions[0] < 0.4, "{fractions:?}");
    assert!(
        fractions[1..].iter().all(|fraction| *fraction > 0.98),
        "{fractions:?}"
    );
}

/// Guards against urgent requests that are refused while less urgent ones are served.
#[test]
fn least_urgent_requests_are_refused_first() {
    let [urgent, idle] = [0, 2].map(|priority| Callers {
        workspace: 1,
        priority,
        requests: 15,
    });
    let (fractions, _) = admitted(&[urgent, idle]);
    assert!(fractions[0] > 0.98, "{fractions:?}");
    assert!(fractions[1] < 0.5, "{fractions:?}");
}

/// Guards against a link that keeps refusing after a burst.
#[test]
fn refusals_end_with_the_overload() {
    let shedder = Shedder::default();
    let mut state = ShedderState::default();
    for _ in 0..20 {
        let _refused = shedder.sheds(1, 0, BYTES, 0.5);
        shedder.update(&mut state, 1.0);
    }
    assert!(state.fraction() > 0.5);
    for _ in 0..20 {
        shedder.update(&mut state, 0.3);
    }
    assert!(state.fraction() == 0.0);
    assert!(!shedder.sheds(1, 0, BYTES, 0.0));
}
