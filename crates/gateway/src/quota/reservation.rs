//! The tokens that one request reserves and spends.

use std::sync::Arc;

use swiftlink_types::Tokens;

use super::lease::Lease;
use super::local::LocalQuota;
use super::releases::RemoteReservation;
use crate::dialect::Usage;

/// Tokens reserved for one request. Dropping it frees what wasn't spent.
///
/// A caller who gets nothing of an answer pays nothing, whichever servers worked on it: the
/// users' platform counts what a workspace receives.
#[derive(Debug)]
pub struct Reservation {
    source: Source,
    usage: Usage,
    reserved: Tokens,
    spent: Tokens,
}

/// Where the tokens are reserved.
#[derive(Debug)]
pub(super) enum Source {
    /// In this router's own quota.
    Local(Arc<LocalQuota>),
    /// At another router.
    Peer(RemoteReservation),
    /// In a lease from another router.
    Lease(Arc<Lease>),
}

impl Reservation {
    /// Wraps `reserved` tokens that `source` already holds for a request.
    pub(super) fn new(source: Source, usage: Usage, reserved: Tokens) -> Self {
        Self {
            source,
            usage,
            reserved,
            spent: 0,
        }
    }

    /// Records that the caller has received `output` tokens of the answer so far. The prompt is
    /// charged with the first piece.
    pub fn deliver(&mut self, output: Tokens) {
        self.spent = self.usage.prompt + output.min(self.usage.output);
    }

    /// Records that the caller received a whole answer of unknown length.
    pub fn deliver_all(&mut self) {
        self.deliver(self.usage.output);
    }

    /// Ends a request of another router, which has spent `spent` tokens.
    pub(super) fn settle(mut self, spent: Tokens) {
        self.spent = spent.min(self.reserved);
    }

    /// Charges `spent` tokens of a reservation in this router's own quota and frees all but `kept`
    /// of the others. Returns the number of tokens charged.
    pub(super) fn settle_part(&mut self, spent: Tokens, kept: Tokens) -> Tokens {
        let Source::Local(quota) = &self.source else {
            return 0;
        };
        let spent = spent.min(self.reserved);
        let kept = kept.min(self.reserved - spent);
        quota.grant.settle(self.reserved - kept, spent);
        self.reserved = kept;
        spent
    }

    /// Counts all reserved tokens as spent, and returns their number.
    pub(super) fn settle_all(self) -> Tokens {
        let reserved = self.reserved;
        self.settle(reserved);
        reserved
    }

    /// Tokens spent so far.
    #[must_use]
    pub fn spent(&self) -> Tokens {
        self.spent
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        match &mut self.source {
            Source::Local(quota) => {
                quota.grant.settle(self.reserved, self.spent);
            }
            Source::Peer(reservation) => reservation.end(self.spent),
            Source::Lease(lease) => lease.settle(self.reserved, self.spent),
        }
    }
}
