//! Sets rights aside for a request, and waits for them where they are missing.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use swiftlink_types::Tokens;
use tokio::time::{Instant, timeout_at};

use super::{Book, NoRights};
use crate::dialect::Usage;
use crate::rights::spend::{Source, Spend};

/// How often a waiting request looks whether the growth of a cap covers it. A tenth of the
/// users' shortest wait.
const RECHECK: Duration = Duration::from_millis(10);

impl Book {
    /// Reserves the most that `usage` can cost, waiting up to `wait` for rights. Where others
    /// hold what is left it doesn't wait.
    ///
    /// # Errors
    /// When there are none.
    pub async fn reserve(
        self: &Arc<Self>,
        usage: Usage,
        wait: Duration,
    ) -> Result<Spend, NoRights> {
        if let Some(spend) = self.try_reserve(usage) {
            return Ok(spend);
        }
        let rest = self.rest();
        if rest < usage.max_total() {
            return Err(NoRights::Spent { rest });
        }
        if self.is_withdrawn() {
            return Err(NoRights::Elsewhere);
        }
        self.claim(usage, wait).await
    }

    /// Waits up to `wait` for rights, and claims them where they are missing.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        usage: Usage,
        wait: Duration,
    ) -> Result<Spend, NoRights> {
        let cost = usage.max_total();
        let until = Instant::now() + wait;
        self.grant.miss(cost);
        let _waiting = Waiting::enter(&self.waiting, cost);
        loop {
            let changed = self.changed.notified();
            let rest = self.rest();
            if rest < cost {
                return Err(NoRights::Spent { rest });
            }
            self.ask_for();
            let pause = until.min(Instant::now() + RECHECK);
            let news = timeout_at(pause, changed).await;
            if let Some(spend) = self.try_reserve(usage) {
                return Ok(spend);
            }
            // After news others were faster.
            if news.is_ok() || pause < until {
                continue;
            }
            if self.away.load(Relaxed) {
                return Err(NoRights::Away);
            }
            return Err(NoRights::Elsewhere);
        }
    }

    /// Wakes whoever may bring rights for the requests that wait.
    fn ask_for(&self) {
        if self.moves().locked > 0 {
            self.wakers.cap.notify_one();
        }
        if self.need() > 0 {
            self.wakers.claim.notify_one();
        }
    }

    /// Reserves the most that `usage` can cost, if there are rights for it now.
    pub(crate) fn try_reserve(self: &Arc<Self>, usage: Usage) -> Option<Spend> {
        let cost = usage.max_total();
        self.largest.fetch_max(cost, Relaxed);
        if self.grant.reserve(cost).is_none() {
            self.unlock_with(&mut self.moves());
            self.grant.reserve(cost)?;
        }
        if self.grant.available() < self.low.load(Relaxed) {
            self.wakers.cap.notify_one();
        }
        let source = Source::Here(Arc::clone(self));
        Some(Spend::new(source, usage, cost))
    }
}

/// A request that waits for rights, among the tokens of all that do.
struct Waiting<'a> {
    all: &'a AtomicU64,
    cost: Tokens,
}

impl<'a> Waiting<'a> {
    fn enter(all: &'a AtomicU64, cost: Tokens) -> Self {
        all.fetch_add(cost, Relaxed);
        Self { all, cost }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.all.fetch_sub(self.cost, Relaxed);
    }
}
