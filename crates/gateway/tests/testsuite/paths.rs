//! Paths to servers, and the choice of the routers that stand in for one that is cut.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use swiftlink_gateway::paths::{
    Destination, HelperBook, PathState, ServerId, ServerPath, Suspects,
};
use swiftlink_types::{PoolName, ServerInstance, ServerName, VmName};

use crate::net::name;

/// Number of failure domains of a fleet.
const DOMAINS: usize = 4;
/// Tunnels that each cut router opens in the model.
const TUNNELS: usize = 16;
/// Time between two tunnels of a router (ms).
const INTERVAL: u64 = 100;

/// Guards against requests on connections that hang, and against giving up connections that live on
/// while new ones are refused.
#[test]
fn only_connections_from_before_a_silent_cut_hang() {
    let open = PathState::default();
    let cut = open.cut();
    assert!(cut.is_relayed && !cut.hangs(open.generation));
    assert!(cut.may_reuse(open.generation, false) && cut.may_reuse(cut.generation, true));
    let silent = cut.silent();
    assert!(silent.hangs(open.generation) && !silent.may_reuse(open.generation, false));
    assert!(!silent.hangs(cut.generation) && silent.may_reuse(cut.generation, true));
    // Signs that come again change nothing.
    assert_eq!(silent.cut().silent(), silent);
    let restored = silent.restored();
    assert!(!restored.is_relayed && restored.may_reuse(restored.generation, false));
    // Tunnels complete their requests and carry no further ones; what hung is not reused.
    assert!(!restored.hangs(cut.generation) && !restored.may_reuse(cut.generation, true));
    assert!(!restored.may_reuse(open.generation, false));
    assert!(restored.silent() == restored && restored.restored() == restored);
}

/// Guards against new connections to a server after each moment in which one took too long.
#[test]
fn direct_connections_are_kept_over_a_cut_that_was_none() {
    let open = PathState::default();
    let restored = open.cut().restored();
    assert!(restored.may_reuse(open.generation, false));
}

/// Guards against checks whose number grows with the requests that wait.
#[tokio::test]
async fn a_path_is_checked_once_however_many_requests_wait() {
    let path = ServerPath::default();
    let checks = (0..100).filter(|_| path.take_check()).count();
    assert_eq!(checks, 1);
    assert!(path.update(PathState::cut) && !path.update(PathState::cut));
}

/// Guards against a connection to each slow server every second while nothing is cut.
#[tokio::test]
async fn slow_servers_are_not_all_checked() {
    let suspects = Suspects::default();
    for index in 0..100 {
        suspects.on_quiet(&destination(index));
    }
    assert_eq!(suspects.waiting_len(), 1);
    // A connection that failed says more than a server that is slow.
    suspects.on_failed(&destination(100));
    suspects.on_failed(&destination(101));
    assert_eq!(suspects.waiting_len(), 3);
}

fn destination(index: u16) -> Destination {
    Destination {
        id: ServerId {
            pool: PoolName::from("pool"),
            instance: ServerInstance::new(ServerName::from(format!("server{index}")), 1),
        },
        address: SocketAddr::from(([127, 0, 0, 1], index)),
        path: Arc::default(),
    }
}

/// What a fleet with cut routers does.
#[derive(Debug)]
struct Outcome {
    /// Share of the tunnels that were opened.
    opened: f64,
    /// Mean number of routers asked for a tunnel after the first second.
    asked: f64,
    /// Tunnels of the busiest helper.
    busiest: f64,
    /// Mean tunnels of a router that isn't cut.
    mean: f64,
}

/// Opens tunnels at the cut routers of a fleet.
fn play(routers: usize, cut: usize, seed: u64) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut served: HashMap<VmName, u32> = HashMap::new();
    let mut books: Vec<HelperBook> = (0..cut).map(|_| HelperBook::default()).collect();
    let (mut opened, mut late_asks, mut late) = (0, 0, 0);
    // The cut routers are spread over the domains at random.
    let mut all: Vec<usize> = (0..routers).collect();
    for index in 0..routers {
        let other = rng.random_range(index..routers);
        all.swap(index, other);
    }
    let is_cut: Vec<bool> = {
        let mut flags = vec![false; routers];
        all.iter().take(cut).for_each(|vm| flags[*vm] = true);
        flags
    };
    let vms_by_index: Vec<VmName> = (0..routers).map(name).collect();
    for round in 0..TUNNELS {
        let now = round as u64 * INTERVAL;
        for (book, own) in books.iter_mut().zip(&all) {
            let others = (0..routers).filter(|vm| vm != own);
            let (near, far): (Vec<usize>, Vec<usize>) =
                others.partition(|vm| vm % DOMAINS == own % DOMAINS);
            let names =
                |vms: Vec<usize>| vms.into_iter().map(|vm| vms_by_index[vm].clone()).collect();
            let order = book.order(names(near), names(far), now, &mut rng);
            for (asks, vm) in (1..).zip(order) {
                let index: usize = vm.as_str()[2..].parse().expect("a number");
                if is_cut[index] {
                    book.on_failed(&vm, now);
                    continue;
                }
                let tunnels = served.entry(vm.clone()).or_default();
                *tunnels += 1;
                book.on_helped(&vm, *tunnels);
                opened += 1;
                if now >= 1_000 {
                    late += 1;
                    late_asks += asks;
                }
                break;
            }
        }
    }
    let sum: u32 = served.values().sum();
    let mean = f64::from(sum) / (routers - cut) as f64;
    let busiest = served.values().max().copied().unwrap_or(0);
    Outcome {
        opened: f64::from(opened) / (cut * TUNNELS) as f64,
        asked: f64::from(late_asks) / f64::from(late.max(1)),
        busiest: f64::from(busiest),
        mean,
    }
}

/// Guards against a cut router that finds no helper in a large fleet where few are left, and
/// against one helper that takes the callers of a whole domain.
#[test]
fn any_fleet_finds_helpers_and_spreads_tunnels_over_them() {
    for (routers, cut) in [
        (7, 1),
        (7, 3),
        (7, 6),
        (75, 30),
        (300, 30),
        (300, 270),
        (985, 98),
        (985, 886),
    ] {
        let outcome = play(routers, cut, 7);
        println!("{cut} of {routers} cut: {outcome:?}");
        assert!(outcome.opened >= 0.9, "{cut} of {routers}: {outcome:?}");
        assert!(outcome.asked <= 3.0, "{cut} of {routers}: {outcome:?}");
        // A helper's own load doubles at most, unless too few routers are left for that.
        let share = (TUNNELS as f64).max(2.5 * outcome.mean);
        assert!(outcome.busiest <= share, "{cut} of {routers}: {outcome:?}");
    }
}
