//! When a router asks for permits of one server, and for how many. No I/O; times are in milliseconds
//! of any monotonic clock.

use super::allocator::Allocation;

/// Pause after a query that no allocator answered.
const FAILURE_PAUSE_MS: u64 = 250;
/// Most permits of one server that a router asks for at a time.
const MAX_WANT: u32 = 32;

/// Pace of a router's queries for one server.
#[derive(Clone, Debug)]
pub struct Pace {
    /// When the next query may be sent.
    next: u64,
    is_asking: bool,
    want: u32,
    /// Requests to the pool at the last query.
    arrivals: u64,
    /// Permits used at the last answer.
    used: u64,
    /// Permits that the last answer brought.
    granted: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            next: 0,
            is_asking: false,
            want: 1,
            arrivals: 0,
            used: 0,
            granted: 0,
        }
    }
}

impl Pace {
    /// Whether to ask now: requests have arrived since the last time, and the permits in hand run
    /// out. Of `arrivals` requests to the pool so far, none asks twice.
    #[must_use]
    pub fn is_due(&self, now: u64, in_hand: usize, arrivals: u64) -> bool {
        let is_paused = self.is_asking || now < self.next;
        !is_paused && in_hand * 2 < self.want as usize && arrivals != self.arrivals
    }

    /// Records a query. Returns the number of permits to ask for.
    pub fn ask(&mut self, arrivals: u64) -> u32 {
        self.is_asking = true;
        self.arrivals = arrivals;
        self.want
    }

    /// Records the answer. `used` is the number of permits used so far. `jitter`, from 0 to 1, makes
    /// routers that asked together ask at different times from now on.
    pub fn on_answer(&mut self, now: u64, allocation: &Allocation, used: u64, jitter: f64) {
        self.is_asking = false;
        let used_since = used.saturating_sub(self.used);
        if self.granted > 0 && used_since >= self.granted {
            self.want = (self.want * 2).min(MAX_WANT);
        } else if self.granted > 0 {
            // Falls more slowly than it rises, since requests come in bursts.
            self.want = (self.want * 3 / 4).max(1);
        }
        self.granted = allocation.count.into();
        self.used = used;
        let retry = allocation.retry.mul_f64(0.5 + jitter);
        self.next = now + retry.as_millis() as u64;
    }

    /// When the next query may be sent.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Records that no allocator answered.
    pub fn on_failure(&mut self, now: u64) {
        self.is_asking = false;
        self.next = now + FAILURE_PAUSE_MS;
    }
}
