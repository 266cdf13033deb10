//! Builders of change sets and a small valid configuration.
#![allow(dead_code, reason = "each test binary uses some of the helpers")]

use prost::Message;
use swiftlink_log::{Fold as _, Step};
use swiftlink_resource::{Fold, Reject, RejectReason, SetFate, Verdict};
use swiftlink_wire::log as wire;

pub const HASH: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

pub fn put(kind: &str, name: &str, base: u64, spec: &str) -> wire::Change {
    wire::Change {
        kind: kind.to_owned(),
        name: name.to_owned(),
        base,
        delete: false,
        spec: spec.to_owned(),
    }
}

pub fn delete(kind: &str, name: &str, base: u64) -> wire::Change {
    let delete = true;
    wire::Change {
        delete,
        ..put(kind, name, base, "")
    }
}

pub fn encode(id: &str, changes: Vec<wire::Change>) -> Vec<u8> {
    let id = id.to_owned();
    wire::ChangeSet {
        id,
        changes,
        ..Default::default()
    }
    .encode_to_vec()
}

pub fn apply(fold: &mut Fold, offset: u64, id: &str, changes: Vec<wire::Change>) -> SetFate {
    match fold.apply(offset, &encode(id, changes)) {
        Step::Fate(fate) => fate,
        other => panic!("not decided: {other:?}"),
    }
}

/// A fold with one resource of each kind, declared at offset 9: every version is 10.
pub fn sample_fold() -> Fold {
    let mut fold = Fold::empty();
    let key = format!(r#"{{"workspace":"w","hash":"{HASH}"}}"#);
    let changes = vec![
        put("key", "k", 0, &key),
        put(
            "server",
            "s",
            0,
            r#"{"pool":"p","address":"127.0.0.1:80","domain":"d"}"#,
        ),
        put("workspace", "w", 0, r#"{"budget":"b","classes":["c"]}"#),
        put("topup", "t", 0, r#"{"budget":"b","amount":5}"#),
        put("pool", "p", 0, r#"{"kind":"model"}"#),
        put("class", "c", 0, "{}"),
        put("budget", "b", 0, "{}"),
        put("retirement", "vm-9", 0, "{}"),
    ];
    let fate = apply(&mut fold, 9, "start", changes);
    assert_eq!((fate.verdict, fate.events.len()), (Verdict::Accepted, 8));
    fold
}

/// Applies one change at offset 20, which must be rejected, and returns the reasons.
pub fn reject_reasons(fold: &mut Fold, change: wire::Change) -> Vec<RejectReason> {
    let version = fold.version();
    let before = fold.config();
    let id = format!("{change:?}");
    let fate = apply(fold, 20, &id, vec![change]);
    let Verdict::Rejected(rejects) = fate.verdict else {
        panic!("{id} was {:?}", fate.verdict);
    };
    assert_eq!(
        (fate.version, fold.version(), fate.events.len()),
        (version, version, 0)
    );
    assert_eq!(before.count(), fold.config().count());
    rejects
        .into_iter()
        .map(|Reject { reason, .. }| reason)
        .collect()
}
