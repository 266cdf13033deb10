//! Each caller gets the complete answer to its own request although engines fail,
//! connections break and routers die in mid-stream. The tests compare bytes.

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

use crate::hammer::{LoadGenerator, LoadOptions, counts};
use crate::support::{check_all, expected, new_key, plan, sent};

const TENANTS: [&str; 3] = ["lannec", "vannes", "deusto"];

fn tenants() -> Vec<Tenant> {
    TENANTS.map(|name| Tenant::new(name, 1_000_000)).to_vec()
}

/// Draws the value of one fault switch of an engine.
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
async fn callers_get_their_own_answers_from_faulty_engines() {
    rounds("callers_get_their_own_answers_from_faulty_engines", faulty).await;
}

async fn faulty(mut draw: SeededRng) {
    let plan = plan().engines(3).tenants(tenants()).relayed();
    let fleet = plan.start().await.expect("the fleet starts");
    let recorder = Arc::new(Recorder::default());
    let options = LoadOptions {
        callers: 16,
        tries: 10,
    };
    let load = LoadGenerator::spawn(&fleet, &recorder, &mut draw, TENANTS.len(), options);
    for _step in 0..25 {
        let at = draw.index(fleet.engines.len());
        let fault = fault(&mut draw);
        fleet.engines[at]
            .set(fault)
            .await
            .expect("the switch is set");
        if draw.chance(40) {
            let engine = format!("engine-{}", draw.index(fleet.engines.len()));
            assert!(fleet.net.cut_where(|_from, to| to == engine) > 0);
            tokio::time::sleep(Duration::from_millis(draw.below(50))).await;
            fleet.net.heal();
        }
        load.until("some answers", |told| told.len() >= 12).await;
    }
    let told = load.stop().await;
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

/// A caller that has received a part of its answer.
struct PartialAnswer {
    tenant: usize,
    ask: ChatRequest,
    began: u64,
    stream: Streaming,
    text: String,
    last: String,
}

impl PartialAnswer {
    async fn events(&mut self, count: u64) {
        for _event in 0..count {
            let event = self
                .stream
                .next()
                .await
                .expect("the stream has another event");
            self.last = event.id;
        }
    }

    /// Reads the remaining events of a broken connection and resumes at `router`.
    async fn resume_at(&mut self, fleet: &Fleet, router: usize) {
        while let Some(event) = self.stream.next().await {
            self.last = event.id;
        }
        let seen = self.stream.received();
        assert!(!seen.is_complete, "the killed router sent all: {seen:?}");
        self.text.push_str(&seen.text);
        let caller = fleet.caller(self.tenant);
        // A router without quota may ask the caller to retry later.
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
        engine
            .set(json!({ "pace_ms": 40 }))
            .await
            .expect("the pace is set");
    }
    let recorder = Recorder::default();
    let first = draw.index(4);
    let mut partials = Vec::new();
    for number in 0..15 {
        let tenant = number % TENANTS.len();
        let prompt = format!("part {number} of the deed tokens=200");
        let mut ask = ChatRequest::new(MODEL, &prompt)
            .with_key(&new_key())
            .streamed();
        ask.max_tokens = 200;
        partials.push(begin(&fleet, &recorder, tenant, first, ask).await);
    }
    for partial in &mut partials {
        partial.events(1 + draw.below(4)).await;
    }
    check_foreign_resumes(&fleet, &mut draw, &partials).await;
    fleet.routers[first].process.kill();
    let second = draw.other(4, first);
    for partial in &mut partials {
        partial.resume_at(&fleet, second).await;
    }
    for partial in &mut partials {
        partial.events(1 + draw.below(4)).await;
    }
    fleet.routers[second].process.kill();
    let third = (0..4).find(|at| ![first, second].contains(at));
    let third = third.expect("two routers are left");
    for partial in &mut partials {
        partial.resume_at(&fleet, third).await;
    }
    for engine in &fleet.engines {
        engine
            .set(json!({ "pace_ms": 0 }))
            .await
            .expect("the pace is set");
    }
    let mut tasks = JoinSet::new();
    for partial in partials {
        tasks.spawn(async move {
            let PartialAnswer {
                tenant,
                ask,
                began,
                stream,
                text,
                ..
            } = partial;
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
        fleet.routers[at].restart().expect("the process starts");
        fleet.routers[at]
            .ready()
            .await
            .expect("the process is ready");
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
) -> PartialAnswer {
    let began = recorder.tick();
    let caller = fleet.caller(tenant);
    let stream = until("a stream", async || {
        caller.begin(fleet.router(router), &ask).await.ok()
    });
    PartialAnswer {
        tenant,
        began,
        stream: stream.await.expect("the router takes it"),
        ask,
        text: String::new(),
        last: String::new(),
    }
}

/// Checks that only the stream's workspace can resume it, and that ids can't be forged.
async fn check_foreign_resumes(fleet: &Fleet, draw: &mut SeededRng, partials: &[PartialAnswer]) {
    for partial in partials {
        let stranger = fleet.caller(draw.other(TENANTS.len(), partial.tenant));
        let router = fleet.router(draw.index(4));
        let refused = stranger.resume(router, &partial.last).await;
        assert_refused(refused, 403);
        let owner = fleet.caller(partial.tenant);
        let refused = owner.resume(router, &forged(&partial.last)).await;
        assert_refused(refused, 400);
    }
}

/// Returns the id with one character of its token changed.
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
