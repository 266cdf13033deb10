//! Lines on their way to a slow reader.
//!
//! Whoever logs never waits: a line goes into a bounded queue, and a thread writes what
//! is there in one go. When the queue is full the line is dropped, and a line tells how
//! many were, once there is room.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::Line;
use crate::time::utc;

/// Lines that may wait; at about 200 bytes each this is 1.6 MB, of the 88 MB that the
/// smallest VM has.
const QUEUE: usize = 8_192;
/// Pause between two writes, so that a busy process writes many lines at a time.
const PAUSE: Duration = Duration::from_millis(20);
/// Time between two looks whether a full queue has room.
const FULL_PAUSE: Duration = Duration::from_millis(1);
/// Most bytes of one write.
const BATCH: usize = 64 * 1024;

#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    /// Asks for a word once all lines before it are written.
    Flush(SyncSender<()>),
}

/// A target for lines that never blocks. A clone writes to the same queue.
#[derive(Clone, Debug)]
pub struct Background {
    items: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl Background {
    /// Starts a thread that writes to `target`. It ends with the process, or when the last
    /// clone is dropped.
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn spawn(target: impl Write + Send + 'static) -> io::Result<Self> {
        let (items, queue) = sync_channel(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = Writer {
            target,
            queue,
            dropped: Arc::clone(&dropped),
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run())?;
        Ok(Self { items, dropped })
    }

    /// Waits up to `time` until all lines so far are written. Says whether they are.
    pub fn flush_within(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        let (done, heard) = sync_channel(1);
        let mut item = Item::Flush(done);
        // A full queue has room again once the writer has written.
        while let Err(TrySendError::Full(back)) = self.items.try_send(item) {
            if Instant::now() >= end {
                return false;
            }
            item = back;
            thread::sleep(FULL_PAUSE);
        }
        let left = end.saturating_duration_since(Instant::now());
        !matches!(heard.recv_timeout(left), Err(RecvTimeoutError::Timeout))
    }
}

impl Write for Background {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.items.try_send(Item::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Writer<W> {
    target: W,
    queue: Receiver<Item>,
    dropped: Arc<AtomicU64>,
}

impl<W: Write> Writer<W> {
    fn run(mut self) {
        while let Ok(item) = self.queue.recv() {
            let mut batch = Vec::new();
            let mut waiting = Vec::new();
            self.take(item, &mut batch, &mut waiting);
            while batch.len() < BATCH
                && let Ok(item) = self.queue.try_recv()
            {
                self.take(item, &mut batch, &mut waiting);
            }
            self.tell_dropped(&mut batch);
            // A log whose reader is gone can't report that anywhere.
            let _gone = self
                .target
                .write_all(&batch)
                .and_then(|()| self.target.flush());
            let is_asked = !waiting.is_empty();
            for done in waiting {
                // Whoever asked may have stopped waiting.
                let _late = done.try_send(());
            }
            if !is_asked {
                thread::sleep(PAUSE);
            }
        }
    }

    fn take(&self, item: Item, batch: &mut Vec<u8>, waiting: &mut Vec<SyncSender<()>>) {
        match item {
            Item::Line(line) => batch.extend_from_slice(&line),
            Item::Flush(done) => waiting.push(done),
        }
    }

    fn tell_dropped(&self, batch: &mut Vec<u8>) {
        let lines = self.dropped.swap(0, Relaxed);
        if lines == 0 {
            return;
        }
        let mut line = Line::new();
        line.pair("ts", &utc(SystemTime::now()));
        line.pair("level", &"warn");
        line.pair("event", &"log.dropped");
        line.pair("lines", &lines);
        batch.extend_from_slice(line.as_str().as_bytes());
        batch.push(b'\n');
    }
}
