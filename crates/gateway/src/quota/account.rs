//! The account of one workspace, and how a router changes it. No I/O.

pub mod growth;

use std::collections::HashMap;

use bytes::Bytes;
use prost::Message;
use swiftlink_types::Tokens;
use swiftlink_wire::rights::{Account, Holder};

/// Fraction of the remaining tokens that routers hold: use may rise while the store is
/// unreachable. The rest is free for routers that run short, and stays available after a loss of
/// all machines.
const HELD_FRACTION: f64 = 0.9;
/// Fraction of the shares that is divided evenly, for callers who move to another router. The rest
/// is divided by the rate of use, since callers mostly stay at their router. Even shares alone had
/// a benchmark score that was 0.03 to 0.05 lower, 0.13 to 0.21 lower on quiet days.
const EVEN_FRACTION: f64 = 0.05;
/// Requests of the largest size that a router's share should cover. When less remains, fewer
/// routers share it: shares smaller than a request are useless.
const REQUESTS_PER_SHARE: Tokens = 16;
/// Seconds of its own use that a router holds of an account that isn't placed on it. It replaces
/// holders that are gone, and can claim more within a tenth of a second.
const NON_HOLDER_SECS: f64 = 2.0;
/// A router returns quota when it holds more than this multiple of its target.
const RETURN_ABOVE: f64 = 1.3;
/// A router claims quota when it holds less than this fraction of its target.
const CLAIM_BELOW: f64 = 0.8;
/// Fraction of its target that a router may spend before it records that in the account.
const UNREPORTED_FRACTION: f64 = 0.1;
/// A router writes the account to take a step when the tokens that may be spent are less than this
/// fraction of what they would be after all steps.
const STEP_BELOW: f64 = 0.8;

/// Maximum number of tokens that a workspace may have prepaid. It keeps the sums over an account
/// far below the range of `u64`, and is far above any real budget.
pub const MAX_PREPAID: Tokens = 1 << 60;
/// Maximum sum of all numbers of an account: each token is held, spent and needed once at most, and
/// rates of use are below all three.
const MAX_SUM: u64 = 4 * MAX_PREPAID;

/// Why an account can't be used.
#[derive(Debug, thiserror::Error)]
pub enum AccountError {
    /// The bytes aren't an account.
    #[error(transparent)]
    Decode(#[from] prost::DecodeError),
    /// The token counts are beyond any budget.
    #[error("token counts of the account add up to more than {MAX_SUM}")]
    TooLarge,
}

/// Decodes an account.
///
/// # Errors
/// When the bytes aren't an account, or its numbers add up to more than any budget allows.
pub fn decode(value: Bytes) -> Result<Account, AccountError> {
    let account = Account::decode(value)?;
    let mut sum = Some(account.closed);
    for holder in &account.holders {
        for count in [holder.granted, holder.charged, holder.rate, holder.need] {
            sum = sum.and_then(|sum| sum.checked_add(count));
        }
    }
    let most = account.withheld.iter().max().copied().unwrap_or(0);
    let most = most.max(account.unconfirmed);
    match sum {
        Some(sum) if sum.max(most) <= MAX_SUM => Ok(account),
        _ => Err(AccountError::TooLarge),
    }
}

/// What a router knows of its own part of an account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterState {
    /// The router's VM.
    pub vm: String,
    /// The router's process.
    pub process: u64,
    /// Tokens that the process may spend in total, since it started.
    pub granted: Tokens,
    /// Tokens that the process has spent.
    pub charged: Tokens,
    /// Tokens that running requests hold.
    pub reserved: Tokens,
    /// Tokens a second that callers ask for.
    pub rate: u64,
    /// Tokens that waiting requests lack; 0 when none waits.
    pub need: Tokens,
    /// Whether the router should hold a share even while it doesn't use it.
    pub is_holder: bool,
    /// Number of routers that the account is meant to be shared between.
    pub sharers: usize,
    /// The router's place among the sharers. When little remains, the last ones leave it to the
    /// first. `None` where all have equal shares, however little remains.
    pub rank: Option<usize>,
    /// Tokens of the largest request that the router has seen.
    pub largest: Tokens,
    /// Earlier processes on this VM, and the most that each has spent of this account.
    pub ended: HashMap<u64, EndedSpending>,
    /// Era of the store.
    pub era: u64,
    /// Whether the router must not raise what it holds.
    pub is_frozen: bool,
    /// Whether the account has to be written even if the router changes nothing.
    pub must_write: bool,
    /// Steps that the time since the account's last one allows.
    pub steps_due: usize,
    /// Whether the store may go back to an older copy of itself.
    pub may_go_back: bool,
}

