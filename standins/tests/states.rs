//! State machines of the stand-ins: offsets and retention, lag, batching, delivery.

use bytes::Bytes;
use swiftlink_standins::engine::{Batch, Delivery, Faults, Job, Phase, Step};
use swiftlink_standins::log::{ReadResult, Streams};
use swiftlink_standins::vms::{LaggedList, Vm, VmState};
use swiftlink_standins::{BaseFault, Switches, engine};

fn job(key: &str, prompt: &str, priority: u32) -> Job {
    Job {
        key: key.to_owned(),
        model: "m".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: 100,
        priority,
    }
}

fn numbers(delivery: &mut Delivery, available: u64) -> (Vec<u64>, Step) {
    let mut sent = Vec::new();
    loop {
        match delivery.next(available) {
            Step::Send(no) => sent.push(no),
            other => return (sent, other),
        }
    }
}

#[test]
fn log_keeps_offsets_and_trims() {
    let mut streams = Streams::default();
    for no in 0..5_u64 {
        let data = Bytes::from(no.to_string());
        assert_eq!(streams.append("a", data, 3), no);
    }
    assert_eq!(streams.read("a", 1, 10), ReadResult::Trimmed { first: 2 });
    let ReadResult::Page(page) = streams.read("a", 3, 10) else {
        panic!("offset 3 is kept");
    };
    assert_eq!((page.first, page.next), (2, 5));
    let offsets: Vec<u64> = page.records.iter().map(|record| record.offset).collect();
    assert_eq!(offsets, [3, 4]);
    streams.trim(1);
    assert_eq!(streams.read("a", 3, 10), ReadResult::Trimmed { first: 4 });
    assert_eq!(streams.bounds()["a"], (4, 5));
}

#[test]
fn unknown_stream_and_far_offset_are_empty() {
    let mut streams = Streams::default();
    let ReadResult::Page(page) = streams.read("none", 7, 10) else {
        panic!("an unknown stream is empty");
    };
    assert!(page.records.is_empty());
    streams.append("a", Bytes::from_static(b"x"), 0);
    let ReadResult::Page(page) = streams.read("a", 9, 10) else {
        panic!("an offset past the end is empty");
    };
    assert!(page.records.is_empty());
}

#[test]
fn vm_list_publishes_changes_after_the_lag() {
    let vm = |state| Vm {
        name: "vm-0".to_owned(),
        domain: "d".to_owned(),
        state,
    };
    let mut list = LaggedList::new(vec![vm(VmState::Live)]);
    assert_eq!(list.set(1_000, vec![vm(VmState::Leaving)]), 2);
    list.set(1_500, Vec::new());
    assert_eq!(list.published(2_999, 2_000).version, 1);
    assert_eq!(list.published(3_000, 2_000).version, 2);
    assert_eq!(list.published(3_499, 2_000).vms[0].state, VmState::Leaving);
    assert!(list.published(3_500, 2_000).vms.is_empty());
}

#[test]
fn batch_fills_slots_by_priority_and_counts() {
    let mut batch = Batch::default();
    let low = batch.submit(job("low", "tokens=3", 1));
    let high = batch.submit(job("high", "tokens=2", 8));
    let phase = |batch: &Batch, no| batch.stream(no).map(|stream| stream.phase);
    assert!(batch.step(0, 1, 1));
    assert_eq!(phase(&batch, high), Some(Phase::Running));
    assert_eq!(phase(&batch, low), Some(Phase::Waiting));
    assert!(batch.step(1, 1, 1));
    assert_eq!(phase(&batch, high), Some(Phase::Finished));
    while batch.step(2, 1, 1) {}
    let runs = batch.runs();
    let low = runs.iter().find(|run| run.key == "low").expect("it ran");
    assert_eq!(
        (low.executions, low.completion_tokens, low.last_tokens),
        (1, 3, 4)
    );
    assert!(low.finished);
}

#[test]
fn cancelled_requests_stop_and_are_dropped() {
    let mut batch = Batch::default();
    let no = batch.submit(job("k", "tokens=50", 1));
    batch.step(0, 4, 10);
    assert!(batch.cancel(no, 5));
    assert!(!batch.cancel(no, 6));
    assert!(!batch.step(7, 4, 10));
    assert_eq!(batch.runs()[0].completion_tokens, 10);
    assert!(!batch.runs()[0].finished);
    batch.sweep(100, 50);
    assert!(batch.stream(no).is_none());
}

#[test]
fn a_second_execution_is_counted() {
    let mut batch = Batch::default();
    for _time in 0..2 {
        batch.submit(job("k", "tokens=5", 1));
        while batch.step(0, 4, 10) {}
    }
    let run = &batch.runs()[0];
    assert_eq!(
        (run.executions, run.completion_tokens, run.last_tokens),
        (2, 10, 6)
    );
}

#[test]
fn plain_delivery_waits_and_ends() {
    let mut delivery = Delivery::new(1, 5, Faults::default());
    assert_eq!(numbers(&mut delivery, 3), (vec![1, 2], Step::Wait));
    assert_eq!(numbers(&mut delivery, 5), (vec![3, 4], Step::End));
}

#[test]
fn faulty_deliveries() {
    let swapped = Faults {
        reorder: true,
        ..Faults::default()
    };
    let (sent, end) = numbers(&mut Delivery::new(0, 5, swapped), 5);
    assert_eq!((sent, end), (vec![1, 0, 3, 2, 4], Step::End));
    let doubled = Faults {
        double: true,
        ..Faults::default()
    };
    let (sent, _end) = numbers(&mut Delivery::new(0, 2, doubled), 2);
    assert_eq!(sent, [0, 0, 1, 1]);
    let dropped = Faults {
        drop_chunk: Some(1),
        ..Faults::default()
    };
    let (sent, _end) = numbers(&mut Delivery::new(0, 3, dropped), 3);
    assert_eq!(sent, [0, 2]);
    let cut = Faults {
        cut_after: Some(2),
        ..Faults::default()
    };
    let (sent, end) = numbers(&mut Delivery::new(0, 9, cut), 9);
    assert_eq!((sent, end), (vec![0, 1], Step::Cut));
}

#[test]
fn answers_are_deterministic() {
    let text = engine::answer("why tokens=7?", 100);
    assert_eq!(text, engine::answer("why tokens=7?", 100));
    assert_eq!(text.split_whitespace().count(), 7);
    assert_eq!(engine::answer_length("why tokens=7?", 4), 4);
    assert!(text.starts_with(&engine::answer("why tokens=7?", 4)));
    assert_ne!(
        engine::answer("tokens=9 a", 9),
        engine::answer("tokens=9 b", 9)
    );
}

#[test]
fn a_patch_changes_only_the_named_switches() {
    let switches = Switches::new(BaseFault::default());
    switches
        .patch(br#"{"outage":true}"#)
        .expect("a known switch");
    let now = switches
        .patch(br#"{"delay_ms":5}"#)
        .expect("a known switch");
    assert!(now.outage && now.delay_ms == 5);
    assert!(switches.patch(br#"{"outrage":true}"#).is_err());
    assert!(switches.patch(br#"{"delay_ms":"long"}"#).is_err());
    assert_eq!(switches.get(), now);
}
