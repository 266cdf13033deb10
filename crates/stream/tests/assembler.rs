//! Assembly: every chunk once and in order, whatever the network does.

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use swiftlink_stream::{Assembler, AssemblerError, AssemblerPolicy, Taken};

fn data(number: u64) -> Bytes {
    Bytes::from(format!("chunk {number}"))
}

fn policy() -> AssemblerPolicy {
    AssemblerPolicy {
        max_chunks: 8,
        max_bytes: 200,
        patience: Duration::from_micros(100),
    }
}

fn drain(assembler: &mut Assembler, out: &mut Vec<u64>) {
    while let Some(chunk) = assembler.pop() {
        assert_eq!(chunk.data, data(chunk.number));
        out.push(chunk.number);
    }
}

/// One try of the engine to send the chunks from a number on.
#[derive(Clone, Debug)]
struct Sending {
    /// Order, doubles and losses: positions to deliver.
    picks: Vec<u64>,
    /// Whether the end mark gets through, and before how many deliveries.
    end_at: Option<usize>,
}

fn sending() -> impl Strategy<Value = Sending> {
    let picks = prop::collection::vec(0..30_u64, 0..60);
    (picks, prop::option::of(0..60_usize)).prop_map(|(picks, end_at)| Sending { picks, end_at })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Any order, doubles and losses, over any number of broken tries, the last of
    /// which is clean: all chunks come out once, in order, and only then is it done.
    #[test]
    fn any_delivery_is_put_in_order_once(
        tries in prop::collection::vec(sending(), 0..6),
        length in 0..30_u64,
        from in 0..5_u64,
    ) {
        let from = from.min(length);
        let mut assembler = Assembler::new(policy(), from);
        let mut out = Vec::new();
        let mut now = 0;
        for sending in &tries {
            for (step, number) in sending.picks.iter().enumerate() {
                now += 1;
                if sending.end_at == Some(step) {
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
fn gap_is_reported_only_after_patience() {
    let mut assembler = Assembler::new(policy(), 0);
    assembler.push(0, data(0), 0).expect("first");
    assembler.push(2, data(2), 10).expect("early");
    assert_eq!(assembler.resume_from(50), None);
    assert_eq!(assembler.check_at(), Some(110));
    assert_eq!(assembler.resume_from(110), Some(1));
    assembler.push(1, data(1), 111).expect("late");
    assert_eq!(assembler.resume_from(500), None);
}

#[test]
fn lost_last_chunk_is_found_by_the_end_mark() {
    let mut assembler = Assembler::new(policy(), 0);
    assembler.push(0, data(0), 0).expect("first");
    assembler.end(2, 5).expect("end");
    assert!(!assembler.is_complete());
    assert_eq!(assembler.resume_from(105), Some(1));
}

#[test]
fn end_of_the_connection_is_not_the_end_of_the_answer() {
    let mut assembler = Assembler::new(policy(), 0);
    assembler.push(0, data(0), 0).expect("first");
    assembler.on_disconnect();
    assert_eq!(assembler.resume_from(0), Some(1));
    assert!(!assembler.is_done());
}

#[test]
fn buffer_is_bounded_and_what_it_drops_is_asked_for() {
    let mut assembler = Assembler::new(policy(), 0);
    for number in 1..=8 {
        let taken = assembler.push(number, data(number), 0).expect("early");
        assert_eq!(taken, Taken::Kept);
    }
    let over = assembler.push(9, data(9), 0).expect("early");
    assert_eq!(over, Taken::Full);
    assembler.push(0, data(0), 1).expect("first");
    assembler.end(10, 1).expect("end");
    assert_eq!(assembler.resume_from(101), Some(9));
}

#[test]
fn contradictions_of_the_engine_are_errors() {
    let mut assembler = Assembler::new(policy(), 0);
    assembler.push(3, data(3), 0).expect("early");
    let past = AssemblerError::PastEnd { number: 3, end: 2 };
    assert_eq!(assembler.end(2, 0), Err(past));
    assembler.end(5, 0).expect("end");
    assembler.end(5, 0).expect("a copy");
    let two = AssemblerError::TwoEnds {
        first: 5,
        second: 6,
    };
    assert_eq!(assembler.end(6, 0), Err(two));
    let past = AssemblerError::PastEnd { number: 5, end: 5 };
    assert_eq!(assembler.push(5, data(5), 0), Err(past));
}

#[test]
fn early_chunks_count_once_and_make_room_when_they_leave() {
    let mut assembler = Assembler::new(policy(), 0);
    assembler.push(1, data(1), 0).expect("early");
    let double = assembler.push(1, Bytes::from_static(b"other"), 0);
    assert_eq!(double, Ok(Taken::Double));
    assembler.push(0, data(0), 0).expect("first");
    let wide = Bytes::from(vec![0; 200]);
    assert_eq!(assembler.push(3, wide, 0), Ok(Taken::Kept));
    assert_eq!(assembler.push(4, data(4), 0), Ok(Taken::Full));
}
