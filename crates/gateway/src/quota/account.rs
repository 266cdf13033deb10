//! The account of one workspace, and how a router changes it. No I/O.

use std::collections::HashMap;

use bytes::Bytes;
use prost::Message;
use swiftlink_types::Tokens;
use swiftlink_wire::rights::{Account, Holder};

/// Part of what is left that routers hold: use may rise while the store is out of reach. The
/// rest is free for those who run short, and is there after a loss of all machines.
const HELD: f64 = 0.9;
/// Part of the shares that is dealt evenly, for callers who come to another router; the
/// rest goes by the rate of use, since callers mostly stay at their router. Even shares alone
/// measured 0.03 to 0.05 of worth less, 0.13 to 0.21 on quiet days.
const EVEN_PART: f64 = 0.05;
/// Requests of the largest kind that a router's part should cover. When less is left, fewer
/// routers share it: parts of a request's size serve nobody.
const PART_REQUESTS: Tokens = 16;
/// Seconds of its use that a router holds of an account that isn't placed on it: it stands in
/// for holders that are gone, and more rights come within a tenth of a second.
const STAND_IN_SECS: f64 = 2.0;
/// A router gives rights back from this multiple of its target on.
const EXCESS: f64 = 1.3;
/// A router asks for more below this part of its target.
const SHORT: f64 = 0.8;
/// Part of what it holds that a router may spend before it says so.
const STALE_PART: f64 = 0.1;

/// Most tokens that a workspace may have prepaid. Sums over all that an account says stay far
/// below what the figures can hold, and no budget comes near it.
pub const MAX_PREPAID: Tokens = 1 << 60;
/// Most that all figures of an account may come to: each token is held, spent and needed at most,
/// and rates of use are below all three.
const MOST_SUM: u64 = 4 * MAX_PREPAID;

/// Why an account can't be used.
#[derive(Debug, thiserror::Error)]
pub enum AccountError {
    /// Its bytes say something else.
    #[error(transparent)]
    Form(#[from] prost::DecodeError),
    /// Its figures are beyond any budget.
    #[error("its figures come to more than {MOST_SUM}")]
    TooLarge,
}

/// Reads an account.
///
/// # Errors
/// When it is something else, or its sums can't be worked out.
pub fn decode(value: Bytes) -> Result<Account, AccountError> {
    let account = Account::decode(value)?;
    let mut sum = Some(account.closed);
    for holder in &account.holders {
        for figure in [holder.granted, holder.charged, holder.rate, holder.need] {
            sum = sum.and_then(|sum| sum.checked_add(figure));
        }
    }
    match sum {
        Some(sum) if sum <= MOST_SUM => Ok(account),
        _ => Err(AccountError::TooLarge),
    }
}

/// A router's side of an account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stake {
    /// Its VM.
    pub vm: String,
    /// Its process.
    pub process: u64,
    /// The most that it spends, since its start.
    pub granted: Tokens,
    /// What it has spent.
    pub charged: Tokens,
    /// Tokens that running requests hold.
    pub reserved: Tokens,
    /// Tokens a second that are asked for.
    pub rate: u64,
    /// Tokens that waiting requests lack rights for; 0 when none waits.
    pub need: Tokens,
    /// Whether it should hold a part also while it doesn't use it.
    pub is_holder: bool,
    /// Routers that the account is meant to be shared between.
    pub sharers: usize,
    /// Its place among them; the last ones leave what is left to the others first. `None`
    /// where all share alike, however little is left.
    pub rank: Option<usize>,
    /// Tokens of the largest request that it has seen.
    pub largest: Tokens,
    /// Earlier processes on this VM, and the most that each has spent of this account.
    pub ended: HashMap<u64, Tokens>,
}

/// What to write, and what the router may spend once it is written.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The account's new state.
    pub account: Account,
    /// The router's rights in it.
    pub granted: Tokens,
    /// Earlier processes on its VM that it closes.
    pub closed: Vec<Closed>,
}

impl Change {
    /// The router of `process` may spend `granted`, and the account says so.
    pub(super) fn set_granted(&mut self, process: u64, granted: Tokens) {
        self.granted = granted;
        for holder in &mut self.account.holders {
            if holder.process == process {
                holder.granted = granted;
            }
        }
    }
}

/// What is left of `prepaid` by what all routers say that they have spent.
#[must_use]
pub fn rest(account: &Account, prepaid: Tokens) -> Tokens {
    let charged: Tokens = account.holders.iter().map(|holder| holder.charged).sum();
    prepaid.saturating_sub(account.closed + charged)
}

/// What all but `process` have spent, as far as they say.
#[must_use]
pub fn spent_by_others(account: &Account, process: u64) -> Tokens {
    let charged: Tokens = others(account, process).map(|holder| holder.charged).sum();
    account.closed + charged
}

/// Tokens a second that all but `process` use, as far as they say.
#[must_use]
pub fn rate_of_others(account: &Account, process: u64) -> u64 {
    others(account, process).map(|holder| holder.rate).sum()
}

fn others(account: &Account, process: u64) -> impl Iterator<Item = &Holder> {
    let holders = account.holders.iter();
    holders.filter(move |holder| holder.process != process)
}

/// The router's rights as the account has them.
#[must_use]
pub fn granted(account: &Account, process: u64) -> Option<Tokens> {
    let holder = account
        .holders
        .iter()
        .find(|holder| holder.process == process)?;
    Some(holder.granted)
}

