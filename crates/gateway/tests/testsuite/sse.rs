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

#[test]
fn lines_may_end_with_carriage_returns_only() {
    let mut splitter = EventSplitter::new();
    let out = splitter.push(b"id: 7\rdata: a\r\rid: 8").expect("an event");
    assert_eq!(&out[..], b"id: 7\rdata: a\r\r");
    assert_eq!((splitter.events(), splitter.last_id()), (1, Some(7)));
}

/// Guards against splitting a line end whose second byte comes with the next read.
#[test]
fn an_empty_line_that_ends_with_crlf_belongs_to_one_event_as_a_whole() {
    let mut splitter = EventSplitter::new();
    assert_eq!(splitter.push(b"data: a\r\n\r"), None);
    assert!(splitter.is_inside_event());
    let out = splitter.push(b"\n").expect("an event");
    assert_eq!(&out[..], b"data: a\r\n\r\n");
    assert_eq!(splitter.events(), 1);
    assert!(!splitter.is_inside_event());
}

/// Guards against taking a comment at the end of a stream for the start of an event, and the start
/// of an event for its end.
#[test]
fn only_an_event_without_its_empty_line_is_partial() {
    let cases = [
        ("", false),
        (": ping\n", false),
        (": ping\n: pong\r\n", false),
        ("\n\n", false),
        (": pi", true),
        ("d", true),
        ("data: a", true),
        ("data: a\n", true),
        (": ping\ndata: a\r\n", true),
        ("event: end\n", true),
        ("id: 9\r", true),
    ];
    for start in ["", "id: 1\ndata: a\n\n", "data: a\r\n\r\n", "data: a\r\r"] {
        for (tail, is_partial) in cases {
            let mut splitter = EventSplitter::new();
            let _events = splitter.push(format!("{start}{tail}").as_bytes());
            assert_eq!(splitter.is_inside_event(), is_partial, "{start:?} {tail:?}");
        }
    }
}

/// One event, or a comment, with its empty line, in the line ends of one style.
fn block(style: &str) -> impl Strategy<Value = (String, bool)> + use<> {
    let end = style.to_owned();
    (0_u64..1_000, 0_u8..4).prop_map(move |(id, kind)| match kind {
        0 => (format!(": ping {id}{end}{end}"), false),
        1 => (format!("data: t{id}{end}{end}"), true),
        2 => (
            format!(": c{end}id: {id}{end}data: a{end}data: b{end}{end}"),
            true,
        ),
        _ => (format!("id: {id}{end}data: t{end}{end}"), true),
    })
}

fn blocks() -> impl Strategy<Value = Vec<(String, bool)>> {
    prop::sample::select(vec!["\n", "\r\n", "\r"])
        .prop_flat_map(|style| prop::collection::vec(block(style), 0..8))
}

proptest! {
    /// A stream that is cut at any byte, and read in any pieces, comes out as a prefix of whole
    /// events; it counts as partial exactly if the cut is inside an event.
    #[test]
    fn a_stream_that_is_cut_anywhere_is_passed_on_up_to_its_last_whole_event(
        blocks in blocks(),
        cut in any::<prop::sample::Index>(),
        sizes in prop::collection::vec(1_usize..12, 1..20),
    ) {
        let text: String = blocks.iter().map(|(text, _)| text.as_str()).collect();
        let cut = cut.index(text.len() + 1);
        let (mut whole, mut events) = (0, 0);
        for (block, is_event) in &blocks {
            if whole + block.len() > cut {
                break;
            }
            whole += block.len();
            events += u64::from(*is_event);
        }
        let mut splitter = EventSplitter::new();
        let mut out = Vec::new();
        let mut input = &text.as_bytes()[..cut];
        let mut sizes = sizes.iter().cycle();
        while !input.is_empty() {
            let size = (*sizes.next().expect("a cycle never ends")).min(input.len());
            let (chunk, rest) = input.split_at(size);
            input = rest;
            out.extend_from_slice(&splitter.push(chunk).unwrap_or_default());
        }
        prop_assert_eq!(out, &text.as_bytes()[..whole]);
        prop_assert_eq!(splitter.events(), events);
        prop_assert_eq!(splitter.partial_len(), cut - whole);
        let tail = &text[whole..cut];
        let is_comment = tail.starts_with(':') && tail.ends_with(['\n', '\r']);
        let has_field = tail.contains("id:") || tail.contains("data:");
        let is_partial = !tail.is_empty() && (!is_comment || has_field);
        prop_assert_eq!(splitter.is_inside_event(), is_partial, "{:?}", tail);
    }

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
