//! The replica gives the right state for any paging, duplicates, gaps and snapshots.

mod common;

use common::{ListHash, chunk_record, record, value_record};
use proptest::prelude::*;
use swiftlink_log::{Fold, Replica, ReplicaError, snapshot};
use swiftlink_wire::log::LogRecord;

/// One entry of a generated log.
#[derive(Debug, Clone)]
enum Entry {
    Value(u64),
    /// A snapshot of the state after the record `back` offsets earlier.
    Snapshot {
        back: u64,
    },
    /// A snapshot in whose state one byte is wrong.
    Corrupt {
        back: u64,
    },
    /// The first chunk of a snapshot only.
    Incomplete {
        back: u64,
    },
    /// A record that does not decode.
    Malformed,
}

fn entry() -> impl Strategy<Value = Entry> {
    prop_oneof![
        6 => (1..1000_u64).prop_map(Entry::Value),
        1 => (1..20_u64).prop_map(|back| Entry::Snapshot { back }),
        1 => (1..20_u64).prop_map(|back| Entry::Corrupt { back }),
        1 => (1..20_u64).prop_map(|back| Entry::Incomplete { back }),
        1 => Just(Entry::Malformed),
    ]
}

/// Builds a log in which the chunks of consecutive snapshots interleave.
fn build(entries: &[Entry]) -> Vec<LogRecord> {
    let mut log: Vec<LogRecord> = Vec::new();
    let mut queued: Vec<LogRecord> = Vec::new();
    for entry in entries {
        let end = log.len() as u64;
        match entry {
            Entry::Value(value) => {
                log.push(value_record(end, *value));
                // One chunk of the snapshots being written, the last chunk first.
                if let Some(mut chunk) = queued.pop() {
                    chunk.offset = end + 1;
                    log.push(chunk);
                }
            }
            Entry::Malformed => log.push(record(end, b"?")),
            Entry::Snapshot { back } | Entry::Corrupt { back } | Entry::Incomplete { back } => {
                let Some(at) = end.checked_sub(*back) else {
                    continue;
                };
                let state = final_state(&log[..=at as usize]).encode();
                let mut chunks = ListHash::split(at, &state);
                match entry {
                    Entry::Corrupt { .. } => chunks[0].data[0] ^= 1,
                    Entry::Incomplete { .. } => chunks.truncate(1),
                    _ => {}
                }
                queued.extend(chunks.into_iter().map(|chunk| chunk_record(0, chunk)));
            }
        }
    }
    for mut chunk in queued {
        chunk.offset = log.len() as u64;
        log.push(chunk);
    }
    log
}

fn final_state(log: &[LogRecord]) -> ListHash {
    let mut state = ListHash::empty();
    for record in log {
        state.apply(record.offset, &record.data);
    }
    state
}

/// Feeds pages of the given sizes and overlaps, each with all its records twice. A page
/// starts up to `overlap` records before the next offset. Returns the offsets of the
/// fates.
fn feed_all(
    replica: &mut Replica<ListHash>,
    log: &[LogRecord],
    first: usize,
    pages: &[(usize, usize)],
) -> Vec<u64> {
    let mut fates = Vec::new();
    let mut pages = pages.iter().cycle();
    replica.feed(first as u64, &[]).expect("no hole");
    while replica.next() < log.len() as u64 {
        let (size, overlap) = pages.next().expect("cycle never ends");
        let next = replica.next() as usize;
        let start = next.saturating_sub(*overlap).max(first);
        let end = log.len().min(next + size);
        let mut page = log[start..end].to_vec();
        page.extend_from_slice(&log[start..end]);

        let before = replica.applied();
        let decided = replica.feed(first as u64, &page).expect("no hole");
        fates.extend(decided.into_iter().map(|(offset, _fate)| offset));
        assert!(replica.applied() >= before, "the state went back");
        if let Some(state) = replica.state() {
            assert_eq!(*state, final_state(&log[..replica.applied() as usize]));
        }
    }
    fates
}

