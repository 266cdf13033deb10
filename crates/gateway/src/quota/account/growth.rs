//! Limits how much of a budget routers may claim within a few seconds. No I/O.
//!
//! A store that goes back to an older copy of itself forgets the claims of the last seconds. If the
//! routers that made them have ended too, nobody knows what they spent. So the account holds
//! [`Account::marks`]: what was recorded as spent at earlier moments, at least [`step`] apart. All
//! that is granted stays within [`limit`] of the first mark, and a change moves the marks on by one
//! at most. A copy that lacks less than [`MARKS`] - 1 steps then bounds what was granted after it:
//! that is the [`limit`] of its last mark.

use std::time::Duration;

use swiftlink_types::Tokens;
use swiftlink_wire::rights::Account;
use tokio::time::Instant;

/// Fraction of the tokens that remained at a mark which may be claimed while that mark is the
/// first. All routers that end as the store goes back strand that fraction, which has to leave a
/// quarter of a budget; with a smaller one, budgets that end soon are refused earlier.
const FRACTION: f64 = 0.7;
/// Fraction of all prepaid tokens that may be claimed at any mark. It keeps a budget that lasts a
/// minute or more from being refused near its end.
const PREPAID_FRACTION: f64 = 0.3;
/// Tokens that may be claimed at any mark: the largest request of a model with a context of 128k
/// tokens. With less, such a request would never be served near the end of a budget.
const MIN_TOKENS: Tokens = 131_072;
/// Marks of an account: the limit in force, and those that follow it step by step.
const MARKS: usize = 4;

/// Shortest time between two moves of the marks, where a copy of the store may lack up to
/// `copy_lag`.
#[must_use]
pub fn step(copy_lag: Duration) -> Duration {
    copy_lag / (MARKS as u32 - 1)
}

/// The most tokens of `prepaid` that may be spent or held while `mark` is the first mark.
#[must_use]
pub fn limit(mark: Tokens, prepaid: Tokens) -> Tokens {
    let left = prepaid.saturating_sub(mark);
    let allowed = (left as f64 * FRACTION).max(prepaid as f64 * PREPAID_FRACTION);
    mark + (allowed as Tokens).max(MIN_TOKENS).min(left)
}

/// The most tokens of `prepaid` that may be spent or held now. An account that no router has
/// changed yet allows what one without any spending does.
pub(super) fn limit_now(account: &Account, prepaid: Tokens) -> Tokens {
    limit(account.marks.first().copied().unwrap_or(0), prepaid)
}

/// Tokens that may have been granted beyond what `account` grants or counts as spent, in claims that
/// the store lost when it went back to it. An account of a build without marks doesn't limit them.
pub(super) fn lost(account: &Account, committed: Tokens, prepaid: Tokens) -> Tokens {
    let mark = account.marks.last();
    let limit = mark.map_or(prepaid, |mark| limit(*mark, prepaid));
    limit.saturating_sub(committed)
}

/// The marks of an account that records `spent` tokens. They move on by one if `is_due`.
pub(super) fn next_marks(account: &Account, spent: Tokens, is_due: bool) -> Vec<Tokens> {
    let mut marks = account.marks.clone();
    if marks.len() != MARKS {
        return vec![spent; MARKS];
    }
    if is_due {
        marks.rotate_left(1);
        marks[MARKS - 1] = spent.max(marks[MARKS - 2]);
    }
    marks
}

/// The marks of an account, as a request sees them.
#[derive(Debug)]
pub struct Growth {
    marks: Vec<Tokens>,
    /// When the marks may move on by one.
    due: Instant,
    step: Duration,
}

impl Growth {
    /// The marks of an account, which move on after `due` and then every `step`.
    pub(in crate::quota) fn new(account: &Account, due: Instant, step: Duration) -> Self {
        Self {
            marks: account.marks.clone(),
            due,
            step,
        }
    }

    /// Time from `now` until `tokens` in total may be spent of `prepaid`; zero if they may be now.
    #[must_use]
    pub fn time_until(&self, tokens: Tokens, prepaid: Tokens, now: Instant) -> Duration {
        let mut marks = self.marks.iter();
        let moves = marks.position(|mark| limit(*mark, prepaid) >= tokens);
        match moves.unwrap_or(self.marks.len()) as u32 {
            0 => Duration::ZERO,
            moves => self.due.saturating_duration_since(now) + self.step * (moves - 1),
        }
    }
}