/// The most that a process that ended has spent of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedSpending {
    /// Tokens; [`Tokens::MAX`] if its caps don't bound them.
    pub max: Tokens,
    /// Whether the store went back since its last cap: what the account grants it may be outdated.
    pub is_outdated: bool,
}

/// A new state of an account, and what the router may spend once it is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The account's new state.
    pub account: Account,
    /// Tokens that the new state grants to the router.
    pub granted: Tokens,
    /// Earlier processes on the router's VM that the change closes.
    pub closed: Vec<ClosedHolder>,
}

impl Change {
    /// Sets what the router of `process` is granted, here and in the account.
    pub(super) fn set_granted(&mut self, process: u64, granted: Tokens) {
        self.granted = granted;
        for holder in &mut self.account.holders {
            if holder.process == process {
                holder.granted = granted;
            }
        }
    }
}

/// Tokens that remain of `prepaid` after what all routers have recorded as spent.
#[must_use]
pub fn remaining(account: &Account, prepaid: Tokens) -> Tokens {
    prepaid.saturating_sub(spent(account))
}

/// Tokens that all but `process` have recorded as spent.
#[must_use]
pub fn spent_by_others(account: &Account, process: u64) -> Tokens {
    let charged: Tokens = others(account, process).map(|holder| holder.charged).sum();
    account.closed + charged
}

/// Tokens a second that all but `process` have recorded as their rate of use.
#[must_use]
pub fn rate_of_others(account: &Account, process: u64) -> u64 {
    others(account, process).map(|holder| holder.rate).sum()
}

fn others(account: &Account, process: u64) -> impl Iterator<Item = &Holder> {
    let holders = account.holders.iter();
    holders.filter(move |holder| holder.process != process)
}

/// Tokens that the account grants to `process`; `None` if it has no entry that was written in `era`
/// of the store or later.
#[must_use]
pub fn granted(account: &Account, process: u64, era: u64) -> Option<Tokens> {
    let holder = account
        .holders
        .iter()
        .find(|holder| holder.process == process && holder.era >= era)?;
    Some(holder.granted)
}

/// How `router` should change the account; `None` when it should leave it as it is.
#[must_use]
pub fn adjust(account: &Account, prepaid: Tokens, router: &RouterState) -> Option<Change> {
    let (mut base, closed) = without_vm(account, prepaid, router);
    // Requests that run are about to spend what they have reserved.
    let in_use = spent(&base) + router.charged + router.reserved;
    let withheld = if router.may_go_back {
        growth::withheld(in_use, prepaid)
    } else {
        0
    };
    let left = prepaid.saturating_sub(in_use);
    let is_step_urgent = router.steps_due > 0 && withholds_much(&base, left, withheld, prepaid);
    base.withheld = growth::next_withheld(&base, withheld, router.steps_due);
    let target = target(&base, prepaid, router);
    let unspent = router.granted.saturating_sub(router.charged);
    let mut granted = router.charged + resize(unspent, target, router);
    if router.is_frozen {
        granted = granted.min(router.granted);
    }
    let entry = account
        .holders
        .iter()
        .find(|holder| holder.process == router.process);
    // Until an earlier process on this VM is closed, what it held and has spent looks available
    // there, and the other routers tell their callers to retry for it.
    let is_due = match entry {
        _ if router.must_write || !closed.is_empty() => true,
        _ if is_step_urgent => true,
        None => granted > 0 || router.need > 0,
        Some(entry) => {
            let unreported = router.charged.saturating_sub(entry.charged);
            granted != entry.granted
                || entry.need != router.need
                || entry.era < router.era
                || unreported as f64 > target as f64 * UNREPORTED_FRACTION
        }
    };
    if !is_due {
        return None;
    }
    base.holders.push(Holder {
        vm: router.vm.clone(),
        process: router.process,
        granted,
        charged: router.charged,
        rate: router.rate,
        need: router.need,
        era: router.era,
    });
    Some(Change {
        account: base,
        granted,
        closed,
    })
}

