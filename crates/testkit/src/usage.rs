//! Memory and file descriptors of a process.

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{JoinHandle, sleep};
use std::time::Duration;

/// Interval between samples.
const INTERVAL: Duration = Duration::from_millis(20);
/// State of a listening socket in `/proc/net/tcp`.
const LISTEN: &str = "0A";

/// The most that a process has held at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes of memory, with those that the process has received on its address and not yet read.
    pub memory: usize,
    /// Bytes that it has received on its address and not yet read.
    pub unread: usize,
    /// Open file descriptors.
    pub files: usize,
}

/// Samples the usage of a process until this is dropped.
#[derive(Debug)]
pub struct Sampler {
    peak: Arc<Mutex<Usage>>,
    has_ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Sampler {
    /// Starts to sample the process `id`, which serves on `address`.
    #[must_use]
    pub fn spawn(id: u32, address: SocketAddr) -> Self {
        let peak = Arc::<Mutex<Usage>>::default();
        let has_ended = Arc::<AtomicBool>::default();
        let (shared, ended) = (Arc::clone(&peak), Arc::clone(&has_ended));
        let thread = std::thread::spawn(move || {
            while !ended.load(SeqCst) {
                let Some(now) = sample(id, address) else {
                    return;
                };
                let mut peak = shared.lock().unwrap_or_else(PoisonError::into_inner);
                peak.memory = peak.memory.max(now.memory);
                peak.unread = peak.unread.max(now.unread);
                peak.files = peak.files.max(now.files);
                drop(peak);
                sleep(INTERVAL);
            }
        });
        Self {
            peak,
            has_ended,
            thread: Some(thread),
        }
    }

    /// Whether the process was running at the last sample.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.thread
            .as_ref()
            .is_some_and(|thread| !thread.is_finished())
    }

    /// The most of each that any sample has shown.
    #[must_use]
    pub fn peak(&self) -> Usage {
        *self.peak.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Sampler {
    fn drop(&mut self) {
        self.has_ended.store(true, SeqCst);
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has printed why.
            drop(thread.join());
        }
    }
}

/// The current usage; `None` after the process has ended. The memory is at least its own peak.
fn sample(id: u32, address: SocketAddr) -> Option<Usage> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let kib = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<usize>().ok()
    };
    let unread = unread_bytes(address)?;
    let resident = kib("VmRSS:")? * 1_024;
    let peak = kib("VmHWM:")? * 1_024;
    Some(Usage {
        memory: peak.max(resident + unread),
        unread,
        files: fs::read_dir(format!("/proc/{id}/fd")).ok()?.count(),
    })
}

/// Bytes that were received on the connections of `address` and not yet read.
fn unread_bytes(address: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    let ip = u32::from_ne_bytes(ip.octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let sizes = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        if fields.next()? != local || fields.nth(1)? == LISTEN {
            return None;
        }
        let (_sent, received) = fields.next()?.split_once(':')?;
        usize::from_str_radix(received, 16).ok()
    });
    Some(sizes.sum())
}
