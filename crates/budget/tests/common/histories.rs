//! Random histories of records over so few names and keys that the records interact.

use proptest::collection::vec;
use proptest::prelude::*;
use swiftlink_wire::log as wire;

use super::*;

fn vm() -> impl Strategy<Value = &'static str> {
    prop_oneof![Just("v"), Just("u")]
}

fn budget() -> impl Strategy<Value = &'static str> {
    prop_oneof![3 => Just("b"), 1 => Just("c")]
}

fn amount() -> impl Strategy<Value = u64> {
    prop_oneof![8 => 0..40_u64, 1 => Just(u64::MAX), 1 => Just(u64::MAX / 2)]
}

fn any_key() -> impl Strategy<Value = Vec<u8>> {
    (0..4_u64, 0..2_u8).prop_map(|(ms, tail)| key(ms * 10, tail))
}

fn any_item() -> impl Strategy<Value = wire::Charge> {
    (any_key(), budget(), 0..12_u64, 1..12_u64)
        .prop_map(|(key, budget, cost, serial)| item(key, budget, cost, serial))
}

/// Any record over a few VMs, budgets and keys, so that records interact.
fn record() -> impl Strategy<Value = Kind> {
    let epoch = || 1..4_u64;
    prop_oneof![
        2 => (budget(), 0..4_u8, amount()).prop_map(|(b, id, n)| top_up(b, &format!("t{id}"), n)),
        3 => (vm(), epoch(), any::<bool>(), 0..25_u64)
            .prop_map(|(v, e, at, floor)| join(v, e, if at { "a" } else { "z" }, floor)),
        1 => (vm(), epoch()).prop_map(|(v, e)| retire(v, e)),
        1 => (vm(), epoch()).prop_map(|(v, e)| release(v, e)),
        5 => (vm(), epoch(), budget(), 0..6_u64, amount(), amount())
            .prop_map(|(v, e, b, seq, x, y)| claim(v, e, b, seq, x.min(y), x.max(y))),
        2 => (vm(), epoch(), budget(), amount()).prop_map(|(v, e, b, n)| give_back(v, e, b, n)),
        5 => (vm(), epoch(), vec(any_item(), 1..4)).prop_map(|(v, e, items)| charges(v, e, items)),
        3 => (vm(), epoch(), any_key()).prop_map(|(v, e, k)| intent(v, e, k)),
        2 => (vm(), epoch(), any_key()).prop_map(|(v, e, k)| abandon(v, e, k)),
        1 => (vm(), epoch(), 0..45_u64).prop_map(|(v, e, floor)| mark(v, e, floor)),
    ]
}

/// A record of one of two workspaces that use the same keys, in either order of first use.
fn record_of_any() -> impl Strategy<Value = Kind> {
    let workspace = prop_oneof![Just("w"), Just("a")];
    (record(), workspace).prop_map(|(kind, workspace)| of_workspace(workspace, kind))
}

/// A history that starts with a top-up and two joined routers, so that claims can succeed.
pub fn history() -> impl Strategy<Value = Vec<Kind>> {
    vec(record_of_any(), 1..60).prop_map(|records| {
        let mut all = vec![
            top_up("b", "first", 100),
            join("v", 1, "a", 0),
            join("u", 1, "a", 0),
        ];
        all.extend(records);
        all
    })
}
