//! JSON types of the operator interface.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Request header that names a change set, so that a repeated call is the same change.
pub const CHANGE_ID_HEADER: &str = "swiftlink-change-id";

/// Request header with which a client states that it uses a change id for the first time.
///
/// Only then can the operator answer `applied: "no"`: without it an earlier
/// call with the same id may have reached the log.
pub const CHANGE_FIRST_HEADER: &str = "swiftlink-change-first";

/// Media type of error answers (RFC 9457).
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// Body of `POST /v1/apply`: all changes are accepted, or none is.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// Who asks, for the record on the log.
    #[serde(default)]
    pub author: String,
    /// The changes, in order.
    pub changes: Vec<ApplyChange>,
}

/// One change of a resource.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyChange {
    /// Resource kind.
    pub kind: String,
    /// Resource name.
    pub name: String,
    /// Version that the change was made from; 0: must not exist; absent: whatever is current.
    #[serde(default)]
    pub base: Option<u64>,
    /// Removes the resource.
    #[serde(default)]
    pub delete: bool,
    /// The new specification; absent when `delete`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Value>,
}

/// Answer to an accepted change set.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Applied {
    /// The change set's id.
    pub id: String,
    /// Version of the configuration with the changes in it.
    pub version: u64,
    /// One per change, in order.
    pub results: Vec<AppliedChange>,
}

/// What became of one accepted change.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct AppliedChange {
    /// Resource kind.
    pub kind: String,
    /// Resource name.
    pub name: String,
    /// The resource's version after the change.
    pub version: u64,
    /// For a top-up: whether a ledger was seen to count it in the budget before the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub effective: Option<bool>,
}

/// One resource as it is in force.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Resource {
    /// Resource kind.
    pub kind: String,
    /// Resource name.
    pub name: String,
    /// Version of its last change.
    pub version: u64,
    /// Its specification.
    pub spec: Value,
}

/// Answer to a list request.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ResourceList {
    /// Version of the configuration that was listed; watch from here on.
    pub version: u64,
    /// The resources, by name.
    pub items: Vec<Resource>,
}

/// One line of a watch.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchLine {
    /// A resource changed.
    Event(WatchEvent),
    /// Nothing changed up to this version; sent so that a dead connection is noticed.
    Heartbeat {
        /// Version in force at the operator.
        heartbeat: u64,
    },
    /// The operator can't continue this watch; list again, then watch from that version.
    End {
        /// Why.
        end: String,
    },
}

/// A change of a resource.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Version of the configuration with the change in it.
    pub version: u64,
    /// Resource kind.
    pub kind: String,
    /// Resource name.
    pub name: String,
    /// Whether the resource was removed.
    pub deleted: bool,
    /// Its new specification; null when removed.
    pub spec: Value,
}

/// Answer to `GET /v1/status`.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Newest configuration version that the operator or any process knows.
    pub newest: u64,
    /// Version in force at the operator that answers.
    pub version: u64,
    /// Time since the operator last knew the end of the configuration stream (ms);
    /// null if it never did.
    pub age_ms: Option<u64>,
    /// Every process of the operator's settings.
    pub processes: Vec<ProcessStatus>,
}

/// State of one process.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Name in the operator's settings.
    pub name: String,
    /// What it is: `router`, `ledger`, `operator`.
    pub role: String,
    /// Its admin address.
    pub admin: String,
    /// Whether it answered in time.
    pub reachable: bool,
    /// Why it did not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    /// Configuration version that it has in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Whether that is the newest version known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<bool>,
    /// Its own status answer, whole.
    #[serde(default)]
    pub status: Value,
}

/// What a ledger knows of one budget (amounts in tokens).
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Budget {
    /// Budget name.
    pub name: String,
    /// Ledger that answered.
    pub ledger: String,
    /// Sum of all top-ups.
    pub topped_up: u64,
    /// Unspent rights that routers hold.
    pub granted: u64,
    /// Spent.
    pub charged: u64,
    /// Neither spent, granted nor in quarantine.
    pub free: u64,
    /// Rights of retired routers, not yet released.
    pub quarantined: u64,
    /// Offset of the last record folded.
    pub offset: u64,
    /// Age of that knowledge (ms).
    pub age_ms: u64,
    /// Names of the top-ups counted.
    pub top_ups: Vec<String>,
}

/// Whether a change set that got no decision may have been applied.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Certainty {
    /// It certainly was not and will not be, unless it is sent again.
    No,
    /// It may have been, or may yet be. Repeat the call with the same id to learn which.
    Unknown,
}

/// Why one change of a set was rejected.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RejectedChange {
    /// Resource kind.
    pub kind: String,
    /// Resource name.
    pub name: String,
    /// `conflict`, `invalid`, `missing`, `in-use` or `immutable`.
    pub reason: String,
    /// One sentence for people.
    pub detail: String,
    /// The current version, for a conflict; 0 when the resource does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<u64>,
}

/// Body of an error answer (RFC 9457).
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Problem {
    /// Problem type, a URN that ends in a stable word.
    #[serde(rename = "type")]
    pub kind: String,
    /// One-line title, the same for every problem of the type.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened to this request.
    #[serde(default)]
    pub detail: String,
    /// Field at fault.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Rejected changes; the whole set was rejected with them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rejects: Vec<RejectedChange>,
    /// For an apply without decision: whether it may have been applied.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub applied: Option<Certainty>,
    /// The change set's id, to repeat the call with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<String>,
    /// When to come back (ms).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
}

impl Problem {
    /// Whether a change was made from an old version.
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        self.rejects
            .iter()
            .any(|reject| reject.reason == "conflict")
    }
}
