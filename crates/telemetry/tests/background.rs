//! A reader that stops reading must not hold up whoever logs.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use swiftlink_telemetry::{Background, split};

/// A target that blocks until it is opened, and keeps what is written.
#[derive(Clone, Default)]
struct Gate {
    open: Arc<(Mutex<bool>, Condvar)>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Gate {
    fn open(&self) {
        *self.open.0.lock().expect("a lock") = true;
        self.open.1.notify_all();
    }

    fn lines(&self) -> Vec<String> {
        let text = self.text.lock().expect("a lock").clone();
        let text = String::from_utf8(text).expect("text");
        text.lines().map(str::to_owned).collect()
    }
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut open = self.open.0.lock().expect("a lock");
        while !*open {
            open = self.open.1.wait(open).expect("a lock");
        }
        self.text.lock().expect("a lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Longest wait in a test.
const PATIENCE: Duration = Duration::from_secs(20);

#[test]
fn lines_come_out_in_order() {
    let gate = Gate::default();
    gate.open();
    let mut log = Background::spawn(gate.clone()).expect("a thread");
    for number in 0..100 {
        log.write_all(format!("n={number}\n").as_bytes())
            .expect("a line");
    }
    assert!(log.flush_within(PATIENCE));
    let expected: Vec<String> = (0..100).map(|number| format!("n={number}")).collect();
    assert_eq!(gate.lines(), expected);
}

#[test]
fn a_reader_that_stops_reading_holds_nobody_up_and_the_drops_are_told() {
    const WRITTEN: u64 = 50_000;
    let gate = Gate::default();
    let mut log = Background::spawn(gate.clone()).expect("a thread");
    for number in 0..WRITTEN {
        log.write_all(format!("n={number}\n").as_bytes())
            .expect("never an error");
    }
    assert!(!log.flush_within(Duration::from_millis(1)));
    gate.open();
    let mut dropped = 0;
    let mut kept = 0;
    while kept + dropped < WRITTEN {
        assert!(log.flush_within(PATIENCE), "the reader reads again");
        (kept, dropped) = count(&gate.lines());
    }
    assert_eq!(kept + dropped, WRITTEN);
    assert!(dropped > 0, "the queue is bounded");
}

/// Lines that came out, and lines that were told to be dropped.
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
