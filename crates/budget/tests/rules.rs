//! Examples of each rule of the fold.

mod common;

use common::*;
use swiftlink_budget::{Fold, MAX_DROPPED_ROUTERS, MAX_SERIALS, shard_of, stream_of};
use swiftlink_log::{Fold as _, Step};
use swiftlink_wire::log as wire;
use wire::ChargeFate::{self, Charged, Duplicate, Overdrawn, VoidKey, VoidReleased};
use wire::RejectReason::{self, KeyTooOld, Malformed, NotOwner, Retired, UnknownIncarnation};
use wire::fate::Kind as FateKind;
use wire::record::Kind;

fn rejected(reason: RejectReason) -> FateKind {
    let reason = reason.into();
    FateKind::Rejected(wire::Rejected { reason })
}

fn applied() -> FateKind {
    FateKind::Applied(wire::Applied {})
}

fn duplicate() -> FateKind {
    FateKind::Duplicate(wire::Duplicate {})
}

fn assert_fate(fold: &mut Fold, kind: Kind, fate: FateKind) {
    assert_eq!(apply(fold, &kind), fate, "{kind:?}");
}

/// A budget `b` of 1000 tokens, and a router with epoch 1 on each of the VMs `v` and `u`.
fn two_routers() -> Fold {
    let mut fold = Fold::empty();
    apply(&mut fold, &top_up("b", "t", 1_000));
    apply(&mut fold, &join("v", 1, "a", 0));
    apply(&mut fold, &join("u", 1, "a", 0));
    fold
}

fn claim_fate(fate: FateKind) -> wire::ClaimFate {
    match fate {
        FateKind::Claim(fate) => fate,
        other => panic!("no claim: {other:?}"),
    }
}

fn charge(fold: &mut Fold, vm: &str, tail: u8, cost: u64, serial: u64) -> ChargeFate {
    let items = vec![item(key(50, tail), "b", cost, serial)];
    match apply(fold, &charges(vm, 1, items)) {
        FateKind::Charges(fate) => fate.items().next().expect("one item"),
        other => panic!("no charges: {other:?}"),
    }
}

fn wins_intent(fold: &mut Fold, vm: &str, key: Vec<u8>) -> bool {
    match apply(fold, &intent(vm, 1, key)) {
        FateKind::Intent(fate) => fate.won,
        other => panic!("no intent: {other:?}"),
    }
}

fn joins_as_active(fate: FateKind) -> bool {
    match fate {
        FateKind::Join(fate) => fate.active,
        other => panic!("no join: {other:?}"),
    }
}

#[test]
fn top_ups_count_once_and_never_overflow() {
    let mut fold = two_routers();
    assert_fate(&mut fold, top_up("b", "t", 1_000), duplicate());
    assert_fate(&mut fold, top_up("b", "x", u64::MAX), rejected(Malformed));
    assert_fate(&mut fold, top_up("b", "x", 5), applied());
    assert_eq!(fold.view("b").expect("known").topped_up, 1_005);
    assert!(fold.has_top_up("b", "x") && !fold.has_top_up("b", "y"));
}

#[test]
fn claims_share_the_last_tokens_of_a_budget() {
    let mut fold = two_routers();
    assert_eq!(
        claim_fate(apply(&mut fold, &claim("v", 1, "b", 1, 1, 800))).granted,
        500
    );
    let second = claim_fate(apply(&mut fold, &claim("u", 1, "b", 1, 1, 800)));
    assert_eq!((second.granted, second.free, second.sharers), (125, 375, 2));
    assert_eq!((second.elsewhere, second.holders[0].held), (500, 500));
    // `need` is granted even beyond the fair share, but only in full.
    assert_eq!(
        claim_fate(apply(&mut fold, &claim("u", 1, "b", 2, 300, 800))).granted,
        300
    );
    assert_eq!(
        claim_fate(apply(&mut fold, &claim("u", 1, "b", 3, 76, 800))).granted,
        0
    );
}

