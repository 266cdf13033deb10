//! Appointments: when the refused come back, and that they are then taken.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use swiftlink_types::Micros;

use crate::rate::MICROS_PER_SEC;
use crate::sizer::micros;

/// Time without a refusal after which an overload is over. A slot may be free for a
/// moment in the midst of one, while places are kept for those who come back.
const CALM: Micros = 5_000_000;

/// Settings of an [`Appointments`] book.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BookPolicy {
    /// Share of the class's service rate given to those who come back.
    pub share: f64,
    /// Shortest time given to the refused.
    pub min_wait: Duration,
    /// How much earlier than told one may come.
    pub early: Duration,
    /// How much later than told one may come; the header counts whole seconds.
    pub grace: Duration,
    /// Most appointments kept; beyond it a time is told but no place is kept.
    pub max: usize,
}

impl Default for BookPolicy {
    fn default() -> Self {
        Self {
            share: 0.8,
            min_wait: Duration::from_millis(200),
            early: Duration::from_millis(20),
            grace: Duration::from_secs(3),
            max: 16_384,
        }
    }
}

/// The appointments of one class.
///
/// Each refusal takes the next free place of the class's future service. Whoever
/// comes back in time is known by its key and served before new arrivals, which are
/// admitted only to what the appointments leave. So the time told is kept even
/// while the overload lasts, and it grows with the number of those who wait.
#[derive(Debug)]
pub struct Appointments {
    policy: BookPolicy,
    due: HashMap<u64, Micros>,
    order: BTreeSet<(Micros, u64)>,
    /// Time of the latest place given.
    last: f64,
    /// When the latest place was asked for.
    refused_at: Micros,
}

impl Appointments {
    /// An empty book.
    #[must_use]
    pub fn new(policy: BookPolicy) -> Self {
        Self {
            policy,
            due: HashMap::new(),
            order: BTreeSet::new(),
            last: 0.0,
            refused_at: 0,
        }
    }

    /// Gives `key` (0: unknown) the next place, not before `earliest`, in a class
    /// that is served `rate` times a second. Answers when to come.
    ///
    /// One that has an appointment to come keeps it.
    pub fn book(&mut self, now: Micros, key: u64, earliest: Micros, rate: f64) -> Micros {
        self.forget(now);
        self.refused_at = now;
        if let Some(due) = self.due.get(&key) {
            return (*due).max(now);
        }
        let first = earliest.max(now + micros(self.policy.min_wait)) as f64;
        let step = MICROS_PER_SEC / (rate * self.policy.share).max(1e-3);
        self.last = (self.last + step).max(first);
        let due = self.last as Micros;
        if key != 0 && self.due.len() < self.policy.max {
            self.due.insert(key, due);
            self.order.insert((due, key));
        }
        due
    }

    /// Whether `key` comes to its appointment; it is struck off the book.
    pub fn keep(&mut self, now: Micros, key: u64) -> bool {
        self.forget(now);
        let Some(due) = self.due.get(&key).copied() else {
            return false;
        };
        if now + micros(self.policy.early) < due {
            return false;
        }
        self.strike(key);
        true
    }

    /// Strikes `key` off the book: it was admitted before its time.
    pub fn strike(&mut self, key: u64) {
        if let Some(due) = self.due.remove(&key) {
            self.order.remove(&(due, key));
        }
    }

    /// The class has a slot to spare. After some time without a refusal the overload
    /// counts as over, and the next places are given from now on again.
    pub fn relax(&mut self, now: Micros) {
        if now.saturating_sub(self.refused_at) >= CALM {
            self.last = self.last.min(now as f64);
        }
    }

    /// Appointments expected up to `until`.
    #[must_use]
    pub fn expected(&self, until: Micros) -> usize {
        self.order.range(..=(until, u64::MAX)).count()
    }

    /// Appointments on the book.
    #[must_use]
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether the book is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }

    /// Strikes off those who did not come in time.
    fn forget(&mut self, now: Micros) {
        let grace = micros(self.policy.grace);
        while let Some(&(due, key)) = self.order.first() {
            if due + grace >= now {
                break;
            }
            self.order.pop_first();
            self.due.remove(&key);
        }
    }
}
