//! The queue in front of the dispatch slots.

use std::time::Duration;

use swiftlink_types::{ClassName, Micros, Refusal, RefusalKind};

use crate::class_queue::{Arrival, ClassQueue, QueuedEntry};
use crate::retry::RetryPolicy;
use crate::service::ServiceRate;
use crate::sizer::micros;

/// Fraction of the expected service time that must be left before the deadline for a waiting entry
/// to get a slot. Below 1, since service times vary.
const MIN_SERVICE_FRACTION: f64 = 0.5;

/// How a priority class is queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassSpec {
    /// The class's share of the service while it has waiting entries, relative to the other
    /// classes.
    pub weight: u32,
    /// Largest number of waiting entries.
    pub limit: usize,
}

impl Default for ClassSpec {
    fn default() -> Self {
        Self {
            weight: 1,
            limit: 256,
        }
    }
}

/// Settings of a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuePolicy {
    /// Longest expected wait at which new arrivals are admitted, whatever their deadline.
    pub max_wait: Duration,
    /// Service time assumed until one is measured.
    pub initial_service: Duration,
    /// How retry times are given to refused requests.
    pub retry: RetryPolicy,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self {
            max_wait: Duration::from_secs(2),
            initial_service: Duration::from_secs(1),
            retry: RetryPolicy::default(),
        }
    }
}

/// One request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// Priority class.
    pub class: ClassName,
    /// Hash that identifies a refused request when it is retried: of workspace and idempotency key,
    /// or of workspace and body if the caller gave no key. 0: none.
    pub key: u64,
    /// Time by which the answer must be complete.
    pub deadline: Micros,
    /// Expected service time, if it is known better than by the queue's mean.
    pub service_time: Option<Micros>,
    /// The queued item.
    pub payload: T,
}

/// Identifies a waiting entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// An admitted entry that can't be served before its deadline after all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredEntry<T> {
    /// Its ticket.
    pub ticket: Ticket,
    /// The entry.
    pub entry: Entry<T>,
    /// The answer to send at once.
    pub refusal: Refusal,
}

/// Bounded queue of several priority classes.
///
/// Classes share the slots by weight (stride scheduling). Within a class entries are served first
/// come, first served, and a retry at its due time goes before new entries. An entry is admitted
/// only if its expected wait is within the policy's bound and leaves time to serve it before its
/// deadline; it is given up as soon as that deadline can't be met any more.
#[derive(Debug)]
pub struct Queue<T> {
    policy: QueuePolicy,
    classes: Vec<ClassQueue<T>>,
    service: ServiceRate,
    slots: usize,
    in_flight: usize,
    next_ticket: u64,
    /// Virtual time of the stride scheduler: the pass last served.
    pass: f64,
    /// Entries that [`Self::pop`] found too late to serve.
    expired: Vec<ExpiredEntry<T>>,
}

impl<T> Queue<T> {
    /// An empty queue in front of `slots` slots.
    #[must_use]
    pub fn new(policy: QueuePolicy, slots: usize) -> Self {
        Self {
            policy,
            classes: Vec::new(),
            service: ServiceRate::new(policy.initial_service),
            slots,
            in_flight: 0,
            next_ticket: 0,
            pass: 0.0,
            expired: Vec::new(),
        }
    }

    /// Adds or changes a class. A class that was never set has the default spec.
    pub fn set_class(&mut self, class: &ClassName, spec: ClassSpec) {
        let index = self.class_index(class);
        self.classes[index].set_spec(spec);
    }

    /// Sets the number of slots. If more are in use, requests in flight keep theirs.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Sets the mean service time, where it is known and not measured.
    pub fn set_service_time(&mut self, time: Micros) {
        self.service.set(time);
    }

    /// Whether a refused request returns at the time it was given; its place is used up then.
    pub fn redeem(&mut self, class: &ClassName, now: Micros, key: u64) -> bool {
        let index = self.class_index(class);
        self.classes[index].schedule.redeem(now, key)
    }

    /// Refuses a request that isn't pushed. Returns when it may return, and whether capacity is
    /// kept for it then: only if that is at `latest` or before.
    pub fn refuse(
        &mut self,
        class: &ClassName,
        key: u64,
        now: Micros,
        latest: Micros,
    ) -> (Micros, bool) {
        let index = self.class_index(class);
        self.classes[index].on_arrival(now);
        let rate = self.class_rate(index, now);
        let earliest = now + self.predict_wait(index, false, now);
        let schedule = &mut self.classes[index].schedule;
        let due = schedule.next_place(now, key, earliest, rate);
        if due > latest {
            return (due, false);
        }
        (schedule.assign(now, key, earliest, rate), true)
    }

