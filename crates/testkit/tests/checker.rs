//! The history checker: a valid history passes, and each injected fault is reported.

use prost::Message as _;
use swiftlink_standins::engine::Run;
use swiftlink_testkit::checker::{
    Accounts, Call, CallOutcome, EffectiveCharge, History, LogStream, Violation, check,
    check_accounts,
};
use swiftlink_types::RequestKey;
use swiftlink_wire::log::{
    Batch, Charge, Charges, Claim, Incarnation, Join, LogRecord, Record, TopUp, record,
};

const WORKSPACE: &str = "lannec";
const TEXT: &str = "parcel ridge";
const TOKENS: u64 = 12;
const PREPAID: u64 = 100;

fn router() -> Option<Incarnation> {
    Some(Incarnation {
        vm: "vm-0".to_owned(),
        epoch: 1,
    })
}

fn charge(key: RequestKey, budget: &str, tokens: u64, serial: u64) -> record::Kind {
    record::Kind::Charges(Charges {
        incarnation: router(),
        items: vec![Charge {
            key: key.as_bytes().to_vec(),
            workspace: WORKSPACE.to_owned(),
            budget: budget.to_owned(),
            tokens,
            cost: tokens,
            serial,
        }],
    })
}

/// A stream on which `budget` is prepaid and granted completely to the router.
fn stream(budget: &str, more: Vec<record::Kind>) -> LogStream {
    let mut kinds = vec![
        record::Kind::TopUp(TopUp {
            budget: budget.to_owned(),
            id: format!("{budget}-first"),
            amount: PREPAID,
        }),
        record::Kind::Join(Join {
            incarnation: router(),
            address: "127.0.0.1:1".to_owned(),
            domain: "d".to_owned(),
            floor_ms: 0,
        }),
        record::Kind::Claim(Claim {
            incarnation: router(),
            budget: budget.to_owned(),
            seq: 1,
            need: PREPAID,
            want: PREPAID,
        }),
    ];
    kinds.extend(more);
    let mut records = Vec::new();
    for (offset, kind) in kinds.into_iter().enumerate() {
        let offset = offset as u64;
        let batch = Batch {
            writer: "ledger".to_owned(),
            writer_epoch: 1,
            seq: offset + 1,
            stamp_ms: 0,
            records: vec![Record { kind: Some(kind) }],
        };
        let data = batch.encode_to_vec();
        records.push(LogRecord { offset, data });
    }
    LogStream {
        name: format!("stream of {budget}"),
        records,
    }
}

fn call(key: RequestKey, outcome: CallOutcome) -> Call {
    Call {
        key: key.to_string(),
        workspace: WORKSPACE.to_owned(),
        budget: "b".to_owned(),
        price: 1_000,
        once: false,
        expected: Some(TEXT.to_owned()),
        began: 0,
        ended: 1,
        outcome,
    }
}

fn complete() -> CallOutcome {
    CallOutcome::Complete {
        text: TEXT.to_owned(),
        charged: TOKENS,
    }
}

fn run(key: RequestKey) -> Run {
    Run {
        key: key.to_string(),
        kind: "model".to_owned(),
        prompt_tokens: 2,
        completion_tokens: TOKENS - 2,
        executions: 1,
        seen: 1,
        finished: true,
        last_tokens: TOKENS,
    }
}

/// One request that was served, charged and answered correctly.
fn valid_history() -> (RequestKey, History) {
    let key = RequestKey::generate(1_000);
    let history = History {
        calls: vec![call(key, complete())],
        runs: vec![run(key)],
        streams: vec![stream("b", vec![charge(key, "b", TOKENS, 1)])],
    };
    (key, history)
}

#[test]
fn a_valid_history_passes() {
    let (_key, mut history) = valid_history();
    let other = RequestKey::generate(2_000);
    history.calls.push(call(other, CallOutcome::NotRun));
    assert_eq!(check(&history), []);
}

#[test]
fn a_retry_after_a_correct_refusal_passes() {
    let (key, mut history) = valid_history();
    let mut refused = call(key, CallOutcome::NotRun);
    refused.ended = 0;
    history.calls[0].began = 1;
    history.calls.insert(0, refused);
    assert_eq!(check(&history), []);
}

#[test]
fn an_unknown_outcome_may_be_charged_or_not() {
    let (key, mut history) = valid_history();
    history.calls = vec![
        call(key, CallOutcome::Unknown),
        call(key, CallOutcome::Disconnected),
    ];
    assert_eq!(check(&history), []);
    history.streams = vec![stream("b", Vec::new())];
    assert_eq!(check(&history), []);
}

#[test]
fn overspend_at_the_servers() {
    let (_key, mut history) = valid_history();
    history.runs[0].last_tokens = PREPAID + 1;
    let found = check(&history);
    let overspend = Violation::Overspend {
        budget: "b".to_owned(),
        topped_up: PREPAID,
        spent: PREPAID + 1,
        measured: "servers",
    };
    assert!(found.contains(&overspend), "{found:?}");
}

