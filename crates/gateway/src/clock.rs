//! The VM's clocks, as the kernel provides them.
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

/// Random identifier that the kernel generates at each boot.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// The values of all clocks at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Boot id of the kernel; empty when it isn't known.
    pub boot: Arc<str>,
    /// Monotonic time in milliseconds; comparable within one boot of the kernel.
    pub steady: u64,
    /// Wall-clock time in milliseconds since the Unix epoch; it may jump.
    pub wall: u64,
}

/// A source of time.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Monotonic time in milliseconds. It is the same for all processes of the VM, and advances
    /// while no process runs and while the VM is suspended.
    fn steady(&self) -> u64;

    /// Total time that the VM has been suspended since it booted. The clock of timers and of
    /// [`std::time::Instant`] doesn't count that time.
    fn suspended(&self) -> Duration;

    /// Reads all clocks. If the wall clock has jumped ahead since this clock was opened, the jump
    /// is taken out of the result, so that the time from one reading to a later one isn't
    /// underestimated.
    fn read(&self) -> Reading;
}

/// The kernel's clocks.
#[derive(Debug)]
pub struct SystemClock {
    boot: Arc<str>,
    /// Smallest difference seen between the wall clock and the monotonic clock, in milliseconds.
    min_ahead: AtomicI64,
}

impl SystemClock {
    /// Opens the clocks and reads the kernel's boot id.
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
            min_ahead: AtomicI64::new(i64::MAX),
        }
    }
}

/// Steady time of the VM in milliseconds, see [`Clock::steady`].
#[must_use]
pub fn steady_millis() -> u64 {
    // Quota, ages and idle times keep running for everyone else while this VM is suspended.
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
        // In this order, time that passes between the two readings isn't counted as suspended.
        let running = kernel_time(ClockId::CLOCK_BOOTTIME);
        running.saturating_sub(kernel_time(ClockId::CLOCK_MONOTONIC))
    }

    fn read(&self) -> Reading {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall = wall.map_or(0, |wall| wall.as_millis() as i64);
        let steady = self.steady();
        let ahead = wall - steady as i64;
        let min_ahead = self.min_ahead.fetch_min(ahead, Relaxed).min(ahead);
        Reading {
            boot: Arc::clone(&self.boot),
            steady,
            wall: u64::try_from(steady as i64 + min_ahead).unwrap_or(0),
        }
    }
}
