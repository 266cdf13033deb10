//! Tokens that this router has reserved for requests of other routers.
//!
//! A reservation is held like that of one of this router's own requests until the other router
//! releases it with the number of tokens spent. If it never does, all of it counts as spent.
//!
//! A lease is a reservation for several requests. Its tokens count as lent until the other router
//! reports that no new request uses it; all that this router lends of a workspace is bounded
//! ([`super::lease::grantable`]).

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftlink_telemetry::event;
use swiftlink_types::{Tokens, WorkspaceName};
use swiftlink_wire::link::{Ended, LeaseSize, Refusal, Reserve, Reserved};
use tokio::time::{Instant, sleep_until};

use super::local::{LocalQuota, QuotaError};
use super::reservation::Reservation;
use super::reserver::millis;
use super::table::QuotaTable;
use crate::dialect::Usage;

/// Time after the timeout of a request during which its router may still release the reservation.
const RELEASE_GRACE: Duration = Duration::from_secs(10);

/// Time between two searches for reservations that weren't released in time.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum time for which the process may stand still before a search. After more, releases that
/// arrived in time may wait in its sockets, or their routers send them again a few seconds later.
const MAX_STALL: Duration = Duration::from_secs(5);

/// Identifies a reservation: the process that asked, and its number for the request.
type Key = (u64, u64);

/// All reservations of other routers.
#[derive(Debug, Default)]
pub struct PeerReservations(Mutex<States>);

#[derive(Debug, Default)]
struct States {
    reservations: HashMap<Key, State>,
    /// Tokens that are lent, by workspace.
    lent: HashMap<WorkspaceName, Tokens>,
}

#[derive(Debug)]
enum State {
    /// The request waits for quota.
    Waiting,
    Held(Held),
}

#[derive(Debug)]
struct Held {
    reservation: Reservation,
    expires: Instant,
    /// Tokens that were charged before the end: a lease reports them.
    charged: Tokens,
    /// Set for a lease from which new requests may reserve.
    lent: Option<Lent>,
}

/// The tokens of a lease.
#[derive(Debug)]
struct Lent {
    workspace: WorkspaceName,
    tokens: Tokens,
}

impl States {
    fn lend(&mut self, workspace: &WorkspaceName, tokens: Tokens) -> Lent {
        *self.lent.entry(workspace.clone()).or_default() += tokens;
        Lent {
            workspace: workspace.clone(),
            tokens,
        }
    }

    fn lent(&self, workspace: &WorkspaceName) -> Tokens {
        self.lent.get(workspace).copied().unwrap_or(0)
    }

    /// Counts the tokens of a lease as lent no longer.
    fn end_lent(&mut self, lent: Option<Lent>) {
        let Some(Lent { workspace, tokens }) = lent else {
            return;
        };
        if let Some(sum) = self.lent.get_mut(&workspace) {
            *sum = sum.saturating_sub(tokens);
            if *sum == 0 {
                self.lent.remove(&workspace);
            }
        }
    }

    /// Ends the reservation `key`, of which `spent` tokens were spent in total.
    fn end(&mut self, key: Key, spent: Tokens) {
        if let Some(State::Held(held)) = self.reservations.remove(&key) {
            self.end_lent(held.lent);
            let uncharged = spent.saturating_sub(held.charged);
            held.reservation.settle(uncharged);
        }
    }

    /// Applies a report of a lease that no new request uses: `spent` of its tokens were spent, and
    /// running requests hold `held`. Reports may arrive in any order, and neither what a lease has
    /// spent nor what it has returned falls.
    fn report(&mut self, key: Key, spent: Tokens, held: Tokens) {
        let Some(State::Held(state)) = self.reservations.get_mut(&key) else {
            return;
        };
        let uncharged = spent.saturating_sub(state.charged);
        let kept = spent
            .saturating_add(held)
            .saturating_sub(state.charged + uncharged);
        state.charged += state.reservation.settle_part(uncharged, kept);
        let lent = state.lent.take();
        self.end_lent(lent);
    }
}

