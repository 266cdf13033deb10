//! What an outcome proves.

use swiftlink_gateway::model::Replay;
use swiftlink_gateway::proof::{Outcome, Ran};

const NOT_RUN: [Outcome; 3] = [Outcome::NotSent, Outcome::Shed, Outcome::Misdirected];
const MAYBE: [Outcome; 3] = [Outcome::Lost, Outcome::Silent, Outcome::Stray];
const RAN: [Outcome; 3] = [Outcome::Truncated, Outcome::Failed, Outcome::Served];

#[test]
fn only_what_a_server_never_took_up_has_not_run() {
    for outcome in NOT_RUN {
        assert_eq!(outcome.ran(), Ran::No, "{outcome:?}");
    }
    for outcome in MAYBE {
        assert_eq!(outcome.ran(), Ran::Maybe, "{outcome:?}");
    }
    for outcome in RAN {
        assert_eq!(outcome.ran(), Ran::Yes, "{outcome:?}");
    }
}

#[test]
fn only_a_request_that_was_not_sent_has_not_arrived() {
    let others = NOT_RUN.into_iter().chain(MAYBE).chain(RAN);
    let never: Vec<_> = others.filter(|outcome| !outcome.has_arrived()).collect();
    assert_eq!(never, [Outcome::NotSent]);
}

#[test]
fn what_may_run_once_is_sent_again_only_when_it_has_not_run() {
    for outcome in NOT_RUN {
        assert!(outcome.may_retry(Replay::Never), "{outcome:?}");
    }
    for outcome in MAYBE.into_iter().chain(RAN) {
        assert!(!outcome.may_retry(Replay::Never), "{outcome:?}");
    }
}

#[test]
fn an_idempotent_call_is_sent_again_after_all_but_success() {
    for outcome in NOT_RUN.into_iter().chain(MAYBE) {
        assert!(outcome.may_retry(Replay::Whole), "{outcome:?}");
    }
    assert!(outcome_retries(Outcome::Failed));
    assert!(outcome_retries(Outcome::Truncated));
    assert!(!outcome_retries(Outcome::Served));
}

#[test]
fn a_stream_goes_on_after_a_break_but_not_after_a_servers_failure() {
    assert!(Outcome::Truncated.may_retry(Replay::Resume));
    assert!(Outcome::Lost.may_retry(Replay::Resume));
    assert!(!Outcome::Failed.may_retry(Replay::Resume));
    assert!(!Outcome::Served.may_retry(Replay::Resume));
}

fn outcome_retries(outcome: Outcome) -> bool {
    outcome.may_retry(Replay::Whole)
}
