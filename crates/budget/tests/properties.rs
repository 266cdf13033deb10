//! Properties that hold for any history of records.

mod common;

use common::histories::history;
use common::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use swiftlink_budget::Fold;
use swiftlink_log::{Fold as _, Step};
use swiftlink_wire::log as wire;
use wire::ChargeFate;
use wire::fate::Kind as FateKind;
use wire::record::Kind;

/// Whether the decision on a record is final, so that a later copy changes nothing. A
/// record that came too early (before its join, claim or retirement, or before another
/// router abandoned the key) may be accepted later.
fn is_final(kind: &Kind, fate: &FateKind) -> bool {
    match (kind, fate) {
        (Kind::Release(_) | Kind::GiveBack(_), FateKind::Rejected(_)) => false,
        (_, FateKind::Rejected(no)) => no.reason() != wire::RejectReason::UnknownIncarnation,
        (_, FateKind::Join(fate)) => fate.active,
        (_, FateKind::Intent(fate)) => fate.won || fate.charged,
        (_, FateKind::Charges(fate)) => fate.items().all(|fate| fate != ChargeFate::VoidReleased),
        _ => true,
    }
}

proptest! {
    #![proptest_config(Config::with_cases(512))]

    #[test]
    fn nothing_is_overspent_or_counted_twice(history in history()) {
        let mut fold = Fold::empty();
        let mut checker = Checker::default();
        for kind in &history {
            let fate = apply(&mut fold, kind);
            checker.observe(kind, &fate, &fold).map_err(TestCaseError::fail)?;
        }
    }

    #[test]
    fn folds_agree_across_snapshots_and_batches(history in history(), reloads in vec(any::<bool>(), 63)) {
        let mut plain = Fold::empty();
        let mut loaded = Fold::empty();
        for (index, kind) in history.iter().enumerate() {
            if reloads[index] {
                loaded = reload(&loaded);
            }
            prop_assert_eq!(apply(&mut plain, kind), apply(&mut loaded, kind));
            prop_assert_eq!(plain.encode(), loaded.encode());
        }
        let mut whole = Fold::empty();
        whole.apply(0, &batch(&history));
        prop_assert_eq!(plain.encode(), whole.encode());
        prop_assert_eq!(plain.views(), whole.views());
    }

    #[test]
    fn late_copies_change_nothing(
        history in history(),
        copies in vec(vec(any::<prop::sample::Index>(), 0..3), 63),
    ) {
        let mut fold = Fold::empty();
        let mut decided = Vec::new();
        for (index, kind) in history.iter().enumerate() {
            let fate = apply(&mut fold, kind);
            if is_final(kind, &fate) {
                decided.push(kind);
            }
            let before = fold.encode();
            for copy in &copies[index] {
                let Some(kind) = decided.get(copy.index(decided.len().max(1))) else {
                    continue;
                };
                apply(&mut fold, kind);
                prop_assert!(fold.encode() == before, "a copy of {:?} counted", kind);
            }
        }
    }

    #[test]
    fn arbitrary_bytes_are_folded_or_rejected(data in vec(any::<u8>(), 0..200), history in history()) {
        let mut fold = Fold::empty();
        fold.apply(0, &data);
        let mut bytes = batch(&history);
        for (index, byte) in data.iter().enumerate() {
            let at = (index * 37) % bytes.len();
            bytes[at] ^= byte & 1;
        }
        if let Step::Fate(fate) = fold.apply(1, &bytes) {
            prop_assert!(fate.fates.iter().all(|fate| fate.kind.is_some()));
        }
        prop_assert_eq!(reload(&fold).encode(), fold.encode());
        drop(Fold::decode(&bytes));
    }
}