/// Whether the tokens that may be spent of those `left` are much fewer now than when the account
/// withholds `later`.
fn withholds_much(account: &Account, left: Tokens, later: Tokens, prepaid: Tokens) -> bool {
    let now = prepaid.saturating_sub(growth::limit(account, prepaid));
    let free = |withheld: Tokens| left.saturating_sub(withheld) as f64;
    free(now) < free(later) * STEP_BELOW
}

/// The account without this router, for when its process stops.
#[must_use]
pub fn close(account: &Account, prepaid: Tokens, router: &RouterState) -> Account {
    let (mut base, _) = without_vm(account, prepaid, router);
    base.closed += router.charged;
    base
}

/// The account without the router's VM, and the earlier processes on that VM that this closes:
/// the most that each can have spent counts as spent.
fn without_vm(
    account: &Account,
    prepaid: Tokens,
    router: &RouterState,
) -> (Account, Vec<ClosedHolder>) {
    let mut base = Account {
        closed: account.closed,
        holders: Vec::with_capacity(account.holders.len() + 1),
        era: router.era,
        changes: account.changes.saturating_add(1),
        withheld: account.withheld.clone(),
        unconfirmed: unconfirmed(account, prepaid, router),
    };
    let mut closed = Vec::new();
    for holder in &account.holders {
        if holder.process == router.process {
            continue;
        }
        let holder = holder.clone();
        if holder.vm != router.vm {
            base.holders.push(holder);
            continue;
        }
        let counted = max_spent(&holder, router, base.unconfirmed);
        if holder.era < router.era {
            base.unconfirmed = (base.unconfirmed + holder.granted).saturating_sub(counted);
        }
        base.closed += counted;
        closed.push(ClosedHolder { holder, counted });
    }
    if base.holders.iter().all(|holder| holder.era >= router.era) {
        base.unconfirmed = 0;
    }
    (base, closed)
}

/// Tokens that holders may hold beyond their entries once this router has written its own.
fn unconfirmed(account: &Account, prepaid: Tokens, router: &RouterState) -> Tokens {
    let lost = if account.era < router.era {
        growth::lost(account, committed(account), prepaid)
    } else {
        account.unconfirmed
    };
    let mut holders = account.holders.iter();
    let own = holders.find(|holder| holder.process == router.process);
    match own {
        Some(own) if own.era >= router.era => lost,
        // What the router holds beyond its entry is one of the lost claims. It may also hold less,
        // since what it returned was lost.
        own => {
            let known = own.map_or(0, |own| own.granted);
            (lost + known).saturating_sub(router.granted)
        }
    }
}

/// Tokens that an account grants or counts as spent.
fn committed(account: &Account) -> Tokens {
    let held: Tokens = account.holders.iter().map(|holder| holder.granted).sum();
    account.closed + held
}

/// Tokens that an account records as spent.
fn spent(account: &Account) -> Tokens {
    let charged: Tokens = account.holders.iter().map(|holder| holder.charged).sum();
    account.closed + charged
}

/// An earlier process on the VM, whose entry is replaced by a count of spent tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct ClosedHolder {
    /// The entry of the process in the account.
    pub holder: Holder,
    /// Tokens that count as spent, the most that the process can have spent.
    pub counted: Tokens,
}

/// The most that an earlier process on this VM can have spent. One that stored no cap may have
/// spent all that it held. `lost`: tokens that it may have held beyond its entry, in claims that the
/// store lost.
fn max_spent(holder: &Holder, router: &RouterState, lost: Tokens) -> Tokens {
    let held = if holder.era < router.era {
        holder.granted + lost
    } else {
        holder.granted
    };
    match router.ended.get(&holder.process) {
        Some(ended) if !ended.is_outdated => ended.max.max(holder.charged).min(held),
        // Neither the cap nor the entry may be the last one.
        _ => held,
    }
}

