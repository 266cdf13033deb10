//! A VM's clocks that go by tokio's time, lose power and jump as told.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use swiftlink_gateway::clock::{Clock, Reading, SystemClock};
use tokio::time::Instant;

/// Start of all times of day, in milliseconds.
const EPOCH: u64 = 1_700_000_000_000;

#[derive(Debug)]
pub(crate) struct TestClock {
    began: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    boots: u64,
    /// Added to the time since `began` for the steady clock.
    steady: u64,
    /// The same for the time of day, beside [`EPOCH`].
    jump: i64,
    suspended: Duration,
}

impl TestClock {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            began: Instant::now(),
            state: Mutex::new(State {
                boots: 1,
                steady: 0,
                jump: 0,
                suspended: Duration::ZERO,
            }),
        })
    }

    /// The VM loses power; its steady clock begins at `steady` milliseconds.
    pub(crate) fn lose_power(&self, steady: u64) {
        let mut state = self.state.lock().expect("a lock");
        state.boots += 1;
        state.steady = steady;
    }

    /// The time of day is `millis` off from now on.
    pub(crate) fn set_jump(&self, millis: i64) {
        self.state.lock().expect("a lock").jump = millis;
    }

    /// The VM was suspended for so long, which tokio's time doesn't count.
    pub(crate) fn suspend(&self, time: Duration) {
        let mut state = self.state.lock().expect("a lock");
        state.steady += time.as_millis() as u64;
        state.jump += time.as_millis() as i64;
        state.suspended += time;
    }

    fn age(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

impl Clock for TestClock {
    fn steady(&self) -> u64 {
        self.age() + self.state.lock().expect("a lock").steady
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
            wall: EPOCH.saturating_add_signed(self.age() as i64 + state.jump),
        }
    }
}

/// What a process has spent at most is worked out from the time that has passed. A clock that
/// stops while the VM is suspended told too little of it.
#[test]
fn the_steady_clock_counts_the_time_for_which_the_vm_is_suspended() {
    let now = || {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has this clock");
        Duration::from(now).as_millis() as u64
    };
    let before = now();
    let steady = SystemClock::open().steady();
    assert!((before..=now()).contains(&steady));
}
