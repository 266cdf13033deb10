//! What a router knows of the limit of one server, and the permits that it has in hand.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::allocator::{Allocation, Observation};
use crate::dialect::RateNotice;

/// Time from asking for a permit until it lapses, without [`VALIDITY_REQUESTS`].
const MIN_VALIDITY_MS: f64 = 1_000.0;
/// Further validity of a permit, in requests at the limit: at low rates the five requests that the
/// bound leaves beyond the rate allow a longer one, and fewer permits lapse unused.
const VALIDITY_REQUESTS: f64 = 1.5;
/// Longest validity of a permit.
const MAX_VALIDITY_MS: f64 = 5_000.0;
/// Lowest rate that counts, in requests a second. A server that names less gets a request from
/// time to time, whose response tells when the limit is over.
const MIN_RATE: f64 = 0.1;
/// Highest rate that counts, in requests a second.
const MAX_RATE: f64 = 1e6;
/// A limit that neither the server nor an allocator has confirmed for this long is over: otherwise
/// a router that is cut off from all others would never use the server again.
const CONFIRMATION_TIMEOUT_MS: u64 = 60_000;

/// Time from asking for a permit until it lapses, in milliseconds, at a limit of `rate`.
fn validity_ms(rate: f64) -> u64 {
    let validity = MIN_VALIDITY_MS + VALIDITY_REQUESTS / rate * 1_000.0;
    validity.min(MAX_VALIDITY_MS) as u64
}

/// What a response changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// Nothing.
    None,
    /// The server limits its rate from now on (requests a second).
    Limited(f64),
    /// The limit changed (requests a second).
    Changed {
        /// The limit before.
        before: f64,
        /// The limit now.
        rate: f64,
    },
    /// The response names no limit, and the one before it did.
    Unnamed,
    /// The response names something that isn't a rate, for the first time.
    Unreadable,
    /// The limit is over.
    Over,
}

/// Counts since the server named its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitCounts {
    /// Permits received.
    pub granted: u64,
    /// Permits that a request was sent with.
    pub used: u64,
    /// Permits that lapsed.
    pub lapsed: u64,
    /// Requests that were chosen for the server and not sent for lack of a permit.
    pub withheld: u64,
}

/// The limit of one server instance. Times are in milliseconds of the VM's monotonic clock.
#[derive(Debug, Default)]
pub struct Throttle {
    /// Whether the server limits its rate; without a limit, requests take no lock.
    is_limited: AtomicBool,
    /// When this router may ask for permits again.
    next_query: AtomicU64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// `None` without a limit.
    limit: Option<Limit>,
    is_unreadable: bool,
}

#[derive(Debug)]
struct Limit {
    rate: f64,
    since: u64,
    named_at: u64,
    unnamed_at: Option<u64>,
    /// When the server or an allocator last confirmed the limit.
    confirmed_at: u64,
    /// When each permit in hand lapses, the first one first.
    permits: Vec<u64>,
    /// Number of routers that share the limit.
    sharers: u32,
    counts: PermitCounts,
}

impl Limit {
    fn new(rate: f64, now: u64) -> Self {
        Self {
            rate,
            since: now,
            named_at: now,
            unnamed_at: None,
            confirmed_at: now,
            permits: Vec::new(),
            sharers: 1,
            counts: PermitCounts::default(),
        }
    }

    fn drop_lapsed(&mut self, now: u64) {
        let before = self.permits.len();
        self.permits.retain(|lapses_at| *lapses_at > now);
        self.counts.lapsed += (before - self.permits.len()) as u64;
    }

    fn set_rate(&mut self, rate: f64) -> LimitChange {
        let before = std::mem::replace(&mut self.rate, rate);
        if before == rate {
            return LimitChange::None;
        }
        LimitChange::Changed { before, rate }
    }
}

impl Throttle {
    /// Applies what a response of the server says.
    pub fn observe(&self, notice: RateNotice, now: u64) -> LimitChange {
        if notice == RateNotice::None && !self.is_limited.load(SeqCst) {
            return LimitChange::None;
        }
        let mut state = self.state();
        match notice {
            RateNotice::None => {
                let Some(limit) = &mut state.limit else {
                    return LimitChange::None;
                };
                let before = limit.unnamed_at.replace(now);
                if before.is_some_and(|before| before > limit.named_at) {
                    return LimitChange::None;
                }
                LimitChange::Unnamed
            }
            RateNotice::Limit(rate) => {
                let rate = rate.clamp(MIN_RATE, MAX_RATE);
                let Some(limit) = &mut state.limit else {
                    state.limit = Some(Limit::new(rate, now));
                    self.is_limited.store(true, SeqCst);
                    return LimitChange::Limited(rate);
                };
                limit.named_at = now;
                limit.confirmed_at = now;
                limit.set_rate(rate)
            }
            RateNotice::Unreadable => {
                let was_unreadable = std::mem::replace(&mut state.is_unreadable, true);
                if was_unreadable {
                    return LimitChange::None;
                }
                LimitChange::Unreadable
            }
        }
    }

