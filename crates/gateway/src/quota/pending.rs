//! A reservation that is made while its request already runs.
//!
//! On a busy link, the answer of a holder waits behind the bodies of callers' requests for tens or
//! hundreds of milliseconds. While the budget is far from its end, a router doesn't wait for it: it
//! sends the request to a backend server, and delivers nothing of the response before the tokens are
//! reserved. So never more is delivered than was reserved.

use swiftlink_types::Tokens;
use tokio::task::JoinHandle;

use super::reservation::Reservation;
use super::reserver::ReserveError;

/// A budget is ample if at least its `1 / MIN_REST_DIVISOR` is left, so that what other requests may
/// spend meanwhile doesn't exhaust it.
const MIN_REST_DIVISOR: Tokens = 10;
/// Times the cost of the request that are left of an ample budget: many others may run at the same
/// time.
const MIN_REST_REQUESTS: Tokens = 200;

/// Whether a request of `cost` can count on being granted its tokens: `rest` of `prepaid` tokens were
/// left a moment ago.
#[must_use]
pub fn is_ample(rest: Tokens, prepaid: Tokens, cost: Tokens) -> bool {
    rest >= prepaid / MIN_REST_DIVISOR && rest >= cost.saturating_mul(MIN_REST_REQUESTS)
}

/// The tokens of a request.
#[derive(Debug)]
pub enum RequestQuota {
    /// The request is charged to no workspace with a budget.
    Unlimited,
    /// They are reserved.
    Reserved(Reservation),
    /// They are being reserved; nothing may be delivered yet.
    Pending(PendingReservation),
}

/// A task that reserves tokens. Dropping it aborts the task, which releases what it got.
#[derive(Debug)]
pub struct PendingReservation(JoinHandle<Result<Reservation, ReserveError>>);

impl PendingReservation {
    /// Reserves tokens in the background.
    pub(super) fn spawn(
        reserve: impl Future<Output = Result<Reservation, ReserveError>> + Send + 'static,
    ) -> Self {
        Self(tokio::spawn(reserve))
    }
}

impl Drop for PendingReservation {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl RequestQuota {
    /// Waits until the tokens are reserved.
    ///
    /// # Errors
    /// When no holder grants them; what failed is `None` if the task was cut short by a shutdown.
    pub async fn reserved(&mut self) -> Result<(), Option<ReserveError>> {
        let Self::Pending(pending) = self else {
            return Ok(());
        };
        match (&mut pending.0).await {
            Ok(Ok(reservation)) => {
                *self = Self::Reserved(reservation);
                Ok(())
            }
            Ok(Err(error)) => Err(Some(error)),
            Err(_aborted) => Err(None),
        }
    }

    /// The reservation, if the tokens are reserved.
    pub fn reservation(&mut self) -> Option<&mut Reservation> {
        match self {
            Self::Reserved(reservation) => Some(reservation),
            Self::Unlimited | Self::Pending(_) => None,
        }
    }

    /// Tokens spent so far.
    #[must_use]
    pub fn spent(&self) -> Tokens {
        match self {
            Self::Reserved(reservation) => reservation.spent(),
            Self::Unlimited | Self::Pending(_) => 0,
        }
    }
}
