//! Each caller gets the whole answer to its own request: faulty engines, broken
//! connections, and routers that die in mid-stream. Bytes are compared.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use swiftlink_testkit::caller::{Answer, ChatRequest, Streaming};
use swiftlink_testkit::checker::{Call, CallOutcome};
use swiftlink_testkit::fleet::{Fleet, MODEL, Tenant};
use swiftlink_testkit::recorder::Recorder;
use swiftlink_testkit::rounds::{SeededRng, rounds, say};
use swiftlink_testkit::until::until;
use tokio::task::JoinSet;

use crate::hammer::{Hammer, Style, counts};
use crate::support::{check_all, expected, new_key, plan, sent};

const TENANTS: [&str; 3] = ["lannec", "vannes", "deusto"];

fn tenants() -> Vec<Tenant> {
    TENANTS.map(|name| Tenant::new(name, 1_000_000)).to_vec()
}

/// One position of an engine's switches.
fn fault(draw: &mut SeededRng) -> Value {
    let pick = |draw: &mut SeededRng, percent, limit| {
        let value = 1 + draw.below(limit);
        draw.chance(percent).then_some(value)
    };
    json!({
        "reorder": draw.chance(50),
        "double": draw.chance(50),
        "drop_chunk": pick(draw, 50, 12),
        "cut_after": pick(draw, 40, 10).map(|after| after + 2),
        "pace_ms": draw.below(3),
        "delay_ms": draw.below(20),
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn faulty_engines_give_everyone_its_own_answer() {
    rounds("faulty_engines_give_everyone_its_own_answer", faulty).await;
}

async fn faulty(mut draw: SeededRng) {
    let plan = plan().engines(3).tenants(tenants()).relayed();
    let fleet = plan.start().await.expect("the fleet starts");
    let recorder = Arc::new(Recorder::default());
    let style = Style {
        callers: 16,
        tries: 10,
    };
    let hammer = Hammer::spawn(&fleet, &recorder, &mut draw, TENANTS.len(), style);
    for _step in 0..25 {
        let at = draw.index(fleet.engines.len());
        let fault = fault(&mut draw);
        fleet.engines[at].set(fault).await.expect("a switch");
        if draw.chance(40) {
            let engine = format!("engine-{}", draw.index(fleet.engines.len()));
            assert!(fleet.net.cut_where(|_from, to| to == engine) > 0);
            tokio::time::sleep(Duration::from_millis(draw.below(50))).await;
            fleet.net.heal();
        }
        hammer.until("some answers", |told| told.len() >= 12).await;
    }
    let told = hammer.stop().await;
    say(&format!("  {:?}", counts(&told)));
    let calls = recorder.calls();
    let is_whole = |call: &&Call| matches!(call.outcome, CallOutcome::Complete { .. });
    let whole: BTreeSet<_> = calls
        .iter()
        .filter(is_whole)
        .map(|call| &call.key)
        .collect();
    for call in &calls {
        assert!(whole.contains(&call.key), "never answered: {call:?}");
    }
    check_all(&fleet, calls).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_resumed_at_other_routers() {
    rounds("answers_are_resumed_at_other_routers", resumed).await;
}

/// A caller that has seen a part of its answer.
struct Reading {
    tenant: usize,
    ask: ChatRequest,
    began: u64,
    stream: Streaming,
    text: String,
    last: String,
}

impl Reading {
    async fn events(&mut self, count: u64) {
        for _event in 0..count {
            let event = self.stream.next().await.expect("an event");
            self.last = event.id;
        }
    }

    /// Reads what still comes of a broken connection, and resumes elsewhere.
    async fn move_to(&mut self, fleet: &Fleet, router: usize) {
        while let Some(event) = self.stream.next().await {
            self.last = event.id;
        }
        let seen = self.stream.received();
        assert!(!seen.is_complete, "the killed router sent all: {seen:?}");
        self.text.push_str(&seen.text);
        let caller = fleet.caller(self.tenant);
        // A router that holds no rights yet may ask the caller to come back.
        let next = until("the stream to be resumed", async || {
            let next = caller.resume(fleet.router(router), &self.last).await;
            match next {
                Ok(stream) => Some(stream),
                Err(refused) => {
                    assert!([429, 503].contains(&refused.status), "{refused:?}");
                    None
                }
            }
        });
        self.stream = next.await.expect("any router resumes it");
    }
}

async fn resumed(mut draw: SeededRng) {
    let plan = plan().vms(4, 4).tenants(tenants());
    let mut fleet = plan.start().await.expect("the fleet starts");
    for engine in &fleet.engines {
        engine.set(json!({ "pace_ms": 40 })).await.expect("a pace");
    }
    let recorder = Recorder::default();
    let first = draw.index(4);
    let mut readings = Vec::new();
    for number in 0..15 {
        let tenant = number % TENANTS.len();
        let prompt = format!("part {number} of the deed tokens=200");
        let mut ask = ChatRequest::new(MODEL, &prompt)
            .with_key(&new_key())
            .streamed();
        ask.max_tokens = 200;
        readings.push(begin(&fleet, &recorder, tenant, first, ask).await);
    }
    for reading in &mut readings {
        reading.events(1 + draw.below(4)).await;
    }
    refuse_strangers(&fleet, &mut draw, &readings).await;
    fleet.routers[first].process.kill();
    let second = draw.other(4, first);
    for reading in &mut readings {
        reading.move_to(&fleet, second).await;
    }
    for reading in &mut readings {
        reading.events(1 + draw.below(4)).await;
    }
    fleet.routers[second].process.kill();
    let third = (0..4).find(|at| ![first, second].contains(at));
    let third = third.expect("two routers are left");
    for reading in &mut readings {
        reading.move_to(&fleet, third).await;
    }
    for engine in &fleet.engines {
        engine.set(json!({ "pace_ms": 0 })).await.expect("a pace");
    }
    let mut tasks = JoinSet::new();
    for reading in readings {
        tasks.spawn(async move {
            let Reading {
                tenant,
                ask,
                began,
                stream,
                text,
                ..
            } = reading;
            let rest = stream.finish().await;
            (tenant, ask, began, text, rest)
        });
    }
    while let Some(ended) = tasks.join_next().await {
        let (tenant, ask, began, text, mut rest) = ended.expect("no caller panics");
        assert!(rest.is_served(), "{rest:?}");
        rest.text.insert_str(0, &text);
        assert_eq!(rest.text, expected(&ask));
        recorder.note(sent(&fleet, tenant, &ask), began, CallOutcome::from(&rest));
    }
    for at in [first, second] {
        fleet.routers[at].restart().expect("it starts");
        fleet.routers[at].ready().await.expect("it is ready");
    }
    let history = check_all(&fleet, recorder.calls()).await;
    let once = history.runs.iter().all(|run| run.executions == 1);
    assert!(once, "resuming runs nothing again: {:?}", history.runs);
}

async fn begin(
    fleet: &Fleet,
    recorder: &Recorder,
    tenant: usize,
    router: usize,
    ask: ChatRequest,
) -> Reading {
    let began = recorder.tick();
    let caller = fleet.caller(tenant);
    let stream = until("a stream", async || {
        caller.begin(fleet.router(router), &ask).await.ok()
    });
    Reading {
        tenant,
        began,
        stream: stream.await.expect("the router takes it"),
        ask,
        text: String::new(),
        last: String::new(),
    }
}

/// A stream is nobody's but its own workspace's, and no id can be made up.
async fn refuse_strangers(fleet: &Fleet, draw: &mut SeededRng, readings: &[Reading]) {
    for reading in readings {
        let stranger = fleet.caller(draw.other(TENANTS.len(), reading.tenant));
        let router = fleet.router(draw.index(4));
        let refused = stranger.resume(router, &reading.last).await;
        assert_refused(refused, 403);
        let owner = fleet.caller(reading.tenant);
        let refused = owner.resume(router, &forged(&reading.last)).await;
        assert_refused(refused, 400);
    }
}

/// The id with one character of its token changed.
fn forged(id: &str) -> String {
    let at = id.len() / 3;
    let other = if id.as_bytes()[at] == b'A' { "B" } else { "A" };
    format!("{}{other}{}", &id[..at], &id[at + 1..])
}

fn assert_refused(answer: Result<Streaming, Answer>, status: u16) {
    let answer = answer.expect_err("no stream is given");
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.outcome.as_deref(), Some("not-run"), "{answer:?}");
}