/// How `stake` changes the account, if it should.
#[must_use]
pub fn adjust(account: &Account, prepaid: Tokens, stake: &Stake) -> Option<Change> {
    let (mut base, closed) = without(account, stake);
    let target = target(&base, prepaid, stake);
    let unspent = stake.granted.saturating_sub(stake.charged);
    let granted = stake.charged + resize(unspent, target, stake);
    let known = account
        .holders
        .iter()
        .find(|holder| holder.process == stake.process);
    // What an earlier process here held and has spent looks held until it is closed, and callers
    // of the other routers are told to come back for it.
    let is_due = match known {
        _ if !closed.is_empty() => true,
        None => granted > 0 || stake.need > 0,
        Some(known) => {
            let unsaid = stake.charged.saturating_sub(known.charged);
            granted != known.granted
                || known.need != stake.need
                || unsaid as f64 > target as f64 * STALE_PART
        }
    };
    if !is_due {
        return None;
    }
    base.holders.push(Holder {
        vm: stake.vm.clone(),
        process: stake.process,
        granted,
        charged: stake.charged,
        rate: stake.rate,
        need: stake.need,
    });
    Some(Change {
        account: base,
        granted,
        closed,
    })
}

/// The account without this router, which has ended its work.
#[must_use]
pub fn close(account: &Account, stake: &Stake) -> Account {
    let (mut base, _) = without(account, stake);
    base.closed += stake.charged;
    base
}

/// The account without this VM, and the earlier processes on it that are closed: what each has
/// spent at most counts as spent.
fn without(account: &Account, stake: &Stake) -> (Account, Vec<Closed>) {
    let mut base = Account {
        closed: account.closed,
        holders: Vec::with_capacity(account.holders.len() + 1),
    };
    let mut closed = Vec::new();
    for holder in &account.holders {
        if holder.process == stake.process {
            continue;
        }
        let holder = holder.clone();
        if holder.vm != stake.vm {
            base.holders.push(holder);
            continue;
        }
        let counted = spent_at_most(&holder, stake);
        base.closed += counted;
        closed.push(Closed { holder, counted });
    }
    (base, closed)
}

/// What an earlier process on the VM held, and what counts as spent of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Closed {
    /// Its entry in the account.
    pub holder: Holder,
    /// What it has spent at most.
    pub counted: Tokens,
}

/// What an earlier process on this VM has spent at most. One that left no cap may have
/// spent all that it held.
fn spent_at_most(holder: &Holder, stake: &Stake) -> Tokens {
    let most = stake.ended.get(&holder.process).copied();
    let most = most.unwrap_or(Tokens::MAX).max(holder.charged);
    most.min(holder.granted)
}

/// Whether so little is left that the router leaves it to others.
#[must_use]
pub fn is_withdrawn(account: &Account, prepaid: Tokens, stake: &Stake) -> bool {
    if stake.rank.is_none() {
        return false;
    }
    let (others, _) = without(account, stake);
    let left = left(&others, prepaid, stake);
    is_left_out(sharers(left, stake), stake)
}

/// What is left when this router has spent what it says.
fn left(others: &Account, prepaid: Tokens, stake: &Stake) -> Tokens {
    rest(others, prepaid).saturating_sub(stake.charged)
}

/// Whether the router isn't among the `sharers` that are fewer than there might be.
fn is_left_out(sharers: usize, stake: &Stake) -> bool {
    sharers < stake.sharers && stake.rank.is_some_and(|rank| rank >= sharers)
}

/// Routers that share what is left.
fn sharers(left: Tokens, stake: &Stake) -> usize {
    let least = stake.largest * PART_REQUESTS;
    if least == 0 || stake.rank.is_none() {
        return stake.sharers;
    }
    let parts = (left as f64 * HELD) as Tokens / least;
    usize::try_from(parts)
        .unwrap_or(usize::MAX)
        .clamp(1, stake.sharers.max(1))
}

/// Unspent tokens that the router should hold.
fn target(others: &Account, prepaid: Tokens, stake: &Stake) -> Tokens {
    let most = free(others, prepaid, stake.charged);
    let left = left(others, prepaid, stake);
    let count = (others.holders.len() + 1).max(stake.sharers) as f64;
    let rates: u64 = others.holders.iter().map(|holder| holder.rate).sum();
    let rate = (stake.rate + rates) as f64;
    let sharers = sharers(left, stake);
    let left = left as f64;
    let all = left * HELD;
    let even = all / count;
    let wanted = if is_left_out(sharers, stake) || (stake.rate == 0 && !stake.is_holder) {
        0.0
    } else if let Some(rank) = stake.rank {
        // Others ask all holders alike, so their parts are alike.
        if rank < sharers {
            all / sharers as f64
        } else {
            stake.rate as f64 * STAND_IN_SECS
        }
    } else if rate == 0.0 {
        even
    } else {
        let by_rate = all * stake.rate as f64 / rate;
        by_rate * (1.0 - EVEN_PART) + even * EVEN_PART
    };
    let missing: Tokens = others.holders.iter().map(|holder| holder.need).sum();
    let wanted = if missing > free(others, prepaid, stake.granted) {
        // Others wait for what is held here: all that isn't used goes back.
        0
    } else {
        wanted as Tokens
    };
    let least = stake.reserved + stake.need;
    wanted.max(least).min(most).max(stake.reserved)
}

/// What nobody holds when this router holds nothing but what it has spent.
fn free(others: &Account, prepaid: Tokens, charged: Tokens) -> Tokens {
    let held: Tokens = others.holders.iter().map(|holder| holder.granted).sum();
    prepaid.saturating_sub(others.closed + held + charged)
}

/// The router's unspent tokens after the change. Small differences aren't worth a call.
fn resize(unspent: Tokens, target: Tokens, stake: &Stake) -> Tokens {
    let is_short = (unspent as f64) < target as f64 * SHORT;
    let is_excess = unspent as f64 > target as f64 * EXCESS;
    let is_needed = stake.need > 0 && unspent < stake.reserved + stake.need;
    if is_short || is_excess || is_needed {
        target
    } else {
        unspent
    }
}
