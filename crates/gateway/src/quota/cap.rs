//! Caps on what a router process has spent by some time. No I/O.
//!
//! Before a process spends, it has a [`Cap`] stored: a base, and what is added to it in each
//! second. While the store answers, caps follow each other at short intervals and stay
//! close to what was spent. In a cut the last one grows, up to all that the process holds.
//! The next process on the VM works out from it what its predecessor spent at most, and the
//! rest of what that held is free again: see [`elapsed`] for the time in between.

use std::time::Duration;

use swiftlink_types::Tokens;

use crate::clock::Reading;

/// How far the time of day of one VM may jump between two readings of it: "by seconds", as the
/// platform's pages say. An assumption; a larger jump on a VM that was cut off and then lost
/// power could have tokens spent twice.
const JUMP_ALONE: Duration = Duration::from_secs(3);
/// How much earlier than this VM the middle one of the others may have started after a loss
/// of power of all: VMs that are powered on together start within a few tenths of a second.
const JUMP_FLEET: Duration = Duration::from_millis(400);
/// Seconds of use that a process may spend at once under a fresh cap.
const BASE_SECS: f64 = 0.3;
/// The same for the time that it takes to store the next one, as a multiple of that.
const BASE_LAGS: f64 = 2.0;
/// Part of what a process holds that it may spend at once in any case. It serves callers in
/// the first seconds of a cut, when caps hardly grow, and is what is lost at most of plenty:
/// with 0.005, and a growth of 0.2, quiet days with two cuts of all routers had 0.04 to 0.05
/// of worth less on three deployments, days with trouble the same.
const BASE_PART: f64 = 0.03;
/// Growth of a cap before a cut is certain, as a multiple of the rate of use, where [`room`] allows
/// for it. It is lost with a process that is killed, so it is less than the use: at 1.0 quiet days
/// gained 0.01 to 0.03, and days with trouble lost 0.02 on one of three deployments.
const GROWTH: f64 = 0.6;
/// Part of what was prepaid that a loss of all routers may strand: over 3 in 100 count as refused
/// though paid for. Running requests are part of it, though about half of what they hold is spent by
/// then; 2 and 2.5 in 100 measured alike.
const STRANDED: f64 = 0.03;
/// Time for which caps grow in a loss of power of all (seconds): a second without power, half of the
/// time between caps, and `JUMP_FLEET`.
const LOSS_SECS: f64 = 1.5;

/// Age of a cap from which on a process takes the store to be out of reach: longer than it
/// takes to be back after a loss of power, which is up to 1.3 seconds on the users'
/// deployments, with the age of the last cap before it and `JUMP_FLEET`.
const CUT: Duration = Duration::from_millis(2_200);
/// Seconds of use that are added then: requests come in lumps.
const CUT_STEP_SECS: f64 = 2.0;
/// Part of what a process holds that is added then in any case.
const CUT_STEP_PART: f64 = 0.05;
/// Growth of a cap in a cut, as a multiple of the rate of use: use may rise in it.
const CUT_GROWTH: f64 = 1.5;
/// Part of what it holds by which a cap grows in each second of a cut in any case.
const CUT_GROWTH_PART: f64 = 0.02;

/// What a process has spent at most, from some time on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cap {
    /// Tokens at that time.
    pub base: Tokens,
    /// Tokens more in each second after it.
    pub rate: Tokens,
    /// When the store is taken to be out of reach.
    pub cut: Duration,
    /// Tokens more from then on.
    pub step: Tokens,
    /// Tokens more in each second from then on.
    pub cut_rate: Tokens,
}

impl Cap {
    /// Tokens after `time`.
    #[must_use]
    pub fn after(&self, time: Duration) -> Tokens {
        let early = grown(self.rate, time.min(self.cut));
        let mut tokens = self.base.saturating_add(early);
        if time >= self.cut {
            let late = grown(self.cut_rate, time - self.cut);
            tokens = tokens.saturating_add(self.step).saturating_add(late);
        }
        tokens
    }

    /// The time after which it allows for `tokens`; `None` where it never does.
    #[must_use]
    pub fn time_for(&self, tokens: Tokens) -> Option<Duration> {
        let early = time_to_grow(tokens.saturating_sub(self.base), self.rate);
        if let Some(time) = early.filter(|time| *time < self.cut) {
            return Some(time);
        }
        let at_cut = self.after(self.cut);
        let late = time_to_grow(tokens.saturating_sub(at_cut), self.cut_rate)?;
        self.cut.checked_add(late)
    }
}

/// Time in which `rate` tokens a second make `tokens`, rounded up to a millisecond.
fn time_to_grow(tokens: Tokens, rate: Tokens) -> Option<Duration> {
    if tokens == 0 {
        return Some(Duration::ZERO);
    }
    let millis = u128::from(tokens) * 1_000;
    let millis = millis.checked_div(u128::from(rate))? + 1;
    Some(Duration::from_millis(u64::try_from(millis).ok()?))
}