/// The account after the store went back to a copy: `stored` is what the store has, `earlier` what
/// this router had read of it before. Nothing that either of them counts as granted or spent is
/// lost; what both count differently may be counted twice until its holder writes its entry.
#[must_use]
pub fn merge(stored: &Account, earlier: &Account, era: u64) -> Account {
    if stored.era < era && stored.changes < earlier.changes {
        return earlier.clone();
    }
    if stored.era < era && stored.changes >= earlier.changes && earlier.changes > 0 {
        return stored.clone();
    }
    let mut merged = stored.clone();
    merged.closed = merged.closed.max(earlier.closed);
    for holder in &earlier.holders {
        let known = merged
            .holders
            .iter_mut()
            .find(|known| known.process == holder.process);
        match known {
            // Written by the process itself since the store went back.
            Some(known) if known.era >= era => {}
            Some(known) => {
                known.granted = known.granted.max(holder.granted);
                known.charged = known.charged.max(holder.charged);
            }
            None => merged.holders.push(holder.clone()),
        }
    }
    let found = committed(&merged).saturating_sub(committed(stored));
    merged.unconfirmed = merged.unconfirmed.saturating_sub(found);
    merged
}

/// Whether so little remains that the router leaves it to others.
#[must_use]
pub fn is_withdrawn(account: &Account, prepaid: Tokens, router: &RouterState) -> bool {
    if router.rank.is_none() {
        return false;
    }
    let (others, _) = without_vm(account, prepaid, router);
    let left = unspent(&others, prepaid, router);
    is_excluded(sharers(left, router), router)
}

/// Tokens that remain after what others have recorded and what this router has spent.
fn unspent(others: &Account, prepaid: Tokens, router: &RouterState) -> Tokens {
    remaining(others, prepaid).saturating_sub(router.charged)
}

/// Whether `sharers` is a reduced number and the router isn't among them.
fn is_excluded(sharers: usize, router: &RouterState) -> bool {
    sharers < router.sharers && router.rank.is_some_and(|rank| rank >= sharers)
}

/// Number of routers that share what remains.
fn sharers(left: Tokens, router: &RouterState) -> usize {
    let min_share = router.largest * REQUESTS_PER_SHARE;
    if min_share == 0 || router.rank.is_none() {
        return router.sharers;
    }
    let shares = (left as f64 * HELD_FRACTION) as Tokens / min_share;
    usize::try_from(shares)
        .unwrap_or(usize::MAX)
        .clamp(1, router.sharers.max(1))
}

/// Unspent tokens that the router should hold.
fn target(others: &Account, prepaid: Tokens, router: &RouterState) -> Tokens {
    let free = ungranted(others, prepaid, router);
    let max = router.granted.saturating_sub(router.charged) + free;
    let left = unspent(others, prepaid, router);
    let count = (others.holders.len() + 1).max(router.sharers) as f64;
    let rates: u64 = others.holders.iter().map(|holder| holder.rate).sum();
    let rate = (router.rate + rates) as f64;
    let sharers = sharers(left, router);
    let spent = prepaid.saturating_sub(left);
    let available = growth::limit(others, prepaid).saturating_sub(spent);
    let all = available as f64 * HELD_FRACTION;
    let even = all / count;
    let wanted = if is_excluded(sharers, router) || (router.rate == 0 && !router.is_holder) {
        0.0
    } else if let Some(rank) = router.rank {
        // Routers that aren't holders ask all holders equally often, so holders get equal shares.
        if rank < sharers {
            all / sharers as f64
        } else {
            router.rate as f64 * NON_HOLDER_SECS
        }
    } else if rate == 0.0 {
        even
    } else {
        let by_rate = all * router.rate as f64 / rate;
        by_rate * (1.0 - EVEN_FRACTION) + even * EVEN_FRACTION
    };
    let needed: Tokens = others.holders.iter().map(|holder| holder.need).sum();
    let wanted = if needed > free {
        // Requests of other routers wait for tokens that are held here: return all unused ones.
        0
    } else {
        wanted as Tokens
    };
    let min = router.reserved + router.need;
    wanted.max(min).min(max).max(router.reserved)
}

/// Tokens that may be granted beyond what all routers hold or may hold.
fn ungranted(others: &Account, prepaid: Tokens, router: &RouterState) -> Tokens {
    let committed = committed(others) + others.unconfirmed + router.granted;
    growth::limit(others, prepaid).saturating_sub(committed)
}

/// The router's unspent tokens after the change. Small differences don't justify an append.
fn resize(unspent: Tokens, target: Tokens, router: &RouterState) -> Tokens {
    let is_short = (unspent as f64) < target as f64 * CLAIM_BELOW;
    let is_excess = unspent as f64 > target as f64 * RETURN_ABOVE;
    let is_needed = router.need > 0 && unspent < router.reserved + router.need;
    if is_short || is_excess || is_needed {
        target
    } else {
        unspent
    }
}
