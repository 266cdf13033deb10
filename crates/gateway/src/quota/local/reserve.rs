//! Reserves tokens for a request, and waits for quota where it is missing.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use swiftlink_types::Tokens;
use swiftlink_wire::link::LeaseSize;
use tokio::time::{Instant, timeout_at};

use super::{LocalQuota, QuotaError};
use crate::dialect::Usage;
use crate::quota::lease;
use crate::quota::reservation::{Reservation, Source};

/// How often a waiting request checks whether a growing cap covers it: a tenth of the shortest
/// wait that users configure.
const RECHECK: Duration = Duration::from_millis(10);

impl LocalQuota {
    /// Reserves the highest cost of `usage`, waiting up to `wait` for quota. It fails at once
    /// where no router has the tokens, or the remaining ones are left to other routers.
    ///
    /// # Errors
    /// When the quota doesn't cover the cost in time.
    pub async fn reserve(
        self: &Arc<Self>,
        usage: Usage,
        wait: Duration,
    ) -> Result<Reservation, QuotaError> {
        if let Some(reservation) = self.try_reserve(usage) {
            return Ok(reservation);
        }
        if let Some(refusal) = self.refusal(usage.max_total()) {
            return Err(refusal);
        }
        if self.is_withdrawn() {
            return Err(QuotaError::HeldElsewhere);
        }
        self.claim(usage, wait).await
    }

    /// Waits up to `wait` for quota, and claims what is missing.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        usage: Usage,
        wait: Duration,
    ) -> Result<Reservation, QuotaError> {
        let cost = usage.max_total();
        let until = Instant::now() + wait;
        self.grant.miss(cost);
        let _waiting = Waiting::enter(&self.waiting, cost);
        loop {
            let changed = self.changed.notified();
            if let Some(refusal) = self.refusal(cost) {
                return Err(refusal);
            }
            self.wake_tasks();
            let pause = until.min(Instant::now() + RECHECK);
            let notified = timeout_at(pause, changed).await;
            if let Some(reservation) = self.try_reserve(usage) {
                return Ok(reservation);
            }
            // A change without a reservation means that other requests took the new tokens.
            if notified.is_ok() || pause < until {
                continue;
            }
            if self.store_unavailable.load(Relaxed) {
                return Err(QuotaError::StoreUnavailable);
            }
            return Err(QuotaError::HeldElsewhere);
        }
    }

    /// Wakes the tasks that may bring quota for waiting requests.
    fn wake_tasks(&self) {
        if self.caps().locked > 0 {
            self.wakers.cap.notify_one();
        }
        if self.need() > 0 {
            self.wakers.claim.notify_one();
        }
    }

    /// Reserves the highest cost of `usage` if the quota covers it now.
    pub(crate) fn try_reserve(self: &Arc<Self>, usage: Usage) -> Option<Reservation> {
        let cost = usage.max_total();
        self.largest.fetch_max(cost, Relaxed);
        if self.grant.reserve(cost).is_none() {
            self.unlock_with(&mut self.caps());
            self.grant.reserve(cost)?;
        }
        if self.grant.available() < self.low_watermark.load(Relaxed) {
            self.wakers.cap.notify_one();
        }
        let source = Source::Local(Arc::clone(self));
        Some(Reservation::new(source, usage, cost))
    }

    /// Reserves tokens for a lease of another router. `lent` tokens are in other leases. Returns
    /// `None`, with nothing reserved, while requests wait for quota or where the quota doesn't cover
    /// a lease.
    pub(crate) fn try_lend(
        self: &Arc<Self>,
        size: &LeaseSize,
        lent: Tokens,
    ) -> Option<(Reservation, Tokens)> {
        if self.waiting.load(Relaxed) > 0 || self.is_withdrawn() {
            return None;
        }
        let balance = self.balance();
        let unspent = balance.granted.saturating_sub(balance.charged);
        let tokens = lease::grantable(unspent, lent, self.grant.available(), size)?;
        self.grant.reserve(tokens)?;
        if self.grant.available() < self.low_watermark.load(Relaxed) {
            self.wakers.cap.notify_one();
        }
        let usage = Usage {
            prompt: tokens,
            output: 0,
        };
        let source = Source::Local(Arc::clone(self));
        Some((Reservation::new(source, usage, tokens), tokens))
    }
}

/// Counts the tokens of a waiting request in a total for as long as it lives.
struct Waiting<'a> {
    total: &'a AtomicU64,
    cost: Tokens,
}

impl<'a> Waiting<'a> {
    fn enter(total: &'a AtomicU64, cost: Tokens) -> Self {
        total.fetch_add(cost, Relaxed);
        Self { total, cost }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.total.fetch_sub(self.cost, Relaxed);
    }
}
