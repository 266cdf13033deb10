//! The queue in front of the dispatch slots.

use std::time::Duration;

use swiftlink_types::{ClassName, Micros, Refusal, RefusalKind};

use crate::book::BookPolicy;
use crate::lane::{Lane, Place, Waiter};
use crate::service::ServiceRate;
use crate::sizer::micros;

/// Part of the expected service time that must be left before the deadline for a
/// waiting entry to be worth a slot. Below 1, since service times vary.
const WORTH: f64 = 0.5;

/// How a priority class is queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassSpec {
    /// Share of the service while the class waits, relative to the other classes'.
    pub weight: u32,
    /// Most entries that wait.
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
    /// Longest wait that new arrivals are admitted to, whatever their deadline.
    pub max_wait: Duration,
    /// Service time taken until one is seen.
    pub first_service: Duration,
    /// How the refused are told when to come back.
    pub book: BookPolicy,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self {
            max_wait: Duration::from_secs(2),
            first_service: Duration::from_secs(1),
            book: BookPolicy::default(),
        }
    }
}

/// One request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// Priority class.
    pub class: ClassName,
    /// Hash that knows a refused request again when it comes back: of workspace and
    /// idempotency key, or of workspace and body if the caller gave no key. 0: none.
    pub key: u64,
    /// Time by which the answer must be whole.
    pub deadline: Micros,
    /// Expected service time, if the caller of the queue knows better than its mean.
    pub expect: Option<Micros>,
    /// What waits.
    pub payload: T,
}

/// Names a waiting entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// An entry that was admitted and can't be served in time after all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GivenUp<T> {
    /// Its ticket.
    pub ticket: Ticket,
    /// The entry.
    pub entry: Entry<T>,
    /// The answer to send at once.
    pub refusal: Refusal,
}

/// Bounded queue of several priority classes.
///
/// Classes share the slots by weight (stride scheduling), first come first served
/// inside a class, where one that was refused before and comes back as told counts
/// as come earlier. An entry is admitted only if its expected wait is within the
/// policy's bound and leaves time to serve it before its deadline; it is given up as
/// soon as that can't be met any more.
#[derive(Debug)]
pub struct Queue<T> {
    policy: QueuePolicy,
    lanes: Vec<Lane<T>>,
    service: ServiceRate,
    slots: usize,
    in_flight: usize,
    next_ticket: u64,
    /// Virtual time of the stride scheduler: the pass last served.
    pass: f64,
    /// Entries that [`Self::pop`] found too late.
    late: Vec<GivenUp<T>>,
}

impl<T> Queue<T> {
    /// An empty queue before `slots` slots.
    #[must_use]
    pub fn new(policy: QueuePolicy, slots: usize) -> Self {
        Self {
            policy,
            lanes: Vec::new(),
            service: ServiceRate::new(policy.first_service),
            slots,
            in_flight: 0,
            next_ticket: 0,
            pass: 0.0,
            late: Vec::new(),
        }
    }

    /// Declares a class or changes it. A class never declared has the default spec.
    pub fn set_class(&mut self, class: &ClassName, spec: ClassSpec) {
        let index = self.lane(class);
        self.lanes[index].set_spec(spec);
    }

    /// Sets the number of slots; those in use above it are not taken away.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Admits an entry, or refuses it with the time to come back.
    ///
    /// # Errors
    /// [`RefusalKind::Overloaded`] when the class's queue is full or the expected
    /// wait is too long; the entry is dropped.
    pub fn push(&mut self, entry: Entry<T>, now: Micros) -> Result<Ticket, Refusal> {
        let index = self.lane(&entry.class);
        self.lanes[index].on_arrival(now);
        let returns = self.lanes[index].book.keep(now, entry.key);
        let wait = self.wait(index, returns, now);
        if wait == 0 {
            self.lanes[index].book.relax(now);
        }
        if !self.is_admissible(index, &entry, returns, wait, now) {
            return Err(self.refuse(index, entry.key, now));
        }
        self.lanes[index].book.strike(entry.key);
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let place = if returns { Place::Returned } else { Place::New };
        let waiter = Waiter {
            ticket: ticket.0,
            since: now,
            predicted: wait,
            entry,
        };
        self.lanes[index].push(waiter, place, self.pass);
        Ok(ticket)
    }

