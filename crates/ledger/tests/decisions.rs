//! Tests of the I/O-free parts: batching, rate limit, jittered tasks, releases, VM
//! tracking, snapshot schedule.

use std::collections::BTreeMap;
use std::slice::from_ref;
use std::sync::Arc;

use proptest::prelude::*;
use prost::Message;
use swiftlink_ledger::batcher::{Batcher, EntryId};
use swiftlink_ledger::clock::{Clock, UNKNOWN_AGE_MS};
use swiftlink_ledger::jitter::JitteredTasks;
use swiftlink_ledger::rate_limiter::RateLimiter;
use swiftlink_ledger::release::{LedgerAnswer, Proof, Verdict, decide};
use swiftlink_ledger::snapshots::SnapshotSchedule;
use swiftlink_ledger::stream::Progress;
use swiftlink_ledger::tail::Tail;
use swiftlink_ledger::vm_tracker::{Vm, VmList, VmTracker};
use swiftlink_types::{Incarnation, MICROS_PER_MS};
use swiftlink_wire::log::{Batch, Charge, Charges, Fate, Mark, Record, record};

#[derive(Debug, Clone)]
enum Op {
    Add {
        charges: bool,
    },
    Cancel(usize),
    /// Append the next batch: `lands` if the log takes it, `answered` if its answer arrives.
    Append {
        lands: bool,
        answered: bool,
    },
    /// Fold the next record of the log.
    Fold,
    /// Skip to the log's end by loading a snapshot, without seeing any fates.
    Jump,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => any::<bool>().prop_map(|charges| Op::Add { charges }),
        1 => (0..8_usize).prop_map(Op::Cancel),
        4 => (any::<bool>(), any::<bool>())
            .prop_map(|(lands, answered)| Op::Append { lands, answered }),
        3 => Just(Op::Fold),
        1 => Just(Op::Jump),
    ]
}

fn records(charges: bool) -> Vec<Record> {
    let kind = if charges {
        record::Kind::Charges(Charges {
            incarnation: Some((&owner()).into()),
            items: vec![Charge::default(); 2],
        })
    } else {
        record::Kind::Mark(Mark::default())
    };
    vec![Record { kind: Some(kind) }; 2]
}

fn owner() -> Incarnation {
    Incarnation {
        vm: "vm".into(),
        epoch: 1,
    }
}

/// A batcher on a simulated log, with the outcome of each entry.
struct Harness {
    batcher: Batcher,
    log: Vec<Batch>,
    folded: usize,
    /// Per entry: whether it holds charges, and how often it was decided.
    entries: BTreeMap<EntryId, (bool, u32)>,
}

impl Harness {
    fn step(&mut self, op: &Op) {
        match op {
            Op::Add { charges } => {
                let entry_id = self.batcher.add(records(*charges)).unwrap();
                self.entries.insert(entry_id, (*charges, 0));
            }
            Op::Cancel(at) => {
                let Some(entry_id) = self.entries.keys().rev().nth(*at).copied() else {
                    return;
                };
                if self.batcher.cancel(entry_id) {
                    let (charges, decided) = self.entries.remove(&entry_id).unwrap();
                    assert!(!charges && decided == 0);
                }
            }
            Op::Append { lands, answered } => self.append(*lands, *answered),
            Op::Fold => self.fold(),
            Op::Jump => {
                self.folded = self.log.len();
                self.batcher.on_advanced(self.folded as u64);
            }
        }
    }

    fn append(&mut self, lands: bool, answered: bool) {
        let Some((seq, data)) = self.batcher.next_batch(0) else {
            return;
        };
        assert!(
            self.batcher.next_batch(0).is_none(),
            "two appends in flight"
        );
        let batch = Batch::decode(data).unwrap();
        assert_eq!(batch.seq, seq);
        if let Some(copy) = self.log.iter().find(|other| other.seq == seq) {
            assert_eq!(*copy, batch, "a repeated batch changed");
        }
        if !lands {
            self.batcher.on_append_result(seq, None);
            return;
        }
        self.log.push(batch);
        let offset = self.log.len() as u64 - 1;
        self.batcher
            .on_append_result(seq, answered.then_some(offset));
    }

    fn fold(&mut self) {
        let Some(batch) = self.log.get(self.folded) else {
            return;
        };
        let fates = vec![Fate::default(); batch.records.len()];
        let offset = self.folded as u64;
        for (entry_id, decided) in self.batcher.on_folded(batch.seq, offset, fates) {
            assert_eq!(decided.fates.len(), 2);
            self.entries.get_mut(&entry_id).unwrap().1 += 1;
        }
        self.folded += 1;
        self.batcher.on_advanced(self.folded as u64);
    }

    fn drain(&mut self) {
        let mut rounds = 0;
        while !self.batcher.is_empty() {
            self.append(true, true);
            self.fold();
            rounds += 1;
            assert!(rounds < 10_000, "never drained");
        }
    }
}

