//! Checks a specification by the rules that decide on the log.

use serde_json::Value;
use swiftlink_log::Fold as _;
use swiftlink_resource::{Fold, RejectReason, Verdict};
use swiftlink_wire::log::{Change, ChangeSet};

/// A field at fault, and what is wrong with it.
pub(super) struct Fault {
    pub(super) field: String,
    pub(super) detail: String,
}

/// Checks one resource on its own; whether what it refers to exists is left to the log.
pub(super) fn check(kind: &str, name: &str, spec: &Value) -> Result<(), Fault> {
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
            // A place in the JSON means nothing to who wrote TOML.
            let detail = match detail.rsplit_once(" at line ") {
                Some((head, _place)) => head.to_owned(),
                None => detail,
            };
            return Err(Fault { field, detail });
        }
    }
    Ok(())
}
