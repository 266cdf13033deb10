//! Leases: tokens that a holder reserves for several requests of this router.
//!
//! A router of a large fleet that isn't a holder of a workspace's account asks a holder for each
//! request. Where it serves the workspace steadily, it asks for a lease in the background and
//! reserves its requests' tokens from that. A lease is a reservation at the holder like any other,
//! so never more is spent than is reserved there, whichever messages are lost.
//!
//! A lease is replaced before it is used up and after [`MAX_AGE`], and closed when demand leaves. A
//! closed lease is reported at once: what was spent, and what running requests hold. The rest is
//! free again. The holder gets the final release when the last of these requests ends.
//!
//! This module decides, without I/O, when to open and close a lease and how large it is. `state` has
//! what requests access, and `keeper` carries the decisions out.

pub(super) mod keeper;
mod state;

use std::time::Duration;

use swiftlink_admission::Ewma;
use swiftlink_types::{Micros, Tokens};
use swiftlink_wire::link::LeaseSize;

pub use state::{Lease, LeaseCounters};
pub(super) use state::{Leases, Lessee};

/// Time of use that a lease covers. All leases are bounded by 1 in [`LENT_DIVISOR`] of the budget,
/// which is 0.6 s of use where a minute's use is left.
const COVERED_TIME: Duration = Duration::from_millis(800);
/// A lease is replaced when less than this time of use is left: some calls to a holder, each of
/// which may take a processor scheduling period on both VMs.
const RENEW_TIME: Duration = Duration::from_millis(300);
/// The same two times for a router that serves many requests of the workspace, or whose link is
/// busy: an answer may wait behind the bodies of callers' requests for most of a second then.
const BUSY_COVERED_TIME: Duration = Duration::from_millis(2_000);
const BUSY_RENEW_TIME: Duration = Duration::from_millis(1_000);
/// Requests a second of one workspace from which on its callers may fill the link within a second:
/// forty bodies of 17 KB are half of a link of 10 Mbit/s.
const BUSY_RATE: f64 = 40.0;
/// Age at which a lease is replaced, so that the holder learns what was spent.
pub const MAX_AGE: Duration = Duration::from_secs(1);
/// Age at which a lease that couldn't be replaced is closed.
const CLOSE_AGE: Duration = Duration::from_secs(2);
/// Time without a request after which a lease is closed.
const IDLE_TIME: Duration = Duration::from_millis(1_500);
/// Requests a second from which on a lease is opened. Below, a lease that is replaced each second
/// takes as many messages as the requests that it serves.
const MIN_RATE: f64 = 2.0;
/// Requests a second below which a lease isn't replaced; less than [`MIN_RATE`], so that a rate near
/// it doesn't open and close leases in turns.
const KEEP_RATE: f64 = 1.0;
/// Requests before the first lease is opened: the rate of fewer is a guess.
const MIN_REQUESTS: u64 = 3;
/// Minimum number of requests of the mean size that a lease is for.
const MIN_REQUESTS_LEASED: f64 = 2.0;
/// Number of requests of the largest size that a lease is meant to be for at least: at a low rate,
/// several arrive within the time to replace it.
const LARGEST_LEASED: f64 = 3.0;
/// Time constant of the average rate of use.
const RATE_HORIZON: Duration = Duration::from_secs(1);
/// Time constant with which the size of the largest request is forgotten.
const LARGEST_HORIZON: Duration = Duration::from_secs(3);
/// A holder lends at most this fraction of the unspent tokens that it holds itself. What all
/// holders hold is within the budget, so all leases together are within the same fraction of it.
/// A busy router gets no more: leases of routers that die count as spent.
const LENT_DIVISOR: Tokens = 100;
/// A lease gets at most this fraction of what the holder may still lend or has available, so that
/// the first routers that ask leave something for others and for requests.
const ROOM_DIVISOR: Tokens = 2;

/// A router's requests of one workspace since the last sample.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Number of requests.
    pub requests: u64,
    /// Tokens that they reserve.
    pub tokens: Tokens,
    /// Tokens that the largest of them reserves.
    pub largest: Tokens,
}

/// A router's recent demand for the tokens of one workspace.
#[derive(Clone, Debug)]
pub struct Demand {
    requests: Ewma,
    tokens: Ewma,
    largest: f64,
    count: u64,
    sampled: Micros,
    last_request: Micros,
    /// Whether answers of holders may be late.
    is_link_busy: bool,
}