#[test]
fn a_copy_of_the_last_claim_gets_the_same_answer() {
    let mut fold = two_routers();
    let first = apply(&mut fold, &claim("v", 1, "b", 3, 1, 100));
    apply(&mut fold, &claim("u", 1, "b", 1, 1, 100));
    assert_fate(&mut fold, claim("v", 1, "b", 3, 1, 100), first);
    let stale = apply(&mut fold, &claim("v", 1, "b", 2, 1, 100));
    assert_eq!(stale, rejected(RejectReason::StaleSeq));
    assert_eq!(fold.view("b").expect("known").granted, 200);
}

#[test]
fn malformed_claims_and_claims_of_inactive_routers_are_rejected() {
    let mut fold = two_routers();
    assert_fate(&mut fold, claim("v", 1, "b", 1, 5, 4), rejected(Malformed));
    assert_fate(&mut fold, claim("v", 1, "b", 0, 1, 4), rejected(Malformed));
    assert_fate(
        &mut fold,
        claim("v", 9, "b", 1, 1, 4),
        rejected(UnknownIncarnation),
    );
    let never = claim_fate(apply(&mut fold, &claim("v", 1, "other", 1, 1, 4)));
    assert_eq!((never.granted, never.free), (0, 0));
    apply(&mut fold, &retire("v", 1));
    assert_fate(&mut fold, claim("v", 1, "b", 1, 1, 4), rejected(Retired));
}

#[test]
fn a_successor_retires_its_predecessor_and_late_joins_have_no_effect() {
    let mut fold = two_routers();
    assert!(joins_as_active(apply(&mut fold, &join("v", 1, "a", 0))));
    assert!(joins_as_active(apply(&mut fold, &join("v", 3, "other", 0))));
    assert!(joins_as_active(apply(&mut fold, &join("v", 5, "a", 0))));
    assert_eq!(fold.retired()[0].incarnation.epoch, 1);
    assert!(!joins_as_active(apply(&mut fold, &join("v", 1, "a", 0))));
    assert!(!joins_as_active(apply(&mut fold, &join("v", 4, "a", 0))));
    apply(&mut fold, &release("v", 1));
    assert_fate(&mut fold, release("v", 1), duplicate());
    apply(&mut fold, &retire("v", 5));
    apply(&mut fold, &release("v", 5));
    let FateKind::Join(fate) = apply(&mut fold, &join("v", 5, "a", 0)) else {
        panic!("a join has a join's fate");
    };
    assert_eq!((fate.active, fate.newest_epoch), (false, 5));
    for epoch in [1, 5] {
        let elsewhere = join("v", epoch, "elsewhere", 0);
        assert!(!joins_as_active(apply(&mut fold, &elsewhere)));
    }
    assert_eq!(fold.active().len(), 2);
}

#[test]
fn charges_draw_once_per_serial_and_key() {
    let mut fold = two_routers();
    apply(&mut fold, &claim("v", 1, "b", 1, 1, 100));
    apply(&mut fold, &claim("u", 1, "b", 1, 1, 100));
    assert_eq!(charge(&mut fold, "v", 1, 60, 2), Charged);
    assert_eq!(charge(&mut fold, "v", 1, 60, 2), Duplicate);
    assert_eq!(charge(&mut fold, "v", 1, 60, 1), VoidKey);
    assert_eq!(charge(&mut fold, "v", 9, 40, 1), Duplicate);
    assert_eq!(charge(&mut fold, "u", 1, 60, 1), VoidKey);
    assert_eq!(charge(&mut fold, "v", 2, 41, 3), Overdrawn);
    assert_eq!(charge(&mut fold, "v", 2, 40, 4), Charged);
    assert_eq!(fold.view("b").expect("known").charged, 100);
}

