//! Tokens that this router has reserved for requests of other routers.
//!
//! A reservation is held like that of one of this router's own requests until the other router
//! releases it with the number of tokens spent. If it never does, all of it counts as spent.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftlink_types::{Tokens, WorkspaceName};
use swiftlink_wire::link::{Ended, Refusal, Reserve, Reserved};
use tokio::time::Instant;

use super::local::QuotaError;
use super::reservation::Reservation;
use super::reserver::millis;
use super::table::QuotaTable;
use crate::dialect::Usage;

/// Time after the timeout of a request during which its router may still release the reservation.
const RELEASE_GRACE: Duration = Duration::from_secs(10);

/// Identifies a reservation: the process that asked, and its number for the request.
type Key = (u64, u64);

/// All reservations of other routers.
#[derive(Debug, Default)]
pub struct PeerReservations(Mutex<HashMap<Key, State>>);

#[derive(Debug)]
enum State {
    /// The request waits for quota.
    Waiting,
    Held {
        reservation: Reservation,
        expires: Instant,
    },
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
        let key = (request.process, request.number);
        self.lock().insert(key, State::Waiting);
        let usage = Usage {
            prompt: request.tokens,
            output: 0,
        };
        let wait = Duration::from_millis(request.wait_ms.into());
        let time = Duration::from_millis(request.time_ms.into());
        let reserved = quota.reserve(usage, wait).await;
        let mut states = self.lock();
        // A release that arrived in the meantime has removed the entry.
        let wanted = states.remove(&key).is_some();
        let refusal = match reserved {
            Ok(reservation) => {
                if wanted {
                    let expires = Instant::now() + time + RELEASE_GRACE;
                    states.insert(
                        key,
                        State::Held {
                            reservation,
                            expires,
                        },
                    );
                }
                Refusal::Unspecified
            }
            Err(QuotaError::Exhausted { .. }) => Refusal::Spent,
            Err(QuotaError::HeldElsewhere) => Refusal::Elsewhere,
            Err(QuotaError::StoreUnavailable) => Refusal::Away,
        };
        let unlock = match refusal {
            Refusal::Elsewhere | Refusal::Away => quota.unlocks_in(request.tokens),
            Refusal::Unspecified | Refusal::Spent => None,
        };
        Reserved {
            refusal: refusal.into(),
            back_ms: unlock.map(millis),
            rest: quota.remaining(),
            prepaid: quota.prepaid(),
            ..Reserved::default()
        }
    }

    /// Ends reservations of requests of `process`. Unknown ones are ignored.
    pub fn release(&self, process: u64, ended: &[Ended]) {
        let mut states = self.lock();
        for Ended { number, spent } in ended {
            if let Some(State::Held { reservation, .. }) = states.remove(&(process, *number)) {
                reservation.settle(*spent);
            }
        }
    }

    /// Counts reservations as spent that weren't released in time, and returns their tokens.
    pub fn expire(&self) -> Tokens {
        let now = Instant::now();
        let mut tokens = 0;
        let is_expired = |_: &Key, state: &mut State| match state {
            State::Waiting => false,
            State::Held { expires, .. } => *expires <= now,
        };
        for (_, state) in self.lock().extract_if(is_expired) {
            if let State::Held { reservation, .. } = state {
                tokens += reservation.settle_all();
            }
        }
        tokens
    }

    /// Whether there are no reservations, waiting ones included.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Key, State>> {
        // No panic can leave the map half changed.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