    /// Admits an entry, or refuses it with a time to retry.
    ///
    /// # Errors
    /// [`RefusalKind::Overloaded`] when the class's queue is full or the expected
    /// wait is too long; the entry is dropped.
    pub fn push(&mut self, entry: Entry<T>, now: Micros) -> Result<Ticket, Refusal> {
        let index = self.class_index(&entry.class);
        self.classes[index].on_arrival(now);
        let is_retry = self.classes[index].schedule.redeem(now, entry.key);
        let wait = self.predict_wait(index, is_retry, now);
        if wait == 0 {
            self.classes[index].schedule.on_free_slot(now);
        }
        if !self.is_admissible(index, &entry, is_retry, wait, now) {
            return Err(self.refusal(index, entry.key, now));
        }
        self.classes[index].schedule.remove_key(entry.key);
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let arrival = if is_retry {
            Arrival::Retry
        } else {
            Arrival::New
        };
        let queued = QueuedEntry {
            ticket: ticket.0,
            queued_at: now,
            predicted_wait: wait,
            entry,
        };
        self.classes[index].push(queued, arrival, self.pass);
        Ok(ticket)
    }

    /// Takes the next entry to dispatch, if a slot is free. The slot is in use until
    /// [`Self::on_done`] or [`Self::on_abandoned`].
    pub fn pop(&mut self, now: Micros) -> Option<(Ticket, Entry<T>)> {
        if self.in_flight >= self.slots {
            return None;
        }
        loop {
            let index = self.next_class()?;
            let queued = self.classes[index].pop_front()?;
            if self.is_late(&queued, now) {
                self.expire(index, queued, now);
                continue;
            }
            self.pass = self.classes[index].charge(now);
            let waited = now.saturating_sub(queued.queued_at);
            self.classes[index]
                .predictor
                .learn(queued.predicted_wait, waited);
            self.in_flight += 1;
            return Some((Ticket(queued.ticket), queued.entry));
        }
    }

    /// Removes and returns the entries that can't be served in time any more.
    pub fn take_expired(&mut self, now: Micros) -> Vec<ExpiredEntry<T>> {
        for index in 0..self.classes.len() {
            let needed = self.min_service_time();
            let late =
                self.classes[index].remove_where(|queued| queued.latest_dispatch(needed) < now);
            for queued in late {
                self.expire(index, queued, now);
            }
        }
        std::mem::take(&mut self.expired)
    }

    /// Removes and returns all waiting entries, when nothing will serve them.
    pub fn drain(&mut self) -> Vec<Entry<T>> {
        let mut entries = Vec::new();
        for queue in &mut self.classes {
            let all = queue.remove_where(|_queued| true);
            entries.extend(all.into_iter().map(|queued| queued.entry));
        }
        entries
    }

