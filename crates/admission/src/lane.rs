//! The waiting entries of one priority class.

use std::collections::VecDeque;
use std::time::Duration;

use swiftlink_types::{ClassName, Micros};

use crate::book::{Appointments, BookPolicy};
use crate::queue::{ClassSpec, Entry};
use crate::rate::Ewma;
use crate::service::RetryAfter;

/// Horizon of the arrival rate.
const ARRIVALS: Duration = Duration::from_secs(5);
/// Horizon of the service rate.
const SERVICES: Duration = Duration::from_secs(10);
/// Time that a class must have waited without a break for its service rate to be
/// what it gets, and not just what it asked for.
const BACKLOG: Micros = 5_000_000;

/// Which of a lane's two lists an entry joins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// Came back as it was told to: served before the new ones.
    Returned,
    /// Came for the first time, or not as told.
    New,
}

/// One waiting entry.
#[derive(Debug)]
pub(crate) struct Waiter<T> {
    pub(crate) ticket: u64,
    pub(crate) since: Micros,
    /// Wait predicted at admission; 0 when a slot was free.
    pub(crate) predicted: Micros,
    pub(crate) entry: Entry<T>,
}

impl<T> Waiter<T> {
    /// Latest time to dispatch it, when it needs at least `needed` to be served.
    pub(crate) fn latest(&self, needed: Micros) -> Micros {
        let needed = if self.predicted == 0 { 0 } else { needed };
        self.entry.deadline.saturating_sub(needed)
    }
}

/// A class: its two lists, its scheduling state and its estimates.
#[derive(Debug)]
pub(crate) struct Lane<T> {
    pub(crate) name: ClassName,
    pub(crate) book: Appointments,
    pub(crate) retry: RetryAfter,
    spec: ClassSpec,
    returned: VecDeque<Waiter<T>>,
    new: VecDeque<Waiter<T>>,
    arrivals: Ewma,
    services: Ewma,
    /// Since when the class has waited without a break.
    busy_since: Option<Micros>,
    pass: f64,
}

impl<T> Lane<T> {
    pub(crate) fn new(name: ClassName, spec: ClassSpec, book: BookPolicy) -> Self {
        Self {
            name,
            book: Appointments::new(book),
            retry: RetryAfter::default(),
            spec,
            returned: VecDeque::new(),
            new: VecDeque::new(),
            arrivals: Ewma::new(ARRIVALS),
            services: Ewma::new(SERVICES),
            busy_since: None,
            pass: 0.0,
        }
    }

    pub(crate) fn set_spec(&mut self, spec: ClassSpec) {
        self.spec = spec;
    }

    pub(crate) fn weight(&self) -> f64 {
        f64::from(self.spec.weight.max(1))
    }

    pub(crate) fn len(&self) -> usize {
        self.returned.len() + self.new.len()
    }

    pub(crate) fn has_room(&self) -> bool {
        self.len() < self.spec.limit
    }

    /// Entries that are served before one that joins now.
    pub(crate) fn ahead(&self, returns: bool) -> usize {
        if returns {
            self.returned.len()
        } else {
            self.len()
        }
    }

    pub(crate) fn on_arrival(&mut self, now: Micros) {
        self.arrivals.add(now, 1.0);
    }

    /// Arrivals per second.
    pub(crate) fn arrivals(&self, now: Micros) -> f64 {
        self.arrivals.per_sec(now)
    }

    pub(crate) fn push(&mut self, waiter: Waiter<T>, place: Place, pass: f64) {
        // An idle class saves up nothing.
        self.pass = self.next_pass(pass);
        if self.len() == 0 {
            self.busy_since = Some(waiter.since);
        }
        match place {
            Place::Returned => self.returned.push_back(waiter),
            Place::New => self.new.push_back(waiter),
        }
    }

    pub(crate) fn pop_front(&mut self) -> Option<Waiter<T>> {
        self.returned.pop_front().or_else(|| self.new.pop_front())
    }

    /// Services per second, if the class has waited long enough to tell.
    pub(crate) fn measured(&self, now: Micros) -> Option<f64> {
        let since = self.busy_since?;
        let is_long = now.saturating_sub(since) >= BACKLOG;
        is_long.then(|| self.services.per_sec(now))
    }

    /// Charges one service to the class; answers the pass that was served.
    pub(crate) fn charge(&mut self, now: Micros) -> f64 {
        self.services.add(now, 1.0);
        if self.len() == 0 {
            self.busy_since = None;
        }
        let served = self.pass;
        self.pass += 1.0 / self.weight();
        served
    }

    /// Pass at which the lane's `place`th entry from now is served, when the
    /// scheduler stands at `pass`.
    pub(crate) fn pass_of(&self, place: f64, pass: f64) -> f64 {
        self.next_pass(pass) + (place - 1.0) / self.weight()
    }

    /// Services that the lane can have before one at the pass `until`.
    pub(crate) fn turns_before(&self, until: f64, pass: f64) -> f64 {
        ((until - self.next_pass(pass)) * self.weight()).max(0.0)
    }

    fn next_pass(&self, pass: f64) -> f64 {
        if self.len() == 0 {
            return self.pass.max(pass);
        }
        self.pass
    }

    pub(crate) fn goes_before(&self, other: &Self) -> bool {
        if self.pass == other.pass {
            return self.spec.weight > other.spec.weight;
        }
        self.pass < other.pass
    }

    pub(crate) fn remove(&mut self, ticket: u64) -> Option<Waiter<T>> {
        for list in [&mut self.returned, &mut self.new] {
            let position = list.iter().position(|waiter| waiter.ticket == ticket);
            if let Some(position) = position {
                return list.remove(position);
            }
        }
        None
    }

    /// Takes out the entries that `is_late` says are late.
    pub(crate) fn take_late(&mut self, is_late: impl Fn(&Waiter<T>) -> bool) -> Vec<Waiter<T>> {
        let mut late = Vec::new();
        for list in [&mut self.returned, &mut self.new] {
            if !list.iter().any(&is_late) {
                continue;
            }
            let all = std::mem::take(list);
            for waiter in all {
                if is_late(&waiter) {
                    late.push(waiter);
                } else {
                    list.push_back(waiter);
                }
            }
        }
        late
    }

    /// Earliest of the latest dispatch times.
    pub(crate) fn next_late(&self, needed: Micros) -> Option<Micros> {
        let waiters = self.returned.iter().chain(&self.new);
        waiters.map(|waiter| waiter.latest(needed)).min()
    }
}
