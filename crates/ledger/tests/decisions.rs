//! The decisions without I/O: batching, pace, shared work, proofs, snapshots.

use std::collections::BTreeMap;
use std::slice::from_ref;
use std::sync::Arc;

use proptest::prelude::*;
use prost::Message;
use swiftlink_ledger::batcher::{Batcher, Ticket};
use swiftlink_ledger::clock::{Clock, NEVER_MS};
use swiftlink_ledger::duty::Duty;
use swiftlink_ledger::pacer::Pacer;
use swiftlink_ledger::release::{Answer, Proof, Verdict, decide};
use swiftlink_ledger::snapshots::SnapshotPlan;
use swiftlink_ledger::stream::Progress;
use swiftlink_ledger::tail::Tail;
use swiftlink_ledger::vms::{Vm, VmList, VmWatch};
use swiftlink_types::{Incarnation, MICROS_PER_MS};
use swiftlink_wire::log::{Batch, Charge, Charges, Fate, Mark, Record, record};

#[derive(Debug, Clone)]
enum Op {
    Add {
        charges: bool,
    },
    Cancel(usize),
    /// Append what is to be appended: does it land, is it answered?
    Append {
        lands: bool,
        answered: bool,
    },
    /// Fold the next record of the log.
    Fold,
    /// Jump to the log's end with a snapshot, seeing no fates.
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

/// A batcher on a log of its own, and what became of each entry.
struct Harness {
    batcher: Batcher,
    log: Vec<Batch>,
    folded: usize,
    /// Per entry: whether it holds charges, and how often it was decided.
    entries: BTreeMap<Ticket, (bool, u32)>,
}

impl Harness {
    fn step(&mut self, op: &Op) {
        match op {
            Op::Add { charges } => {
                let ticket = self.batcher.add(records(*charges)).unwrap();
                self.entries.insert(ticket, (*charges, 0));
            }
            Op::Cancel(at) => {
                let Some(ticket) = self.entries.keys().rev().nth(*at).copied() else {
                    return;
                };
                if self.batcher.cancel(ticket) {
                    let (charges, decided) = self.entries.remove(&ticket).unwrap();
                    assert!(!charges && decided == 0);
                }
            }
            Op::Append { lands, answered } => self.append(*lands, *answered),
            Op::Fold => self.fold(),
            Op::Jump => {
                self.folded = self.log.len();
                self.batcher.advanced(self.folded as u64);
            }
        }
    }

    fn append(&mut self, lands: bool, answered: bool) {
        let Some((seq, data)) = self.batcher.take(0) else {
            return;
        };
        assert!(self.batcher.take(0).is_none(), "two appends in flight");
        let batch = Batch::decode(data).unwrap();
        assert_eq!(batch.seq, seq);
        if let Some(copy) = self.log.iter().find(|other| other.seq == seq) {
            assert_eq!(*copy, batch, "a repeated batch changed");
        }
        if !lands {
            self.batcher.answered(seq, None);
            return;
        }
        self.log.push(batch);
        let offset = self.log.len() as u64 - 1;
        self.batcher.answered(seq, answered.then_some(offset));
    }

