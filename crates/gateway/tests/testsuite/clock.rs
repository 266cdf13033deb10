//! Simulated clocks of a VM on top of tokio's time, with power losses, jumps and suspensions.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use swiftlink_gateway::clock::{Clock, Reading, SystemClock};
use tokio::time::Instant;

/// Initial wall-clock time, in milliseconds since the Unix epoch.
const WALL_START: u64 = 1_700_000_000_000;

#[derive(Debug)]
pub(crate) struct TestClock {
    started: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    boots: u64,
    /// Added to the time since `started` for the monotonic clock, in milliseconds.
    steady: u64,
    /// Added to the time since `started` and [`WALL_START`] for the wall clock, in milliseconds.
    jump: i64,
    suspended: Duration,
}

impl TestClock {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            state: Mutex::new(State {
                boots: 1,
                steady: 0,
                jump: 0,
                suspended: Duration::ZERO,
            }),
        })
    }

    /// Reboots the VM; its monotonic clock restarts at `steady` milliseconds.
    pub(crate) fn lose_power(&self, steady: u64) {
        let mut state = self.state.lock().expect("a lock");
        state.boots += 1;
        state.steady = steady;
    }

    /// Sets the offset of the wall clock.
    pub(crate) fn set_jump(&self, millis: i64) {
        self.state.lock().expect("a lock").jump = millis;
    }

    /// Suspends the VM for this time, which tokio's time doesn't count.
    pub(crate) fn suspend(&self, time: Duration) {
        let mut state = self.state.lock().expect("a lock");
        state.steady += time.as_millis() as u64;
        state.jump += time.as_millis() as i64;
        state.suspended += time;
    }

    fn uptime(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

impl Clock for TestClock {
    fn steady(&self) -> u64 {
        self.uptime() + self.state.lock().expect("a lock").steady
    }

    fn suspended(&self) -> Duration {
        self.state.lock().expect("a lock").suspended
    }

    fn read(&self) -> Reading {
        let steady = self.steady();
        let state = self.state.lock().expect("a lock");
        Reading {
            boot: Arc::from(format!("boot-{}", state.boots)),
            steady,
            wall: WALL_START.saturating_add_signed(self.uptime() as i64 + state.jump),
        }
    }
}

/// The maximum that a process may have spent is computed from the elapsed time. A clock that
/// stops while the VM is suspended underestimates it.
#[test]
fn the_steady_clock_counts_the_time_that_the_vm_is_suspended() {
    let now = || {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has this clock");
        Duration::from(now).as_millis() as u64
    };
    let before = now();
    let steady = SystemClock::open().steady();
    assert!((before..=now()).contains(&steady));
}