/// What `rate` tokens a second make in `time`.
fn grown(rate: Tokens, time: Duration) -> Tokens {
    let millis = time.as_millis();
    let tokens = u128::from(rate).saturating_mul(millis) / 1_000;
    Tokens::try_from(tokens).unwrap_or(Tokens::MAX)
}

/// Tokens that should be free for requests under a new cap, where storing one takes `lag`:
/// the next one is stored when half of them are used.
#[must_use]
pub fn base(unspent: Tokens, rate: u64, lag: Duration) -> Tokens {
    let secs = BASE_SECS + BASE_LAGS * lag.as_secs_f64();
    (rate as f64 * secs).max(unspent as f64 * BASE_PART) as Tokens
}

/// What the cap of a process may grow by until the next process on its VM reads it, so that the
/// processes together strand no more than 3 in 100 of `prepaid`: its part, by its `share` of the
/// use, less what is `bound` already in running requests and as the cap's base.
///
/// Where that much is bound in any case, there is no limit: callers would be refused in each cut, and
/// the bound is passed all the same. With none to grow by there, the quiet day of a deployment of
/// seven routers, with two cuts of all, was worth 0.70 in place of 0.77.
///
/// Of a fleet of 75 that loses power at once two thirds into a day, workspaces had 3.4 to 5.5 in 100
/// left at the end, which nobody could spend, with caps that grow by 0.6 of the use in any case.
#[must_use]
pub fn room(prepaid: Tokens, share: f64, bound: Tokens) -> Tokens {
    let part = prepaid as f64 * STRANDED * share;
    (part as Tokens).checked_sub(bound).unwrap_or(Tokens::MAX)
}

/// How a new cap grows, for a process with `unspent` tokens of which `rate` are used in a
/// second; by up to `room` until it is read.
#[must_use]
pub fn draw(unspent: Tokens, rate: u64, room: Tokens) -> Cap {
    let (unspent, rate) = (unspent as f64, rate as f64);
    let growth = (rate * GROWTH).min(room as f64 / LOSS_SECS);
    Cap {
        base: 0,
        rate: growth as Tokens,
        cut: CUT,
        step: (rate * CUT_STEP_SECS).max(unspent * CUT_STEP_PART) as Tokens,
        cut_rate: (rate * CUT_GROWTH).max(unspent * CUT_GROWTH_PART) as Tokens,
    }
}

/// The longest time that may have passed on one VM from `stamp` to `now`, the start of the
/// next process there; `None` when nothing is certain. `starts` has the times of day at
/// which the routers on other VMs started last.
///
/// Within one start of the kernel the steady clock says it exactly; [`is_same_boot`] tells.
/// After a loss of power there is only the time of day, which may have jumped on this VM:
/// by `JUMP_ALONE` at most. Where most of the other VMs started after `stamp` too, it
/// was the whole fleet that lost power, and the middle one of their clocks is trusted. What
/// others have `seen` is an upper bound by their steady clocks: the smaller one holds. It keeps
/// the three seconds of a jump out of what one VM's loss of power costs.
#[must_use]
pub fn elapsed(
    stamp: &Reading,
    now: &Reading,
    starts: &[u64],
    seen: Option<Duration>,
) -> Option<Duration> {
    if is_same_boot(stamp, now) {
        return now
            .steady
            .checked_sub(stamp.steady)
            .map(Duration::from_millis);
    }
    let (wall, jump) = match middle_start(stamp, starts) {
        Some(middle) => (now.wall.max(middle), JUMP_FLEET),
        None => (now.wall, JUMP_ALONE),
    };
    let time = wall.saturating_add(jump.as_millis() as u64);
    let told = time.checked_sub(stamp.wall).map(Duration::from_millis);
    match (told, seen) {
        (Some(told), Some(seen)) => Some(told.min(seen)),
        (told, seen) => told.or(seen),
    }
}

/// Whether the VM's steady clock went on from `stamp` to `now`.
///
/// The name of the kernel's start alone isn't trusted: where it comes from the machine
/// below, a VM may be back under it with another steady clock. The time of day, with the
/// most that it jumps, has to agree.
#[must_use]
pub fn is_same_boot(stamp: &Reading, now: &Reading) -> bool {
    if stamp.boot.is_empty() || stamp.boot != now.boot {
        return false;
    }
    let Some(steady) = now.steady.checked_sub(stamp.steady) else {
        return false;
    };
    let jump = JUMP_ALONE.as_millis() as u64;
    let latest = now.wall.saturating_add(jump);
    latest
        .checked_sub(stamp.wall)
        .is_some_and(|wall| steady <= wall)
}

/// The middle one of the starts of other VMs, if more than half of them are after `stamp`.
#[must_use]
pub fn middle_start(stamp: &Reading, starts: &[u64]) -> Option<u64> {
    let later = starts.iter().filter(|start| **start > stamp.wall).count();
    if later * 2 <= starts.len() {
        return None;
    }
    let mut sorted = starts.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied()
}