proptest! {
    #[test]
    fn every_entry_is_decided_once(ops in prop::collection::vec(op(), 0..120)) {
        let mut harness = Harness {
            batcher: Batcher::new("w", 1, usize::MAX),
            log: Vec::new(),
            folded: 0,
            entries: BTreeMap::new(),
        };
        for op in &ops {
            harness.step(op);
            let open = harness.entries.values().filter(|(charges, decided)| *charges && *decided == 0);
            prop_assert_eq!(harness.batcher.pending(&owner()), 4 * open.count() as u64);
        }
        harness.drain();
        prop_assert!(harness.entries.values().all(|(_, decided)| *decided == 1));
        prop_assert_eq!(harness.batcher.bytes(), 0);
        prop_assert_eq!(harness.batcher.pending_total(), 0);
    }

    #[test]
    fn the_rate_limit_holds_over_any_window(
        rate in 1..200_u32,
        burst in 1..50_u32,
        gaps in prop::collection::vec(0..100_000_u64, 1..200),
    ) {
        let rate_limiter = RateLimiter::new(rate, burst);
        let mut now = 0;
        let mut slots = Vec::new();
        for gap in gaps {
            now += gap;
            let slot = rate_limiter.reserve(now);
            prop_assert!(slot >= now);
            slots.push(slot);
        }
        let interval = 1_000_000 / u64::from(rate);
        for (at, start) in slots.iter().enumerate() {
            let window = slots[at..].iter().take_while(|slot| **slot < start + 1_000_000);
            let max = u64::from(burst) + 1_000_000 / interval + 1;
            prop_assert!(window.count() as u64 <= max);
        }
    }

    #[test]
    fn the_tail_has_no_gaps_and_keeps_its_limit(
        pushes in prop::collection::vec((0..60_u64, 0..40_usize), 0..60),
        limit in 0..400_usize,
    ) {
        let mut tail = Tail::default();
        for (offset, size) in pushes {
            tail.push(offset, &vec![0; size]);
            tail.shrink(limit);
            prop_assert!(tail.bytes() <= limit);
            let page = tail.read(0, usize::MAX);
            let offsets: Vec<u64> = page.iter().map(|record| record.offset).collect();
            prop_assert_eq!(offsets, (tail.first()..tail.next()).collect::<Vec<_>>());
        }
    }
}

#[test]
fn a_full_batcher_refuses_entries() {
    let size: usize = records(true).iter().map(Message::encoded_len).sum();
    let mut batcher = Batcher::new("w", 1, size);
    batcher.add(records(true)).unwrap();
    assert!(batcher.add(records(false)).is_err());
    assert_eq!(batcher.pending(&owner()), 4);
}

#[test]
fn one_of_eight_ledgers_does_a_quick_task() {
    // Eight ledgers check every 100 ms; once one has done the task, all see it at once.
    let mut ledgers: Vec<JitteredTasks<u32>> = (0..8)
        .map(|_| JitteredTasks::new(1_000_000, 5_000_000))
        .collect();
    let mut done = 0;
    for now in (0..3_000_000).step_by(100_000) {
        for (at, tasks) in ledgers.iter_mut().enumerate() {
            let open = (done == 0).then_some(7);
            let draw = 100_000 * (at as u64 + 1) + 50_000;
            done += tasks.take_due(now, open, || draw).len();
        }
    }
    assert_eq!(done, 1);
    assert!(ledgers.iter().all(JitteredTasks::is_empty));
}

#[test]
fn a_task_that_stays_open_is_retried() {
    let mut tasks = JitteredTasks::new(1_000, 10_000);
    let mut times = Vec::new();
    for now in 0..40_000 {
        if !tasks.take_due(now, Some("x"), || 500).is_empty() {
            times.push(now);
        }
    }
    assert_eq!(times, [500, 11_000, 21_500, 32_000]);
}

#[test]
fn a_failed_append_clears_the_burst() {
    let rate_limiter = RateLimiter::new(10, 10);
    rate_limiter.clear_burst(5_000_000);
    assert_eq!(rate_limiter.reserve(5_000_000), 5_100_000);
    assert_eq!(rate_limiter.reserve(5_000_000), 5_200_000);
}

#[test]
fn grants_are_released_only_with_proof_and_nothing_pending() {
    let answer = |pending, gone| LedgerAnswer {
        ledger: Arc::from("l"),
        pending,
        gone,
    };
    let ledger: Arc<str> = Arc::from("l");
    let clear = answer(Some(0), false);
    assert_eq!(decide(Proof::Successor, from_ref(&clear)), Verdict::Release);
    assert_eq!(decide(Proof::Delisted, from_ref(&clear)), Verdict::Release);
    assert_eq!(decide(Proof::Declared, from_ref(&clear)), Verdict::Release);
    assert_eq!(decide(Proof::None, from_ref(&clear)), Verdict::Unproved);
    let pending = Verdict::Pending {
        ledger: Arc::clone(&ledger),
    };
    // A ledger whose VM left the list still holds charges as long as it answers.
    assert_eq!(
        decide(Proof::Successor, &[clear.clone(), answer(Some(2), true)]),
        pending
    );
    assert_eq!(decide(Proof::Declared, &[answer(Some(2), true)]), pending);
    let unreachable = Verdict::Unreachable { ledger };
    assert_eq!(decide(Proof::Declared, &[answer(None, false)]), unreachable);
    assert_eq!(
        decide(Proof::Successor, &[answer(None, false), clear.clone()]),
        unreachable
    );
    assert_eq!(
        decide(Proof::Successor, &[answer(None, true), clear]),
        Verdict::Release
    );
}

