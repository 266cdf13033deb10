//! What became of a change set.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Kind;

/// What became of one change set.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SetFate {
    /// Identifier that the writer chose.
    pub id: Arc<str>,
    /// Version of the configuration after the set.
    pub version: u64,
    /// The decision.
    pub verdict: Verdict,
    /// What changed; empty unless accepted.
    pub events: Vec<Event>,
}

/// The decision on a change set.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// All changes are in force.
    Accepted,
    /// A set with this identifier was decided before; this copy changes nothing.
    Duplicate,
    /// Nothing changed, for each of these reasons.
    Rejected(Vec<Reject>),
}

/// Why one change keeps its set from being accepted.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Reject {
    /// Kind as the change spells it.
    pub kind: String,
    /// Name of the resource.
    pub name: String,
    /// Why.
    pub reason: RejectReason,
}

/// Why a change is not acceptable.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum RejectReason {
    /// The resource has another version than the change was made from.
    Conflict {
        /// Its version now; 0 when it does not exist.
        current: u64,
    },
    /// The change or its specification breaks a rule.
    Invalid {
        /// Field at fault.
        field: String,
        /// What is wrong with it.
        detail: String,
    },
    /// The change needs a resource that does not exist.
    Missing {
        /// Kind of the missing resource.
        kind: Kind,
        /// Its name.
        name: String,
    },
    /// The resource can't be deleted while another needs it.
    InUse {
        /// The resource that needs it, as `kind/name`.
        by: String,
    },
    /// Resources of this kind can't be changed or deleted.
    Immutable,
}

/// One change in force.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Event {
    /// Version that the change made.
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
