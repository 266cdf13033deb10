//! Guards against a property checker that can't fail: it must catch folds with
//! injected faults.

mod common;

use common::histories::history;
use common::*;
use proptest::test_runner::{Config, TestCaseError, TestRunner};
use prost::Message;
use swiftlink_budget::Fold;
use swiftlink_log::Fold as _;
use swiftlink_wire::log as wire;
use wire::record::Kind;

/// Fault that is injected after each record.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// No fault, as the control.
    None,
    /// Drops the charged keys and applies the record again with new serials.
    Rebill,
    /// Applies the record again with a new top-up identifier.
    TopUpAgain,
    /// Drops the intents, so that another router may win.
    LoseIntents,
    /// Makes retired routers active again.
    Reactivate,
    /// Deducts charges from the grants but doesn't count them as charged.
    DropCharges,
}

fn inject(fault: Fault, fold: &Fold, kind: &Kind) -> Fold {
    let mut state = state(fold);
    match fault {
        Fault::None | Fault::TopUpAgain => {}
        Fault::Rebill => state.keys.clear(),
        Fault::LoseIntents => state.keys.retain(|entry| entry.cost.is_some()),
        Fault::Reactivate => {
            for router in &mut state.routers {
                router.phase = wire::RouterPhase::Active.into();
            }
        }
        Fault::DropCharges => {
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

fn passes_checker(fault: Fault) -> bool {
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
            fold = inject(fault, &fold, kind);
            checker
                .observe(kind, &fate, &fold)
                .map_err(TestCaseError::fail)?;
        }
        Ok(())
    });
    result.is_ok()
}

#[test]
fn checker_accepts_the_fold_and_catches_injected_faults() {
    assert!(passes_checker(Fault::None));
    for fault in [
        Fault::Rebill,
        Fault::TopUpAgain,
        Fault::LoseIntents,
        Fault::Reactivate,
        Fault::DropCharges,
    ] {
        assert!(!passes_checker(fault), "{fault:?} was not caught");
    }
}