    /// Takes the next entry to dispatch, if a slot is free; the slot is in use until
    /// [`Self::on_done`].
    pub fn pop(&mut self, now: Micros) -> Option<(Ticket, Entry<T>)> {
        if self.in_flight >= self.slots {
            return None;
        }
        loop {
            let index = self.next_lane()?;
            let waiter = self.lanes[index].pop_front()?;
            if self.is_late(&waiter, now) {
                self.give_up(index, waiter, now);
                continue;
            }
            self.pass = self.lanes[index].charge(now);
            let waited = now.saturating_sub(waiter.since);
            self.lanes[index].retry.learn(waiter.predicted, waited);
            self.in_flight += 1;
            return Some((Ticket(waiter.ticket), waiter.entry));
        }
    }

    /// Takes out the entries that can't be served in time any more.
    pub fn expired(&mut self, now: Micros) -> Vec<GivenUp<T>> {
        for index in 0..self.lanes.len() {
            let needed = self.needed_time();
            let late = self.lanes[index].take_late(|waiter| waiter.latest(needed) < now);
            for waiter in late {
                self.give_up(index, waiter, now);
            }
        }
        std::mem::take(&mut self.late)
    }

    /// Takes out all entries that wait: nothing will serve them.
    pub fn drain(&mut self) -> Vec<Entry<T>> {
        let mut entries = Vec::new();
        for lane in &mut self.lanes {
            let waiters = lane.take_late(|_waiter| true);
            entries.extend(waiters.into_iter().map(|waiter| waiter.entry));
        }
        entries
    }

