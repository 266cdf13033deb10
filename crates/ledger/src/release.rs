//! Decides when the grants of a retired router may be released. Free of I/O.

use std::fmt;
use std::sync::Arc;

/// Proof that a retired incarnation executes no more requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// A successor bound the same address on the same VM, which is impossible while the
    /// predecessor is running.
    Successor,
    /// An operator declared its VM gone.
    Declared,
    /// Its VM left the VM list, and all budgets of which it holds tokens accept that as
    /// proof (`release = "listed"`), or it holds none.
    Delisted,
    /// No proof: it was retired, but may still be running.
    None,
}

/// Answer of one ledger to the question for pending charges of an incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerAnswer {
    /// Name of the ledger.
    pub ledger: Arc<str>,
    /// Number of charges that it holds and that aren't folded yet; `None` when it can't be
    /// reached.
    pub pending: Option<u64>,
    /// Whether the ledger's VM left the VM list or is declared gone, so that charges it held
    /// are lost.
    pub gone: bool,
}

/// Decision on the grants of a retired incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Release them.
    Release,
    /// Keep them until an operator acts: there is no proof that the router is gone.
    Unproved,
    /// Keep them for now: a ledger holds charges to be deducted from them.
    Pending {
        /// Name of the ledger.
        ledger: Arc<str>,
    },
    /// Keep them for now: a ledger that may hold charges can't be reached.
    Unreachable {
        /// Name of the ledger.
        ledger: Arc<str>,
    },
}

/// Decides on the grants of an incarnation that is retired in the fold.
///
/// All `answers` must have been requested after the fold retired it. The charge for a
/// response that was delivered to a caller in full is held by a ledger or folded, so
/// with no charge pending anywhere the release voids no such charge.
#[must_use]
pub fn decide(proof: Proof, answers: &[LedgerAnswer]) -> Verdict {
    if proof == Proof::None {
        return Verdict::Unproved;
    }
    for answer in answers {
        let ledger = Arc::clone(&answer.ledger);
        match answer.pending {
            Some(0) => {}
            Some(_) => return Verdict::Pending { ledger },
            None if answer.gone => {}
            None => return Verdict::Unreachable { ledger },
        }
    }
    Verdict::Release
}

impl fmt::Display for Proof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Successor => "successor bound its address",
            Self::Declared => "vm is declared gone",
            Self::Delisted => "vm left the list",
            Self::None => "none",
        })
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Release => f.write_str("release"),
            Self::Unproved => f.write_str("not proved gone"),
            Self::Pending { ledger } => write!(f, "{ledger} holds charges"),
            Self::Unreachable { ledger } => write!(f, "{ledger} can't be reached"),
        }
    }
}
