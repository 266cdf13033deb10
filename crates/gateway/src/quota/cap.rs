//! Caps on what a router process has spent by some time. No I/O.
//!
//! Before a process spends, it stores a [`Cap`]: a base, and a number of tokens added in each
//! second. While the store answers, caps are replaced at short intervals and stay close to what
//! was spent. In a store outage the last one grows, up to all that the process holds. The next
//! process on the VM computes from it the most that its predecessor can have spent, and the rest
//! of the predecessor's quota is free again: see [`elapsed`] for the time in between.

use std::time::Duration;

use swiftlink_types::Tokens;

use crate::clock::Reading;

/// How far the wall clock of one VM may jump between two readings. The platform's documentation
/// says "by seconds", so this is an assumption; with a larger jump on a VM that loses power in a
/// store outage, tokens could be spent twice.
const MAX_CLOCK_JUMP: Duration = Duration::from_secs(3);
/// How much earlier than this VM the median of the others may have started after a power loss of
/// all VMs: VMs that are powered on together start within a few tenths of a second.
const FLEET_START_SKEW: Duration = Duration::from_millis(400);
/// Seconds of use that a process may spend at once under a fresh cap.
const BASE_SECS: f64 = 0.3;
/// The time to store the next cap is added to `BASE_SECS`, multiplied by this.
const BASE_LAG_FACTOR: f64 = 2.0;
/// Fraction of its unspent tokens that a process may spend at once in any case. It serves callers
/// in the first seconds of a store outage, when caps hardly grow. It is also the most that is lost
/// of ample quota: with 0.005, and a `GROWTH_FACTOR` of 0.2, quiet days with two outages of all
/// routers had a benchmark score that was 0.04 to 0.05 lower on three deployments, and days with
/// faults the same.
const BASE_FRACTION: f64 = 0.03;
/// Growth of a cap before an outage is certain, as a multiple of the rate of use, where
/// [`max_growth`] allows it. The growth is lost with a process that is killed, so it is below the
/// rate of use: at 1.0 quiet days scored 0.01 to 0.03 higher, and days with faults 0.02 lower on
/// one of three deployments.
const GROWTH_FACTOR: f64 = 0.6;
/// Fraction of the prepaid tokens that a power loss of all routers may strand: above 3 in 100,
/// requests count as refused although they are paid for. Running requests are included, though
/// about half of what they hold is spent by then. 2 and 2.5 in 100 scored alike.
const MAX_STRANDED: f64 = 0.03;
/// Seconds for which caps grow in a power loss of all VMs: a second without power, half of the
/// interval between caps, and `FLEET_START_SKEW`.
const POWER_LOSS_SECS: f64 = 1.5;

/// Age of a cap from which on a process takes the store to be unreachable. It is longer than a
/// restart after a power loss, which takes up to 1.3 seconds on the users' deployments, plus the
/// age of the last cap before it and `FLEET_START_SKEW`.
const OUTAGE_AT: Duration = Duration::from_millis(2_200);
/// Seconds of use that are added when the outage is certain: requests arrive in bursts.
const OUTAGE_STEP_SECS: f64 = 2.0;
/// Fraction of the process's unspent tokens that is added then in any case.
const OUTAGE_STEP_FRACTION: f64 = 0.05;
/// Growth of a cap in an outage, as a multiple of the rate of use, which may rise meanwhile.
const OUTAGE_GROWTH_FACTOR: f64 = 1.5;
/// Fraction of the process's unspent tokens by which a cap grows in any case in each second of an
/// outage.
const OUTAGE_GROWTH_FRACTION: f64 = 0.02;

/// The most that a process can have spent, as a function of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cap {
    /// Tokens at the start of the cap.
    pub base: Tokens,
    /// Tokens added in each second before `outage_at`.
    pub rate: Tokens,
    /// Age of the cap at which the store is taken to be unreachable.
    pub outage_at: Duration,
    /// Tokens added at `outage_at`.
    pub outage_step: Tokens,
    /// Tokens added in each second after `outage_at`.
    pub outage_rate: Tokens,
}

impl Cap {
    /// The most tokens spent when the cap is `time` old.
    #[must_use]
    pub fn limit_after(&self, time: Duration) -> Tokens {
        let early = grown(self.rate, time.min(self.outage_at));
        let mut tokens = self.base.saturating_add(early);
        if time >= self.outage_at {
            let late = grown(self.outage_rate, time - self.outage_at);
            tokens = tokens.saturating_add(self.outage_step).saturating_add(late);
        }
        tokens
    }

    /// Age at which the cap allows `tokens`; `None` where it never does.
    #[must_use]
    pub fn time_until(&self, tokens: Tokens) -> Option<Duration> {
        let early = time_to_grow(tokens.saturating_sub(self.base), self.rate);
        if let Some(time) = early.filter(|time| *time < self.outage_at) {
            return Some(time);
        }
        let at_outage = self.limit_after(self.outage_at);
        let late = time_to_grow(tokens.saturating_sub(at_outage), self.outage_rate)?;
        self.outage_at.checked_add(late)
    }
}

