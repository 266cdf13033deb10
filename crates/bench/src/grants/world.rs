//! The run: events in virtual time between holders and the ledger.

use swiftlink_admission::ShortfallAction;
use swiftlink_types::{Micros, RefusalKind, Tokens};

use super::counter::{Counter, count};
use super::event::{Event, Relay, Sent};
use super::holder::{Holder, Move, Pending, Waiter};
use super::ledger::Heard;
use super::ledger::Ledger;
use super::outcome::{Average, Outcome};
use super::setup::{Arrival, Plan, Setup};
use crate::agenda::Agenda;
use crate::draw::{MS, SEC};

/// One-way time between a holder and the ledger.
const HOP: Micros = MS;
/// Least time between appends, and the time of one.
const BATCH: Micros = 5 * MS;
const APPEND: Micros = 10 * MS;
/// Longest wait for rights.
const CLAIM_WAIT: Micros = SEC;
/// Time without an answer after which a claim counts as failed, and then each time.
const SUBMIT_WAIT: Micros = SEC;
/// Time between looks at the demand.
const TICK: Micros = 500 * MS;
/// The same while a request waits that the last answer stands for.
const TOLD_PAUSE: Micros = 5 * MS;
/// Time until a holder hears of a top-up.
const NEWS_LAG: Micros = SEC;
/// Time until a connection that can't be made counts as failed.
const CONNECT: Micros = 500 * MS;
/// Peers that one request is relayed to at most, one after the other.
const PEERS_MAX: usize = 2;

/// One run of one policy.
#[derive(Debug)]
pub struct World<'a> {
    setup: &'a Setup,
    plan: &'a Plan,
    arrivals: &'a [Arrival],
    counter: Counter,
    agenda: Agenda<Event>,
    ledger: Ledger,
    holders: Vec<Holder>,
    /// For each request the peers that are left to ask, once it was relayed.
    relays: Vec<Option<Vec<usize>>>,
    is_flushing: bool,
    spent: Tokens,
    reserved: Tokens,
    held: Average,
    held_cut: Average,
    outcome: Outcome,
}

impl<'a> World<'a> {
    /// A run of `plan` over the demand.
    #[must_use]
    pub fn new(setup: &'a Setup, plan: &'a Plan, arrivals: &'a [Arrival]) -> Self {
        let count_of = setup.weights.len();
        let holders = (0..count_of).map(|_| Holder::new(plan.sizing(count_of)));
        Self {
            setup,
            plan,
            arrivals,
            counter: count(setup, arrivals),
            agenda: Agenda::new(),
            ledger: Ledger::new(count_of),
            holders: holders.collect(),
            relays: vec![None; arrivals.len()],
            is_flushing: false,
            spent: 0,
            reserved: 0,
            held: Average::default(),
            held_cut: Average::default(),
            outcome: Outcome::default(),
        }
    }

