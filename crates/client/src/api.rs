//! JSON types of the operator interface.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Request header with the id of a change set: an idempotency key for repeated calls.
pub const CHANGE_ID_HEADER: &str = "swiftlink-change-id";

/// Request header by which a client states that it uses a change id for the first time.
///
/// Only then can the operator respond with `applied: "no"`: otherwise an earlier call with the
/// same id may have reached the log.
pub const CHANGE_FIRST_HEADER: &str = "swiftlink-change-first";

/// Media type of error responses (RFC 9457).
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// Body of `POST /v1/apply`: a set of changes that is accepted or rejected atomically.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// Author of the change, recorded on the log.
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
    /// Base version: the change is rejected unless it is current. 0: the resource must not exist;
    /// absent: any version.
    #[serde(default)]
    pub base: Option<u64>,
    /// Whether the resource is deleted.
    #[serde(default)]
    pub delete: bool,
    /// The new specification; absent if `delete` is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Value>,
}

/// Response to an accepted change set.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Applied {
    /// Id of the change set.
    pub id: String,
    /// Configuration version that includes the changes.
    pub version: u64,
    /// One result per change, in order.
    pub results: Vec<AppliedChange>,
}

/// Result of one accepted change.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct AppliedChange {
    /// Resource kind.
    pub kind: String,
    /// Resource name.
    pub name: String,
    /// Version of the resource after the change.
    pub version: u64,
    /// For a top-up: whether a ledger credited it to the budget before the response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub effective: Option<bool>,
}

/// A resource in its current version.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Resource {
    /// Resource kind.
    pub kind: String,
    /// Resource name.
    pub name: String,
    /// Version of its last change.
    pub version: u64,
    /// Specification, defaults included.
    pub spec: Value,
}

/// Response to a list request.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ResourceList {
    /// Configuration version of the list; a watch from it continues without a gap.
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
    /// All changes up to this version were sent; also keeps dead connections detectable.
    Heartbeat {
        /// Current version at the operator.
        heartbeat: u64,
    },
    /// The operator can't continue this watch. The client must list the resources again and
    /// watch from that version.
    End {
        /// Reason of the end.
        end: String,
    },
}

/// A change of a resource.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Configuration version that includes the change.
    pub version: u64,
    /// Resource kind.
    pub kind: String,
    /// Resource name.
    pub name: String,
    /// Whether the resource was deleted.
    pub deleted: bool,
    /// The new specification; null if the resource was deleted.
    pub spec: Value,
}

/// Response to `GET /v1/status`.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Newest configuration version known to the operator or any process.
    pub newest: u64,
    /// Current version at the operator that responds.
    pub version: u64,
    /// Time since the operator was last up to date with the configuration stream (ms); null if
    /// it never was.
    pub age_ms: Option<u64>,
    /// The processes in the operator's settings.
    pub processes: Vec<ProcessStatus>,
}

/// Status of one process.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Name in the operator's settings.
    pub name: String,
    /// Role: `router`, `ledger` or `operator`.
    pub role: String,
    /// Address of its admin endpoint.
    pub admin: String,
    /// Whether it responded in time.
    pub reachable: bool,
    /// Error, if it did not respond.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    /// Its current configuration version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Whether that is the newest known version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<bool>,
    /// Its unmodified status response.
    #[serde(default)]
    pub status: Value,
}

/// A ledger's view of one budget (amounts in tokens).
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Budget {
    /// Budget name.
    pub name: String,
    /// Ledger that provided the view.
    pub ledger: String,
    /// Sum of all top-ups.
    pub topped_up: u64,
    /// Unspent grants held by routers.
    pub granted: u64,
    /// Amount charged for requests.
    pub charged: u64,
    /// Amount that is neither charged, granted nor quarantined.
    pub free: u64,
    /// Grants of retired routers that aren't released yet.
    pub quarantined: u64,
    /// Offset of the last folded record.
    pub offset: u64,
    /// Age of the view (ms).
    pub age_ms: u64,
    /// Names of the credited top-ups.
    pub top_ups: Vec<String>,
}

/// Whether a change set without a known decision may have been applied.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Certainty {
    /// It was not and will not be applied unless it is sent again.
    No,
    /// It may have been applied or may still be. A repeated call with the same id returns the
    /// decision.
    Unknown,
}

/// A rejected change of a set.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RejectedChange {
    /// Resource kind.
    pub kind: String,
    /// Resource name.
    pub name: String,
    /// `conflict`, `invalid`, `missing`, `in-use` or `immutable`.
    pub reason: String,
    /// Human-readable explanation.
    pub detail: String,
    /// For a conflict, the current version; 0 if the resource does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<u64>,
}

/// Body of an error response (RFC 9457).
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Problem {
    /// Problem type: a URN with a stable last part.
    #[serde(rename = "type")]
    pub kind: String,
    /// One-line title, the same for all problems of the type.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Explanation specific to this request.
    #[serde(default)]
    pub detail: String,
    /// Invalid field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Rejected changes, because of which the whole set was rejected.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rejects: Vec<RejectedChange>,
    /// For an undecided apply: whether it may have been applied.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub applied: Option<Certainty>,
    /// Id of the change set, for a repeated call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<String>,
    /// Time after which to retry (ms).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
}

impl Problem {
    /// Returns whether a change was rejected because its base version is outdated.
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        self.rejects
            .iter()
            .any(|reject| reject.reason == "conflict")
    }
}
