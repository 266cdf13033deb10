//! When the rights of a retired router may be freed. Decides without I/O.

use std::fmt;
use std::sync::Arc;

/// How certain it is that a retired incarnation runs no work any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// A successor bound the same address on the same VM, which it could not while
    /// the predecessor lived.
    Bound,
    /// An operator states that its VM is gone for good.
    Declared,
    /// Its VM left the VM list, and all budgets on which it holds rights take that
    /// for proof (`release = "listed"`), or it holds none.
    Listed,
    /// It was retired, but may still be running.
    None,
}

/// Charges of the incarnation that a ledger holds, as far as is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The ledger.
    pub ledger: Arc<str>,
    /// Charges that it holds and hasn't seen folded; nothing when it can't be reached.
    pub pending: Option<u64>,
    /// Whether its VM left the VM list or is declared gone, so that what it held is lost.
    pub gone: bool,
}

/// What to do with the rights of a retired incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Free them.
    Release,
    /// Keep them until an operator acts: it isn't proved that the router is gone.
    Unproved,
    /// Keep them for now: a ledger holds charges that draw on them.
    Pending {
        /// The ledger.
        ledger: Arc<str>,
    },
    /// Keep them for now: a ledger that may hold charges can't be reached.
    Unreachable {
        /// The ledger.
        ledger: Arc<str>,
    },
}

/// Decides on the rights of an incarnation that the fold shows as retired.
///
/// All `answers` must have been asked for after the fold showed that. The charge of
/// an answer that a caller has seen whole is held by a ledger or folded, so with no
/// charge pending anywhere the release makes no such charge void.
#[must_use]
pub fn decide(proof: Proof, answers: &[Answer]) -> Verdict {
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
            Self::Bound => "successor bound its address",
            Self::Declared => "vm is declared gone",
            Self::Listed => "vm left the list",
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
