//! Helpers of all test modules: the binaries under test, and recorded calls.

use std::path::PathBuf;

use swiftlink_standins::engine;
use swiftlink_testkit::caller::{Answer, ChatRequest};
use swiftlink_testkit::checker::{Call, CallOutcome, History, check};
use swiftlink_testkit::fleet::{Fleet, Plan, dir_of, settle};
use swiftlink_testkit::recorder::{Recorder, RequestInfo};
use swiftlink_types::{RequestKey, wall_ms};

/// Directory of the binaries under test.
pub fn binaries() -> PathBuf {
    dir_of(env!("CARGO_BIN_EXE_swiftlink-router"))
}

/// A fleet of the default size.
pub fn plan() -> Plan {
    Plan::new(binaries())
}

/// A new request key.
pub fn new_key() -> String {
    RequestKey::generate(wall_ms()).to_string()
}

/// Returns the text of the complete answer to `ask`.
pub fn expected(ask: &ChatRequest) -> String {
    engine::answer(&ask.prompt, ask.max_tokens)
}

/// Returns the tokens of the complete run of `ask`.
pub fn tokens(ask: &ChatRequest) -> u64 {
    engine::prompt_tokens(&ask.prompt) + engine::answer_length(&ask.prompt, ask.max_tokens)
}

/// Sends `ask` as tenant `tenant` through router `router` and records the call.
pub async fn send(
    fleet: &Fleet,
    recorder: &Recorder,
    tenant: usize,
    router: usize,
    ask: &ChatRequest,
) -> Answer {
    let caller = fleet.caller(tenant);
    let sent = sent(fleet, tenant, ask);
    recorder
        .record(sent, caller.ask(fleet.router(router), ask))
        .await
}

/// Returns what the recorder needs to know about `ask` before it is sent.
pub fn sent(fleet: &Fleet, tenant: usize, ask: &ChatRequest) -> RequestInfo {
    let name = &fleet.tenant(tenant).name;
    RequestInfo {
        key: ask.key.clone().expect("recorded calls have keys"),
        workspace: name.clone(),
        budget: name.clone(),
        price: price_of(ask),
        once: ask.once,
        expected: Some(expected(ask)),
    }
}

fn price_of(ask: &ChatRequest) -> u32 {
    match ask.class.as_deref() {
        Some("urgent") => swiftlink_testkit::fleet::URGENT_PRICE,
        _ => swiftlink_types::PRICE_UNIT,
    }
}

/// Waits until every call with a complete answer has its charge on the log, then checks
/// the history and returns it.
pub async fn check_all(fleet: &Fleet, calls: Vec<Call>) -> History {
    let settled = |history: &History| {
        let accounts = swiftlink_testkit::checker::Accounts::fold(&history.streams);
        history.calls.iter().all(|call| {
            let charged =
                matches!(call.outcome, CallOutcome::Complete { charged, .. } if charged > 0);
            let place = (call.workspace.clone(), call.key.clone());
            !charged || accounts.charges.contains_key(&place)
        })
    };
    let history = settle(fleet, calls, settled).await;
    let history = history.expect("every whole answer has its charge in the end");
    assert_eq!(check(&history), [], "{:#?}", history.calls);
    history
}