/// Time in which `rate` tokens a second add up to `tokens`, rounded up to a millisecond.
fn time_to_grow(tokens: Tokens, rate: Tokens) -> Option<Duration> {
    if tokens == 0 {
        return Some(Duration::ZERO);
    }
    let millis = u128::from(tokens) * 1_000;
    let millis = millis.checked_div(u128::from(rate))? + 1;
    Some(Duration::from_millis(u64::try_from(millis).ok()?))
}

/// Tokens that `rate` tokens a second add up to in `time`.
fn grown(rate: Tokens, time: Duration) -> Tokens {
    let millis = time.as_millis();
    let tokens = u128::from(rate).saturating_mul(millis) / 1_000;
    Tokens::try_from(tokens).unwrap_or(Tokens::MAX)
}

/// Tokens that should be available to requests under a new cap, where storing one takes `lag`.
/// The next one is stored when half of them are used.
#[must_use]
pub fn base(unspent: Tokens, rate: u64, lag: Duration) -> Tokens {
    let secs = BASE_SECS + BASE_LAG_FACTOR * lag.as_secs_f64();
    (rate as f64 * secs).max(unspent as f64 * BASE_FRACTION) as Tokens
}

/// Maximum number of tokens that a cap may grow by until the next process on the VM reads it. It
/// keeps what all processes together strand in a power loss within 3 in 100 of `prepaid`: the
/// process's `share` of that, by rate of use, less what is `committed` to running requests and the
/// cap's base.
///
/// Where `committed` alone exceeds the share there is no limit, since the bound is missed in any
/// case and callers would be refused in each outage. Without growth there, the quiet day of a
/// deployment of seven routers, with two outages of all, scored 0.70 instead of 0.77.
///
/// With caps that grow by 0.6 of the use in any case, in a fleet of 75 that loses power at once two
/// thirds into a day, 3.4 to 5.5 in 100 of the workspaces' budgets were left at the end and could
/// not be spent.
#[must_use]
pub fn max_growth(prepaid: Tokens, share: f64, committed: Tokens) -> Tokens {
    let allowed = prepaid as f64 * MAX_STRANDED * share;
    (allowed as Tokens)
        .checked_sub(committed)
        .unwrap_or(Tokens::MAX)
}

/// A cap with base 0 for a process with `unspent` tokens that uses `rate` tokens a second. Before
/// an outage is certain it grows by up to `max_growth`, until the next process reads it.
#[must_use]
pub fn plan_growth(unspent: Tokens, rate: u64, max_growth: Tokens) -> Cap {
    let (unspent, rate) = (unspent as f64, rate as f64);
    let growth = (rate * GROWTH_FACTOR).min(max_growth as f64 / POWER_LOSS_SECS);
    Cap {
        base: 0,
        rate: growth as Tokens,
        outage_at: OUTAGE_AT,
        outage_step: (rate * OUTAGE_STEP_SECS).max(unspent * OUTAGE_STEP_FRACTION) as Tokens,
        outage_rate: (rate * OUTAGE_GROWTH_FACTOR).max(unspent * OUTAGE_GROWTH_FRACTION) as Tokens,
    }
}

/// The longest time that can have passed on one VM from `stamp` to `now`, the start of the next
/// process there; `None` when it can't be bounded. `starts` has the wall-clock times at which the
/// routers on other VMs last started.
///
/// Within one boot of the kernel the monotonic clock gives the exact time; see [`is_same_boot`].
/// After a power loss only the wall clock is left, which may have jumped on this VM by up to
/// `MAX_CLOCK_JUMP`. Where most of the other VMs started after `stamp` too, the whole fleet lost
/// power, and the median of their start times is used, since most clocks didn't jump. `seen` is an
/// upper bound by the monotonic clocks of other VMs. It goes before all that the wall clock says,
/// which may have gone back further than is allowed for here.
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
    if seen.is_some() {
        return seen;
    }
    let (wall, jump) = match median_start(stamp, starts) {
        Some(median) => (now.wall.max(median), FLEET_START_SKEW),
        None => (now.wall, MAX_CLOCK_JUMP),
    };
    let time = wall.saturating_add(jump.as_millis() as u64);
    time.checked_sub(stamp.wall).map(Duration::from_millis)
}

/// Whether `stamp` and `now` are readings of one run of the VM's monotonic clock.
///
/// The boot ID alone isn't enough: where it comes from the host, a restarted VM may have the same
/// ID with another monotonic clock. The wall clock has to agree, within `MAX_CLOCK_JUMP`.
#[must_use]
pub fn is_same_boot(stamp: &Reading, now: &Reading) -> bool {
    if stamp.boot.is_empty() || stamp.boot != now.boot {
        return false;
    }
    let Some(steady) = now.steady.checked_sub(stamp.steady) else {
        return false;
    };
    let jump = MAX_CLOCK_JUMP.as_millis() as u64;
    let expected = stamp.wall.saturating_add(steady);
    now.wall.abs_diff(expected) <= jump
}

/// The median of `starts`, the start times of other VMs, if more than half are after `stamp`.
#[must_use]
pub fn median_start(stamp: &Reading, starts: &[u64]) -> Option<u64> {
    let later = starts.iter().filter(|start| **start > stamp.wall).count();
    if later * 2 <= starts.len() {
        return None;
    }
    let mut sorted = starts.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied()
}
