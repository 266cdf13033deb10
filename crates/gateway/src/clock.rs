//! The VM's clocks, read by the kernel's names.
//!
//! Spending caps compare times of different processes of one VM, which
//! [`std::time::Instant`] doesn't allow.

use std::fmt;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering::Relaxed};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use swiftlink_telemetry::event;

/// Drawn anew at each start of the kernel.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// All clocks at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Name of the kernel's start; empty when it isn't known.
    pub boot: Arc<str>,
    /// Steady time in milliseconds; comparable within one start of the kernel.
    pub steady: u64,
    /// Time of day in milliseconds since 1970; it may jump.
    pub wall: u64,
}

/// Where the time comes from.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Steady time in milliseconds. It is the same for all processes of the VM, and goes on
    /// while none runs and while the VM is suspended.
    fn steady(&self) -> u64;

    /// For how long the VM has been suspended since it started. The clock of timers and of
    /// [`std::time::Instant`] doesn't count that time.
    fn suspended(&self) -> Duration;

    /// All clocks. A time of day that has jumped ahead since the clock was opened is told as
    /// if it had not, so that the time from a reading to a later one isn't underestimated.
    fn read(&self) -> Reading;
}

/// The kernel's clocks.
#[derive(Debug)]
pub struct SystemClock {
    boot: Arc<str>,
    /// The least by which the time of day was seen to be ahead of the steady clock, in
    /// milliseconds.
    ahead: AtomicI64,
}

impl SystemClock {
    /// Reads the name of the kernel's start.
    #[must_use]
    pub fn open() -> Self {
        let boot = match fs::read_to_string(BOOT_ID) {
            Ok(text) => Arc::from(text.trim()),
            Err(error) => {
                event!(warn, "clock.no_boot_id", path = BOOT_ID, error = error);
                Arc::from("")
            }
        };
        Self {
            boot,
            ahead: AtomicI64::new(i64::MAX),
        }
    }
}

/// Steady time of the VM in milliseconds, as [`Clock::steady`] tells it.
#[must_use]
pub fn steady_millis() -> u64 {
    // Rights, ages and idle times go on for all others while this VM is suspended.
    kernel_time(ClockId::CLOCK_BOOTTIME).as_millis() as u64
}

fn kernel_time(clock: ClockId) -> Duration {
    Duration::from(clock_gettime(clock).expect("the kernel has this clock"))
}

impl Clock for SystemClock {
    fn steady(&self) -> u64 {
        steady_millis()
    }

    fn suspended(&self) -> Duration {
        // In this order a moment between both readings counts for nothing.
        let running = kernel_time(ClockId::CLOCK_BOOTTIME);
        running.saturating_sub(kernel_time(ClockId::CLOCK_MONOTONIC))
    }

    fn read(&self) -> Reading {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall = wall.map_or(0, |wall| wall.as_millis() as i64);
        let steady = self.steady();
        let ahead = wall - steady as i64;
        let least = self.ahead.fetch_min(ahead, Relaxed).min(ahead);
        Reading {
            boot: Arc::clone(&self.boot),
            steady,
            wall: u64::try_from(steady as i64 + least).unwrap_or(0),
        }
    }
}
