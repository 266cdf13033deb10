//! Grants: no token is lost, created or handed out twice.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::thread;

use proptest::prelude::*;
use swiftlink_admission::{Grant, GrantCounters};

#[derive(Clone, Debug)]
enum Op {
    Reserve(u64),
    Settle(u64),
    Credit(u64),
    Shrink(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        (0..200_u64).prop_map(Op::Reserve),
        (0..300_u64).prop_map(Op::Settle),
        (0..500_u64).prop_map(Op::Credit),
        (0..200_u64).prop_map(Op::Shrink),
    ]
}

fn total(counters: GrantCounters) -> u64 {
    counters.available + counters.reserved + counters.charged + counters.returned
}

fn run(grant: &Grant, ops: &[Op], charged: &AtomicU64, returned: &AtomicU64) {
    let mut open = Vec::new();
    for op in ops {
        match op {
            Op::Reserve(cost) => open.extend(grant.reserve(*cost)),
            Op::Settle(spent) => {
                if let Some(reserved) = open.pop() {
                    charged.fetch_add(grant.settle(reserved, *spent), SeqCst);
                }
            }
            Op::Credit(amount) => grant.credit(*amount),
            Op::Shrink(amount) => {
                returned.fetch_add(grant.shrink(*amount), SeqCst);
            }
        }
        assert!(grant.available() <= 1 << 40, "available went below zero");
    }
    for reserved in open {
        grant.settle(reserved, 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn counters_add_up_with_concurrent_threads(
        work in prop::collection::vec(prop::collection::vec(op(), 0..200), 1..5),
    ) {
        let grant = Grant::new();
        let charged = AtomicU64::new(0);
        let returned = AtomicU64::new(0);
        thread::scope(|scope| {
            for ops in &work {
                scope.spawn(|| run(&grant, ops, &charged, &returned));
            }
        });
        let counters = grant.counters();
        let credited: u64 = work
            .iter()
            .flatten()
            .map(|op| if let Op::Credit(amount) = op { *amount } else { 0 })
            .sum();
        prop_assert_eq!(counters.granted, credited);
        prop_assert_eq!(total(counters), credited);
        prop_assert_eq!(counters.reserved, 0);
        prop_assert_eq!(counters.charged, charged.into_inner());
        prop_assert_eq!(counters.returned, returned.into_inner());
    }
}

#[test]
fn threads_never_take_more_than_was_granted() {
    const GRANTED: u64 = 100_000;
    let grant = Grant::new();
    grant.credit(GRANTED);
    let taken = AtomicU64::new(0);
    thread::scope(|scope| {
        for thread in 0..4 {
            let (grant, taken) = (&grant, &taken);
            scope.spawn(move || {
                while let Some(amount) = grant.reserve(7 + thread) {
                    taken.fetch_add(grant.settle(amount, amount), SeqCst);
                }
            });
        }
    });
    assert_eq!(taken.into_inner() + grant.available(), GRANTED);
    assert!(grant.available() < 10);
}

#[test]
fn charge_is_limited_to_the_reservation() {
    let grant = Grant::new();
    grant.credit(10);
    assert_eq!(grant.reserve(11), None);
    let reserved = grant.reserve(4).expect("ten are available");
    assert_eq!(grant.settle(reserved, 9), 4);
    assert_eq!(grant.available(), 6);
}

#[test]
fn dropped_reservation_frees_only_what_did_not_run() {
    let grant = Arc::new(Grant::new());
    grant.credit(100);
    drop(grant.hold(30));
    assert_eq!(grant.available(), 100);
    let mut ran = grant.hold(30).expect("available");
    ran.dispatch();
    drop(ran);
    assert_eq!(grant.available(), 70);
    assert_eq!(grant.counters().reserved, 30);
    let mut recalled = grant.hold(20).expect("available");
    recalled.dispatch();
    recalled.recall();
    drop(recalled);
    assert_eq!(grant.available(), 70);
    let settled = grant.hold(20).expect("available");
    assert_eq!(settled.settle(5), 5);
    assert_eq!(grant.available(), 65);
}