#[test]
fn workspaces_do_not_share_keys() {
    let mut fold = two_routers();
    apply(&mut fold, &claim("v", 1, "b", 1, 1, 100));
    assert_eq!(charge(&mut fold, "v", 1, 10, 1), Charged);
    let other = charges("v", 1, vec![item(key(50, 1), "b", 10, 2)]);
    apply(&mut fold, &of_workspace("a", other));
    assert_eq!(fold.view("b").expect("known").charged, 20);
    assert_eq!(reload(&fold).encode(), fold.encode());
}

#[test]
fn charges_draw_on_quarantined_grants_until_their_release() {
    let mut fold = two_routers();
    apply(&mut fold, &claim("v", 1, "b", 1, 1, 100));
    assert_fate(&mut fold, release("v", 1), rejected(Malformed));
    apply(&mut fold, &retire("v", 1));
    assert_eq!(charge(&mut fold, "v", 1, 30, 1), Charged);
    assert_eq!(fold.retired()[0].unspent, 70);
    assert_eq!(fold.view("b").expect("known").quarantined, 70);
    apply(&mut fold, &release("v", 1));
    assert_eq!(charge(&mut fold, "v", 1, 30, 1), Duplicate);
    assert_eq!(charge(&mut fold, "v", 2, 30, 2), VoidReleased);
    let view = fold.view("b").expect("known");
    assert_eq!((view.free, view.charged, view.quarantined), (970, 30, 0));
}

#[test]
fn a_return_beyond_the_grant_frees_only_what_is_held() {
    let mut fold = two_routers();
    apply(&mut fold, &claim("v", 1, "b", 1, 1, 100));
    charge(&mut fold, "v", 1, 30, 1);
    assert_fate(&mut fold, give_back("v", 1, "b", 90), applied());
    assert_eq!(fold.view("b").expect("known").free, 970);
    // The excess is deducted from later grants, so a copy of the return frees nothing.
    apply(&mut fold, &claim("v", 1, "b", 2, 1, 100));
    assert_eq!(fold.view("b").expect("known").granted, 80);
    assert_fate(&mut fold, give_back("v", 1, "b", 90), duplicate());
    assert_fate(&mut fold, give_back("v", 1, "b", 80), duplicate());
}

#[test]
fn an_intent_has_one_owner_until_it_is_abandoned() {
    let mut fold = two_routers();
    let k = key(50, 1);
    assert!(wins_intent(&mut fold, "v", k.clone()) && wins_intent(&mut fold, "v", k.clone()));
    assert!(!wins_intent(&mut fold, "u", k.clone()));
    assert_fate(&mut fold, abandon("v", 1, k.clone()), applied());
    assert_fate(&mut fold, abandon("v", 1, k.clone()), duplicate());
    assert!(!wins_intent(&mut fold, "v", k.clone()));
    assert!(wins_intent(&mut fold, "u", k.clone()));
    apply(&mut fold, &claim("u", 1, "b", 1, 1, 10));
    assert_eq!(charge(&mut fold, "u", 1, 5, 1), Charged);
    assert!(!wins_intent(&mut fold, "u", k.clone()));
    assert_fate(&mut fold, abandon("u", 1, k), rejected(NotOwner));
}

#[test]
fn an_intent_that_arrives_after_its_abandonment_loses() {
    let mut fold = two_routers();
    let k = key(50, 1);
    assert_fate(&mut fold, abandon("v", 1, k.clone()), applied());
    assert!(!wins_intent(&mut reload(&fold), "v", k.clone()));
    assert!(wins_intent(&mut fold, "u", k));
}

#[test]
fn retired_routers_win_nothing_new() {
    let mut fold = two_routers();
    assert!(wins_intent(&mut fold, "v", key(50, 1)));
    apply(&mut fold, &retire("v", 1));
    assert!(wins_intent(&mut fold, "v", key(50, 1)));
    assert_fate(&mut fold, intent("v", 1, key(50, 2)), rejected(Retired));
}

