//! Cutting event streams.

use proptest::prelude::*;
use swiftlink_gateway::sse::EventCutter;

#[test]
fn a_partial_event_is_kept_back() {
    let mut cutter = EventCutter::new();
    let out = cutter
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("an event");
    assert_eq!(&out[..], b"id: 1\ndata: a\n\n");
    assert_eq!((cutter.events(), cutter.last()), (1, Some(1)));

    let out = cutter.push(b"ta: b\n\n").expect("an event");
    assert_eq!(&out[..], b"id: 2\ndata: b\n\n");
    assert_eq!((cutter.events(), cutter.last()), (2, Some(2)));
    assert!(cutter.rest().is_empty());
}

#[test]
fn a_reset_drops_the_partial_event_only() {
    let mut cutter = EventCutter::new();
    assert!(cutter.push(b"id: 4\ndata: x\n\nid: 5\ndat").is_some());
    cutter.reset();
    let out = cutter.push(b"id: 5\ndata: y\n\n").expect("an event");
    assert_eq!(&out[..], b"id: 5\ndata: y\n\n");
    assert_eq!(cutter.last(), Some(5));
}

#[test]
fn a_comment_is_no_event() {
    let mut cutter = EventCutter::new();
    assert!(cutter.push(b": ping\n\n").is_some());
    assert_eq!(cutter.events(), 0);
}

#[test]
fn lines_may_end_with_a_carriage_return() {
    let mut cutter = EventCutter::new();
    let out = cutter
        .push(b"id: 7\r\ndata: a\r\n\r\nid: 8")
        .expect("an event");
    assert_eq!(&out[..], b"id: 7\r\ndata: a\r\n\r\n");
    assert_eq!(cutter.last(), Some(7));
}

proptest! {
    /// However the bytes arrive, they come out unchanged and all events are counted.
    #[test]
    fn bytes_pass_unchanged_in_any_pieces(
        ids in prop::collection::vec(0_u64..1_000, 0..20),
        cuts in prop::collection::vec(1_usize..40, 1..60),
        tail in "[a-z: ]{0,10}",
    ) {
        let mut text = String::new();
        for id in &ids {
            text.push_str(&format!("id: {id}\ndata: t{id}\n\n"));
        }
        text.push_str(&tail);
        let mut cutter = EventCutter::new();
        let mut out = Vec::new();
        let mut left = text.as_bytes();
        let mut cuts = cuts.iter().cycle();
        while !left.is_empty() {
            let size = (*cuts.next().expect("a cycle never ends")).min(left.len());
            let (piece, rest) = left.split_at(size);
            left = rest;
            if let Some(events) = cutter.push(piece) {
                prop_assert!(events.ends_with(b"\n\n"));
                out.extend_from_slice(&events);
            }
        }
        out.extend_from_slice(&cutter.rest());
        prop_assert_eq!(out, text.as_bytes());
        prop_assert_eq!(cutter.events(), ids.len() as u64);
        prop_assert_eq!(cutter.last(), ids.last().copied());
    }
}
