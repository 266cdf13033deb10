//! The simulation: events in virtual time between holders and the ledger.

use swiftlink_admission::ShortfallAction;
use swiftlink_types::{Micros, RefusalKind, Tokens};

use super::counter::{Counter, count};
use super::event::{Event, Relay, Submission};
use super::holder::{Action, Holder, Pending, Waiter};
use super::ledger::Ledger;
use super::ledger::LedgerReply;
use super::outcome::{Average, Outcome};
use super::setup::{Arrival, PolicySpec, Setup};
use crate::agenda::Agenda;
use crate::draw::{MS, SEC};

/// One-way latency between a holder and the ledger.
const HOP_DELAY: Micros = MS;
/// Minimum interval between appends, and the latency of one.
const BATCH: Micros = 5 * MS;
const APPEND: Micros = 10 * MS;
/// Maximum wait of a request for quota.
const CLAIM_TIMEOUT: Micros = SEC;
/// Time without a reply after which a claim counts as failed; repeats until a reply.
const SUBMIT_TIMEOUT: Micros = SEC;
/// Interval between demand evaluations.
const POLL_INTERVAL: Micros = 500 * MS;
/// Evaluation interval while a request waits but the last claim result still stands.
const WAITER_POLL_INTERVAL: Micros = 5 * MS;
/// Delay until a holder learns of a top-up.
const TOP_UP_DELAY: Micros = SEC;
/// Connection timeout.
const CONNECT_TIMEOUT: Micros = 500 * MS;
/// Maximum peers that one request is relayed to, in sequence.
const MAX_PEERS: usize = 2;

