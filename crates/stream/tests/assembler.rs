//! Reassembly returns every chunk once and in order under reordering, duplicates and losses.

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use swiftlink_stream::{Assembler, AssemblerError, AssemblerPolicy, PushOutcome};

fn data(number: u64) -> Bytes {
    Bytes::from(format!("chunk {number}"))
}

fn policy() -> AssemblerPolicy {
    AssemblerPolicy {
        max_chunks: 8,
        max_bytes: 200,
        gap_timeout: Duration::from_micros(100),
    }
}

fn drain(assembler: &mut Assembler, out: &mut Vec<u64>) {
    while let Some(chunk) = assembler.pop() {
        assert_eq!(chunk.data, data(chunk.number));
        out.push(chunk.number);
    }
}

/// One attempt of the engine to send the chunks, over one connection.
#[derive(Clone, Debug)]
struct Attempt {
    /// Numbers of the delivered chunks: out of order, with duplicates and losses.
    numbers: Vec<u64>,
    /// Position among the deliveries before which the end mark arrives, if it does.
    end_at: Option<usize>,
}

fn attempt() -> impl Strategy<Value = Attempt> {
    let numbers = prop::collection::vec(0..30_u64, 0..60);
    (numbers, prop::option::of(0..60_usize))
        .prop_map(|(numbers, end_at)| Attempt { numbers, end_at })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Any number of attempts with reordering, duplicates and losses, followed by one without:
    /// all chunks are returned once and in order, and only then is the answer done.
    #[test]
    fn any_delivery_is_reassembled(
        attempts in prop::collection::vec(attempt(), 0..6),
        length in 0..30_u64,
        from in 0..5_u64,
    ) {
        let from = from.min(length);
        let mut assembler = Assembler::new(policy(), from);
        let mut out = Vec::new();
        let mut now = 0;
        for attempt in &attempts {
            for (step, number) in attempt.numbers.iter().enumerate() {
                now += 1;
                if attempt.end_at == Some(step) {
                    assembler.end(length, now).expect("one end mark");
                }
                if *number < length {
                    assembler.push(*number, data(*number), now).expect("below the end");
                }
                if *number % 3 == 0 {
                    drain(&mut assembler, &mut out);
                }
                prop_assert!(!assembler.is_done() || out.len() as u64 == length - from);
            }
            assembler.on_disconnect();
            let Some(next) = assembler.resume_from(now) else {
                break;
            };
            prop_assert_eq!(next, assembler.next());
            assembler.on_resume(now);
        }
        if let Some(next) = { assembler.on_disconnect(); assembler.resume_from(now) } {
            assembler.on_resume(now);
            for number in next..length {
                assembler.push(number, data(number), now).expect("below the end");
            }
            assembler.end(length, now).expect("one end mark");
        }
        drain(&mut assembler, &mut out);
        prop_assert!(assembler.is_done());
        prop_assert_eq!(out, (from..length).collect::<Vec<_>>());
    }
}

#[test]
fn gap_is_reported_only_after_its_timeout() {
    let mut assembler = Assembler::new(policy(), 0);
    assembler.push(0, data(0), 0).expect("first");
    assembler.push(2, data(2), 10).expect("out of order");
    assert_eq!(assembler.resume_from(50), None);
    assert_eq!(assembler.check_at(), Some(110));
    assert_eq!(assembler.resume_from(110), Some(1));
    assembler.push(1, data(1), 111).expect("late");
    assert_eq!(assembler.resume_from(500), None);
}

#[test]
fn lost_last_chunk_is_detected_by_the_end_mark() {
    let mut assembler = Assembler::new(policy(), 0);
    assembler.push(0, data(0), 0).expect("first");
    assembler.end(2, 5).expect("end");
    assert!(!assembler.is_complete());
    assert_eq!(assembler.resume_from(105), Some(1));
}

#[test]
fn disconnect_does_not_complete_the_answer() {
    let mut assembler = Assembler::new(policy(), 0);
    assembler.push(0, data(0), 0).expect("first");
    assembler.on_disconnect();
    assert_eq!(assembler.resume_from(0), Some(1));
    assert!(!assembler.is_done());
}

#[test]
fn buffer_is_bounded_and_dropped_chunks_are_requested_again() {
    let mut assembler = Assembler::new(policy(), 0);
    for number in 1..=8 {
        let outcome = assembler
            .push(number, data(number), 0)
            .expect("out of order");
        assert_eq!(outcome, PushOutcome::Accepted);
    }
    let over = assembler.push(9, data(9), 0).expect("out of order");
    assert_eq!(over, PushOutcome::Full);
    assembler.push(0, data(0), 1).expect("first");
    assembler.end(10, 1).expect("end");
    assert_eq!(assembler.resume_from(101), Some(9));
}

#[test]
fn contradictory_numbers_are_errors() {
    let mut assembler = Assembler::new(policy(), 0);
    assembler.push(3, data(3), 0).expect("out of order");
    let past = AssemblerError::PastEnd { number: 3, end: 2 };
    assert_eq!(assembler.end(2, 0), Err(past));
    assembler.end(5, 0).expect("end");
    assembler.end(5, 0).expect("a copy");
    let two = AssemblerError::ConflictingEnds {
        first: 5,
        second: 6,
    };
    assert_eq!(assembler.end(6, 0), Err(two));
    let past = AssemblerError::PastEnd { number: 5, end: 5 };
    assert_eq!(assembler.push(5, data(5), 0), Err(past));
}

#[test]
fn duplicates_take_no_capacity_and_ordered_chunks_free_it() {
    let mut assembler = Assembler::new(policy(), 0);
    assembler.push(1, data(1), 0).expect("out of order");
    let duplicate = assembler.push(1, Bytes::from_static(b"other"), 0);
    assert_eq!(duplicate, Ok(PushOutcome::Duplicate));
    assembler.push(0, data(0), 0).expect("first");
    let wide = Bytes::from(vec![0; 200]);
    assert_eq!(assembler.push(3, wide, 0), Ok(PushOutcome::Accepted));
    assert_eq!(assembler.push(4, data(4), 0), Ok(PushOutcome::Full));
}
