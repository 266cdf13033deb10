//! A crowd of callers that don't behave, against a router of a fleet of real processes.

use serde_json::json;
use swiftlink_testkit::caller::ChatRequest;
use swiftlink_testkit::crowd::{Crowd, Script};
use swiftlink_testkit::fleet::{Fleet, MODEL, Plan, dir_of};
use swiftlink_testkit::until::until;
use swiftlink_testkit::usage::Sampler;
use swiftlink_types::{RequestKey, wall_ms};
use tokio::sync::Mutex;

/// Memory of a daemon's VM, in bytes.
const MEMORY: usize = 256_000_000;
/// Largest body, in bytes.
const MAX_BODY: usize = 4 << 20;
/// Clients of the crowd.
const SENDERS: usize = 80;
/// Bytes that a client sends at once.
const PIECE: usize = 64 * 1024;

/// Held by the test that runs: one at a time.
static SERIAL: Mutex<()> = Mutex::const_new(());

async fn until_served(fleet: &Fleet) -> anyhow::Result<()> {
    until("an answer", async || {
        let key = RequestKey::generate(wall_ms()).to_string();
        let request = ChatRequest::new(MODEL, "who owned parcel 7? tokens=4").with_key(&key);
        let answer = fleet.caller(0).ask(fleet.router(0), &request).await;
        answer.is_served().then_some(())
    })
    .await
}

/// Checks what holds whatever callers send: the router lives within its VM and serves others.
async fn check(script: impl Fn(&str) -> Script) {
    let plan = Plan::new(dir_of(env!("CARGO_BIN_EXE_swiftlink-router")));
    let plan = plan.vms(1, 1).router(json!({ "body_limit": MAX_BODY }));
    let fleet = plan.start().await.expect("a fleet");
    until_served(&fleet).await.expect("an answer before");
    let sampler = Sampler::spawn(fleet.routers[0].process.id(), fleet.router(0));
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n",
        fleet.tenant(0).secret
    );
    let crowd = Crowd::open(fleet.router(0), SENDERS, &script(&head));
    tokio::task::block_in_place(|| crowd.settle());
    until_served(&fleet)
        .await
        .expect("an answer beside the crowd");
    drop(crowd);
    until_served(&fleet).await.expect("an answer afterwards");
    let peak = sampler.peak();
    println!("{peak:?}");
    assert!(sampler.is_alive(), "the router has ended");
    assert!(peak.memory <= MEMORY, "{peak:?}");
}

/// Guards against a process that runs out of memory since the bytes of all bodies together have no
/// limit.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_completions_that_lack_a_byte_are_bounded() {
    let _guard = SERIAL.lock().await;
    check(|head| Script::body(head, MAX_BODY, MAX_BODY - 1, PIECE)).await;
}

/// Guards against bodies that take many times their size once they are parsed.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_many_small_values_are_bounded() {
    let _guard = SERIAL.lock().await;
    let start = r#"{"x":["#;
    let rest = MAX_BODY - start.len() - "1]}".len();
    let body = format!("{start}{}1]}}", "1,".repeat(rest / 2));
    check(|head| Script {
        start: format!("{head}content-length: {}\r\n\r\n{body}", body.len()),
        ..Script::default()
    })
    .await;
}
