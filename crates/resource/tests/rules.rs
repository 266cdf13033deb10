//! An example for each rule of the fold.

mod common;

use std::sync::Arc;

use common::*;
use swiftlink_log::{Fold as _, Step};
use swiftlink_resource::{
    Fold, Kind, MAX_DECIDED_SETS, PoolKind, RejectReason, ReleaseRule, StaleRule, Verdict,
};
use swiftlink_wire::log as wire;

#[test]
fn missing_fields_get_defaults() {
    let config = sample_fold().config();
    let workspace = &config.workspaces["w"];
    assert_eq!(workspace.stale, StaleRule::Refuse);
    let budget = &config.budgets["b"];
    assert_eq!(
        (budget.release, budget.ahead_secs),
        (ReleaseRule::Proof, 300)
    );
    assert_eq!(budget.min_grant, 0);
    let class = &config.classes["c"];
    assert_eq!((class.price, class.weight, class.queue), (1_000, 1, 256));
    let pool = &config.pools["p"];
    assert_eq!(
        (pool.kind, pool.max_tokens, pool.token_bytes),
        (PoolKind::Model, 1_024, 1)
    );
    assert_eq!(
        (pool.call_tokens, pool.once.join(" ")),
        (0, "POST PATCH".to_owned())
    );
    let server = &config.servers["s"];
    assert_eq!(
        (server.slots, server.drain, server.vm.is_none()),
        (32, false, true)
    );
    let class = config.get(Kind::Class, "c").expect("declared");
    assert_eq!(&*class.json, r#"{"price":1000,"weight":1,"queue":256}"#);
    assert_eq!(
        (
            class.version,
            config.version,
            config.list(Kind::Key).count()
        ),
        (10, 10, 1)
    );
}

/// Kind, name, specification and the invalid field.
const INVALID: &str = r#"
shelf n {} kind
class a+b {} name
class a/b {} name
class n {"weight":0} weight
class n {"weight":1001} weight
class n {"price":0} price
class n {"price":"x"} price
class n {"colour":1} colour
class n {}{} spec
class n { spec
budget n {"release":"maybe"} release
budget n {"ahead_secs":3601} ahead_secs
topup n {"budget":"b"} amount
topup n {"budget":"b","amount":0} amount
topup n {"budget":"b","amount":-1} amount
workspace n {} budget
workspace n {"budget":"b","classes":["c","c"]} classes
pool n {"kind":"shop"} kind
pool n {"kind":"model","max_tokens":0} max_tokens
pool n {"kind":"model","token_bytes":0} token_bytes
pool n {"kind":"service","once":["post"]} once
pool a/b {"kind":"service"} name
server n {"pool":"p","address":"127.0.0.1","domain":"d"} address
server n {"pool":"p","address":"127.0.0.1:0","domain":"d"} address
server n {"pool":"p","address":"0.0.0.0:80","domain":"d"} address
server n {"pool":"p","address":"127.0.0.1:80","domain":""} domain
key n {"workspace":"w","hash":"12"} hash
retirement n {"reason":1} reason
retirement n {"vm":"n"} vm
retirement a/b {} name
key n {"workspace":"w","hash":"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"} hash
"#;

/// A retirement with a reason of this length.
fn reason(length: usize) -> String {
    format!(r#"{{"reason":"{}"}}"#, "x".repeat(length))
}

#[test]
fn a_retirement_applies_until_it_is_deleted() {
    let mut fold = sample_fold();
    let shown = |fold: &Fold| {
        let config = fold.config();
        let found = config.get(Kind::Retirement, "vm-9");
        found.map(|resource| (resource.version, resource.json.to_string()))
    };
    assert_eq!(shown(&fold), Some((10, r#"{"reason":""}"#.to_owned())));
    assert!(fold.config().is_retired("vm-9") && !fold.config().is_retired("vm-8"));
    let change = put("retirement", "vm-9", 10, r#"{"reason":"burnt"}"#);
    apply(&mut fold, 20, "why", vec![change]);
    assert_eq!(fold.config().retirements["vm-9"].reason, "burnt");
    let longest = put("retirement", "vm-8", 0, &reason(512));
    apply(&mut fold, 21, "more", vec![longest]);
    // A fold decoded from a snapshot has it too.
    let mut fold = Fold::decode(&fold.encode()).expect("a state");
    assert!(fold.config().is_retired("vm-8") && fold.config().is_retired("vm-9"));
    let stale = delete("retirement", "vm-9", 10);
    assert_eq!(
        reject_reasons(&mut fold, stale),
        [RejectReason::Conflict { current: 21 }]
    );
    apply(
        &mut fold,
        23,
        "back",
        vec![delete("retirement", "vm-9", 21)],
    );
    assert!(!fold.config().is_retired("vm-9") && shown(&fold).is_none());
}

#[test]
fn invalid_specifications_name_the_field() {
    let mut fold = sample_fold();
    let mut changes = vec![
        (put("class", "", 0, "{}"), "name"),
        (put("class", &"n".repeat(129), 0, "{}"), "name"),
        (put("retirement", "n", 0, &reason(513)), "reason"),
    ];
    for line in INVALID.trim().lines() {
        let words: Vec<&str> = line.split(' ').collect();
        changes.push((put(words[0], words[1], 0, words[2]), words[3]));
    }
    for (change, expected) in changes {
        let reasons = reject_reasons(&mut fold, change.clone());
        let [RejectReason::Invalid { field, .. }] = &reasons[..] else {
            panic!("{change:?}: {reasons:?}");
        };
        assert_eq!(field, expected, "{change:?}");
    }
    let model = put("pool", "org/model:7b", 0, r#"{"kind":"model"}"#);
    let fate = apply(&mut fold, 21, "m", vec![model]);
    assert_eq!(fate.verdict, Verdict::Accepted);
}

/// Kind, specification and the kind of the missing resource.
const DANGLING: &str = r#"
topup {"budget":"x","amount":1} budget
workspace {"budget":"x"} budget
workspace {"budget":"b","classes":["c","x"]} class
server {"pool":"x","address":"[::1]:80","domain":"d"} pool
key {"workspace":"x","hash":"abababababababababababababababababababababababababababababababab"} workspace
"#;

#[test]
fn dangling_references_are_refused() {
    let mut fold = sample_fold();
    for line in DANGLING.trim().lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let kind = words[2].parse().expect("a kind");
        let name = "x".to_owned();
        let reasons = reject_reasons(&mut fold, put(words[0], "n", 0, words[1]));
        assert_eq!(reasons, [RejectReason::Missing { kind, name }]);
    }
    let used = "budget b topup/t\nclass c workspace/w\npool p server/s\nworkspace w key/k";
    for line in used.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let by = words[2].to_owned();
        let reasons = reject_reasons(&mut fold, delete(words[0], words[1], 10));
        assert_eq!(reasons, [RejectReason::InUse { by }]);
    }
}

#[test]
fn references_are_checked_against_the_resulting_configuration() {
    let mut fold = sample_fold();
    let pair = vec![delete("pool", "p", 10), delete("server", "s", 10)];
    assert_eq!(
        apply(&mut fold, 20, "pair", pair).verdict,
        Verdict::Accepted
    );
    assert!(fold.config().servers_of("p").is_empty());
    // A class can be deleted if the set stops using it, but not if the set starts using it.
    let moved = vec![
        delete("class", "c", 10),
        put("workspace", "w", 10, r#"{"budget":"b"}"#),
    ];
    assert_eq!(
        apply(&mut fold, 21, "off", moved).verdict,
        Verdict::Accepted
    );
    apply(&mut fold, 22, "c", vec![put("class", "c", 0, "{}")]);
    let on = put("workspace", "w", 22, r#"{"budget":"b","classes":["c"]}"#);
    let fate = apply(&mut fold, 23, "on", vec![delete("class", "c", 23), on]);
    let Verdict::Rejected(rejects) = fate.verdict else {
        panic!("a class in use was deleted");
    };
    let missing = RejectReason::Missing {
        kind: Kind::Class,
        name: "c".to_owned(),
    };
    assert_eq!((rejects.len(), &rejects[0].reason), (1, &missing));
}

#[test]
fn the_first_of_two_concurrent_changes_wins() {
    let mut fold = sample_fold();
    let change = |price| put("class", "c", 10, &format!(r#"{{"price":{price}}}"#));
    assert_eq!(apply(&mut fold, 20, "one", vec![change(2)]).version, 21);
    assert_eq!(
        reject_reasons(&mut fold, change(3)),
        [RejectReason::Conflict { current: 21 }]
    );
    assert_eq!(reject_reasons(&mut fold, delete("class", "c", 10)).len(), 1);
    let anew = put("class", "c", 0, "{}");
    assert_eq!(
        reject_reasons(&mut fold, anew),
        [RejectReason::Conflict { current: 21 }]
    );
    let gone = put("class", "gone", 7, "{}");
    assert_eq!(
        reject_reasons(&mut fold, gone),
        [RejectReason::Conflict { current: 0 }]
    );
    assert_eq!(fold.config().classes["c"].price, 2);
}

#[test]
fn change_sets_are_atomic() {
    let mut fold = sample_fold();
    let set = vec![
        put("class", "d", 0, "{}"),
        put("class", "c", 3, "{}"),
        delete("pool", "x", 0),
    ];
    let fate = apply(&mut fold, 20, "mixed", set);
    assert!(matches!(fate.verdict, Verdict::Rejected(rejects) if rejects.len() == 2));
    assert!(fold.config().get(Kind::Class, "d").is_none());
    let twice = vec![put("class", "d", 0, "{}"), put("class", "d", 0, "{}")];
    assert!(matches!(
        apply(&mut fold, 21, "twice", twice).verdict,
        Verdict::Rejected(_)
    ));
    assert!(matches!(
        apply(&mut fold, 22, "none", vec![]).verdict,
        Verdict::Rejected(_)
    ));
}

#[test]
fn top_ups_are_immutable() {
    let mut fold = sample_fold();
    let change = put("topup", "t", 10, r#"{"budget":"b","amount":6}"#);
    assert_eq!(reject_reasons(&mut fold, change), [RejectReason::Immutable]);
    assert_eq!(
        reject_reasons(&mut fold, delete("topup", "t", 10)),
        [RejectReason::Immutable]
    );
    let more = vec![put("topup", "u", 0, r#"{"budget":"b","amount":6}"#)];
    apply(&mut fold, 20, "more", more);
    let config = fold.config();
    assert_eq!((config.topped_up("b"), config.topped_up("x")), (11, 0));
}

#[test]
fn duplicate_sets_are_ignored() {
    let mut fold = sample_fold();
    let change = || vec![put("class", "d", 0, "{}")];
    apply(&mut fold, 20, "id", change());
    apply(&mut fold, 21, "gone", vec![delete("class", "d", 21)]);
    let mut fold = Fold::decode(&fold.encode()).expect("a state");
    let copy = apply(&mut fold, 22, "id", change());
    assert_eq!(
        (copy.verdict, copy.version, copy.events.len()),
        (Verdict::Duplicate, 22, 0)
    );
    for n in 0..MAX_DECIDED_SETS as u64 {
        apply(&mut fold, 23 + n, &n.to_string(), vec![]);
    }
    assert_eq!(
        apply(&mut fold, 9_000, "id", change()).verdict,
        Verdict::Accepted
    );
    let state: wire::ResourceState = prost::Message::decode(&*fold.encode()).expect("a state");
    assert_eq!(state.set_ids.len(), MAX_DECIDED_SETS);
}

#[test]
fn keys_are_found_by_hash_and_may_swap() {
    let mut fold = sample_fold();
    let hash: [u8; 32] = hex::decode(HASH)
        .expect("hex")
        .try_into()
        .expect("32 bytes");
    let config = fold.config();
    assert_eq!(config.key_by_hash(&hash).expect("known").0.as_str(), "k");
    assert!(config.key_by_hash(&[0; 32]).is_none());
    let other = "cd".repeat(32);
    let spec = |hash: &str| format!(r#"{{"workspace":"w","hash":"{hash}"}}"#);
    apply(
        &mut fold,
        20,
        "new",
        vec![put("key", "l", 0, &spec(&other))],
    );
    let swap = vec![
        put("key", "k", 10, &spec(&other)),
        put("key", "l", 21, &spec(HASH)),
    ];
    assert_eq!(
        apply(&mut fold, 21, "swap", swap).verdict,
        Verdict::Accepted
    );
    assert_eq!(
        fold.config().key_by_hash(&hash).expect("known").0.as_str(),
        "l"
    );
    assert_eq!(
        fold.config()
            .key_by_hash(&[0xcd; 32])
            .expect("known")
            .0
            .as_str(),
        "k"
    );
    apply(&mut fold, 22, "end", vec![delete("key", "l", 22)]);
    assert!(fold.config().key_by_hash(&hash).is_none());
}

#[test]
fn published_configurations_are_immutable() {
    let mut fold = sample_fold();
    let old = fold.config();
    let server = put(
        "server",
        "a",
        0,
        r#"{"pool":"p","address":"10.0.0.1:80","domain":"d"}"#,
    );
    let fate = apply(&mut fold, 20, "more", vec![server, delete("key", "k", 10)]);
    let events: Vec<_> = fate
        .events
        .iter()
        .map(|e| (&*e.name, e.deleted, e.spec.is_some()))
        .collect();
    assert_eq!(events, [("a", false, true), ("k", true, false)]);
    let names = |config: &swiftlink_resource::Config| -> Vec<String> {
        config
            .servers_of("p")
            .iter()
            .map(|server| server.name.to_string())
            .collect()
    };
    assert_eq!(
        (names(&old), names(&fold.config())),
        (vec!["s".into()], vec!["a".into(), "s".into()])
    );
    assert_eq!((old.version, old.keys.len()), (10, 1));
    assert!(Arc::ptr_eq(&fold.config(), &fold.config()));
}

#[test]
fn snapshot_chunks_and_malformed_records_are_recognized() {
    let mut fold = sample_fold();
    let chunk = wire::SnapshotChunk {
        offset: 3,
        ..Default::default()
    };
    let set = wire::ChangeSet {
        snapshot: Some(chunk.clone()),
        ..Default::default()
    };
    let data = prost::Message::encode_to_vec(&set);
    assert_eq!(fold.apply(30, &data), Step::Snapshot(chunk.clone()));
    assert_eq!(Fold::chunk(30, &data), Some(chunk));
    assert_eq!(fold.apply(31, &[0xff; 5]), Step::Malformed);
    assert_eq!(
        fold.apply(32, &encode("", vec![put("class", "d", 0, "{}")])),
        Step::Malformed
    );
    assert!(Fold::decode(&[0xff; 5]).is_err());
    assert_eq!(fold.version(), 10);
}
