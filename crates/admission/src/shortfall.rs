//! What to do with a request that finds too little local quota.

use std::time::Duration;

use swiftlink_types::{Micros, Refusal, RefusalKind, Tokens};

use crate::sizer::micros;

/// A request is relayed to a holder only if the holder had this many times the cost: that figure is
/// old by the time it is used, and a relay to a holder without quota costs a hop.
const HOLDER_MARGIN: Tokens = 2;

/// Another router that holds quota on the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderState {
    /// Tokens that it held at the last report.
    pub held: Tokens,
    /// Time that a relay to it is expected to add.
    pub relay_time: Duration,
    /// Whether it can be reached.
    pub is_reachable: bool,
}

/// What is known when a request finds too little local quota.
#[derive(Clone, Copy, Debug)]
pub struct Shortfall<'a> {
    /// Upper bound of the request's cost.
    pub cost: Tokens,
    /// The current time.
    pub now: Micros,
    /// Latest useful time to dispatch the request.
    pub deadline: Micros,
    /// Whether the log answered recently.
    pub is_log_up: bool,
    /// Expected time until the answer to a claim.
    pub claim_time: Duration,
    /// Tokens free in the budget at the last report; `None` before the first.
    pub free: Option<Tokens>,
    /// Tokens that other routers hold, or that are in quarantine.
    pub held_elsewhere: Tokens,
    /// Other holders; empty when the request was already relayed once.
    pub holders: &'a [HolderState],
}

/// What to do with the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShortfallAction {
    /// Wait for a claim.
    Wait,
    /// Relay the request to the holder with this index.
    Relay(usize),
    /// Refuse it at once.
    Refuse(Refusal),
}

/// Decides between a claim, a relay and a refusal: takes the fastest option that is expected to
/// succeed before the deadline.
#[must_use]
pub fn shortfall(case: &Shortfall<'_>) -> ShortfallAction {
    let claim = claim_time(case);
    let relay = fastest_holder(case);
    match (claim, relay) {
        (Some(claim), Some((_, relay_time))) if claim <= relay_time => ShortfallAction::Wait,
        (_, Some((index, _))) => ShortfallAction::Relay(index),
        (Some(_), None) => ShortfallAction::Wait,
        (None, None) => ShortfallAction::Refuse(refuse(case)),
    }
}

/// Expected time of a claim, if it can bring the quota before the deadline.
fn claim_time(case: &Shortfall<'_>) -> Option<Duration> {
    let may_grant = case.free.is_none_or(|free| free >= case.cost);
    let is_in_time = case.now.saturating_add(micros(case.claim_time)) <= case.deadline;
    (case.is_log_up && may_grant && is_in_time).then_some(case.claim_time)
}

fn fastest_holder(case: &Shortfall<'_>) -> Option<(usize, Duration)> {
    let mut best = None;
    for (index, holder) in case.holders.iter().enumerate() {
        let has_quota = holder.held >= case.cost.saturating_mul(HOLDER_MARGIN);
        let is_in_time = case.now.saturating_add(micros(holder.relay_time)) <= case.deadline;
        if !holder.is_reachable || !has_quota || !is_in_time {
            continue;
        }
        if best.is_none_or(|(_, relay_time)| holder.relay_time < relay_time) {
            best = Some((index, holder.relay_time));
        }
    }
    best
}

fn refuse(case: &Shortfall<'_>) -> Refusal {
    if case.is_log_up
        && let Some(free) = case.free
        && free.saturating_add(case.held_elsewhere) < case.cost
    {
        return Refusal::not_run(RefusalKind::NoBudget, shortage_detail(case, free));
    }
    let retry = case.claim_time.max(Duration::from_secs(1));
    if !case.is_log_up {
        let detail = "no rights are held here and the log can't grant any";
        return Refusal::not_run(RefusalKind::LogUnavailable, detail).with_retry(retry);
    }
    if case.free.is_none_or(|free| free >= case.cost) {
        let detail = "the log is not expected to decide a claim of rights in time";
        return Refusal::not_run(RefusalKind::LogUnavailable, detail).with_retry(retry);
    }
    let detail = "the budget's tokens are held elsewhere";
    Refusal::not_run(RefusalKind::BudgetBusy, detail).with_retry(retry)
}

/// States how much the request needs and how much there is.
fn shortage_detail(case: &Shortfall<'_>, free: Tokens) -> String {
    let Shortfall {
        cost,
        held_elsewhere,
        ..
    } = case;
    let need = format!(
        "the request may cost up to {cost} tokens; {free} tokens of the budget are free now \
         and {held_elsewhere} are held by routers"
    );
    if free == 0 && *held_elsewhere == 0 {
        return need;
    }
    need + "; a model request with a lower max_tokens costs less"
}