    fn fold(&mut self) {
        let Some(batch) = self.log.get(self.folded) else {
            return;
        };
        let fates = vec![Fate::default(); batch.records.len()];
        let offset = self.folded as u64;
        for (ticket, decided) in self.batcher.folded(batch.seq, offset, fates) {
            assert_eq!(decided.fates.len(), 2);
            self.entries.get_mut(&ticket).unwrap().1 += 1;
        }
        self.folded += 1;
        self.batcher.advanced(self.folded as u64);
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
    fn the_pace_holds_over_any_window(
        rate in 1..200_u32,
        burst in 1..50_u32,
        gaps in prop::collection::vec(0..100_000_u64, 1..200),
    ) {
        let pacer = Pacer::new(rate, burst);
        let mut now = 0;
        let mut slots = Vec::new();
        for gap in gaps {
            now += gap;
            let slot = pacer.reserve(now);
            prop_assert!(slot >= now);
            slots.push(slot);
        }
        let interval = 1_000_000 / u64::from(rate);
        for (at, start) in slots.iter().enumerate() {
            let window = slots[at..].iter().take_while(|slot| **slot < start + 1_000_000);
            let most = u64::from(burst) + 1_000_000 / interval + 1;
            prop_assert!(window.count() as u64 <= most);
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
fn a_full_batcher_takes_nothing() {
    let size: usize = records(true).iter().map(Message::encoded_len).sum();
    let mut batcher = Batcher::new("w", 1, size);
    batcher.add(records(true)).unwrap();
    assert!(batcher.add(records(false)).is_err());
    assert_eq!(batcher.pending(&owner()), 4);
}

#[test]
fn shared_work_is_done_by_one_of_eight_when_it_is_quick() {
    // Each of eight looks every 100 ms; the first to do it makes it known at once.
    let mut duties: Vec<Duty<u32>> = (0..8).map(|_| Duty::new(1_000_000, 5_000_000)).collect();
    let mut done = 0;
    for now in (0..3_000_000).step_by(100_000) {
        for (at, duty) in duties.iter_mut().enumerate() {
            let open = (done == 0).then_some(7);
            let draw = 100_000 * (at as u64 + 1) + 50_000;
            done += duty.step(now, open, || draw).len();
        }
    }
    assert_eq!(done, 1);
    assert!(duties.iter().all(Duty::is_empty));
}

#[test]
fn work_that_stays_open_is_done_again_later() {
    let mut duty = Duty::new(1_000, 10_000);
    let mut times = Vec::new();
    for now in 0..40_000 {
        if !duty.step(now, Some("x"), || 500).is_empty() {
            times.push(now);
        }
    }
    assert_eq!(times, [500, 11_000, 21_500, 32_000]);
}

#[test]
fn a_failed_append_saves_nothing_up() {
    let pacer = Pacer::new(10, 10);
    pacer.drain(5_000_000);
    assert_eq!(pacer.reserve(5_000_000), 5_100_000);
    assert_eq!(pacer.reserve(5_000_000), 5_200_000);
}

#[test]
fn rights_are_freed_only_with_proof_and_nothing_pending() {
    let answer = |pending, gone| Answer {
        ledger: Arc::from("l"),
        pending,
        gone,
    };
    let ledger: Arc<str> = Arc::from("l");
    let clear = answer(Some(0), false);
    assert_eq!(decide(Proof::Bound, from_ref(&clear)), Verdict::Release);
    assert_eq!(decide(Proof::Listed, from_ref(&clear)), Verdict::Release);
    assert_eq!(decide(Proof::Declared, from_ref(&clear)), Verdict::Release);
    assert_eq!(decide(Proof::None, from_ref(&clear)), Verdict::Unproved);
    let pending = Verdict::Pending {
        ledger: Arc::clone(&ledger),
    };
    // A VM that left the list while its ledger still answers still holds charges.
    assert_eq!(
        decide(Proof::Bound, &[clear.clone(), answer(Some(2), true)]),
        pending
    );
    assert_eq!(decide(Proof::Declared, &[answer(Some(2), true)]), pending);
    let unreachable = Verdict::Unreachable { ledger };
    assert_eq!(decide(Proof::Declared, &[answer(None, false)]), unreachable);
    assert_eq!(
        decide(Proof::Bound, &[answer(None, false), clear.clone()]),
        unreachable
    );
    assert_eq!(
        decide(Proof::Bound, &[answer(None, true), clear]),
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
    let mut watch = VmWatch::new(2);
    assert!(watch.read(&list(1, &["a", "b"])));
    assert!(!watch.is_gone("c"), "never listed");
    assert!(watch.read(&list(2, &["a"])));
    assert!(!watch.is_gone("b"), "absent once");
    assert!(!watch.read(&list(3, &[])) && !watch.read(&list(1, &["a"])));
    assert!(
        !watch.is_gone("b"),
        "neither an empty nor an old list counts"
    );
    assert!(watch.read(&list(2, &["a", "b"])));
    assert!(watch.read(&list(2, &["a"])));
    assert!(!watch.is_gone("b"), "absent once since it was back");
    assert!(watch.read(&list(2, &["a"])));
    assert!(watch.is_gone("b") && !watch.is_gone("a"));
}

#[test]
fn a_vm_is_absent_after_some_answers_without_it() {
    let list = |names: &[&str]| {
        let vms = names.iter().map(|name| Vm {
            name: (*name).to_owned(),
        });
        VmList {
            version: 1,
            vms: vms.collect(),
        }
    };
    let mut watch = VmWatch::new(2);
    assert!(!watch.is_absent("c"), "no answer says nothing");
    watch.read(&list(&["a", "b"]));
    watch.read(&list(&[]));
    assert!(!watch.is_absent("c"), "one answer, and one not believed");
    watch.read(&list(&["a"]));
    assert!(watch.is_absent("c"), "never listed");
    assert!(!watch.is_absent("a") && !watch.is_absent("b"));
    watch.read(&list(&["a", "c"]));
    assert!(watch.is_absent("b") && !watch.is_absent("c"));
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
    let mut plan = SnapshotPlan::new(50, 60 * second);
    assert!(!plan.step(0, &progress(10, Some(9)), || 0));
    assert!(plan.step(second, &progress(50, Some(9)), || 0));
    assert!(
        !plan.step(2 * second, &progress(60, Some(9)), || 0),
        "just written"
    );
    assert!(!plan.step(3 * second, &progress(3, Some(80)), || 0), "seen");
    assert!(!plan.step(62 * second, &progress(0, Some(80)), || 0));
    assert!(
        plan.step(63 * second, &progress(0, Some(80)), || 0),
        "old though unchanged"
    );
    let unread = Progress {
        ready: false,
        ..progress(90, None)
    };
    assert!(!plan.step(200 * second, &unread, || 0));
}

/// A clock's reading at a ledger's start says nothing of the age of a stream's records.
#[test]
fn a_stream_without_a_snapshot_gets_one_a_period_after_the_first_look() {
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
    let mut plan = SnapshotPlan::new(50, 60 * second);
    assert!(!plan.step(start, &progress, || 0));
    assert!(!plan.step(start + 59 * second, &progress, || 0));
    assert!(plan.step(start + 60 * second, &progress, || 0));
}

/// A ledger that has just started must not take a peer's old knowledge for new.
#[test]
fn an_age_told_by_a_peer_reaches_back_before_the_start() {
    let clock = Clock::start();
    let known = clock.now().saturating_sub(NEVER_MS * MICROS_PER_MS);
    let age_ms = (clock.now() - known) / MICROS_PER_MS;
    assert!(age_ms >= NEVER_MS, "{age_ms} ms");
}
