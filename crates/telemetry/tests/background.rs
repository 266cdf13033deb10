//! A log reader that stops reading must not block the threads that log.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use swiftlink_telemetry::{BackgroundWriter, split};

/// A writer that blocks until it is opened, and records what is written.
#[derive(Clone, Default)]
struct Gate {
    open: Arc<(Mutex<bool>, Condvar)>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Gate {
    fn open(&self) {
        *self.open.0.lock().expect("lock") = true;
        self.open.1.notify_all();
    }

    fn lines(&self) -> Vec<String> {
        let text = self.text.lock().expect("lock").clone();
        let text = String::from_utf8(text).expect("UTF-8");
        text.lines().map(str::to_owned).collect()
    }
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut open = self.open.0.lock().expect("lock");
        while !*open {
            open = self.open.1.wait(open).expect("lock");
        }
        self.text.lock().expect("lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Longest wait in a test.
const TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn lines_are_written_in_order() {
    let gate = Gate::default();
    gate.open();
    let mut log = BackgroundWriter::spawn(gate.clone()).expect("start the thread");
    for number in 0..100 {
        log.write_all(format!("n={number}\n").as_bytes())
            .expect("write a line");
    }
    assert!(log.flush_within(TIMEOUT));
    let expected: Vec<String> = (0..100).map(|number| format!("n={number}")).collect();
    assert_eq!(gate.lines(), expected);
}

#[test]
fn blocked_reader_does_not_block_logging_and_dropped_lines_are_reported() {
    const WRITTEN: u64 = 50_000;
    let gate = Gate::default();
    let mut log = BackgroundWriter::spawn(gate.clone()).expect("start the thread");
    for number in 0..WRITTEN {
        log.write_all(format!("n={number}\n").as_bytes())
            .expect("writing never fails");
    }
    assert!(!log.flush_within(Duration::from_millis(1)));
    gate.open();
    let mut dropped = 0;
    let mut kept = 0;
    while kept + dropped < WRITTEN {
        assert!(log.flush_within(TIMEOUT), "the reader reads again");
        (kept, dropped) = count(&gate.lines());
    }
    assert_eq!(kept + dropped, WRITTEN);
    assert!(dropped > 0, "the queue is bounded");
}

/// Counts the lines that were written and those that were reported as dropped.
fn count(lines: &[String]) -> (u64, u64) {
    let mut kept = 0;
    let mut dropped = 0;
    for line in lines {
        let pairs = split(line).expect("pairs");
        match pairs.iter().find(|(key, _)| key == "lines") {
            Some((_, lines)) => dropped += lines.parse::<u64>().expect("a number"),
            None => kept += 1,
        }
    }
    (kept, dropped)
}
