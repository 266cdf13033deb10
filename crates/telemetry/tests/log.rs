//! The process-wide logger: format of its lines, and changing the level at run time.

use std::cell::Cell;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, UNIX_EPOCH};

use swiftlink_telemetry::{LevelError, capture, event, level, set_level, split, utc};

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(data)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Buffer {
    fn take(&self) -> String {
        let data = std::mem::take(&mut *self.0.lock().unwrap());
        String::from_utf8(data).unwrap()
    }
}

#[test]
fn events_are_single_lines_and_the_level_can_change() {
    let buffer = Buffer::default();
    assert!(capture(buffer.clone()));
    assert_eq!(level(), "info");

    event!(info, "grant.claimed", budget = "two words", granted = 500);
    let text = buffer.take();
    assert_eq!(text.matches('\n').count(), 1);
    let pairs = split(text.trim_end_matches('\n')).unwrap();
    let keys: Vec<&str> = pairs.iter().map(|(key, _)| key.as_str()).collect();
    assert_eq!(keys, ["ts", "level", "event", "budget", "granted"]);
    assert_eq!(pairs[1].1, "info");
    assert_eq!(pairs[3].1, "two words");

    let evaluated = Cell::new(0);
    let value = || {
        evaluated.set(evaluated.get() + 1);
        1
    };
    event!(debug, "quiet", n = value());
    assert_eq!((evaluated.get(), buffer.take()), (0, String::new()));

    set_level("debug").unwrap();
    event!(debug, "loud", n = value());
    assert_eq!(evaluated.get(), 1);
    assert!(buffer.take().contains("level=debug event=loud n=1\n"));

    set_level("off").unwrap();
    event!(error, "silenced");
    assert_eq!((level(), buffer.take()), ("off", String::new()));

    assert_eq!(set_level("loud"), Err(LevelError("loud".to_owned())));
    assert!(!capture(Buffer::default()));
}

#[test]
fn timestamps_are_utc() {
    let at = |secs, millis: u32| utc(UNIX_EPOCH + Duration::new(secs, millis * 1_000_000));
    assert_eq!(at(0, 0), "1970-01-01T00:00:00.000Z");
    assert_eq!(at(951_782_399, 999), "2000-02-28T23:59:59.999Z");
    assert_eq!(at(951_782_400, 7), "2000-02-29T00:00:00.007Z");
    assert_eq!(at(951_868_800, 0), "2000-03-01T00:00:00.000Z");
    assert_eq!(at(4_107_542_400, 0), "2100-03-01T00:00:00.000Z");
}
