//! Checks a specification with the rules that are applied to change sets on the log.

use serde_json::Value;
use swiftlink_log::Fold as _;
use swiftlink_resource::{Fold, RejectReason, Verdict};
use swiftlink_wire::log::{Change, ChangeSet};

/// An invalid field and a description of the error.
pub(super) struct FieldError {
    pub(super) field: String,
    pub(super) detail: String,
}

/// Checks a single resource. References are checked only when the change set is decided.
pub(super) fn check(kind: &str, name: &str, spec: &Value) -> Result<(), FieldError> {
    let change = Change {
        kind: kind.to_owned(),
        name: name.to_owned(),
        base: 0,
        delete: false,
        spec: spec.to_string(),
    };
    let set = ChangeSet {
        id: "check".to_owned(),
        changes: vec![change],
        ..ChangeSet::default()
    };
    let Verdict::Rejected(rejects) = Fold::empty().decide(0, &set).verdict else {
        return Ok(());
    };
    for reject in rejects {
        if let RejectReason::Invalid { field, detail } = reject.reason {
            // A position in the JSON is meaningless to the author of the TOML document.
            let detail = match detail.rsplit_once(" at line ") {
                Some((head, _place)) => head.to_owned(),
                None => detail,
            };
            return Err(FieldError { field, detail });
        }
    }
    Ok(())
}
