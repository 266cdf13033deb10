//! The waiting entries of one priority class.

use std::collections::VecDeque;
use std::time::Duration;

use swiftlink_types::{ClassName, Micros};

use crate::queue::{ClassSpec, Entry};
use crate::rate::Ewma;
use crate::retry::{RetryPolicy, RetrySchedule};
use crate::service::WaitPredictor;

/// Averaging horizon of the arrival rate.
const ARRIVAL_HORIZON: Duration = Duration::from_secs(5);
/// Averaging horizon of the service rate.
const SERVICE_HORIZON: Duration = Duration::from_secs(10);
/// A class must have been backlogged without a break for this time before its service rate counts
/// as its share; until then the rate may be limited by the class's own demand.
const MIN_BACKLOG_TIME: Micros = 5_000_000;

/// Which of the two lists of a class an entry joins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// A retry at its due time: served before new entries.
    Retry,
    /// A first arrival, or a retry that is not due.
    New,
}

/// One waiting entry.
#[derive(Debug)]
pub(crate) struct QueuedEntry<T> {
    pub(crate) ticket: u64,
    pub(crate) queued_at: Micros,
    /// Wait predicted at admission; 0 when a slot was free.
    pub(crate) predicted_wait: Micros,
    pub(crate) entry: Entry<T>,
}

impl<T> QueuedEntry<T> {
    /// Latest time to dispatch the entry, if it takes at least `needed` to be served.
    pub(crate) fn latest_dispatch(&self, needed: Micros) -> Micros {
        let needed = if self.predicted_wait == 0 { 0 } else { needed };
        self.entry.deadline.saturating_sub(needed)
    }
}

/// The queue of one class: its two lists, its scheduling state and its estimates.
#[derive(Debug)]
pub(crate) struct ClassQueue<T> {
    pub(crate) name: ClassName,
    pub(crate) schedule: RetrySchedule,
    pub(crate) predictor: WaitPredictor,
    spec: ClassSpec,
    retries: VecDeque<QueuedEntry<T>>,
    new: VecDeque<QueuedEntry<T>>,
    arrivals: Ewma,
    services: Ewma,
    /// Since when the class has had waiting entries without a break.
    backlog_since: Option<Micros>,
    pass: f64,
}

impl<T> ClassQueue<T> {
    pub(crate) fn new(name: ClassName, spec: ClassSpec, retry_policy: RetryPolicy) -> Self {
        Self {
            name,
            schedule: RetrySchedule::new(retry_policy),
            predictor: WaitPredictor::default(),
            spec,
            retries: VecDeque::new(),
            new: VecDeque::new(),
            arrivals: Ewma::new(ARRIVAL_HORIZON),
            services: Ewma::new(SERVICE_HORIZON),
            backlog_since: None,
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
        self.retries.len() + self.new.len()
    }

    pub(crate) fn has_capacity(&self) -> bool {
        self.len() < self.spec.limit
    }

    /// Number of entries that are served before one that joins now.
    pub(crate) fn len_ahead(&self, is_retry: bool) -> usize {
        if is_retry {
            self.retries.len()
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

    pub(crate) fn push(&mut self, queued: QueuedEntry<T>, arrival: Arrival, pass: f64) {
        // A class gets no credit for the time in which it was idle.
        self.pass = self.next_pass(pass);
        if self.len() == 0 {
            self.backlog_since = Some(queued.queued_at);
        }
        match arrival {
            Arrival::Retry => self.retries.push_back(queued),
            Arrival::New => self.new.push_back(queued),
        }
    }

    pub(crate) fn pop_front(&mut self) -> Option<QueuedEntry<T>> {
        self.retries.pop_front().or_else(|| self.new.pop_front())
    }

    /// Services per second, if the class has been backlogged long enough for a valid measurement.
    pub(crate) fn measured_rate(&self, now: Micros) -> Option<f64> {
        let since = self.backlog_since?;
        let is_long = now.saturating_sub(since) >= MIN_BACKLOG_TIME;
        is_long.then(|| self.services.per_sec(now))
    }

    /// Charges one service to the class. Returns the pass that was served.
    pub(crate) fn charge(&mut self, now: Micros) -> f64 {
        self.services.add(now, 1.0);
        if self.len() == 0 {
            self.backlog_since = None;
        }
        let served = self.pass;
        self.pass += 1.0 / self.weight();
        served
    }

    /// Pass at which the `place`th entry of the class from now is served, when the scheduler is at
    /// `pass`.
    pub(crate) fn pass_of(&self, place: f64, pass: f64) -> f64 {
        self.next_pass(pass) + (place - 1.0) / self.weight()
    }

    /// Services that the class can get before an entry at the pass `until`.
    pub(crate) fn services_before(&self, until: f64, pass: f64) -> f64 {
        ((until - self.next_pass(pass)) * self.weight()).max(0.0)
    }

    fn next_pass(&self, pass: f64) -> f64 {
        if self.len() == 0 {
            return self.pass.max(pass);
        }
        self.pass
    }

    pub(crate) fn precedes(&self, other: &Self) -> bool {
        if self.pass == other.pass {
            return self.spec.weight > other.spec.weight;
        }
        self.pass < other.pass
    }

    pub(crate) fn remove(&mut self, ticket: u64) -> Option<QueuedEntry<T>> {
        for list in [&mut self.retries, &mut self.new] {
            let position = list.iter().position(|queued| queued.ticket == ticket);
            if let Some(position) = position {
                return list.remove(position);
            }
        }
        None
    }

    /// Removes and returns the entries for which `is_removed` is true.
    pub(crate) fn remove_where(
        &mut self,
        is_removed: impl Fn(&QueuedEntry<T>) -> bool,
    ) -> Vec<QueuedEntry<T>> {
        let mut removed = Vec::new();
        for list in [&mut self.retries, &mut self.new] {
            if !list.iter().any(&is_removed) {
                continue;
            }
            let all = std::mem::take(list);
            for queued in all {
                if is_removed(&queued) {
                    removed.push(queued);
                } else {
                    list.push_back(queued);
                }
            }
        }
        removed
    }

    /// Earliest of the entries' latest dispatch times.
    pub(crate) fn next_expiry(&self, needed: Micros) -> Option<Micros> {
        let all = self.retries.iter().chain(&self.new);
        all.map(|queued| queued.latest_dispatch(needed)).min()
    }
}
