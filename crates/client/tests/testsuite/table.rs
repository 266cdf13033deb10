//! Human-readable tables.

use serde_json::json;
use swiftlink_client::already_applied::specs_equal;
use swiftlink_client::api::{
    Applied, AppliedChange, Budget, ProcessStatus, Resource, Status, WatchEvent,
};
use swiftlink_client::table;

#[test]
fn applied_changes() {
    let result = |kind: &str, name: &str, effective| AppliedChange {
        kind: kind.to_owned(),
        name: name.to_owned(),
        version: 42,
        effective,
    };
    let answer = Applied {
        id: "id".to_owned(),
        version: 42,
        results: vec![
            result("budget", "registry", None),
            result("topup", "registry-01", Some(true)),
            result("topup", "registry-02", Some(false)),
        ],
    };
    insta::assert_snapshot!(table::applied(&answer));
}

#[test]
fn listed_resources() {
    let classes: Vec<_> = (0..20).map(|index| format!("class-{index}")).collect();
    let items = [
        Resource {
            kind: "class".to_owned(),
            name: "urgent".to_owned(),
            version: 7,
            spec: json!({ "price": 2000, "weight": 8, "queue": 64 }),
        },
        Resource {
            kind: "workspace".to_owned(),
            name: "notaries".to_owned(),
            version: 1234,
            spec: json!({ "budget": "registry", "classes": classes }),
        },
    ];
    insta::assert_snapshot!(table::resources(&items));
    insta::assert_snapshot!("listed_nothing", table::resources(&[]));
    let whole = table::resource(&items[1]);
    assert!(whole.contains("class-19"), "must not be truncated: {whole}");
    insta::assert_snapshot!("one_resource", table::resource(&items[0]));
}

#[test]
fn a_string_is_printed_without_quotes() {
    assert_eq!(table::line(&json!("debug")), "debug\n");
}

#[test]
fn specifications_with_and_without_defaults_are_equal() {
    let short = json!({ "budget": "registry" });
    let long = json!({ "budget": "registry", "classes": [], "stale": "refuse" });
    let other = json!({ "budget": "registry", "stale": "serve" });
    assert!(specs_equal("workspace", &short, &long));
    assert!(!specs_equal("workspace", &short, &other));
    assert!(!specs_equal("nonsense", &short, &short));
}

#[test]
fn process_status() {
    let process = |name: &str, role: &str, status| ProcessStatus {
        name: name.to_owned(),
        role: role.to_owned(),
        admin: "127.0.0.1:7301".to_owned(),
        reachable: true,
        error: None,
        version: Some(41),
        current: Some(false),
        status,
    };
    let streams = json!([
        { "name": "config", "offset": 44, "age_ms": 3, "pending": 0 },
        { "name": "budget-0", "offset": 5120, "age_ms": 12, "pending": 4 },
    ]);
    let ledger = json!({ "version": 41, "log_age_ms": 3, "streams": streams });
    let operator = json!({ "config_version": 42, "log_offset": 44, "log_age_ms": 15 });
    let router = json!({
        "version": 41, "version_age_ms": 3, "log_offset": 44,
        "configuration": "current", "troubles": ["stuck", "not-joined"],
        "grants": [{ "available": 900, "reserved": 100 }, { "available": 200, "reserved": 0 }],
        "queue": [{ "pool": "a", "waiting": 4 }, { "pool": "b", "waiting": 1 }],
    });
    let gone = ProcessStatus {
        reachable: false,
        error: Some("no answer within 1s".to_owned()),
        version: None,
        current: None,
        ..process("router-2", "router", json!(null))
    };
    let newest = ProcessStatus {
        version: Some(42),
        current: Some(true),
        ..process("operator-1", "operator", operator)
    };
    let answer = Status {
        newest: 42,
        version: 42,
        age_ms: Some(15),
        processes: vec![
            process("router-1", "router", router),
            gone,
            process("ledger-1", "ledger", ledger),
            newest,
        ],
    };
    insta::assert_snapshot!(table::status(&answer));
}

#[test]
fn one_budget() {
    let answer = Budget {
        name: "registry-2026".to_owned(),
        ledger: "ledger-rennes-1".to_owned(),
        topped_up: 2_000_000,
        granted: 12_000,
        charged: 345_678,
        free: 1_640_322,
        quarantined: 2_000,
        offset: 99,
        age_ms: 4,
        top_ups: vec!["registry-2026-01".to_owned(), "registry-2026-02".to_owned()],
    };
    insta::assert_snapshot!(table::budget(&answer));
}

#[test]
fn watched_events() {
    let event = |deleted| WatchEvent {
        version: 17,
        kind: "class".to_owned(),
        name: "urgent".to_owned(),
        deleted,
        spec: if deleted {
            json!(null)
        } else {
            json!({ "weight": 8 })
        },
    };
    let retired = WatchEvent {
        version: 18,
        kind: "retirement".to_owned(),
        name: "vm-3".to_owned(),
        deleted: false,
        spec: json!({ "reason": "power supply burnt" }),
    };
    let lines = [event(false), event(true), retired];
    let lines = lines.map(|event| table::event(&event));
    insta::assert_snapshot!(lines.join("\n"));
}
