//! A router's rights on one budget.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use swiftlink_types::Tokens;

/// Rights of one router on one budget, without a lock.
///
/// At rest `granted = available + reserved + charged + returned`. Tokens leave
/// `available` only by a compare-and-swap that checks the amount, so it never goes
/// below zero and no token is handed out twice. The other counters follow with
/// relaxed stores: they are exact when nothing is in progress.
#[derive(Debug, Default)]
pub struct Grant {
    available: AtomicU64,
    reserved: AtomicU64,
    charged: AtomicU64,
    granted: AtomicU64,
    returned: AtomicU64,
    taken: AtomicU64,
    unspent: AtomicU64,
    missed: AtomicU64,
    requests: AtomicU64,
}

/// Counters of a [`Grant`], in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantCounters {
    /// Free for the next request.
    pub available: Tokens,
    /// Held by requests in progress.
    pub reserved: Tokens,
    /// Charged since the start.
    pub charged: Tokens,
    /// Granted by the log since the start.
    pub granted: Tokens,
    /// Taken for returns since the start.
    pub returned: Tokens,
}

/// Demand on a [`Grant`] since the start; the sizer takes differences.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Tokens reserved, ever.
    pub taken: Tokens,
    /// Tokens handed back unspent by settled reservations.
    pub unspent: Tokens,
    /// Tokens that found no rights here and were reserved elsewhere, or not at all.
    pub missed: Tokens,
    /// Requests that asked for rights here: reservations and misses.
    pub requests: u64,
}

impl Grant {
    /// A grant without rights.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes `cost` tokens for a request, or nothing.
    ///
    /// The amount must come back through [`Self::settle`], once.
    #[must_use]
    pub fn reserve(&self, cost: Tokens) -> Option<Tokens> {
        self.available
            .fetch_update(Relaxed, Relaxed, |free| free.checked_sub(cost))
            .ok()?;
        self.reserved.fetch_add(cost, Relaxed);
        self.taken.fetch_add(cost, Relaxed);
        self.requests.fetch_add(1, Relaxed);
        Some(cost)
    }

    /// Like [`Self::reserve`], guarded against a request that ends on an early path.
    #[must_use]
    pub fn hold(self: &Arc<Self>, cost: Tokens) -> Option<Reservation> {
        let amount = self.reserve(cost)?;
        Some(Reservation {
            grant: Arc::clone(self),
            amount,
            dispatched: false,
        })
    }

    /// Notes that a request of `cost` found no rights here and went elsewhere or was
    /// refused, so that the sizer sees the demand. Once for each request; one that
    /// waits and then reserves is no miss.
    pub fn miss(&self, cost: Tokens) {
        self.missed.fetch_add(cost, Relaxed);
        self.requests.fetch_add(1, Relaxed);
    }

    /// Ends a reservation: `charged` tokens are spent and the rest is free again.
    ///
    /// The charge is limited to what was reserved, since no more was held; the
    /// amount actually charged is the answer.
    pub fn settle(&self, reserved: Tokens, charged: Tokens) -> Tokens {
        let charged = charged.min(reserved);
        let rest = reserved - charged;
        self.charged.fetch_add(charged, Relaxed);
        self.unspent.fetch_add(rest, Relaxed);
        self.reserved.fetch_sub(reserved, Relaxed);
        self.available.fetch_add(rest, Relaxed);
        charged
    }

    /// Adds rights that the log has granted.
    pub fn credit(&self, granted: Tokens) {
        self.granted.fetch_add(granted, Relaxed);
        self.available.fetch_add(granted, Relaxed);
    }

    /// Takes up to `amount` available tokens for a return to the budget.
    ///
    /// The answer is the amount taken. It is out of use at once, whatever becomes
    /// of the return; [`GrantCounters::returned`] is the total to put on the log.
    pub fn shrink(&self, amount: Tokens) -> Tokens {
        let mut taken = 0;
        let update = |free: Tokens| {
            taken = free.min(amount);
            Some(free - taken)
        };
        self.available
            .fetch_update(Relaxed, Relaxed, update)
            .expect("the update always answers");
        self.returned.fetch_add(taken, Relaxed);
        taken
    }

    /// Tokens free for the next request.
    #[must_use]
    pub fn available(&self) -> Tokens {
        self.available.load(Relaxed)
    }

    /// All counters; exact when nothing is in progress.
    #[must_use]
    pub fn counters(&self) -> GrantCounters {
        GrantCounters {
            available: self.available.load(Relaxed),
            reserved: self.reserved.load(Relaxed),
            charged: self.charged.load(Relaxed),
            granted: self.granted.load(Relaxed),
            returned: self.returned.load(Relaxed),
        }
    }

    /// Demand since the start.
    #[must_use]
    pub fn demand(&self) -> Demand {
        Demand {
            taken: self.taken.load(Relaxed),
            unspent: self.unspent.load(Relaxed),
            missed: self.missed.load(Relaxed),
            requests: self.requests.load(Relaxed),
        }
    }
}

/// Tokens held for one request.
///
/// Dropped before [`Self::dispatch`], it frees the tokens: nothing ran. Dropped
/// after it without [`Self::settle`], the tokens stay reserved: what ran is not
/// known, and tokens that may have been run must not be handed out again.
#[derive(Debug)]
pub struct Reservation {
    grant: Arc<Grant>,
    amount: Tokens,
    dispatched: bool,
}

impl Reservation {
    /// Tokens held.
    #[must_use]
    pub fn amount(&self) -> Tokens {
        self.amount
    }

    /// From now on a backend server may run the request.
    pub fn dispatch(&mut self) {
        self.dispatched = true;
    }

    /// The dispatch certainly did not reach a backend server.
    pub fn recall(&mut self) {
        self.dispatched = false;
    }

    /// Ends the reservation; the answer is the amount actually charged.
    pub fn settle(mut self, charged: Tokens) -> Tokens {
        let reserved = std::mem::take(&mut self.amount);
        self.grant.settle(reserved, charged)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.dispatched && self.amount > 0 {
            self.grant.settle(self.amount, 0);
        }
    }
}
