//! Splitting event streams.

use proptest::prelude::*;
use swiftlink_gateway::sse::EventSplitter;

#[test]
fn a_partial_event_is_held_back() {
    let mut splitter = EventSplitter::new();
    let out = splitter
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("an event");
    assert_eq!(&out[..], b"id: 1\ndata: a\n\n");
    assert_eq!((splitter.events(), splitter.last_id()), (1, Some(1)));

    let out = splitter.push(b"ta: b\n\n").expect("an event");
    assert_eq!(&out[..], b"id: 2\ndata: b\n\n");
    assert_eq!((splitter.events(), splitter.last_id()), (2, Some(2)));
    assert!(splitter.take_rest().is_empty());
}

#[test]
fn a_reset_drops_the_partial_event_only() {
    let mut splitter = EventSplitter::new();
    assert!(splitter.push(b"id: 4\ndata: x\n\nid: 5\ndat").is_some());
    splitter.reset();
    let out = splitter.push(b"id: 5\ndata: y\n\n").expect("an event");
    assert_eq!(&out[..], b"id: 5\ndata: y\n\n");
    assert_eq!(splitter.last_id(), Some(5));
}

#[test]
fn a_comment_is_not_counted_as_an_event() {
    let mut splitter = EventSplitter::new();
    assert!(splitter.push(b": ping\n\n").is_some());
    assert_eq!(splitter.events(), 0);
}

#[test]
fn lines_may_end_with_a_carriage_return() {
    let mut splitter = EventSplitter::new();
    let out = splitter
        .push(b"id: 7\r\ndata: a\r\n\r\nid: 8")
        .expect("an event");
    assert_eq!(&out[..], b"id: 7\r\ndata: a\r\n\r\n");
    assert_eq!(splitter.last_id(), Some(7));
}

proptest! {
    /// Bytes come out unchanged and all events are counted, however the input is split.
    #[test]
    fn bytes_pass_unchanged_in_any_chunks(
        ids in prop::collection::vec(0_u64..1_000, 0..20),
        cuts in prop::collection::vec(1_usize..40, 1..60),
        tail in "[a-z: ]{0,10}",
    ) {
        let mut text = String::new();
        for id in &ids {
            text.push_str(&format!("id: {id}\ndata: t{id}\n\n"));
        }
        text.push_str(&tail);
        let mut splitter = EventSplitter::new();
        let mut out = Vec::new();
        let mut input = text.as_bytes();
        let mut cuts = cuts.iter().cycle();
        while !input.is_empty() {
            let size = (*cuts.next().expect("a cycle never ends")).min(input.len());
            let (chunk, rest) = input.split_at(size);
            input = rest;
            if let Some(events) = splitter.push(chunk) {
                prop_assert!(events.ends_with(b"\n\n"));
                out.extend_from_slice(&events);
            }
        }
        out.extend_from_slice(&splitter.take_rest());
        prop_assert_eq!(out, text.as_bytes());
        prop_assert_eq!(splitter.events(), ids.len() as u64);
        prop_assert_eq!(splitter.last_id(), ids.last().copied());
    }
}