    /// When [`Self::take_expired`] will next return something, as far as is known.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Micros> {
        if !self.expired.is_empty() {
            return Some(0);
        }
        let needed = self.min_service_time();
        let expiries = self
            .classes
            .iter()
            .filter_map(|queue| queue.next_expiry(needed));
        expiries.min().map(|time| time.saturating_add(1))
    }

    /// Removes a waiting entry whose caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let mut classes = self.classes.iter_mut();
        let queued = classes.find_map(|queue| queue.remove(ticket.0))?;
        Some(queued.entry)
    }

    /// Frees the slot of an entry that was popped and served in `time`.
    pub fn on_done(&mut self, _now: Micros, time: Micros) {
        self.service.add(time);
        self.on_abandoned();
    }

    /// Frees the slot of an entry that was popped and not served, so that its time doesn't count as
    /// a service time.
    pub fn on_abandoned(&mut self) {
        debug_assert!(self.in_flight > 0, "each slot is freed once");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Number of waiting entries in all classes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.iter().map(ClassQueue::len).sum()
    }

    /// Whether no entry waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of waiting entries in one class.
    #[must_use]
    pub fn class_len(&self, class: &ClassName) -> usize {
        let queue = self.classes.iter().find(|queue| queue.name == *class);
        queue.map_or(0, ClassQueue::len)
    }

    /// Slots in use.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Wait that a new entry of the class can expect.
    #[must_use]
    pub fn expected_wait(&mut self, class: &ClassName, now: Micros) -> Duration {
        let index = self.class_index(class);
        Duration::from_micros(self.predict_wait(index, false, now))
    }

    /// Mean service time.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        Duration::from_micros(self.service.time())
    }

    fn class_index(&mut self, class: &ClassName) -> usize {
        let known = self.classes.iter().position(|queue| queue.name == *class);
        known.unwrap_or_else(|| {
            let queue = ClassQueue::new(class.clone(), ClassSpec::default(), self.policy.retry);
            self.classes.push(queue);
            self.classes.len() - 1
        })
    }

    /// The class with the smallest pass; among equals the one with the largest weight.
    fn next_class(&self) -> Option<usize> {
        let mut best: Option<usize> = None;
        for (index, queue) in self.classes.iter().enumerate() {
            if queue.len() == 0 {
                continue;
            }
            if best.is_none_or(|best| queue.precedes(&self.classes[best])) {
                best = Some(index);
            }
        }
        best
    }

    fn is_admissible(
        &self,
        index: usize,
        entry: &Entry<T>,
        is_retry: bool,
        wait: Micros,
        now: Micros,
    ) -> bool {
        if wait == 0 {
            return entry.deadline > now;
        }
        let service_time = entry.service_time.unwrap_or(self.service.time());
        let end = now.saturating_add(wait).saturating_add(service_time);
        if end > entry.deadline {
            return false;
        }
        // A retry at its due time has its place already; the bounds are for new arrivals.
        is_retry || (self.classes[index].has_capacity() && wait <= micros(self.policy.max_wait))
    }

    /// Expected wait of an entry that joins the class now (µs).
    fn predict_wait(&self, index: usize, is_retry: bool, now: Micros) -> Micros {
        if self.in_flight < self.slots && self.is_empty() {
            return 0;
        }
        let queue = &self.classes[index];
        let rate = self.service.per_sec(self.slots);
        let mut own_places = queue.len_ahead(is_retry) as f64 + 1.0;
        let mut wait = self.time_to_serve(index, own_places, rate, now);
        if !is_retry {
            own_places += queue.schedule.due_by(now + wait) as f64;
            wait = self.time_to_serve(index, own_places, rate, now);
        }
        wait
    }

    /// Time until `own_places` entries of the class are served, together with the entries of other
    /// classes that the scheduler puts before them.
    fn time_to_serve(&self, index: usize, own_places: f64, rate: f64, now: Micros) -> Micros {
        let queue = &self.classes[index];
        let pass = queue.pass_of(own_places, self.pass);
        let mut places = own_places;
        // The arrivals of other classes depend on the wait and the wait on them: two iterations.
        for _ in 0..2 {
            let time = places / rate;
            let mut others = 0.0;
            for (other_index, other) in self.classes.iter().enumerate() {
                if other_index == index {
                    continue;
                }
                let present = other.len() as f64 + other.arrivals(now) * time;
                others += present.min(other.services_before(pass, self.pass));
            }
            places = own_places + others;
        }
        queue.predictor.wait(places, rate)
    }

    /// Requests per second that the class gets while it is backlogged: the measured rate if there
    /// is one, else its weighted share plus its part of what other classes leave unused.
    fn class_rate(&self, index: usize, now: Micros) -> f64 {
        if let Some(rate) = self.classes[index].measured_rate(now) {
            return rate;
        }
        let rate = self.service.per_sec(self.slots);
        let weight = self.classes[index].weight();
        let mut remaining_rate = rate;
        let mut weights: f64 = self.classes.iter().map(ClassQueue::weight).sum();
        let mut contending: Vec<usize> = (0..self.classes.len()).filter(|i| *i != index).collect();
        // Classes that demand less than their share leave the rest to the others.
        loop {
            let unit_rate = remaining_rate / weights;
            let found = contending.iter().position(|other| {
                let queue = &self.classes[*other];
                queue.arrivals(now) < unit_rate * queue.weight()
            });
            let Some(position) = found else {
                return unit_rate * weight;
            };
            let queue = &self.classes[contending.swap_remove(position)];
            remaining_rate -= queue.arrivals(now);
            weights -= queue.weight();
        }
    }

    fn refusal(&mut self, index: usize, key: u64, now: Micros) -> Refusal {
        let rate = self.class_rate(index, now);
        let wait = self.predict_wait(index, false, now);
        let due = self.classes[index]
            .schedule
            .assign(now, key, now + wait, rate);
        let after = Duration::from_micros(due.saturating_sub(now));
        Refusal::not_run(RefusalKind::Overloaded, "too much work is queued").with_retry(after)
    }

    fn expire(&mut self, index: usize, queued: QueuedEntry<T>, now: Micros) {
        let waited = now.saturating_sub(queued.queued_at);
        self.classes[index]
            .predictor
            .learn(queued.predicted_wait, waited);
        let refusal = self.refusal(index, queued.entry.key, now);
        self.expired.push(ExpiredEntry {
            ticket: Ticket(queued.ticket),
            entry: queued.entry,
            refusal,
        });
    }

    fn min_service_time(&self) -> Micros {
        (self.service.time() as f64 * MIN_SERVICE_FRACTION) as Micros
    }

    /// Whether it is too late to serve the entry. One that found a free slot is always tried.
    fn is_late(&self, queued: &QueuedEntry<T>, now: Micros) -> bool {
        queued.predicted_wait > 0 && queued.latest_dispatch(self.min_service_time()) < now
            || queued.entry.deadline <= now
    }
}
