//! Non-blocking log output.
//!
//! Logging never blocks on a slow reader: lines go into a bounded queue, and a background
//! thread writes them in batches. When the queue is full, lines are dropped; a `log.dropped`
//! event reports their number once the thread writes again.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::Line;
use crate::time::utc;

/// Capacity of the queue in lines. At about 200 bytes a line, a full queue takes 1.6 MB of
/// the 88 MB that the smallest VM has.
const QUEUE_LINES: usize = 8_192;
/// Pause between two writes, so that a busy process writes many lines at a time.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two attempts to add a flush request to a full queue.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// Batch size in bytes at which no further line is added.
const BATCH_BYTES: usize = 64 * 1024;

#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    /// Requests a notification once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// A writer that queues lines for a background thread and never blocks. Clones share the queue.
#[derive(Clone, Debug)]
pub struct BackgroundWriter {
    items: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl BackgroundWriter {
    /// Starts the thread that writes to `target`. It stops when the process exits
    /// or the last clone is dropped.
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn spawn(target: impl Write + Send + 'static) -> io::Result<Self> {
        let (items, queue) = sync_channel(QUEUE_LINES);
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

    /// Waits until all queued lines are written; returns `false` when `timeout` expires first.
    pub fn flush_within(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let (done, flushed) = sync_channel(1);
        let mut item = Item::Flush(done);
        // A full queue has free capacity again after the thread's next write.
        while let Err(TrySendError::Full(back)) = self.items.try_send(item) {
            if Instant::now() >= deadline {
                return false;
            }
            item = back;
            thread::sleep(FLUSH_RETRY_INTERVAL);
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        !matches!(
            flushed.recv_timeout(remaining),
            Err(RecvTimeoutError::Timeout)
        )
    }
}

impl Write for BackgroundWriter {
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
            let mut flushes = Vec::new();
            self.add(item, &mut batch, &mut flushes);
            while batch.len() < BATCH_BYTES
                && let Ok(item) = self.queue.try_recv()
            {
                self.add(item, &mut batch, &mut flushes);
            }
            self.report_dropped(&mut batch);
            // A failed write of the log can't be reported anywhere else.
            let _unreported = self
                .target
                .write_all(&batch)
                .and_then(|()| self.target.flush());
            let has_flush = !flushes.is_empty();
            for done in flushes {
                // The caller may have timed out.
                let _timed_out = done.try_send(());
            }
            if !has_flush {
                thread::sleep(WRITE_INTERVAL);
            }
        }
    }

    fn add(&self, item: Item, batch: &mut Vec<u8>, flushes: &mut Vec<SyncSender<()>>) {
        match item {
            Item::Line(line) => batch.extend_from_slice(&line),
            Item::Flush(done) => flushes.push(done),
        }
    }

    fn report_dropped(&self, batch: &mut Vec<u8>) {
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