#[test]
fn keys_below_every_floor_are_evicted() {
    let mut fold = two_routers();
    apply(&mut fold, &claim("v", 1, "b", 1, 1, 100));
    assert_eq!(charge(&mut fold, "v", 1, 10, 1), Charged);
    apply(&mut fold, &mark("v", 1, 60));
    assert_eq!((fold.evicted_ms(), state(&fold).keys.len()), (0, 1));
    apply(&mut fold, &mark("u", 1, 55));
    assert_eq!((fold.evicted_ms(), state(&fold).keys.len()), (55, 0));
    assert_fate(&mut fold, intent("u", 1, key(54, 1)), rejected(KeyTooOld));
    assert!(wins_intent(&mut fold, "u", key(55, 1)));
    // A charge of an evicted key with a new serial was never counted before.
    assert_eq!(charge(&mut fold, "v", 2, 10, 2), Charged);
    apply(&mut fold, &join("t", 1, "a", 1));
    assert_eq!(fold.evicted_ms(), 55);
    assert_fate(&mut fold, mark("u", 1, 1 << 48), rejected(Malformed));
}

#[test]
fn a_quarantined_router_keeps_its_floor() {
    let mut fold = two_routers();
    apply(&mut fold, &mark("u", 1, 60));
    apply(&mut fold, &retire("v", 1));
    apply(&mut fold, &mark("u", 1, 70));
    assert_eq!(fold.evicted_ms(), 0);
    apply(&mut fold, &release("v", 1));
    assert_eq!(fold.evicted_ms(), 70);
}

#[test]
fn equal_states_have_equal_encodings() {
    let k = key(50, 1);
    let kinds = [
        top_up("c", "1", 5),
        top_up("d", "1", 5),
        join("s", 1, "a", 0),
        join("r", 1, "a", 0),
        claim("u", 1, "d", 1, 0, 0),
        claim("u", 1, "c", 1, 0, 0),
        abandon("v", 1, k.clone()),
        abandon("u", 1, k),
    ];
    let (mut one, mut other) = (two_routers(), two_routers());
    kinds.iter().for_each(|kind| drop(apply(&mut one, kind)));
    kinds
        .chunks(2)
        .flat_map(|pair| pair.iter().rev())
        .for_each(|kind| drop(apply(&mut other, kind)));
    assert_eq!(one.encode(), other.encode());
}

#[test]
fn released_routers_are_dropped_with_their_keys() {
    let mut fold = two_routers();
    apply(&mut fold, &claim("v", 1, "b", 1, 1, 100));
    charge(&mut fold, "v", 1, 10, 1);
    apply(&mut fold, &retire("v", 1));
    apply(&mut fold, &release("v", 1));
    assert_eq!(state(&fold).routers[1].serials_from, 2);
    apply(&mut fold, &mark("u", 1, 90));
    let left = &state(&fold).routers[1];
    assert_eq!((left.serials_from, left.grants.len()), (0, 0));
    assert_eq!(charge(&mut fold, "v", 1, 10, 1), VoidReleased);
    assert_eq!(reload(&fold).encode(), fold.encode());
    for epoch in 2..MAX_DROPPED_ROUTERS as u64 + 10 {
        let vm = format!("vm{epoch}");
        for kind in [
            join(&vm, epoch, "a", 0),
            retire(&vm, epoch),
            release(&vm, epoch),
        ] {
            apply(&mut fold, &kind);
        }
    }
    assert_eq!(state(&fold).routers.len(), MAX_DROPPED_ROUTERS + 1);
}

#[test]
fn serials_above_a_gap_are_bounded() {
    let mut fold = two_routers();
    let above = 2..MAX_SERIALS as u64 + 3;
    let items = above
        .map(|serial| item(key(50, 1), "b", 0, serial))
        .collect();
    apply(&mut fold, &charges("v", 1, items));
    let router = &state(&fold).routers[1];
    assert_eq!(
        (router.serials_from, router.serials.len()),
        (MAX_SERIALS as u64 + 3, 0)
    );
}

