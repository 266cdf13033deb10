//! What one request holds and spends.

use std::sync::Arc;

use swiftlink_types::Tokens;

use super::book::LocalQuota;
use super::remote::RemoteReservation;
use crate::dialect::Usage;

/// Rights that one request holds. When it is dropped, what was not spent is free again.
///
/// A caller who gets nothing of an answer pays nothing, whatever ran: the users' platform
/// counts what a workspace gets.
#[derive(Debug)]
pub struct Reservation {
    source: Source,
    usage: Usage,
    reserved: Tokens,
    spent: Tokens,
}

/// Where the tokens are set aside.
#[derive(Debug)]
pub(super) enum Source {
    /// In this router's own rights.
    Here(Arc<LocalQuota>),
    /// At another router.
    There(RemoteReservation),
}

impl Reservation {
    /// Of `reserved` tokens that are set aside for a request.
    pub(super) fn new(source: Source, usage: Usage, reserved: Tokens) -> Self {
        Self {
            source,
            usage,
            reserved,
            spent: 0,
        }
    }

    /// The answer reaches the caller, `output` tokens of it so far. The prompt is spent with
    /// its first piece.
    pub fn deliver(&mut self, output: Tokens) {
        self.spent = self.usage.prompt + output.min(self.usage.output);
    }

    /// The whole answer reaches the caller, and nobody says how many tokens it has.
    pub fn deliver_all(&mut self) {
        self.deliver(self.usage.output);
    }

    /// The request has ended elsewhere, with so many tokens spent.
    pub(super) fn settle(mut self, spent: Tokens) {
        self.spent = spent.min(self.reserved);
    }

    /// The request may have spent all that was set aside; gives how much that is.
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
            Source::Here(book) => {
                book.grant.settle(self.reserved, self.spent);
            }
            Source::There(reservation) => reservation.end(self.spent),
        }
    }
}
