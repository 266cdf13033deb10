//! A holder: its grant, its sizer and the requests that wait for quota.

use std::time::Duration;

use swiftlink_admission::{
    ClaimOutcome, ClaimSize, Grant, HolderState, Shortfall, ShortfallAction, Sizing, Waiting,
    shortfall,
};
use swiftlink_types::{Micros, Tokens};
use swiftlink_wire::log::ClaimFate;

use super::ledger::holder_of;
use crate::draw::MS;

/// Expected latency of a relay.
const RELAY_DELAY: Duration = Duration::from_millis(5);
/// Time for which the result of a claim stays valid.
const CLAIM_TTL: Micros = 100 * MS;
/// Expected latency of a claim until one has been measured.
const INITIAL_CLAIM_TIME: Micros = 20 * MS;

/// Result of the last claim.
#[derive(Debug, Default)]
pub(crate) struct ClaimResult {
    /// When the result arrived; `None` before the first claim.
    pub(crate) at: Option<Micros>,
    /// Whether the last claim or return timed out.
    pub(crate) is_log_down: bool,
    /// Free tokens of the budget.
    pub(crate) free: Tokens,
    /// Unspent tokens that other holders have.
    elsewhere: Tokens,
    /// The other holders with the most quota.
    holders: Vec<(usize, Tokens)>,
}

/// A request that waits for quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    /// Index of the request among the arrivals.
    pub(crate) request: usize,
    /// Tokens that the request reserves.
    pub(crate) cost: Tokens,
    /// When the request began to wait.
    pub(crate) since: Micros,
    /// Deadline by which the request must get quota.
    pub(crate) until: Micros,
    /// Whether it may be relayed to another holder.
    pub(crate) may_relay: bool,
}

/// The claim or return that awaits a reply.
#[derive(Debug)]
pub(crate) struct Pending {
    /// When the record was sent.
    pub(crate) since: Micros,
}

/// A holder of quota on the budget.
#[derive(Debug)]
pub(crate) struct Holder {
    pub(crate) grant: Grant,
    pub(crate) sizing: Box<dyn Sizing>,
    pub(crate) last_claim: ClaimResult,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) pending: Option<Pending>,
    /// Sequence number of the last claim.
    pub(crate) seq: u64,
    /// Available tokens below which the demand is evaluated at once.
    pub(crate) low: Tokens,
    /// Number of holders that have quota on the budget, this one included.
    pub(crate) sharers: u32,
    /// Tokens that were ever added to the budget, as far as the holder knows.
    pub(crate) topped_up: Tokens,
    /// Time of the next demand evaluation.
    pub(crate) poll_at: Micros,
    /// Moving average of the latency of claims.
    claim_time: Micros,
}

/// The next action of a holder.
#[derive(Debug)]
pub(crate) enum Action {
    Claim(ClaimSize),
    Return(Tokens),
    /// Nothing; whether a request waits for quota.
    Nothing {
        is_short: bool,
    },
}

impl Holder {
    pub(crate) fn new(sizing: Box<dyn Sizing>) -> Self {
        Self {
            grant: Grant::new(),
            sizing,
            last_claim: ClaimResult::default(),
            waiters: Vec::new(),
            pending: None,
            seq: 0,
            low: 0,
            sharers: 1,
            topped_up: 0,
            poll_at: 0,
            claim_time: INITIAL_CLAIM_TIME,
        }
    }

    /// Evaluates the demand, as the router's claimer does.
    pub(crate) fn poll(&mut self, now: Micros) -> Action {
        let available = self.grant.available();
        self.sizing.observe(now, self.grant.demand());
        let waiting = Waiting {
            min_cost: self.waiters.iter().map(|w| w.cost).min().unwrap_or(0),
            total_cost: self.waiters.iter().map(|w| w.cost).sum(),
        };
        if let Some(size) = self.sizing.claim(now, available, waiting) {
            return Action::Claim(size);
        }
        let is_short = waiting.min_cost > available;
        if !is_short && let Some(extra) = self.sizing.surplus(now, available) {
            let taken = self.grant.shrink(extra);
            return Action::Return(taken);
        }
        Action::Nothing { is_short }
    }

    /// Applies the ledger's decision on a claim.
    pub(crate) fn on_claimed(&mut self, now: Micros, fate: &ClaimFate, credits: u64) {
        if let Some(pending) = self.pending.take() {
            let took = now - pending.since;
            self.claim_time = self.claim_time - self.claim_time / 8 + took / 8;
        }
        let outcome = ClaimOutcome {
            granted: fate.granted,
            free: fate.free,
            held_elsewhere: fate.elsewhere,
            sharers: fate.sharers,
        };
        self.sharers = fate.sharers;
        self.sizing.on_claimed(now, &outcome);
        self.grant.credit(fate.granted * credits);
        let known = |holder: &swiftlink_wire::log::Holder| {
            let index = holder_of(holder.incarnation.as_ref()?)?;
            Some((index, holder.held))
        };
        self.last_claim = ClaimResult {
            at: Some(now),
            is_log_down: false,
            free: fate.free,
            elsewhere: fate.elsewhere,
            holders: fate.holders.iter().filter_map(known).collect(),
        };
    }

    /// Handles the timeout of a claim or return.
    pub(crate) fn on_failed(&mut self, now: Micros) {
        self.sizing.on_failed(now);
        self.last_claim.is_log_down = true;
        self.last_claim.at = Some(now);
    }

    /// Decides what to do with a request that lacks quota; a relay names the holders to try.
    pub(crate) fn decide(
        &self,
        now: Micros,
        waiter: &Waiter,
        has_log: bool,
    ) -> (ShortfallAction, Vec<usize>) {
        let last_claim = &self.last_claim;
        let is_fresh = last_claim
            .at
            .is_some_and(|at| now - at <= CLAIM_TTL || at >= waiter.since);
        let listed: &[(usize, Tokens)] = if waiter.may_relay {
            &last_claim.holders
        } else {
            &[]
        };
        let holdings: Vec<HolderState> = listed.iter().map(|(_, held)| holding(*held)).collect();
        let own = self.grant.counters();
        let step = shortfall(&Shortfall {
            cost: waiter.cost,
            now,
            deadline: waiter.until,
            is_log_up: has_log && !last_claim.is_log_down,
            claim_time: Duration::from_micros(self.claim_time),
            free: is_fresh.then_some(last_claim.free),
            held_elsewhere: last_claim.elsewhere + own.available + own.reserved,
            holders: &holdings,
        });
        let mut peers: Vec<usize> = listed.iter().map(|(index, _)| *index).collect();
        if let ShortfallAction::Relay(index) = step {
            peers.swap(0, index);
        }
        (step, peers)
    }
}

fn holding(held: Tokens) -> HolderState {
    HolderState {
        held,
        relay_time: RELAY_DELAY,
        is_reachable: true,
    }
}
