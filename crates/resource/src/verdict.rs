//! Outcomes of change sets.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Kind;

/// Outcome of a change set.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SetFate {
    /// Identifier chosen by the writer.
    pub id: Arc<str>,
    /// Configuration version after the set.
    pub version: u64,
    /// The decision.
    pub verdict: Verdict,
    /// Changes made; empty unless accepted.
    pub events: Vec<Event>,
}

/// Decision on a change set.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// All changes were applied.
    Accepted,
    /// A set with this identifier was decided before; the duplicate has no effect.
    Duplicate,
    /// No change was applied; the reasons are listed.
    Rejected(Vec<Reject>),
}

/// A change that caused its set to be rejected.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Reject {
    /// Kind as written in the change.
    pub kind: String,
    /// Name of the resource.
    pub name: String,
    /// Reason of the rejection.
    pub reason: RejectReason,
}

/// Reason to reject a change.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum RejectReason {
    /// The current version differs from the change's base version.
    Conflict {
        /// Current version; 0 if the resource does not exist.
        current: u64,
    },
    /// The change or its specification is invalid.
    Invalid {
        /// Invalid field.
        field: String,
        /// Description of the error.
        detail: String,
    },
    /// The change refers to a resource that does not exist.
    Missing {
        /// Kind of the missing resource.
        kind: Kind,
        /// Name of the missing resource.
        name: String,
    },
    /// The resource can't be deleted while another refers to it.
    InUse {
        /// Resource that refers to it, as `kind/name`.
        by: String,
    },
    /// Resources of this kind can't be changed or deleted.
    Immutable,
}

/// An applied change of a resource.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Event {
    /// Version created by the change.
    pub version: u64,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: Arc<str>,
    /// Whether it was deleted.
    pub deleted: bool,
    /// Its specification as JSON; `None` when deleted.
    pub spec: Option<Arc<str>>,
}
