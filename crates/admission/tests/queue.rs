//! The queue: no entry is lost, weights are kept, deadlines and retry times are met.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use swiftlink_admission::{ClassSpec, Entry, Queue, QueuePolicy, Ticket};
use swiftlink_types::{ClassName, Micros, Outcome, RefusalKind};

const MS: Micros = 1_000;
const SEC: Micros = 1_000_000;
const FAR: Micros = 1_000 * SEC;

fn class(name: &str) -> ClassName {
    ClassName::from(name)
}

fn entry(name: &str, key: u64, deadline: Micros) -> Entry<u64> {
    Entry {
        class: class(name),
        key,
        deadline,
        service_time: None,
        payload: key,
    }
}

/// A queue with an initial service time of 100 ms.
fn queue(slots: usize, weights: &[(&str, u32)]) -> Queue<u64> {
    queue_with_max_wait(slots, weights, Duration::from_secs(1))
}

fn queue_with_max_wait(slots: usize, weights: &[(&str, u32)], max_wait: Duration) -> Queue<u64> {
    let policy = QueuePolicy {
        initial_service: Duration::from_millis(100),
        max_wait,
        ..QueuePolicy::default()
    };
    let mut queue = Queue::new(policy, slots);
    for (name, weight) in weights {
        let spec = ClassSpec {
            weight: *weight,
            limit: 64,
        };
        queue.set_class(&class(name), spec);
    }
    queue
}

#[test]
fn free_slots_are_filled_at_once_in_order() {
    let mut queue = queue(3, &[]);
    for key in 1..=3 {
        queue.push(entry("a", key, FAR), 0).expect("capacity");
    }
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop(0))
        .map(|(_, entry)| entry.payload)
        .collect();
    assert_eq!(order, [1, 2, 3]);
    assert_eq!(queue.in_flight(), 3);
}

#[test]
fn service_is_shared_by_weight_without_starvation() {
    let mut queue = queue(1, &[("gold", 8), ("plain", 1)]);
    let mut served: HashMap<String, u32> = HashMap::new();
    for key in 1..=900 {
        while queue.class_len(&class("gold")) < 5 {
            queue
                .push(entry("gold", 0, FAR), key * MS)
                .expect("capacity");
        }
        while queue.class_len(&class("plain")) < 1 {
            queue
                .push(entry("plain", 0, FAR), key * MS)
                .expect("capacity");
        }
        let (_, entry) = queue.pop(key * MS).expect("a free slot");
        *served.entry(entry.class.to_string()).or_default() += 1;
        queue.on_done(key * MS, 100 * MS);
    }
    assert_eq!(served["gold"], 800);
    assert_eq!(served["plain"], 100);
}

#[test]
fn overload_is_refused_at_once_with_a_retry_time() {
    let mut queue = queue(1, &[("a", 1)]);
    let refusal = (1..100)
        .find_map(|key| queue.push(entry("a", key, FAR), 0).err())
        .expect("one second of wait admits about ten entries");
    assert_eq!(refusal.kind, RefusalKind::Overloaded);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert!(refusal.retry_after.expect("a retry time") > Duration::from_millis(500));
    assert!((9..=11).contains(&queue.len()), "{}", queue.len());
}

#[test]
fn deadline_that_cannot_be_met_is_refused() {
    let mut queue = queue(1, &[("a", 1)]);
    queue.push(entry("a", 1, FAR), 0).expect("a free slot");
    queue.pop(0).expect("a free slot");
    assert!(queue.push(entry("a", 2, 150 * MS), 0).is_err());
    assert!(queue.push(entry("a", 3, 250 * MS), 0).is_ok());
}

#[test]
fn late_entries_expire_before_their_deadline() {
    let mut queue = queue(1, &[("a", 1)]);
    queue.push(entry("a", 1, FAR), 0).expect("a free slot");
    queue.pop(0).expect("a free slot");
    let ticket = queue
        .push(entry("a", 2, 300 * MS), 0)
        .expect("its deadline can be met");
    assert!(queue.take_expired(200 * MS).is_empty());
    let at = queue.next_expiry().expect("one entry waits");
    assert!(at < 300 * MS);
    let expired = queue.take_expired(at);
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].ticket, ticket);
    assert!(expired[0].refusal.retry_after.is_some());
    assert!(queue.is_empty());
}

#[test]
fn cancelled_entry_is_not_served() {
    let mut queue = queue(1, &[]);
    let first = queue.push(entry("a", 1, FAR), 0).expect("capacity");
    queue.push(entry("a", 2, FAR), 0).expect("capacity");
    assert_eq!(queue.cancel(first).map(|entry| entry.payload), Some(1));
    assert_eq!(queue.cancel(first), None);
    assert_eq!(queue.pop(0).map(|(_, entry)| entry.payload), Some(2));
}

