//! Rights that this router has set aside for requests of other routers.
//!
//! A reservation is held like that of a request of this router's own, until the other router
//! releases it with what was spent. If it never does, all of it counts as spent.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftlink_types::{Tokens, WorkspaceName};
use swiftlink_wire::link::{Ended, Refusal, Reserve, Reserved};
use tokio::time::Instant;

use super::book::QuotaError;
use super::books::QuotaTable;
use super::remote::millis;
use super::spend::Reservation;
use crate::dialect::Usage;

/// Time after the longest time of a request in which its router may still say what it spent.
const RELEASE_TIME: Duration = Duration::from_secs(10);

/// Which reservation: the process that asked, and its number for it.
type Key = (u64, u64);

/// All reservations of other routers.
#[derive(Debug, Default)]
pub struct PeerReservations(Mutex<HashMap<Key, State>>);

#[derive(Debug)]
enum State {
    /// Asked for, and not decided yet.
    Waiting,
    Held {
        spend: Reservation,
        until: Instant,
    },
}

impl PeerReservations {
    /// Sets tokens aside for a request of another router, which waits for them for as long as
    /// it says.
    pub async fn reserve(&self, books: &QuotaTable, ask: &Reserve) -> Reserved {
        let workspace = WorkspaceName::from(ask.workspace.as_str());
        let Some(book) = books.get(&workspace) else {
            // This router's configuration is older than the other one's, or newer.
            return Reserved {
                refusal: Refusal::Elsewhere.into(),
                ..Reserved::default()
            };
        };
        let key = (ask.process, ask.number);
        self.lock().insert(key, State::Waiting);
        let usage = Usage {
            prompt: ask.tokens,
            output: 0,
        };
        let wait = Duration::from_millis(ask.wait_ms.into());
        let time = Duration::from_millis(ask.time_ms.into());
        let reserved = book.reserve(usage, wait).await;
        let mut known = self.lock();
        // One that was released in the meantime isn't wanted any more.
        let wanted = known.remove(&key).is_some();
        let refusal = match reserved {
            Ok(spend) => {
                if wanted {
                    let until = Instant::now() + time + RELEASE_TIME;
                    known.insert(key, State::Held { spend, until });
                }
                Refusal::Unspecified
            }
            Err(QuotaError::Exhausted { .. }) => Refusal::Spent,
            Err(QuotaError::HeldElsewhere) => Refusal::Elsewhere,
            Err(QuotaError::StoreUnavailable) => Refusal::Away,
        };
        let back = match refusal {
            Refusal::Elsewhere | Refusal::Away => book.opens_in(ask.tokens),
            Refusal::Unspecified | Refusal::Spent => None,
        };
        Reserved {
            refusal: refusal.into(),
            back_ms: back.map(millis),
            rest: book.remaining(),
            prepaid: book.prepaid(),
            ..Reserved::default()
        }
    }

    /// Requests of `process` have ended.
    pub fn release(&self, process: u64, ended: &[Ended]) {
        let mut known = self.lock();
        for Ended { number, spent } in ended {
            if let Some(State::Held { spend, .. }) = known.remove(&(process, *number)) {
                spend.settle(*spent);
            }
        }
    }

    /// Counts as spent what should have been released by now; gives how much that is.
    pub fn expire(&self) -> Tokens {
        let now = Instant::now();
        let mut tokens = 0;
        let late = |_: &Key, state: &mut State| match state {
            State::Waiting => false,
            State::Held { until, .. } => *until <= now,
        };
        for (_, state) in self.lock().extract_if(late) {
            if let State::Held { spend, .. } = state {
                tokens += spend.settle_all();
            }
        }
        tokens
    }

    /// Whether none is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Key, State>> {
        // The map is whole between any two calls.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
