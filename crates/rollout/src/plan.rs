//! Decides on the next step of a rollout.

use std::time::Duration;

use crate::order::{Order, Stage};
use crate::regression::Regression;

/// Share of an order's time limit after which the canary stage ends.
const CANARY_END: f64 = 0.45;
/// Share of an order's time limit after which the old versions are retired even if they still run
/// requests. The remainder is for the store to confirm the stage, which may be slow.
const FINAL_DEADLINE: f64 = 0.85;
/// Minimum share of an order's time limit that the new version serves all traffic before the old
/// versions are retired, so that faults that only show under load are seen.
const MIN_SHIFT: f64 = 0.35;

/// State of a rollout on which a step is decided.
#[derive(Clone, Debug)]
pub struct RolloutState {
    /// Current stage.
    pub stage: Stage,
    /// Time since the order was first seen.
    pub elapsed: Duration,
    /// Time since the stage began.
    pub stage_age: Duration,
    /// Servers of the new version that accept requests.
    pub new_servers: usize,
    /// Servers of other versions.
    pub old_servers: usize,
    /// Whether all routers of the fleet are known to run no requests on old versions.
    pub is_old_idle: bool,
    /// Regression found in the new version.
    pub regression: Option<Regression>,
}

/// Next action of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Stay in the current stage.
    Wait,
    /// Enter this stage.
    Advance(Stage),
    /// Stop sending requests to the new version, for this reason.
    Revert(String),
}

/// Decides on the next step of an order.
#[must_use]
pub fn next_step(order: &Order, state: &RolloutState) -> Step {
    if state.stage.is_final() {
        return Step::Wait;
    }
    if let Some(regression) = &state.regression {
        return Step::Revert(regression.to_string());
    }
    let is_due = |share: f64| state.elapsed >= order.time_limit.mul_f64(share);
    if state.new_servers == 0 {
        if is_due(FINAL_DEADLINE) {
            return Step::Revert("no server of the version".to_owned());
        }
        return Step::Wait;
    }
    if state.old_servers == 0 {
        // All traffic already goes to the new version.
        return Step::Advance(Stage::Completed);
    }
    match state.stage {
        Stage::Ordered => Step::Advance(Stage::Canary),
        Stage::Canary if is_due(CANARY_END) => Step::Advance(Stage::Shift),
        Stage::Shift => {
            let is_observed = state.stage_age >= order.time_limit.mul_f64(MIN_SHIFT);
            if is_observed && (state.is_old_idle || is_due(FINAL_DEADLINE)) {
                return Step::Advance(Stage::Completed);
            }
            Step::Wait
        }
        Stage::Canary | Stage::Completed | Stage::Reverted => Step::Wait,
    }
}