#[test]
fn due_retry_goes_before_new_entries() {
    let mut queue = queue(1, &[("a", 1)]);
    queue.push(entry("a", 1, FAR), 0).expect("a free slot");
    queue.pop(0).expect("a free slot");
    let (key, refusal) = (2..100)
        .find_map(|key| Some((key, queue.push(entry("a", key, FAR), 0).err()?)))
        .expect("overloaded");
    let early = queue.push(entry("a", key, FAR), MS);
    assert_eq!(early.expect_err("too early").kind, RefusalKind::Overloaded);
    let due = refusal.retry_after.expect("a retry time").as_micros() as Micros;
    queue
        .push(entry("a", key, FAR), due + SEC)
        .expect("at its due time");
    queue.on_done(due + SEC, 100 * MS);
    assert_eq!(
        queue.pop(due + SEC).map(|(_, entry)| entry.payload),
        Some(key)
    );
}

/// The bound on the wait must not shut out the class with the smallest weight for good.
#[test]
fn light_class_gets_its_share_under_a_short_bound() {
    let mut queue = queue(1, &[("gold", 49), ("plain", 1)]);
    let mut served = 0;
    for step in 1..=2_000 {
        let now = step * 100 * MS;
        while queue.push(entry("gold", 0, FAR), now).is_ok() {}
        let _refused = queue.push(entry("plain", 0, FAR), now);
        let (_, entry) = queue.pop(now).expect("gold has waiting entries");
        served += u32::from(entry.class == class("plain"));
        queue.on_done(now, 100 * MS);
    }
    assert!((32..=40).contains(&served), "{served} of 40");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Each entry ends in exactly one way, classes are first come, first served, and the slots in
    /// use stay within their number.
    #[test]
    fn no_entry_is_lost(
        steps in prop::collection::vec((0..3_usize, 1..60_u64, 0..4_u8), 1..300),
        slots in 1..4_usize,
    ) {
        const NAMES: [&str; 3] = ["a", "b", "c"];
        let mut queue = queue(slots, &[("a", 9), ("b", 3), ("c", 1)]);
        let mut now = 0;
        let mut waiting: HashMap<Ticket, u64> = HashMap::new();
        let mut last = [0_u64; 3];
        for (number, (name, deadline, act)) in steps.into_iter().enumerate() {
            now += 20 * MS;
            let key = number as u64 + 1;
            let pushed = queue.push(entry(NAMES[name], key, now + deadline * 20 * MS), now);
            match pushed {
                Ok(ticket) => {
                    waiting.insert(ticket, key);
                }
                Err(refusal) => prop_assert!(refusal.retry_after.is_some()),
            }
            if act == 0 && queue.in_flight() > 0 {
                queue.on_done(now, 40 * MS);
            }
            while let Some((ticket, entry)) = queue.pop(now) {
                prop_assert_eq!(waiting.remove(&ticket), Some(entry.payload));
                let index = NAMES.iter().position(|name| class(name) == entry.class);
                let index = index.expect("a known class");
                prop_assert!(entry.payload > last[index], "first come first served");
                prop_assert!(entry.deadline > now);
                last[index] = entry.payload;
            }
            for expired in queue.take_expired(now) {
                let payload = expired.entry.payload;
                prop_assert_eq!(waiting.remove(&expired.ticket), Some(payload));
            }
            prop_assert!(queue.in_flight() <= slots);
            prop_assert_eq!(queue.len(), waiting.len());
        }
    }

    /// When every class always has waiting entries, each is served within a number of services
    /// bounded by the sum of the weights.
    #[test]
    fn no_class_starves(weights in prop::collection::vec(1..50_u32, 2..5)) {
        let names = ["a", "b", "c", "d"];
        let classes: Vec<_> = names.iter().copied().zip(weights.iter().copied()).collect();
        let mut queue = queue_with_max_wait(1, &classes, Duration::from_secs(600));
        let total: u32 = weights.iter().sum();
        let mut since = vec![0_u32; classes.len()];
        for step in 0..500 {
            for (name, _) in &classes {
                while queue.class_len(&class(name)) < 2 {
                    queue.push(entry(name, 0, FAR), step).expect("capacity");
                }
            }
            let (_, entry) = queue.pop(step).expect("a free slot");
            queue.on_done(step, MS);
            for (index, (name, weight)) in classes.iter().enumerate() {
                since[index] += 1;
                if class(name) == entry.class {
                    since[index] = 0;
                }
                let bound = total.div_ceil(*weight) + classes.len() as u32;
                prop_assert!(since[index] <= bound, "{name} waited {} services", since[index]);
            }
        }
    }
}

#[test]
fn idle_class_gets_no_credit() {
    let mut queue = queue_with_max_wait(1, &[("a", 1), ("b", 1)], Duration::from_secs(600));
    let serve = |queue: &mut Queue<u64>| {
        let (_, entry) = queue.pop(0).expect("a free slot");
        queue.on_done(0, MS);
        entry.class
    };
    for _ in 0..50 {
        queue.push(entry("a", 0, FAR), 0).expect("capacity");
        serve(&mut queue);
    }
    for _ in 0..10 {
        queue.push(entry("a", 0, FAR), 0).expect("capacity");
        queue.push(entry("b", 0, FAR), 0).expect("capacity");
    }
    let served: Vec<_> = (0..10).map(|_| serve(&mut queue)).collect();
    let late = served.iter().filter(|name| **name == class("b")).count();
    assert!(late <= 6, "the class that was idle took {late} of 10");
}