#[test]
fn overspend_on_the_log() {
    let (_key, history) = valid_history();
    let mut accounts = Accounts::fold(&history.streams);
    let balance = accounts.budgets.get_mut("b").expect("it is prepaid");
    assert_eq!(
        (balance.topped_up, balance.charged, balance.folded),
        (PREPAID, TOKENS, TOKENS)
    );
    balance.charged = PREPAID + 5;
    let overspend = Violation::Overspend {
        budget: "b".to_owned(),
        topped_up: PREPAID,
        spent: PREPAID + 5,
        measured: "log",
    };
    assert_eq!(check_accounts(&history, accounts), [overspend]);
}

#[test]
fn a_double_charge() {
    // The fold voids a second charge on the same stream, but does not see other streams.
    let (key, mut history) = valid_history();
    history
        .streams
        .push(stream("c", vec![charge(key, "c", TOKENS, 2)]));
    let key = key.to_string();
    assert_eq!(check(&history), [Violation::DoubleCharge { key }]);
}

#[test]
fn a_double_charge_by_a_broken_fold() {
    let (key, history) = valid_history();
    let mut accounts = Accounts::fold(&history.streams);
    let charges = accounts.charges.values_mut().next().expect("one charge");
    charges.push(EffectiveCharge {
        tokens: TOKENS,
        cost: TOKENS,
    });
    let key = key.to_string();
    assert_eq!(
        check_accounts(&history, accounts),
        [Violation::DoubleCharge { key }]
    );
}

#[test]
fn a_repeated_record_of_a_charge_is_accepted() {
    let (key, mut history) = valid_history();
    let again = vec![charge(key, "b", TOKENS, 1), charge(key, "b", TOKENS, 1)];
    history.streams = vec![stream("b", again)];
    assert_eq!(check(&history), []);
}

#[test]
fn a_missing_charge() {
    let (key, mut history) = valid_history();
    history.streams = vec![stream("b", Vec::new())];
    let key = key.to_string();
    assert_eq!(check(&history), [Violation::MissingCharge { key }]);
}

#[test]
fn a_charge_that_differs_from_the_reported_one() {
    let (key, mut history) = valid_history();
    history.calls[0].outcome = CallOutcome::Complete {
        text: TEXT.to_owned(),
        charged: TOKENS - 1,
    };
    let mismatch = Violation::ChargeMismatch {
        key: key.to_string(),
        expected: TOKENS - 1,
        charged: TOKENS,
    };
    assert_eq!(check(&history), [mismatch]);
}

#[test]
fn a_charge_for_more_than_ran() {
    let (key, mut history) = valid_history();
    history.runs[0].last_tokens = TOKENS - 3;
    let mismatch = Violation::ChargeMismatch {
        key: key.to_string(),
        expected: TOKENS - 3,
        charged: TOKENS,
    };
    assert_eq!(check(&history), [mismatch]);
}

#[test]
fn a_refusal_of_a_request_that_ran() {
    let (key, mut history) = valid_history();
    history.calls[0].outcome = CallOutcome::NotRun;
    history.streams = vec![stream("b", Vec::new())];
    let key = key.to_string();
    assert_eq!(check(&history), [Violation::WrongRefusal { key }]);
}

#[test]
fn a_refusal_of_a_charged_request() {
    let (key, mut history) = valid_history();
    history.calls[0].outcome = CallOutcome::NotRun;
    history.runs.clear();
    let key = key.to_string();
    assert_eq!(check(&history), [Violation::WrongRefusal { key }]);
}

#[test]
fn a_refusal_after_the_complete_answer() {
    let (key, mut history) = valid_history();
    let mut late = call(key, CallOutcome::NotRun);
    (late.began, late.ended) = (2, 3);
    history.calls.push(late);
    let key = key.to_string();
    assert_eq!(check(&history), [Violation::WrongRefusal { key }]);
}

#[test]
fn a_second_run_of_a_once_request() {
    let (key, mut history) = valid_history();
    // Two servers ran the request once each.
    history.runs.push(run(key));
    assert_eq!(check(&history), []);
    history.calls[0].once = true;
    let second = Violation::SecondRun {
        key: key.to_string(),
        executions: 2,
    };
    assert_eq!(check(&history), [second]);
}

#[test]
fn wrong_text() {
    let (key, mut history) = valid_history();
    history.calls[0].expected = Some("parcel brook".to_owned());
    let key = key.to_string();
    assert_eq!(check(&history), [Violation::WrongBytes { key }]);
}

#[test]
fn a_malformed_record() {
    let (_key, mut history) = valid_history();
    let offset = history.streams[0].records.len() as u64;
    let data = vec![0xff; 9];
    history.streams[0].records.push(LogRecord { offset, data });
    assert_eq!(check(&history), [Violation::Malformed { count: 1 }]);
}
