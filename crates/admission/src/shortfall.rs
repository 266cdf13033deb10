//! What a request does that finds no local rights.

use std::time::Duration;

use swiftlink_types::{Micros, Refusal, RefusalKind, Tokens};

use crate::sizer::micros;

/// A holder is asked only when it held this many times the cost: what is known of
/// it is old, and a relay that finds nothing has cost a hop.
const HOLDER_MARGIN: Tokens = 2;

/// Another router that holds rights on the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Rights that it held, as last heard.
    pub held: Tokens,
    /// Time that a relay to it is expected to add.
    pub detour: Duration,
    /// Whether it can be reached.
    pub is_up: bool,
}

/// What is known when a request finds no local rights.
#[derive(Clone, Copy, Debug)]
pub struct Shortfall<'a> {
    /// Cost bound of the request.
    pub cost: Tokens,
    /// The time now.
    pub now: Micros,
    /// Latest useful time to dispatch the request.
    pub deadline: Micros,
    /// Whether the log answered lately.
    pub has_log: bool,
    /// Expected time until the answer to a claim.
    pub claim_time: Duration,
    /// Tokens free in the budget, as last heard; `None` before any news.
    pub free: Option<Tokens>,
    /// Tokens that other routers hold, or that are in quarantine.
    pub elsewhere: Tokens,
    /// Other holders; empty when the request was already relayed once.
    pub holders: &'a [Holding],
}

/// What the request does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for a claim.
    Wait,
    /// Go to the holder with this index.
    Relay(usize),
    /// End at once.
    Refuse(Refusal),
}

/// Decides between a claim, a relay and a refusal: the soonest that is expected to
/// succeed before the deadline.
#[must_use]
pub fn shortfall(case: &Shortfall<'_>) -> Step {
    let claim = claim_time(case);
    let relay = nearest(case);
    match (claim, relay) {
        (Some(claim), Some((_, detour))) if claim <= detour => Step::Wait,
        (_, Some((index, _))) => Step::Relay(index),
        (Some(_), None) => Step::Wait,
        (None, None) => Step::Refuse(refuse(case)),
    }
}

/// Expected time of a claim, if it can bring the rights in time.
fn claim_time(case: &Shortfall<'_>) -> Option<Duration> {
    let may_bring = case.free.is_none_or(|free| free >= case.cost);
    let is_early = case.now.saturating_add(micros(case.claim_time)) <= case.deadline;
    (case.has_log && may_bring && is_early).then_some(case.claim_time)
}

fn nearest(case: &Shortfall<'_>) -> Option<(usize, Duration)> {
    let mut best = None;
    for (index, holder) in case.holders.iter().enumerate() {
        let is_rich = holder.held >= case.cost.saturating_mul(HOLDER_MARGIN);
        let is_early = case.now.saturating_add(micros(holder.detour)) <= case.deadline;
        if !holder.is_up || !is_rich || !is_early {
            continue;
        }
        if best.is_none_or(|(_, detour)| holder.detour < detour) {
            best = Some((index, holder.detour));
        }
    }
    best
}

fn refuse(case: &Shortfall<'_>) -> Refusal {
    if case.has_log
        && let Some(free) = case.free
        && free.saturating_add(case.elsewhere) < case.cost
    {
        return Refusal::not_run(RefusalKind::NoBudget, too_little(case, free));
    }
    let retry = case.claim_time.max(Duration::from_secs(1));
    if !case.has_log {
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

/// How much the request needs and how much there is.
fn too_little(case: &Shortfall<'_>, free: Tokens) -> String {
    let Shortfall {
        cost, elsewhere, ..
    } = case;
    let need = format!(
        "the request may cost up to {cost} tokens; {free} tokens of the budget are free now \
         and {elsewhere} are held by routers"
    );
    if free == 0 && *elsewhere == 0 {
        return need;
    }
    need + "; a model request with a lower max_tokens costs less"
}
