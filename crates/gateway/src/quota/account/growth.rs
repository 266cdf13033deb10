//! Limits how much of a budget routers may claim within a few seconds. No I/O.
//!
//! A store that can go back to an older copy of itself (`Store::may_go_back`) forgets the claims of
//! the last seconds then. If the routers that made them have ended too, nobody knows what they spent.
//! So each account withholds a part of the budget from all routers. [`Account::withheld`] has the
//! tokens that are withheld now, and those that will be after each of the next `STEPS` steps, which
//! are at least [`step_time`] apart. A new value always goes behind the last of them. So a copy that
//! lacks less than `STEPS` of these times shows the most that can have been claimed after it. An
//! account that lists nothing withholds nothing.

use std::time::Duration;

use swiftlink_types::Tokens;
use swiftlink_wire::rights::Account;
use tokio::time::Instant;

/// Fraction of a budget that is not withheld. Routers that all end as the store goes back strand no
/// more than that, so the rest of the budget is spent in any case. Once the rest is spent nothing is
/// withheld: tokens that routers may not hold are missing while they can't reach each other.
const FRACTION: f64 = 0.74;
/// Tokens that are never withheld: the largest request of a model with a context of 128k tokens.
/// With less, such a request would never be served by a small budget.
const MIN_TOKENS: Tokens = 131_072;
/// Steps that are recorded ahead.
const STEPS: usize = 6;

/// Shortest time between two steps, where a copy of the store may lack up to `copy_lag`.
#[must_use]
pub fn step_time(copy_lag: Duration) -> Duration {
    copy_lag / STEPS as u32
}

/// The tokens to withhold once all routers have spent `spent` of `prepaid`.
#[must_use]
pub fn withheld(spent: Tokens, prepaid: Tokens) -> Tokens {
    let left = prepaid.saturating_sub(spent);
    let free = (prepaid as f64 * FRACTION) as Tokens;
    left.saturating_sub(free.max(MIN_TOKENS))
}

/// The most tokens of `prepaid` that may be spent or held now. All of a budget that was raised since
/// the account was written may be claimed beyond that.
pub(super) fn limit(account: &Account, prepaid: Tokens) -> Tokens {
    let withheld = account.withheld.first().copied().unwrap_or(0);
    prepaid.saturating_sub(withheld)
}

/// Tokens that may have been granted beyond `committed`, which is all that an account grants or
/// counts as spent, in claims that the store lost when it went back to it. An account of a build
/// without this limit doesn't bound them.
pub(super) fn lost(account: &Account, committed: Tokens, prepaid: Tokens) -> Tokens {
    let withheld = account.withheld.iter().min().copied().unwrap_or(0);
    prepaid.saturating_sub(withheld.saturating_add(committed))
}

/// The tokens that an account withholds now and after each step, once it has taken `taken` steps and
/// `last` are to be withheld.
pub(super) fn next_withheld(account: &Account, last: Tokens, taken: usize) -> Vec<Tokens> {
    let mut steps = account.withheld.clone();
    if steps.is_empty() && last == 0 {
        return steps;
    }
    if steps.len() != STEPS + 1 {
        return vec![last; STEPS + 1];
    }
    if taken == 0 {
        return steps;
    }
    let announced = steps[STEPS];
    steps.drain(..taken.min(STEPS));
    steps.resize(STEPS, announced);
    steps.push(last);
    steps
}

/// How much of an account is withheld, as a request sees it.
#[derive(Debug)]
pub struct Growth {
    withheld: Vec<Tokens>,
    /// When the next step may be taken.
    due: Instant,
    step: Duration,
}

impl Growth {
    /// What `account` withholds. It takes the first step after `due`, and then one every `step`.
    pub(in crate::quota) fn new(account: &Account, due: Instant, step: Duration) -> Self {
        Self {
            withheld: account.withheld.clone(),
            due,
            step,
        }
    }

    /// Time from `now` until `tokens` in total may be spent of `prepaid`; zero if they may be now.
    #[must_use]
    pub fn time_until(&self, tokens: Tokens, prepaid: Tokens, now: Instant) -> Duration {
        let mut steps = self.withheld.iter();
        let covers = |withheld: &Tokens| prepaid.saturating_sub(*withheld) >= tokens;
        match steps.position(covers).unwrap_or(self.withheld.len()) as u32 {
            0 => Duration::ZERO,
            steps => self.due.saturating_duration_since(now) + self.step * (steps - 1),
        }
    }
}
