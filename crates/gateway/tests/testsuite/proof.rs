//! Execution and retry rules of attempt outcomes.

use swiftlink_gateway::model::Replay;
use swiftlink_gateway::outcome::{Execution, Outcome};

const NOT_EXECUTED: [Outcome; 3] = [Outcome::NotSent, Outcome::Shed, Outcome::Misdirected];
const MAYBE_EXECUTED: [Outcome; 3] = [Outcome::Lost, Outcome::TimedOut, Outcome::Mismatched];
const EXECUTED: [Outcome; 3] = [Outcome::Truncated, Outcome::Failed, Outcome::Served];

#[test]
fn only_a_request_that_no_server_accepted_was_not_executed() {
    for outcome in NOT_EXECUTED {
        assert_eq!(outcome.execution(), Execution::No, "{outcome:?}");
    }
    for outcome in MAYBE_EXECUTED {
        assert_eq!(outcome.execution(), Execution::Maybe, "{outcome:?}");
    }
    for outcome in EXECUTED {
        assert_eq!(outcome.execution(), Execution::Yes, "{outcome:?}");
    }
}

#[test]
fn only_a_request_that_was_not_sent_cannot_have_arrived() {
    let others = NOT_EXECUTED
        .into_iter()
        .chain(MAYBE_EXECUTED)
        .chain(EXECUTED);
    let never: Vec<_> = others
        .filter(|outcome| !outcome.may_have_arrived())
        .collect();
    assert_eq!(never, [Outcome::NotSent]);
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_was_not_executed() {
    for outcome in NOT_EXECUTED {
        assert!(outcome.may_retry(Replay::Never), "{outcome:?}");
    }
    for outcome in MAYBE_EXECUTED.into_iter().chain(EXECUTED) {
        assert!(!outcome.may_retry(Replay::Never), "{outcome:?}");
    }
}

#[test]
fn an_idempotent_request_is_retried_after_anything_but_success() {
    for outcome in NOT_EXECUTED.into_iter().chain(MAYBE_EXECUTED) {
        assert!(outcome.may_retry(Replay::Whole), "{outcome:?}");
    }
    assert!(outcome_retries(Outcome::Failed));
    assert!(outcome_retries(Outcome::Truncated));
    assert!(!outcome_retries(Outcome::Served));
}

#[test]
fn a_stream_is_resumed_after_a_break_but_not_after_a_failure_of_the_server() {
    assert!(Outcome::Truncated.may_retry(Replay::Resume));
    assert!(Outcome::Lost.may_retry(Replay::Resume));
    assert!(!Outcome::Failed.may_retry(Replay::Resume));
    assert!(!Outcome::Served.may_retry(Replay::Resume));
}

fn outcome_retries(outcome: Outcome) -> bool {
    outcome.may_retry(Replay::Whole)
}