impl PeerReservations {
    /// Reserves tokens for a request of another router. The request waits for quota up to the
    /// time that it names.
    pub async fn reserve(&self, quotas: &QuotaTable, request: &Reserve) -> Reserved {
        let workspace = WorkspaceName::from(request.workspace.as_str());
        let Some(quota) = quotas.get(&workspace) else {
            // The two routers have different versions of the configuration.
            return Reserved {
                refusal: Refusal::Elsewhere.into(),
                ..Reserved::default()
            };
        };
        if let Some(size) = &request.lease {
            return self.lend(&quota, request, size);
        }
        let key = (request.process, request.number);
        self.lock().reservations.insert(key, State::Waiting);
        let usage = Usage {
            prompt: request.tokens,
            output: 0,
        };
        let wait = Duration::from_millis(request.wait_ms.into());
        let time = Duration::from_millis(request.time_ms.into());
        let reserved = quota.reserve(usage, wait).await;
        let mut states = self.lock();
        // A release that arrived in the meantime has removed the entry.
        let wanted = states.reservations.remove(&key).is_some();
        let result = reserved.map(|reservation| {
            if !wanted {
                return;
            }
            let held = Held {
                reservation,
                expires: Instant::now() + time + RELEASE_GRACE,
                charged: 0,
                lent: None,
            };
            states.reservations.insert(key, State::Held(held));
        });
        let refusal = match result {
            Ok(()) => Refusal::Unspecified,
            Err(QuotaError::Exhausted { .. }) => Refusal::Spent,
            Err(QuotaError::Limited { .. } | QuotaError::HeldElsewhere) => Refusal::Elsewhere,
            Err(QuotaError::StoreUnavailable) => Refusal::Away,
        };
        let unlock = match result {
            Ok(()) | Err(QuotaError::Exhausted { .. }) => None,
            Err(reason) => reason
                .retry_after()
                .or_else(|| quota.unlocks_in(request.tokens)),
        };
        Reserved {
            refusal: refusal.into(),
            back_ms: unlock.map(millis),
            rest: quota.remaining(),
            prepaid: quota.prepaid(),
            ..Reserved::default()
        }
    }

    /// Grants a lease or refuses it at once: no request waits for it.
    fn lend(&self, quota: &Arc<LocalQuota>, request: &Reserve, size: &LeaseSize) -> Reserved {
        let time = Duration::from_millis(request.time_ms.into());
        let mut states = self.lock();
        let lent = states.lent(&quota.workspace);
        let leased = quota.try_lend(size, lent).map(|(reservation, tokens)| {
            let held = Held {
                reservation,
                expires: Instant::now() + time + RELEASE_GRACE,
                charged: 0,
                lent: Some(states.lend(&quota.workspace, tokens)),
            };
            let key = (request.process, request.number);
            states.reservations.insert(key, State::Held(held));
            tokens
        });
        let refusal = match leased {
            Some(_) => Refusal::Unspecified,
            None => Refusal::Elsewhere,
        };
        Reserved {
            refusal: refusal.into(),
            rest: quota.remaining(),
            prepaid: quota.prepaid(),
            leased,
            ..Reserved::default()
        }
    }

    /// Ends reservations of requests of `process`, and applies reports on its leases. Unknown
    /// reservations are ignored.
    pub fn release(&self, process: u64, ended: &[Ended]) {
        let mut states = self.lock();
        for ended in ended {
            let key = (process, ended.number);
            match ended.held {
                Some(held) => states.report(key, ended.spent, held),
                None => states.end(key, ended.spent),
            }
        }
    }

    /// Counts reservations as spent that weren't released in time, until the task is aborted. Time for
    /// which the process stood still says nothing about what others released.
    pub async fn expire_until_aborted(self: Arc<Self>) {
        loop {
            let due = Instant::now() + EXPIRE_INTERVAL;
            sleep_until(due).await;
            let late = due.elapsed();
            if late >= MAX_STALL {
                event!(info, "quota.expiry_deferred", late_ms = late.as_millis());
                continue;
            }
            let tokens = self.expire();
            if tokens > 0 {
                event!(warn, "quota.expired", tokens = tokens);
            }
        }
    }

    /// Counts reservations as spent that weren't released in time, and returns their tokens.
    pub fn expire(&self) -> Tokens {
        let now = Instant::now();
        let mut tokens = 0;
        let mut states = self.lock();
        let is_expired = |_: &Key, state: &mut State| match state {
            State::Waiting => false,
            State::Held(held) => held.expires <= now,
        };
        let expired: Vec<_> = states.reservations.extract_if(is_expired).collect();
        for (_, state) in expired {
            if let State::Held(held) = state {
                tokens += held.reservation.settle_all();
                states.end_lent(held.lent);
            }
        }
        tokens
    }

    /// Tokens of a workspace that are in leases of other routers.
    #[must_use]
    pub fn lent(&self, workspace: &WorkspaceName) -> Tokens {
        self.lock().lent(workspace)
    }

    /// Whether there are no reservations, waiting ones included.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock().reservations.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, States> {
        // No panic can leave the maps half changed.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