#[test]
fn malformed_records_change_nothing() {
    let mut fold = two_routers();
    apply(&mut fold, &claim("v", 1, "b", 1, 1, 100));
    let before = fold.encode();
    let good = item(key(50, 1), "b", 1, 1);
    let mut bad = item(key(50, 2), "b", 1, 2);
    bad.key[6] = 0x40;
    let zero = item(key(50, 2), "b", 1, 0);
    for wrong in [bad, zero] {
        let fate = apply(&mut fold, &charges("v", 1, vec![good.clone(), wrong]));
        assert_eq!(fate, rejected(Malformed));
    }
    for kind in [
        intent("v", 1, vec![1]),
        abandon("v", 1, vec![]),
        join("", 1, "a", 0),
    ] {
        assert_fate(&mut fold, kind, rejected(Malformed));
    }
    assert_eq!(fold.apply(9, &[0xff; 7]), Step::Malformed);
    assert!(Fold::decode(&[0xff; 7]).is_err());
    assert_eq!(fold.encode(), before);
}

#[test]
fn a_snapshot_chunk_stands_alone() {
    let mut fold = two_routers();
    let chunk = wire::SnapshotChunk {
        offset: 7,
        ..Default::default()
    };
    let kind = wire::record::Kind::Snapshot(chunk.clone());
    assert_eq!(
        fold.apply(9, &batch(std::slice::from_ref(&kind))),
        Step::Snapshot(chunk.clone())
    );
    assert_eq!(
        Fold::chunk(9, &batch(std::slice::from_ref(&kind))),
        Some(chunk)
    );
    let Step::Fate(fate) = fold.apply(9, &batch(&[kind, top_up("b", "z", 1)])) else {
        panic!("two records are a batch");
    };
    let kinds: Vec<_> = fate
        .fates
        .into_iter()
        .filter_map(|fate| fate.kind)
        .collect();
    assert_eq!(kinds, [rejected(Malformed), applied()]);
}

#[test]
fn shards_are_part_of_the_format() {
    // Published test vectors of XXH3 with 64 bits: 2d06800538d394c2, e6c632b61e964e1f.
    assert_eq!(shard_of("", 1 << 31), 0x38d3_94c2);
    assert_eq!(shard_of("a", 1 << 31), 0x1e96_4e1f);
    assert_eq!((shard_of("a", 0), shard_of("a", 1)), (0, 0));
    assert_eq!(stream_of(3).as_str(), "budget-3");
}

#[test]
fn a_retired_router_lists_its_unspent_tokens_by_budget() {
    let mut fold = Fold::empty();
    for budget in ["b", "a", "c", "d"] {
        apply(&mut fold, &top_up(budget, "t", 1_000));
    }
    for vm in ["v", "u"] {
        apply(&mut fold, &join(vm, 1, "a", 0));
    }
    for (budget, want) in [("b", 30), ("a", 20), ("c", 10)] {
        apply(&mut fold, &claim("v", 1, budget, 1, 1, want));
    }
    apply(&mut fold, &claim("u", 1, "d", 1, 1, 5));
    let spent = vec![item(key(1, 1), "c", 10, 1), item(key(1, 2), "b", 12, 2)];
    apply(&mut fold, &charges("v", 1, spent));
    for vm in ["v", "u"] {
        apply(&mut fold, &retire(vm, 1));
    }
    let held = |fold: &Fold| -> Vec<String> {
        let retired = fold.retired().into_iter();
        let lines = retired.map(|router| {
            let vm = &router.incarnation.vm;
            format!("{vm} {} {:?}", router.unspent, router.held)
        });
        lines.collect()
    };
    let expected = [r#"u 5 [("d", 5)]"#, r#"v 38 [("a", 20), ("b", 18)]"#];
    assert_eq!(held(&fold), expected);
    assert_eq!(held(&reload(&fold)), expected);
}
