//! When refused requests may come back, and the capacity that is kept for them.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use swiftlink_types::Micros;

use crate::rate::MICROS_PER_SEC;
use crate::sizer::micros;

/// Time without a refusal after which an overload counts as over. During an overload, too, a slot
/// may be free for a moment while capacity is kept for retries.
const CALM_TIME: Micros = 5_000_000;

/// Settings of a [`RetrySchedule`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Share of the class's service rate that is given to retries.
    pub share: f64,
    /// Shortest retry-after time given with a refusal.
    pub min_wait: Duration,
    /// How much earlier than its due time a retry is accepted.
    pub max_early: Duration,
    /// How much later than its due time a retry is accepted; the Retry-After header counts whole
    /// seconds.
    pub max_late: Duration,
    /// Largest number of scheduled retries. Beyond it a refusal gets a time, but no capacity is
    /// kept for it.
    pub max_len: usize,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            share: 0.8,
            min_wait: Duration::from_millis(200),
            max_early: Duration::from_millis(20),
            max_late: Duration::from_secs(3),
            max_len: 16_384,
        }
    }
}

/// The scheduled retries of one class.
///
/// Each refusal is given the next free place in the class's future service. A request that comes
/// back at that time is recognized by its key and served before new arrivals, which are admitted
/// only to the capacity that the scheduled retries leave. So the promised time is kept even while
/// the overload lasts, and it grows with the number of requests that wait to retry.
#[derive(Debug)]
pub struct RetrySchedule {
    policy: RetryPolicy,
    due: HashMap<u64, Micros>,
    by_time: BTreeSet<(Micros, u64)>,
    /// Due time of the latest place given.
    last_due: f64,
    /// When a place was last asked for.
    last_refusal: Micros,
}

impl RetrySchedule {
    /// An empty schedule.
    #[must_use]
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            due: HashMap::new(),
            by_time: BTreeSet::new(),
            last_due: 0.0,
            last_refusal: 0,
        }
    }

    /// Gives `key` (0: unknown) the next place, not before `earliest`, in a class that is served
    /// `rate` times per second. Returns when the retry is due.
    ///
    /// A key that already has a place keeps it.
    pub fn assign(&mut self, now: Micros, key: u64, earliest: Micros, rate: f64) -> Micros {
        self.remove_missed(now);
        self.last_refusal = now;
        let due = self.next_place(now, key, earliest, rate);
        if self.due.contains_key(&key) {
            return due;
        }
        self.last_due = due as f64;
        if key != 0 && self.due.len() < self.policy.max_len {
            self.due.insert(key, due);
            self.by_time.insert((due, key));
        }
        due
    }

    /// When the place would be due that [`Self::assign`] gives.
    #[must_use]
    pub fn next_place(&self, now: Micros, key: u64, earliest: Micros, rate: f64) -> Micros {
        if let Some(due) = self.due.get(&key) {
            return (*due).max(now);
        }
        let first = earliest.max(now + micros(self.policy.min_wait)) as f64;
        let interval = MICROS_PER_SEC / (rate * self.policy.share).max(1e-3);
        (self.last_due + interval).max(first) as Micros
    }

    /// Whether `key` comes at its due time; if so, its place is removed.
    pub fn redeem(&mut self, now: Micros, key: u64) -> bool {
        self.remove_missed(now);
        let Some(due) = self.due.get(&key).copied() else {
            return false;
        };
        if now + micros(self.policy.max_early) < due {
            return false;
        }
        self.remove_key(key);
        true
    }

    /// Removes the place of `key`, which was admitted before its time.
    pub fn remove_key(&mut self, key: u64) {
        if let Some(due) = self.due.remove(&key) {
            self.by_time.remove(&(due, key));
        }
    }

    /// Called when the class has a free slot. After some time without a refusal the overload counts
    /// as over, and the next places are given from `now` on again.
    pub fn on_free_slot(&mut self, now: Micros) {
        if now.saturating_sub(self.last_refusal) >= CALM_TIME {
            self.last_due = self.last_due.min(now as f64);
        }
    }

    /// Number of retries that are due by `until`.
    #[must_use]
    pub fn due_by(&self, until: Micros) -> usize {
        self.by_time.range(..=(until, u64::MAX)).count()
    }

    /// Number of scheduled retries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether no retry is scheduled.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }

    /// Removes the retries that did not come in time.
    fn remove_missed(&mut self, now: Micros) {
        let max_late = micros(self.policy.max_late);
        while let Some(&(due, key)) = self.by_time.first() {
            if due + max_late >= now {
                break;
            }
            self.by_time.pop_first();
            self.due.remove(&key);
        }
    }
}