    /// Applies an allocator's answer to a query that was sent at `asked`.
    pub fn on_allocation(&self, allocation: &Allocation, asked: u64) -> LimitChange {
        let mut state = self.state();
        let Some(limit) = &mut state.limit else {
            return LimitChange::None;
        };
        let is_newer = limit.named_at > asked;
        let Some(rate) = allocation.rate else {
            if is_newer {
                return LimitChange::None;
            }
            self.clear(&mut state);
            return LimitChange::Over;
        };
        let lapses_at = asked + validity_ms(rate);
        let permits = std::iter::repeat_n(lapses_at, allocation.count as usize);
        limit.permits.extend(permits);
        limit.counts.granted += u64::from(allocation.count);
        limit.confirmed_at = limit.confirmed_at.max(asked);
        limit.sharers = allocation.sharers.max(1);
        if is_newer {
            return LimitChange::None;
        }
        limit.set_rate(rate)
    }

    /// Drops the permits that have lapsed, and the limit if nobody has confirmed it for long.
    pub fn expire(&self, now: u64) -> LimitChange {
        let mut state = self.state();
        let Some(limit) = &mut state.limit else {
            return LimitChange::None;
        };
        limit.drop_lapsed(now);
        if now.saturating_sub(limit.confirmed_at) < CONFIRMATION_TIMEOUT_MS {
            return LimitChange::None;
        }
        self.clear(&mut state);
        LimitChange::Over
    }

    fn clear(&self, state: &mut State) {
        state.limit = None;
        self.is_limited.store(false, SeqCst);
    }

    /// Whether the server limits its rate.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.is_limited.load(SeqCst)
    }

    /// Whether a request may be sent now: there is no limit, or a permit in hand.
    #[must_use]
    pub fn may_send(&self, now: u64) -> bool {
        if !self.is_limited() {
            return true;
        }
        let state = self.state();
        let limit = state.limit.as_ref();
        limit.is_none_or(|limit| limit.permits.iter().any(|lapses_at| *lapses_at > now))
    }

    /// Whether a query that is sent now, or under way, may bring a permit.
    #[must_use]
    pub(crate) fn may_query(&self, now: u64) -> bool {
        self.is_limited() && self.next_query.load(SeqCst) <= now
    }

    /// Sets when this router may ask for permits again.
    pub(crate) fn set_next_query(&self, at: u64) {
        self.next_query.store(at, SeqCst);
    }

    /// Takes a permit. Returns when it lapses; `None` if there is none.
    pub(crate) fn take(&self, now: u64) -> Option<u64> {
        let mut state = self.state();
        let limit = state.limit.as_mut()?;
        limit.drop_lapsed(now);
        if limit.permits.is_empty() {
            return None;
        }
        Some(limit.permits.remove(0))
    }

    /// Takes a permit and counts it as used. Returns `false` if there is none.
    pub fn use_permit(&self, now: u64) -> bool {
        let is_taken = self.take(now).is_some();
        if is_taken {
            self.count_used();
        }
        is_taken
    }

    /// Returns a permit that wasn't used.
    pub(crate) fn put_back(&self, lapses_at: u64) {
        if let Some(limit) = &mut self.state().limit {
            limit.permits.insert(0, lapses_at);
        }
    }

    /// Counts a request that is sent with a permit.
    pub(crate) fn count_used(&self) {
        if let Some(limit) = &mut self.state().limit {
            limit.counts.used += 1;
        }
    }

    /// Counts a request that isn't sent for lack of a permit.
    pub(crate) fn count_withheld(&self) {
        if let Some(limit) = &mut self.state().limit {
            limit.counts.withheld += 1;
        }
    }

    /// What the server's responses say, for a query; `None` without a limit.
    #[must_use]
    pub fn observation(&self, now: u64) -> Option<Observation> {
        let state = self.state();
        let limit = state.limit.as_ref()?;
        let age = |at: u64| Duration::from_millis(now.saturating_sub(at));
        Some(Observation {
            rate: limit.rate,
            named: age(limit.named_at),
            unnamed: limit.unnamed_at.map(age),
        })
    }

    /// Number of permits in hand, and of those used since the server named its limit.
    pub fn permits(&self, now: u64) -> (usize, u64) {
        let mut state = self.state();
        let Some(limit) = &mut state.limit else {
            return (0, 0);
        };
        limit.drop_lapsed(now);
        (limit.permits.len(), limit.counts.used)
    }

    /// The part of the limit that this router can expect to get (requests a second); `None` without
    /// a limit.
    #[must_use]
    pub fn expected_rate(&self) -> Option<f64> {
        let state = self.state();
        let limit = state.limit.as_ref()?;
        Some(limit.rate / f64::from(limit.sharers))
    }

    /// The limit (requests a second), how long it has been known, and the counts since.
    pub(crate) fn summary(&self, now: u64) -> Option<(f64, Duration, PermitCounts)> {
        let state = self.state();
        let limit = state.limit.as_ref()?;
        let known = Duration::from_millis(now.saturating_sub(limit.since));
        Some((limit.rate, known, limit.counts))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Consistent between any two calls.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
