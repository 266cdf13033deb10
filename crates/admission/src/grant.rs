//! A router's quota on one budget.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use swiftlink_types::Tokens;

/// A router's quota on one budget, kept in atomic counters.
///
/// When no operation is in progress, `granted = available + reserved + charged + returned`. Tokens
/// leave `available` only by a compare-and-swap that checks the amount, so it never goes below zero
/// and no token is handed out twice. The other counters follow with relaxed operations: they are
/// exact only when nothing is in progress.
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
    /// Reserved by requests in progress.
    pub reserved: Tokens,
    /// Charged since the grant was created.
    pub charged: Tokens,
    /// Granted by the log since the grant was created.
    pub granted: Tokens,
    /// Taken for returns to the budget since the grant was created.
    pub returned: Tokens,
}

/// Demand on a [`Grant`] since it was created; the sizer uses the differences.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Tokens ever reserved.
    pub taken: Tokens,
    /// Tokens that settled reservations left unspent.
    pub unspent: Tokens,
    /// Tokens for which this router had no quota; they were reserved at another router or not at
    /// all.
    pub missed: Tokens,
    /// Requests that asked for quota here, whether they got a reservation or not.
    pub requests: u64,
}

impl Grant {
    /// A grant without quota.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Reserves `cost` tokens for a request. Returns `None`, with nothing reserved, if fewer are
    /// available.
    ///
    /// The amount must be passed to [`Self::settle`], once.
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

    /// Like [`Self::reserve`], but returns a guard, for requests that may end on an early path.
    #[must_use]
    pub fn hold(self: &Arc<Self>, cost: Tokens) -> Option<Reservation> {
        let amount = self.reserve(cost)?;
        Some(Reservation {
            grant: Arc::clone(self),
            amount,
            dispatched: false,
        })
    }

    /// Records that a request of `cost` found no quota here and was relayed or refused, so that the
    /// sizer sees its demand. Call it once per request; a request that waits and then reserves is
    /// no miss.
    pub fn miss(&self, cost: Tokens) {
        self.missed.fetch_add(cost, Relaxed);
        self.requests.fetch_add(1, Relaxed);
    }

    /// Ends a reservation: `charged` tokens are spent and the rest is available again.
    ///
    /// The charge is limited to `reserved`, since no more was held. Returns the amount actually
    /// charged.
    pub fn settle(&self, reserved: Tokens, charged: Tokens) -> Tokens {
        let charged = charged.min(reserved);
        let rest = reserved - charged;
        self.charged.fetch_add(charged, Relaxed);
        self.unspent.fetch_add(rest, Relaxed);
        self.reserved.fetch_sub(reserved, Relaxed);
        self.available.fetch_add(rest, Relaxed);
        charged
    }

    /// Adds quota that the log has granted.
    pub fn credit(&self, granted: Tokens) {
        self.granted.fetch_add(granted, Relaxed);
        self.available.fetch_add(granted, Relaxed);
    }

    /// Takes up to `amount` available tokens to return them to the budget.
    ///
    /// Returns the amount taken. It is out of use at once, whether or not the return succeeds;
    /// [`GrantCounters::returned`] is the total to write to the log.
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

    /// All counters; exact when no operation is in progress.
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

    /// Demand since the grant was created.
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

/// Tokens reserved for one request.
///
/// Dropped before [`Self::dispatch`], it frees the tokens, since nothing ran. Dropped after
/// `dispatch` and without [`Self::settle`], it leaves the tokens reserved: what ran is unknown, and
/// tokens that may have been used must not be handed out again.
#[derive(Debug)]
pub struct Reservation {
    grant: Arc<Grant>,
    amount: Tokens,
    dispatched: bool,
}

impl Reservation {
    /// Tokens reserved.
    #[must_use]
    pub fn amount(&self) -> Tokens {
        self.amount
    }

    /// Marks the request as dispatched: from now on a backend server may run it.
    pub fn dispatch(&mut self) {
        self.dispatched = true;
    }

    /// Undoes [`Self::dispatch`], when the request certainly did not reach a backend server.
    pub fn recall(&mut self) {
        self.dispatched = false;
    }

    /// Ends the reservation and returns the amount actually charged.
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
