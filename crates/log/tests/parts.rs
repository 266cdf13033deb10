//! Tests of the in-memory log, the backoff and the snapshot collector.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use swiftlink_log::snapshot::{CHUNK_BYTES, Collected, Collector, split};
use swiftlink_log::{Backoff, Fault, Log, LogError, MemLog};
use swiftlink_types::StreamName;

const NO_WAIT: Duration = Duration::ZERO;
const LONG: Duration = Duration::from_secs(30);

fn stream() -> StreamName {
    StreamName::from("config")
}

async fn append(log: &MemLog, text: &'static str) -> Result<u64, LogError> {
    log.append(&stream(), Bytes::from_static(text.as_bytes()))
        .await
}

#[tokio::test]
async fn injected_faults_have_their_effect() {
    let log = MemLog::new();
    assert_eq!(append(&log, "a").await, Ok(0));

    log.set_fault(Fault::Outage);
    assert!(matches!(
        append(&log, "b").await,
        Err(LogError::Unavailable(_))
    ));
    let read = log.read(&stream(), 0, 9, NO_WAIT).await;
    assert!(matches!(read, Err(LogError::Unavailable(_))));

    log.fail_next(Fault::LoseAnswers, 1);
    assert!(matches!(append(&log, "c").await, Err(LogError::Unknown(_))));
    log.fail_next(Fault::LoseRequests, 1);
    assert!(matches!(append(&log, "d").await, Err(LogError::Unknown(_))));
    assert_eq!(append(&log, "e").await, Ok(2));

    let page = log
        .read(&stream(), 0, 9, NO_WAIT)
        .await
        .expect("available again");
    let kept: Vec<&[u8]> = page.records.iter().map(|record| &record.data[..]).collect();
    assert_eq!(kept, [b"a", b"c", b"e"]);
}

#[tokio::test]
async fn a_read_of_trimmed_records_fails() {
    let log = MemLog::new();
    for _record in 0..4 {
        append(&log, "x").await.expect("available");
    }
    log.trim(&stream(), 3);
    let old = log.read(&stream(), 2, 9, NO_WAIT).await;
    assert_eq!(old, Err(LogError::Trimmed { first: 3 }));
    let page = log
        .read(&stream(), 3, 9, NO_WAIT)
        .await
        .expect("not trimmed");
    assert_eq!((page.first, page.next, page.records.len()), (3, 4, 1));
}

#[tokio::test]
async fn a_read_waits_for_the_next_record() {
    let log = Arc::new(MemLog::new());
    let reader = Arc::clone(&log);
    let read = tokio::spawn(async move { reader.read(&stream(), 0, 9, LONG).await });
    tokio::task::yield_now().await;
    append(&log, "x").await.expect("available");
    let page = read.await.expect("no panic").expect("available");
    assert_eq!(page.records.len(), 1);
}

proptest! {
    #[test]
    fn a_delay_does_not_exceed_its_ceiling(draws in prop::collection::vec(any::<u64>(), 1..80)) {
        let (base, cap) = (Duration::from_millis(10), Duration::from_secs(1));
        let mut backoff = Backoff::new(base, cap);
        let mut ceiling = base;
        for draw in draws {
            prop_assert!(backoff.next(draw) <= ceiling);
            ceiling = (ceiling * 2).min(cap);
        }
        backoff.reset();
        prop_assert!(backoff.next(u64::MAX) <= base);
    }

    #[test]
    fn reordered_and_repeated_chunks_give_the_state(
        len in 0..3 * CHUNK_BYTES,
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let state: Vec<u8> = (0..len).map(|i| (i % 251) as u8).collect();
        let chunks = split(5, &state);
        let mut collector = Collector::new();
        let mut snapshots = Vec::new();
        let drawn = order.iter().map(|index| index.get(&chunks).clone());
        for chunk in drawn.chain(chunks.clone()) {
            match collector.add(chunk) {
                Collected::Complete(snapshot) => snapshots.push(snapshot),
                Collected::Partial => {}
                Collected::Invalid => prop_assert!(false, "all chunks are valid"),
            }
        }
        prop_assert!(!snapshots.is_empty());
        for snapshot in snapshots {
            prop_assert_eq!((snapshot.offset, &snapshot.state), (5, &state));
        }
    }

    #[test]
    fn a_corrupt_byte_is_always_detected(at in any::<prop::sample::Index>(), bit in 0..8_u32) {
        let state = vec![7; CHUNK_BYTES + 9];
        let mut chunks = split(5, &state);
        let chunk = at.index(chunks.len());
        let byte = at.index(chunks[chunk].data.len());
        chunks[chunk].data[byte] ^= 1 << bit;

        let mut collector = Collector::new();
        for chunk in chunks {
            prop_assert!(!matches!(collector.add(chunk), Collected::Complete(_)));
        }
    }
}

#[test]
fn inconsistent_chunks_are_invalid() {
    let mut collector = Collector::new();
    let valid = split(5, b"state").remove(0);
    let mut out_of_range = valid.clone();
    out_of_range.index = out_of_range.count;
    let mut short_hash = valid;
    short_hash.hash.pop();
    assert_eq!(collector.add(out_of_range), Collected::Invalid);
    assert_eq!(collector.add(short_hash), Collected::Invalid);
}
