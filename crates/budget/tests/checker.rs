//! Shows that the checker of the properties can fail: it must catch folds that
//! are broken on purpose.

mod common;

use common::histories::history;
use common::*;
use proptest::test_runner::{Config, TestCaseError, TestRunner};
use prost::Message;
use swiftlink_budget::Fold;
use swiftlink_log::Fold as _;
use swiftlink_wire::log as wire;
use wire::record::Kind;

/// What a broken fold does after each record.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Nothing; the control.
    None,
    /// Forgets the charged keys and folds the record again with new serials.
    Rebill,
    /// Folds the record again with a new top-up identifier.
    TopUpAgain,
    /// Loses the intents, so that another router may win.
    LoseIntents,
    /// Brings a retired router back.
    Revive,
    /// Counts the charges but leaves the grants as they were.
    KeepGrants,
}

fn broken(fault: Fault, fold: &Fold, kind: &Kind) -> Fold {
    let mut state = state(fold);
    match fault {
        Fault::None | Fault::TopUpAgain => {}
        Fault::Rebill => state.keys.clear(),
        Fault::LoseIntents => state.keys.retain(|entry| entry.cost.is_some()),
        Fault::Revive => {
            for router in &mut state.routers {
                router.phase = wire::RouterPhase::Active.into();
            }
        }
        Fault::KeepGrants => {
            for budget in &mut state.budgets {
                budget.charged = 0;
            }
        }
    }
    let mut fold = Fold::decode(&state.encode_to_vec()).expect("still a state");
    match (fault, kind.clone()) {
        (Fault::Rebill, Kind::Charges(mut charges)) => {
            for item in &mut charges.items {
                item.serial += 1_000;
            }
            apply(&mut fold, &Kind::Charges(charges));
        }
        (Fault::TopUpAgain, Kind::TopUp(mut top_up)) => {
            top_up.id.push('\'');
            apply(&mut fold, &Kind::TopUp(top_up));
        }
        _ => {}
    }
    fold
}

fn survives(fault: Fault) -> bool {
    let config = Config {
        failure_persistence: None,
        ..Config::with_cases(256)
    };
    let mut runner = TestRunner::new(config);
    let result = runner.run(&history(), |history| {
        let mut fold = Fold::empty();
        let mut checker = Checker::default();
        for kind in &history {
            let fate = apply(&mut fold, kind);
            fold = broken(fault, &fold, kind);
            checker
                .observe(kind, &fate, &fold)
                .map_err(TestCaseError::fail)?;
        }
        Ok(())
    });
    result.is_ok()
}

#[test]
fn the_checker_passes_the_fold_and_catches_broken_ones() {
    assert!(survives(Fault::None));
    for fault in [
        Fault::Rebill,
        Fault::TopUpAgain,
        Fault::LoseIntents,
        Fault::Revive,
        Fault::KeepGrants,
    ] {
        assert!(!survives(fault), "{fault:?} was not caught");
    }
}