impl Demand {
    /// No demand so far.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self {
            requests: Ewma::new(RATE_HORIZON),
            tokens: Ewma::new(RATE_HORIZON),
            largest: 0.0,
            count: 0,
            sampled: now,
            last_request: now,
            is_link_busy: false,
        }
    }

    /// Sets whether the router's link is busy.
    pub fn set_link_busy(&mut self, is_busy: bool) {
        self.is_link_busy = is_busy;
    }

    /// Adds the requests since the last sample.
    pub fn add(&mut self, sample: &Sample, now: Micros) {
        let step = Duration::from_micros(now.saturating_sub(self.sampled));
        let decay = (-step.as_secs_f64() / LARGEST_HORIZON.as_secs_f64()).exp();
        self.largest = (self.largest * decay).max(sample.largest as f64);
        self.sampled = now;
        self.requests.add(now, sample.requests as f64);
        self.tokens.add(now, sample.tokens as f64);
        self.count += sample.requests;
        if sample.requests > 0 {
            self.last_request = now;
        }
    }

    /// Whether there was no request for so long that a lease is returned.
    #[must_use]
    pub fn is_idle(&self, now: Micros) -> bool {
        now.saturating_sub(self.last_request) >= IDLE_TIME.as_micros() as Micros
    }

    /// Whether leases are for longer than others.
    fn is_busy(&self, now: Micros) -> bool {
        self.is_link_busy || self.requests.per_sec(now) >= BUSY_RATE
    }

    fn is_steady(&self, now: Micros, min_rate: f64) -> bool {
        self.count >= MIN_REQUESTS && self.requests.per_sec(now) >= min_rate
    }

    /// Size of the next lease.
    fn size(&self, now: Micros) -> LeaseSize {
        let rate = self.tokens.per_sec(now);
        let mean = rate / self.requests.per_sec(now).max(f64::MIN_POSITIVE);
        let least = MIN_REQUESTS_LEASED * mean;
        let time = if self.is_busy(now) {
            BUSY_COVERED_TIME
        } else {
            COVERED_TIME
        };
        let covered = rate * time.as_secs_f64();
        let most = covered.max(LARGEST_LEASED * self.largest).max(least);
        LeaseSize {
            least: least.ceil() as Tokens,
            most: most.ceil() as Tokens,
            is_busy: self.is_busy(now),
        }
    }

    /// Number of free tokens below which a lease of `granted` tokens is replaced.
    #[must_use]
    pub fn renew_below(&self, granted: Tokens, now: Micros) -> Tokens {
        let time = if self.is_busy(now) {
            BUSY_RENEW_TIME
        } else {
            RENEW_TIME
        };
        let needed = self.tokens.per_sec(now) * time.as_secs_f64();
        (needed.max(self.largest) as Tokens).min(granted / 2)
    }
}

/// The lease that requests use.
#[derive(Clone, Copy, Debug)]
pub struct LeaseView {
    /// Tokens that no request has reserved.
    pub free: Tokens,
    /// Number of free tokens below which it is replaced.
    pub renew_below: Tokens,
    /// Time since it was opened.
    pub age: Duration,
    /// Whether the configured budget has changed since then.
    pub is_outdated: bool,
}

/// What to do with the lease of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Nothing.
    Keep,
    /// Ask a holder for a lease that replaces the current one.
    Open(LeaseSize),
    /// Return the current one, for a reason that is logged.
    Close(&'static str),
}

/// Decides on the lease of a workspace.
#[must_use]
pub fn decide(demand: &Demand, lease: Option<&LeaseView>, now: Micros) -> Decision {
    let Some(lease) = lease else {
        if demand.is_idle(now) || !demand.is_steady(now, MIN_RATE) {
            return Decision::Keep;
        }
        return Decision::Open(demand.size(now));
    };
    if demand.is_idle(now) {
        return Decision::Close("idle");
    }
    if lease.is_outdated {
        return Decision::Close("budget changed");
    }
    if lease.age >= CLOSE_AGE {
        return Decision::Close("not renewed");
    }
    let is_due = lease.age >= MAX_AGE || lease.free < lease.renew_below;
    if !is_due {
        return Decision::Keep;
    }
    if demand.is_steady(now, KEEP_RATE) {
        return Decision::Open(demand.size(now));
    }
    if lease.age >= MAX_AGE {
        return Decision::Close("little demand");
    }
    Decision::Keep
}

/// Tokens that a holder grants as a lease; `None` if it grants none. It holds `unspent` tokens, of
/// which `lent` are in leases and `available` can be reserved now.
#[must_use]
pub fn grantable(
    unspent: Tokens,
    lent: Tokens,
    available: Tokens,
    size: &LeaseSize,
) -> Option<Tokens> {
    let room = (unspent / LENT_DIVISOR).saturating_sub(lent);
    let most = room.min(available) / ROOM_DIVISOR;
    let tokens = size.most.min(most);
    (tokens > 0 && tokens >= size.least).then_some(tokens)
}
