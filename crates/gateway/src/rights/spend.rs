//! What one request holds and spends.

use std::sync::Arc;

use swiftlink_types::Tokens;

use super::book::Book;
use crate::dialect::Usage;

/// Rights that one request holds. When it is dropped, what was not spent is free again.
///
/// A caller who gets nothing of an answer pays nothing, whatever ran: the users' platform
/// counts what a workspace gets.
#[derive(Debug)]
pub struct Spend {
    book: Arc<Book>,
    usage: Usage,
    reserved: Tokens,
    spent: Tokens,
}

impl Spend {
    /// Of `reserved` tokens that `book` has set aside for a request.
    pub(super) fn new(book: Arc<Book>, usage: Usage, reserved: Tokens) -> Self {
        Self {
            book,
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

    /// Tokens spent so far.
    #[must_use]
    pub fn spent(&self) -> Tokens {
        self.spent
    }
}

impl Drop for Spend {
    fn drop(&mut self) {
        self.book.grant.settle(self.reserved, self.spent);
    }
}