/// A simulation of one policy.
#[derive(Debug)]
pub struct Simulation<'a> {
    setup: &'a Setup,
    policy: &'a PolicySpec,
    arrivals: &'a [Arrival],
    counter: Counter,
    agenda: Agenda<Event>,
    ledger: Ledger,
    holders: Vec<Holder>,
    /// Remaining candidate peers of each relayed request.
    relays: Vec<Option<Vec<usize>>>,
    is_flushing: bool,
    spent: Tokens,
    reserved: Tokens,
    held: Average,
    held_partitioned: Average,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation of `plan` over the demand.
    #[must_use]
    pub fn new(setup: &'a Setup, policy: &'a PolicySpec, arrivals: &'a [Arrival]) -> Self {
        let holder_count = setup.weights.len();
        let holders = (0..holder_count).map(|_| Holder::new(policy.sizing(holder_count)));
        Self {
            setup,
            policy,
            arrivals,
            counter: count(setup, arrivals),
            agenda: Agenda::new(),
            ledger: Ledger::new(holder_count),
            holders: holders.collect(),
            relays: vec![None; arrivals.len()],
            is_flushing: false,
            spent: 0,
            reserved: 0,
            held: Average::default(),
            held_partitioned: Average::default(),
            outcome: Outcome::default(),
        }
    }

    /// Runs the simulation to its end.
    #[must_use]
    pub fn run(mut self) -> Outcome {
        self.begin();
        while let Some((now, event)) = self.agenda.pop() {
            if now >= self.setup.length {
                break;
            }
            self.step(now, event);
        }
        self.finish()
    }

    fn begin(&mut self) {
        for (index, (at, _)) in self.setup.top_ups.iter().enumerate() {
            self.agenda.schedule(*at, Event::TopUp(index));
        }
        for (index, arrival) in self.arrivals.iter().enumerate() {
            self.agenda.schedule(arrival.at, Event::Arrive(index));
        }
        self.agenda.schedule(SEC, Event::Sample);
    }

    fn finish(mut self) -> Outcome {
        for (index, arrival) in self.arrivals.iter().enumerate() {
            if self.counter.admitted[index] && self.counter.counted.has(arrival.at) {
                let side = self.outcome.side(self.setup, arrival.holder, arrival.at);
                side.counter += 1;
            }
        }
        self.outcome.requests = self.arrivals.len() as u64;
        self.outcome.void_charges = self.ledger.void_charges;
        self.outcome.transfers = self.ledger.transfers;
        self.outcome.appends = self.ledger.appends;
        self.outcome.held = self.held.get();
        self.outcome.held_partitioned = self.held_partitioned.get();
        self.outcome
    }

    fn step(&mut self, now: Micros, event: Event) {
        match event {
            Event::TopUp(index) => self.top_up(now, index),
            Event::TopUpVisible(holder) => self.on_top_up_visible(now, holder),
            Event::Arrive(request) => {
                let holder = self.arrivals[request].holder;
                self.obtain(now, request, holder);
            }
            Event::End { request, holder } => self.end(now, request, holder),
            Event::Poll(holder) => {
                if self.holders[holder].poll_at == now {
                    self.poll(now, holder);
                }
            }
            Event::Deadline { request, holder } => self.deadline(now, request, holder),
            Event::Timeout { holder, since } => self.on_timeout(now, holder, since),
            Event::Submit(holder, submission) => self.submit(now, holder, submission),
            Event::Flush => self.flush(now),
            Event::Commit => self.commit(now),
            Event::LedgerReply(holder, reply) => self.on_reply(now, holder, reply),
            Event::Relay(relay) => self.relay_to(now, relay),
            Event::Sample => self.sample(now),
        }
    }

    fn top_up(&mut self, now: Micros, index: usize) {
        if let Some(log_outage) = self
            .setup
            .log_outage
            .filter(|log_outage| log_outage.has(now))
        {
            return self.agenda.schedule(log_outage.until, Event::TopUp(index));
        }
        self.ledger.top_up(index, self.setup.top_ups[index].1);
        self.flush_soon(now);
        for holder in 0..self.holders.len() {
            let at = self.after_partition(holder, now + TOP_UP_DELAY);
            self.agenda.schedule(at, Event::TopUpVisible(holder));
        }
    }

    fn on_top_up_visible(&mut self, now: Micros, holder: usize) {
        let known = self.ledger.topped_up();
        let state = &mut self.holders[holder];
        if known > state.topped_up {
            let free = state.last_claim.free + (known - state.topped_up);
            state.topped_up = known;
            state.sizing.on_budget(now, known, free, state.sharers);
        }
        self.poll(now, holder);
    }

    /// Tries to reserve quota for a request at a holder.
    fn obtain(&mut self, now: Micros, request: usize, holder: usize) {
        if self.take(now, request, holder) {
            return;
        }
        let waiter = Waiter {
            request,
            cost: self.arrivals[request].cost,
            since: now,
            until: now + CLAIM_TIMEOUT,
            may_relay: self.policy.relay && self.relays[request].is_none(),
        };
        self.holders[holder].waiters.push(waiter);
        let until = waiter.until;
        self.agenda
            .schedule(until, Event::Deadline { request, holder });
        self.poll(now, holder);
        // An earlier claim result may already decide the request.
        if self.is_waiting(holder, request) {
            self.decide(now, holder, waiter);
        }
    }

    fn is_waiting(&self, holder: usize, request: usize) -> bool {
        let mut waiters = self.holders[holder].waiters.iter();
        waiters.any(|waiter| waiter.request == request)
    }

    fn take(&mut self, now: Micros, request: usize, holder: usize) -> bool {
        let arrival = self.arrivals[request];
        let state = &mut self.holders[holder];
        if state.grant.reserve(arrival.cost).is_none() {
            return false;
        }
        let is_low = state.grant.available() < state.low;
        self.reserved += arrival.cost;
        if self.counter.counted.has(arrival.at) {
            let side = self.outcome.side(self.setup, arrival.holder, arrival.at);
            side.admitted += 1;
        }
        let end = Event::End { request, holder };
        self.agenda.schedule(now + arrival.time, end);
        if is_low {
            self.poll(now, holder);
        }
        true
    }

    fn end(&mut self, now: Micros, request: usize, holder: usize) {
        let arrival = self.arrivals[request];
        self.holders[holder]
            .grant
            .settle(arrival.cost, arrival.spend);
        self.reserved -= arrival.cost;
        self.spent += arrival.spend;
        let over = self.spent.saturating_sub(self.ledger.topped_up());
        self.outcome.overspend = self.outcome.overspend.max(over);
        self.send(now, holder, Submission::Charge(request));
    }

    /// Evaluates a holder's demand, and submits its next claim or return.
    fn poll(&mut self, now: Micros, holder: usize) {
        if self.holders[holder].pending.is_some() {
            return;
        }
        let state = &mut self.holders[holder];
        let moved = state.poll(now);
        match moved {
            Action::Claim(size) => {
                state.seq += 1;
                state.pending = Some(Pending { since: now });
                let submission = Submission::Claim {
                    seq: state.seq,
                    need: size.need,
                    want: size.want,
                };
                self.await_answer(now, holder);
                self.send(now, holder, submission);
            }
            Action::Return(amount) => {
                state.pending = Some(Pending { since: now });
                self.await_answer(now, holder);
                self.send(now, holder, Submission::Return(amount));
            }
            Action::Nothing { is_short: true } => {
                state.last_claim.at = Some(now);
                self.poll_at(holder, now + WAITER_POLL_INTERVAL);
                self.retry_waiters(now, holder);
            }
            Action::Nothing { is_short: false } => self.poll_at(holder, now + POLL_INTERVAL),
        }
    }

    fn poll_at(&mut self, holder: usize, at: Micros) {
        self.holders[holder].poll_at = at;
        self.agenda.schedule(at, Event::Poll(holder));
    }

    fn await_answer(&mut self, now: Micros, holder: usize) {
        let timeout = Event::Timeout { holder, since: now };
        self.agenda.schedule(now + SUBMIT_TIMEOUT, timeout);
    }

    fn on_timeout(&mut self, now: Micros, holder: usize, since: Micros) {
        let state = &mut self.holders[holder];
        if state
            .pending
            .as_ref()
            .is_none_or(|pending| pending.since != since)
        {
            return;
        }
        state.on_failed(now);
        let timeout = Event::Timeout { holder, since };
        self.agenda.schedule(now + SUBMIT_TIMEOUT, timeout);
        self.retry_waiters(now, holder);
    }

    /// Decides all requests waiting at a holder again, with its current state.
    fn retry_waiters(&mut self, now: Micros, holder: usize) {
        let waiters = self.holders[holder].waiters.clone();
        for waiter in waiters {
            if self.take(now, waiter.request, holder) {
                self.leave(holder, waiter.request);
                continue;
            }
            self.decide(now, holder, waiter);
        }
    }

    fn decide(&mut self, now: Micros, holder: usize, waiter: Waiter) {
        let has_log = self.setup.has_log(holder, now);
        let (step, peers) = self.holders[holder].decide(now, &waiter, has_log);
        match step {
            ShortfallAction::Wait => {}
            ShortfallAction::Relay(_) => self.relay(now, holder, waiter, peers),
            ShortfallAction::Refuse(refusal) => self.fall_back(now, holder, waiter, refusal.kind),
        }
    }

    fn deadline(&mut self, now: Micros, request: usize, holder: usize) {
        let mut waiters = self.holders[holder].waiters.iter();
        let Some(waiter) = waiters.find(|waiter| waiter.request == request) else {
            return;
        };
        let waiter = *waiter;
        self.fall_back(now, holder, waiter, RefusalKind::LogUnavailable);
    }

    /// Handles a request that this holder can't serve: relays or refuses it.
    fn fall_back(&mut self, now: Micros, holder: usize, waiter: Waiter, kind: RefusalKind) {
        if waiter.may_relay && kind != RefusalKind::NoBudget {
            // Like the router, try some peers even if no holders are known.
            let count = self.holders.len();
            let peers = (1..=MAX_PEERS).map(|step| (holder + waiter.request * step + 1) % count);
            let peers = peers.filter(|peer| *peer != holder).collect();
            return self.relay(now, holder, waiter, peers);
        }
        self.leave(holder, waiter.request);
        self.holders[holder].grant.miss(waiter.cost);
        self.next_peer(now, waiter.request);
    }

    fn relay(&mut self, now: Micros, holder: usize, waiter: Waiter, peers: Vec<usize>) {
        self.leave(holder, waiter.request);
        self.holders[holder].grant.miss(waiter.cost);
        self.outcome.relayed += 1;
        let mut peers = peers;
        peers.truncate(MAX_PEERS);
        peers.reverse();
        self.relays[waiter.request] = Some(peers);
        self.next_peer(now, waiter.request);
    }

    /// Relays the request to the next peer, or refuses it if none is left.
    fn next_peer(&mut self, now: Micros, request: usize) {
        let left = self.relays[request].take();
        let Some(mut peers) = left else {
            return self.refuse(now, request);
        };
        let next = peers.pop();
        self.relays[request] = Some(peers);
        let Some(peer) = next else {
            return self.refuse(now, request);
        };
        let origin = self.arrivals[request].holder;
        let is_partitioned =
            self.setup.is_partitioned(origin, now) != self.setup.is_partitioned(peer, now);
        let relay = Relay {
            request,
            peers: vec![peer],
        };
        if is_partitioned {
            let none = Relay {
                request,
                peers: Vec::new(),
            };
            return self
                .agenda
                .schedule(now + CONNECT_TIMEOUT, Event::Relay(none));
        }
        self.agenda.schedule(now + HOP_DELAY, Event::Relay(relay));
    }

    fn relay_to(&mut self, now: Micros, relay: Relay) {
        match relay.peers.first() {
            Some(peer) => self.obtain(now, relay.request, *peer),
            None => self.next_peer(now, relay.request),
        }
    }

    fn refuse(&mut self, _now: Micros, request: usize) {
        let arrival = self.arrivals[request];
        if !self.counter.counted.has(arrival.at) {
            return;
        }
        let left = self.ledger.topped_up() as i128 - i128::from(self.spent + self.reserved);
        let side = self.outcome.side(self.setup, arrival.holder, arrival.at);
        side.refused += 1;
        if left < i128::from(arrival.cost) {
            return;
        }
        side.funded_refused += 1;
        side.false_refused += u64::from(self.counter.admitted[request]);
    }

    fn leave(&mut self, holder: usize, request: usize) {
        let waiters = &mut self.holders[holder].waiters;
        waiters.retain(|waiter| waiter.request != request);
    }

    /// Sends a record to the ledger; during a partition, delays it until the partition ends.
    fn send(&mut self, now: Micros, holder: usize, submission: Submission) {
        let at = self.after_partition(holder, now + HOP_DELAY);
        self.agenda.schedule(at, Event::Submit(holder, submission));
    }

    fn submit(&mut self, now: Micros, holder: usize, submission: Submission) {
        match submission {
            Submission::Claim { seq, need, want } => self.ledger.claim(holder, seq, need, want),
            Submission::Return(amount) => self.ledger.give_back(holder, amount),
            Submission::Charge(request) => {
                let arrival = &self.arrivals[request];
                self.ledger.charge(holder, request, arrival, now);
            }
        }
        self.flush_soon(now);
    }

    fn flush_soon(&mut self, now: Micros) {
        if !self.is_flushing {
            self.is_flushing = true;
            self.agenda.schedule(now + BATCH, Event::Flush);
        }
    }

    fn flush(&mut self, now: Micros) {
        let at = match self
            .setup
            .log_outage
            .filter(|log_outage| log_outage.has(now))
        {
            Some(log_outage) => log_outage.until,
            None => now + APPEND,
        };
        self.agenda.schedule(at, Event::Commit);
    }

    fn commit(&mut self, now: Micros) {
        let replies = self.ledger.commit();
        self.is_flushing = false;
        for (holder, reply) in replies {
            let at = self.after_partition(holder, now + HOP_DELAY);
            self.agenda.schedule(at, Event::LedgerReply(holder, reply));
        }
        if self.ledger.is_waiting() {
            self.flush_soon(now);
        }
    }

    fn on_reply(&mut self, now: Micros, holder: usize, reply: LedgerReply) {
        let state = &mut self.holders[holder];
        match reply {
            LedgerReply::Claim(fate) => state.on_claimed(now, &fate, self.policy.credits),
            LedgerReply::Returned => state.pending = None,
        }
        self.poll(now, holder);
        self.retry_waiters(now, holder);
    }

    /// Returns the given time, or the end of the partition that the holder is in then.
    fn after_partition(&self, holder: usize, at: Micros) -> Micros {
        match self.setup.partition {
            Some(partition) if self.setup.is_partitioned(holder, at) => partition.until,
            _ => at,
        }
    }

    fn sample(&mut self, now: Micros) {
        self.agenda.schedule(now + SEC, Event::Sample);
        if !self.counter.counted.has(now) {
            return;
        }
        let mut all = 0;
        let mut partitioned = 0;
        for (index, holder) in self.holders.iter().enumerate() {
            let free = holder.grant.available();
            all += free;
            if self.setup.is_partitioned(index, now) {
                partitioned += free;
            }
        }
        self.held.add(all as f64);
        if self.setup.partition.is_some_and(|window| window.has(now)) {
            self.held_partitioned.add(partitioned as f64);
        }
        self.outcome.left = all;
    }
}