    /// When [`Self::expired`] will next have something, as far as is known.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Micros> {
        if !self.late.is_empty() {
            return Some(0);
        }
        let needed = self.needed_time();
        let latest = self.lanes.iter().filter_map(|lane| lane.next_late(needed));
        latest.min().map(|time| time.saturating_add(1))
    }

    /// Takes out a waiting entry whose caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let mut lanes = self.lanes.iter_mut();
        let waiter = lanes.find_map(|lane| lane.remove(ticket.0))?;
        Some(waiter.entry)
    }

    /// Frees the slot of an entry that was popped and served in `time`.
    pub fn on_done(&mut self, _now: Micros, time: Micros) {
        self.service.add(time);
        self.on_unused();
    }

    /// Frees the slot of an entry that was popped and not served: its time says
    /// nothing of the service.
    pub fn on_unused(&mut self) {
        debug_assert!(self.in_flight > 0, "each slot is freed once");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Entries that wait, in all classes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lanes.iter().map(Lane::len).sum()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Entries that wait in one class.
    #[must_use]
    pub fn class_len(&self, class: &ClassName) -> usize {
        let lane = self.lanes.iter().find(|lane| lane.name == *class);
        lane.map_or(0, Lane::len)
    }

    /// Slots in use.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Wait that a new entry of the class can expect.
    #[must_use]
    pub fn expected_wait(&mut self, class: &ClassName, now: Micros) -> Duration {
        let index = self.lane(class);
        Duration::from_micros(self.wait(index, false, now))
    }

    /// Mean service time.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        Duration::from_micros(self.service.time())
    }

    fn lane(&mut self, class: &ClassName) -> usize {
        let known = self.lanes.iter().position(|lane| lane.name == *class);
        known.unwrap_or_else(|| {
            let lane = Lane::new(class.clone(), ClassSpec::default(), self.policy.book);
            self.lanes.push(lane);
            self.lanes.len() - 1
        })
    }

    /// Lane with the smallest pass; of equals the one with the largest weight.
    fn next_lane(&self) -> Option<usize> {
        let mut best: Option<usize> = None;
        for (index, lane) in self.lanes.iter().enumerate() {
            if lane.len() == 0 {
                continue;
            }
            if best.is_none_or(|best| lane.goes_before(&self.lanes[best])) {
                best = Some(index);
            }
        }
        best
    }

    fn is_admissible(
        &self,
        index: usize,
        entry: &Entry<T>,
        returns: bool,
        wait: Micros,
        now: Micros,
    ) -> bool {
        if wait == 0 {
            return entry.deadline > now;
        }
        let expect = entry.expect.unwrap_or(self.service.time());
        let ends = now.saturating_add(wait).saturating_add(expect);
        if ends > entry.deadline {
            return false;
        }
        // Who comes back as told has its place; the bounds are for new arrivals.
        returns || (self.lanes[index].has_room() && wait <= micros(self.policy.max_wait))
    }

    /// Expected wait of an entry that joins the lane now (µs).
    fn wait(&self, index: usize, returns: bool, now: Micros) -> Micros {
        if self.in_flight < self.slots && self.is_empty() {
            return 0;
        }
        let lane = &self.lanes[index];
        let rate = self.service.per_sec(self.slots);
        let mut own = lane.ahead(returns) as f64 + 1.0;
        let mut wait = self.wait_for(index, own, rate, now);
        if !returns {
            own += lane.book.expected(now + wait) as f64;
            wait = self.wait_for(index, own, rate, now);
        }
        wait
    }

    /// Time until `own` places of the lane are served, with the other lanes' entries
    /// that the scheduler puts before them.
    fn wait_for(&self, index: usize, own: f64, rate: f64, now: Micros) -> Micros {
        let lane = &self.lanes[index];
        let pass = lane.pass_of(own, self.pass);
        let mut places = own;
        // The others' arrivals depend on the wait and the wait on them: two rounds.
        for _ in 0..2 {
            let time = places / rate;
            let mut others = 0.0;
            for (other, rival) in self.lanes.iter().enumerate() {
                if other == index {
                    continue;
                }
                let present = rival.len() as f64 + rival.arrivals(now) * time;
                others += present.min(rival.turns_before(pass, self.pass));
            }
            places = own + others;
        }
        lane.retry.wait(places, rate)
    }

    /// Requests per second that the lane gets while it is never empty: as measured,
    /// or else its weighted share and what the other lanes leave of theirs.
    fn share_rate(&self, index: usize, now: Micros) -> f64 {
        if let Some(rate) = self.lanes[index].measured(now) {
            return rate;
        }
        let rate = self.service.per_sec(self.slots);
        let weight = self.lanes[index].weight();
        let mut left = rate;
        let mut weights: f64 = self.lanes.iter().map(Lane::weight).sum();
        let mut light: Vec<usize> = (0..self.lanes.len()).filter(|i| *i != index).collect();
        // Lanes that ask for less than their share leave the rest to the others.
        loop {
            let unit = left / weights;
            let found = light.iter().position(|other| {
                let lane = &self.lanes[*other];
                lane.arrivals(now) < unit * lane.weight()
            });
            let Some(position) = found else {
                return unit * weight;
            };
            let lane = &self.lanes[light.swap_remove(position)];
            left -= lane.arrivals(now);
            weights -= lane.weight();
        }
    }

    fn refuse(&mut self, index: usize, key: u64, now: Micros) -> Refusal {
        let rate = self.share_rate(index, now);
        let wait = self.wait(index, false, now);
        let due = self.lanes[index].book.book(now, key, now + wait, rate);
        let after = Duration::from_micros(due.saturating_sub(now));
        Refusal::not_run(RefusalKind::Overloaded, "too much work is queued").with_retry(after)
    }

    fn give_up(&mut self, index: usize, waiter: Waiter<T>, now: Micros) {
        let waited = now.saturating_sub(waiter.since);
        self.lanes[index].retry.learn(waiter.predicted, waited);
        let refusal = self.refuse(index, waiter.entry.key, now);
        self.late.push(GivenUp {
            ticket: Ticket(waiter.ticket),
            entry: waiter.entry,
            refusal,
        });
    }

    fn needed_time(&self) -> Micros {
        (self.service.time() as f64 * WORTH) as Micros
    }

    /// Too late to serve. One that found a free slot is always tried.
    fn is_late(&self, waiter: &Waiter<T>, now: Micros) -> bool {
        waiter.predicted > 0 && waiter.latest(self.needed_time()) < now
            || waiter.entry.deadline <= now
    }
}