    /// Runs to the end.
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
            self.agenda.put(*at, Event::TopUp(index));
        }
        for (index, arrival) in self.arrivals.iter().enumerate() {
            self.agenda.put(arrival.at, Event::Arrive(index));
        }
        self.agenda.put(SEC, Event::Sample);
    }

    fn finish(mut self) -> Outcome {
        for (index, arrival) in self.arrivals.iter().enumerate() {
            if self.counter.taken[index] && self.counter.counted.has(arrival.at) {
                let side = self.outcome.side(self.setup, arrival.holder, arrival.at);
                side.counter += 1;
            }
        }
        self.outcome.requests = self.arrivals.len() as u64;
        self.outcome.void = self.ledger.void;
        self.outcome.moves = self.ledger.moves;
        self.outcome.appends = self.ledger.appends;
        self.outcome.held = self.held.get();
        self.outcome.held_cut = self.held_cut.get();
        self.outcome
    }

    fn step(&mut self, now: Micros, event: Event) {
        match event {
            Event::TopUp(index) => self.top_up(now, index),
            Event::TopUpNews(holder) => self.top_up_news(now, holder),
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
            Event::Silence { holder, since } => self.silence(now, holder, since),
            Event::Submit(holder, sent) => self.submit(now, holder, sent),
            Event::Flush => self.flush(now),
            Event::Commit => self.commit(now),
            Event::Heard(holder, heard) => self.heard(now, holder, heard),
            Event::Relay(relay) => self.relay_to(now, relay),
            Event::Sample => self.sample(now),
        }
    }

    fn top_up(&mut self, now: Micros, index: usize) {
        if let Some(out) = self.setup.out.filter(|out| out.has(now)) {
            return self.agenda.put(out.until, Event::TopUp(index));
        }
        self.ledger.top_up(index, self.setup.top_ups[index].1);
        self.flush_soon(now);
        for holder in 0..self.holders.len() {
            let at = self.after_cut(holder, now + NEWS_LAG);
            self.agenda.put(at, Event::TopUpNews(holder));
        }
    }

    fn top_up_news(&mut self, now: Micros, holder: usize) {
        let known = self.ledger.topped_up();
        let state = &mut self.holders[holder];
        if known > state.topped_up {
            let free = state.news.free + (known - state.topped_up);
            state.topped_up = known;
            state.sizing.on_budget(now, known, free, state.sharers);
        }
        self.poll(now, holder);
    }

    /// A request looks for rights at a holder.
    fn obtain(&mut self, now: Micros, request: usize, holder: usize) {
        if self.take(now, request, holder) {
            return;
        }
        let waiter = Waiter {
            request,
            cost: self.arrivals[request].cost,
            since: now,
            until: now + CLAIM_WAIT,
            may_relay: self.plan.relay && self.relays[request].is_none(),
        };
        self.holders[holder].waiters.push(waiter);
        let until = waiter.until;
        self.agenda.put(until, Event::Deadline { request, holder });
        self.poll(now, holder);
        // The claim's answer may be long known.
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
            side.taken += 1;
        }
        let end = Event::End { request, holder };
        self.agenda.put(now + arrival.time, end);
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
        self.send(now, holder, Sent::Charge(request));
    }

    /// Looks at a holder's demand, and makes its next claim or return.
    fn poll(&mut self, now: Micros, holder: usize) {
        if self.holders[holder].pending.is_some() {
            return;
        }
        let state = &mut self.holders[holder];
        let moved = state.poll(now);
        match moved {
            Move::Claim(size) => {
                state.seq += 1;
                state.pending = Some(Pending { since: now });
                let sent = Sent::Claim {
                    seq: state.seq,
                    need: size.need,
                    want: size.want,
                };
                self.await_answer(now, holder);
                self.send(now, holder, sent);
            }
            Move::Return(amount) => {
                state.pending = Some(Pending { since: now });
                self.await_answer(now, holder);
                self.send(now, holder, Sent::Return(amount));
            }
            Move::Nothing { is_short: true } => {
                state.news.at = Some(now);
                self.poll_at(holder, now + TOLD_PAUSE);
                self.tell(now, holder);
            }
            Move::Nothing { is_short: false } => self.poll_at(holder, now + TICK),
        }
    }

    fn poll_at(&mut self, holder: usize, at: Micros) {
        self.holders[holder].poll_at = at;
        self.agenda.put(at, Event::Poll(holder));
    }

    fn await_answer(&mut self, now: Micros, holder: usize) {
        let silence = Event::Silence { holder, since: now };
        self.agenda.put(now + SUBMIT_WAIT, silence);
    }

    fn silence(&mut self, now: Micros, holder: usize, since: Micros) {
        let state = &mut self.holders[holder];
        if state
            .pending
            .as_ref()
            .is_none_or(|pending| pending.since != since)
        {
            return;
        }
        state.on_failed(now);
        let silence = Event::Silence { holder, since };
        self.agenda.put(now + SUBMIT_WAIT, silence);
        self.tell(now, holder);
    }

    /// All that wait at a holder look again at what is known.
    fn tell(&mut self, now: Micros, holder: usize) {
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
            ShortfallAction::Refuse(refusal) => self.turn_away(now, holder, waiter, refusal.kind),
        }
    }

    fn deadline(&mut self, now: Micros, request: usize, holder: usize) {
        let mut waiters = self.holders[holder].waiters.iter();
        let Some(waiter) = waiters.find(|waiter| waiter.request == request) else {
            return;
        };
        let waiter = *waiter;
        self.turn_away(now, holder, waiter, RefusalKind::LogUnavailable);
    }

    /// The request gets nothing at this holder.
    fn turn_away(&mut self, now: Micros, holder: usize, waiter: Waiter, kind: RefusalKind) {
        if waiter.may_relay && kind != RefusalKind::NoBudget {
            // As the router does: it asks some peers even without knowing holders.
            let count = self.holders.len();
            let peers = (1..=PEERS_MAX).map(|step| (holder + waiter.request * step + 1) % count);
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
        peers.truncate(PEERS_MAX);
        peers.reverse();
        self.relays[waiter.request] = Some(peers);
        self.next_peer(now, waiter.request);
    }

    /// Sends the request to the next peer, or ends it.
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
        let is_cut = self.setup.is_cut(origin, now) != self.setup.is_cut(peer, now);
        let relay = Relay {
            request,
            peers: vec![peer],
        };
        if is_cut {
            let none = Relay {
                request,
                peers: Vec::new(),
            };
            return self.agenda.put(now + CONNECT, Event::Relay(none));
        }
        self.agenda.put(now + HOP, Event::Relay(relay));
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
        side.with_rest += 1;
        side.false_refused += u64::from(self.counter.taken[request]);
    }

    fn leave(&mut self, holder: usize, request: usize) {
        let waiters = &mut self.holders[holder].waiters;
        waiters.retain(|waiter| waiter.request != request);
    }

    /// A record goes to the ledger; behind a cut, once it is over.
    fn send(&mut self, now: Micros, holder: usize, sent: Sent) {
        let at = self.after_cut(holder, now + HOP);
        self.agenda.put(at, Event::Submit(holder, sent));
    }

    fn submit(&mut self, now: Micros, holder: usize, sent: Sent) {
        match sent {
            Sent::Claim { seq, need, want } => self.ledger.claim(holder, seq, need, want),
            Sent::Return(amount) => self.ledger.give_back(holder, amount),
            Sent::Charge(request) => {
                let arrival = &self.arrivals[request];
                self.ledger.charge(holder, request, arrival, now);
            }
        }
        self.flush_soon(now);
    }

    fn flush_soon(&mut self, now: Micros) {
        if !self.is_flushing {
            self.is_flushing = true;
            self.agenda.put(now + BATCH, Event::Flush);
        }
    }

    fn flush(&mut self, now: Micros) {
        let at = match self.setup.out.filter(|out| out.has(now)) {
            Some(out) => out.until,
            None => now + APPEND,
        };
        self.agenda.put(at, Event::Commit);
    }

    fn commit(&mut self, now: Micros) {
        let heard = self.ledger.commit();
        self.is_flushing = false;
        for (holder, heard) in heard {
            let at = self.after_cut(holder, now + HOP);
            self.agenda.put(at, Event::Heard(holder, heard));
        }
        if self.ledger.is_waiting() {
            self.flush_soon(now);
        }
    }

    fn heard(&mut self, now: Micros, holder: usize, heard: Heard) {
        let state = &mut self.holders[holder];
        match heard {
            Heard::Claim(fate) => state.on_claimed(now, &fate, self.plan.credits),
            Heard::Returned => state.pending = None,
        }
        self.poll(now, holder);
        self.tell(now, holder);
    }

    /// A moment, or the end of the cut that the holder is behind then.
    fn after_cut(&self, holder: usize, at: Micros) -> Micros {
        match self.setup.cut {
            Some(cut) if self.setup.is_cut(holder, at) => cut.until,
            _ => at,
        }
    }

    fn sample(&mut self, now: Micros) {
        self.agenda.put(now + SEC, Event::Sample);
        if !self.counter.counted.has(now) {
            return;
        }
        let mut all = 0;
        let mut cut = 0;
        for (index, holder) in self.holders.iter().enumerate() {
            let free = holder.grant.available();
            all += free;
            if self.setup.is_cut(index, now) {
                cut += free;
            }
        }
        self.held.add(all as f64);
        if self.setup.cut.is_some_and(|window| window.has(now)) {
            self.held_cut.add(cut as f64);
        }
        self.outcome.left = all;
    }
}