#[test]
fn a_vm_is_gone_only_after_it_was_listed_and_then_absent() {
    let list = |version, names: &[&str]| VmList {
        version,
        vms: names
            .iter()
            .map(|name| Vm {
                name: (*name).to_owned(),
            })
            .collect(),
    };
    let mut tracker = VmTracker::new(2);
    assert!(tracker.observe(&list(1, &["a", "b"])));
    assert!(!tracker.is_gone("c"), "never listed");
    assert!(tracker.observe(&list(2, &["a"])));
    assert!(!tracker.is_gone("b"), "absent once");
    assert!(!tracker.observe(&list(3, &[])) && !tracker.observe(&list(1, &["a"])));
    assert!(
        !tracker.is_gone("b"),
        "neither an empty nor an old list counts"
    );
    assert!(tracker.observe(&list(2, &["a", "b"])));
    assert!(tracker.observe(&list(2, &["a"])));
    assert!(!tracker.is_gone("b"), "absent once since it was back");
    assert!(tracker.observe(&list(2, &["a"])));
    assert!(tracker.is_gone("b") && !tracker.is_gone("a"));
}

#[test]
fn a_vm_is_absent_after_some_reads_without_it() {
    let list = |names: &[&str]| {
        let vms = names.iter().map(|name| Vm {
            name: (*name).to_owned(),
        });
        VmList {
            version: 1,
            vms: vms.collect(),
        }
    };
    let mut tracker = VmTracker::new(2);
    assert!(!tracker.is_absent("c"), "absent without any read");
    tracker.observe(&list(&["a", "b"]));
    tracker.observe(&list(&[]));
    assert!(!tracker.is_absent("c"), "one read accepted and one ignored");
    tracker.observe(&list(&["a"]));
    assert!(tracker.is_absent("c"), "never listed");
    assert!(!tracker.is_absent("a") && !tracker.is_absent("b"));
    tracker.observe(&list(&["a", "c"]));
    assert!(tracker.is_absent("b") && !tracker.is_absent("c"));
}

#[test]
fn a_snapshot_is_due_by_count_and_by_time() {
    let progress = |since_snapshot, snapshot| Progress {
        next: 100,
        ready: true,
        since_snapshot,
        snapshot,
        first: 0,
        tail_bytes: 0,
        malformed: 0,
        gaps: 0,
    };
    let second = 1_000_000;
    let mut schedule = SnapshotSchedule::new(50, 60 * second);
    assert!(!schedule.step(0, &progress(10, Some(9)), || 0));
    assert!(schedule.step(second, &progress(50, Some(9)), || 0));
    assert!(
        !schedule.step(2 * second, &progress(60, Some(9)), || 0),
        "just written"
    );
    assert!(
        !schedule.step(3 * second, &progress(3, Some(80)), || 0),
        "seen"
    );
    assert!(!schedule.step(62 * second, &progress(0, Some(80)), || 0));
    assert!(
        schedule.step(63 * second, &progress(0, Some(80)), || 0),
        "old though unchanged"
    );
    let unread = Progress {
        ready: false,
        ..progress(90, None)
    };
    assert!(!schedule.step(200 * second, &unread, || 0));
}

/// Guards against counting a stream's age from the clock's origin: a ledger would write a
/// snapshot at its start.
#[test]
fn a_stream_without_a_snapshot_gets_one_max_age_after_the_first_check() {
    let progress = Progress {
        next: 1,
        ready: true,
        since_snapshot: 1,
        snapshot: None,
        first: 0,
        tail_bytes: 0,
        malformed: 0,
        gaps: 0,
    };
    let second = 1_000_000;
    let start = 10_000 * second;
    let mut schedule = SnapshotSchedule::new(50, 60 * second);
    assert!(!schedule.step(start, &progress, || 0));
    assert!(!schedule.step(start + 59 * second, &progress, || 0));
    assert!(schedule.step(start + 60 * second, &progress, || 0));
}

/// Guards against a clock origin of 0: the subtraction of a peer's age would saturate, and
/// a ledger that has just started would take the peer's stale data for current.
#[test]
fn an_age_reported_by_a_peer_reaches_back_before_the_start() {
    let clock = Clock::start();
    let known = clock.now().saturating_sub(UNKNOWN_AGE_MS * MICROS_PER_MS);
    let age_ms = (clock.now() - known) / MICROS_PER_MS;
    assert!(age_ms >= UNKNOWN_AGE_MS, "{age_ms} ms");
}