/// Whether the log from `first` on has a complete, valid snapshot to start from.
fn has_usable_snapshot(log: &[LogRecord], first: usize) -> bool {
    let mut collector = snapshot::Collector::new();
    for record in &log[first..] {
        let Some(chunk) = ListHash::chunk(record.offset, &record.data) else {
            continue;
        };
        if let snapshot::Collected::Complete(complete) = collector.add(chunk)
            && complete.offset + 1 >= first as u64
        {
            return true;
        }
    }
    false
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    // Reads up to `stop`, then trims the log to `first` and reads to its end. The state
    // must be that of all records, or of those read before if there is no usable snapshot.
    #[test]
    fn any_paging_and_trimming_gives_the_state_of_the_applied_records(
        entries in prop::collection::vec(entry(), 1..60),
        pages in prop::collection::vec((1..9_usize, 0..5_usize), 1..8),
        stop in prop_oneof![Just(0.0), 0.0..1.0_f64],
        trim in prop_oneof![Just(0.0), 0.0..1.0_f64],
        fed in any::<bool>(),
    ) {
        let log = build(&entries);
        let stop = (log.len() as f64 * stop) as usize;
        let first = (log.len() as f64 * trim) as usize;
        let mut replica = Replica::<ListHash>::new();
        let mut fates = Vec::new();
        if fed || stop > 0 {
            fates = feed_all(&mut replica, &log[..stop], 0, &pages);
        }
        fates.extend(feed_all(&mut replica, &log, first, &pages));

        let ready = first <= stop || has_usable_snapshot(&log, first);
        prop_assert_eq!(replica.is_ready(), ready);
        prop_assert_eq!(replica.next(), log.len() as u64);
        let applied = if ready { log.len() } else { stop };
        if fed || stop > 0 || ready {
            prop_assert_eq!(replica.state(), Some(&final_state(&log[..applied])));
        } else {
            prop_assert_eq!(replica.state(), None);
        }

        // Each fate is returned once and in order, and none is missing without a gap.
        prop_assert!(fates.is_sorted_by(|one, two| one < two));
        if first <= stop {
            let values = log.iter().filter(|record| ListHash::is_value(&record.data));
            let expected: Vec<u64> = values.map(|record| record.offset).collect();
            prop_assert_eq!(fates, expected);
        }
    }
}

fn values(range: std::ops::Range<u64>) -> Vec<LogRecord> {
    range.map(|offset| value_record(offset, offset)).collect()
}

#[test]
fn a_page_with_a_hole_is_rejected_without_effect() {
    let mut replica = Replica::<ListHash>::new();
    replica.feed(0, &values(0..3)).expect("no hole");
    let hole = replica.feed(0, &values(5..7)).expect_err("a hole");
    assert_eq!(
        hole,
        ReplicaError::Hole {
            expected: 3,
            found: 5
        }
    );
    assert_eq!(replica.next(), 3);
    assert!(replica.is_ready());
}

#[test]
fn records_after_a_hole_inside_a_page_are_ignored() {
    let mut page = values(0..3);
    page.extend(values(4..6));
    let mut replica = Replica::<ListHash>::new();
    assert_eq!(replica.feed(0, &page).expect("valid records").len(), 3);
    assert_eq!(replica.next(), 3);
}

#[test]
fn a_replica_is_not_ready_before_the_first_page() {
    let mut replica = Replica::<ListHash>::new();
    assert!(!replica.is_ready() && replica.state().is_none());
    replica.feed(7, &[]).expect("no hole");
    assert!(!replica.is_ready() && replica.state().is_none());
    assert_eq!(replica.next(), 7);
}

#[test]
fn a_snapshot_of_a_later_offset_is_rejected() {
    let mut log = values(10..12);
    let state = final_state(&values(0..90)).encode();
    for chunk in ListHash::split(90, &state) {
        log.push(chunk_record(log.len() as u64 + 10, chunk));
    }
    let mut replica = Replica::<ListHash>::new();
    replica.feed(10, &log).expect("no hole");
    assert!(!replica.is_ready());
    assert!(replica.stats().invalid > 0);
}

#[test]
fn a_snapshot_that_does_not_decode_is_rejected() {
    let mut log = values(10..12);
    for chunk in ListHash::split(11, b"no state at all, but hashed well") {
        log.push(chunk_record(log.len() as u64 + 10, chunk));
    }
    let mut replica = Replica::<ListHash>::new();
    replica.feed(10, &log).expect("no hole");
    assert!(!replica.is_ready());
    assert_eq!(replica.stats().invalid, 1);
}

#[test]
fn a_snapshot_older_than_the_buffer_is_skipped_for_a_later_one() {
    let all = values(0..30);
    let mut log = all[..20].to_vec();
    for at in [8, 15] {
        let state = final_state(&all[..=at]).encode();
        for chunk in ListHash::split(at as u64, &state) {
            log.push(chunk_record(log.len() as u64, chunk));
        }
    }
    let mut replica = Replica::<ListHash>::new();
    replica.feed(10, &log[10..]).expect("no hole");
    assert!(replica.is_ready());
    assert_eq!(replica.state(), Some(&final_state(&log)));
    assert_eq!(replica.newest_snapshot(), Some(15));
}

#[test]
fn records_since_the_newest_snapshot_exclude_chunks() {
    let mut log = values(0..10);
    let mut replica = Replica::<ListHash>::new();
    replica.feed(0, &log).expect("no hole");
    assert_eq!(replica.since_snapshot(), 10);

    for at in [7, 10] {
        let state = final_state(&log[..=at]).encode();
        for chunk in ListHash::split(at as u64, &state) {
            log.push(chunk_record(log.len() as u64, chunk));
        }
        log.push(value_record(log.len() as u64, 1));
    }
    // After offset 10: the remaining chunks of the first snapshot, those of the second and
    // two values.
    replica.feed(0, &log).expect("no hole");
    assert_eq!(replica.newest_snapshot(), Some(10));
    assert_eq!(replica.since_snapshot(), 2);
}
