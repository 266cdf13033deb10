//! A load generator: concurrent callers of several workspaces at all routers of a fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftlink_testkit::caller::{Answer, Caller, ChatRequest};
use swiftlink_testkit::checker::{Call, CallOutcome, History};
use swiftlink_testkit::fleet::{Fleet, MODEL};
use swiftlink_testkit::recorder::{Recorder, RequestInfo};
use swiftlink_testkit::rounds::SeededRng;
use swiftlink_testkit::until::until;
use tokio::task::JoinSet;

use crate::support::{expected, new_key};

/// Pause of a caller after a refusal.
const REFUSED_PAUSE: Duration = Duration::from_millis(30);
/// Pause of a caller before it sends a key again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Largest answer (tokens).
pub const ANSWER: u64 = 24;

/// One answer as its caller received it.
#[derive(Clone, Debug)]
pub struct AnswerRecord {
    /// Index of the router.
    pub router: usize,
    /// `served`, `cut`, or the slug of the refusal.
    pub result: String,
    /// Maximum cost of the request (budget tokens).
    pub max_cost: u64,
    /// The recorder's tick at which the request was sent.
    pub began: u64,
}

/// Number of callers and their retries.
#[derive(Clone, Copy, Debug)]
pub struct LoadOptions {
    /// Number of concurrent callers.
    pub callers: usize,
    /// Maximum number of tries of a key while its outcome is unknown.
    pub tries: usize,
}

/// Tasks that send requests until they are stopped.
pub struct LoadGenerator {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

struct Shared {
    recorder: Arc<Recorder>,
    routers: Vec<SocketAddr>,
    tenants: Vec<(Caller, String)>,
    told: Mutex<Vec<AnswerRecord>>,
    questions: AtomicU64,
    stopping: AtomicBool,
    options: LoadOptions,
}

impl LoadGenerator {
    /// Starts callers of the first `tenants` tenants at all routers of the fleet.
    pub fn spawn(
        fleet: &Fleet,
        recorder: &Arc<Recorder>,
        draw: &mut SeededRng,
        tenants: usize,
        options: LoadOptions,
    ) -> Self {
        let tenant = |at| (fleet.caller(at), fleet.tenant(at).name.clone());
        let shared = Arc::new(Shared {
            recorder: Arc::clone(recorder),
            routers: (0..fleet.routers.len())
                .map(|at| fleet.router(at))
                .collect(),
            tenants: (0..tenants).map(tenant).collect(),
            told: Mutex::default(),
            questions: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            options,
        });
        let mut tasks = JoinSet::new();
        for caller in 0..options.callers {
            tasks.spawn(Arc::clone(&shared).work(caller, draw.fork()));
        }
        Self { shared, tasks }
    }

    /// Returns all answers so far.
    pub fn answers(&self) -> Vec<AnswerRecord> {
        self.shared
            .told
            .lock()
            .expect("the mutex is not poisoned")
            .clone()
    }

    /// Waits until the answers from now on satisfy `holds`.
    pub async fn until(&self, what: &str, holds: impl Fn(&[AnswerRecord]) -> bool) {
        let past = self.answers().len();
        let seen = until(what, async || holds(&self.answers()[past..]).then_some(()));
        seen.await.expect("the callers make progress");
    }

    /// Stops all callers and returns all answers.
    pub async fn stop(mut self) -> Vec<AnswerRecord> {
        self.shared.stopping.store(true, Ordering::Relaxed);
        while let Some(ended) = self.tasks.join_next().await {
            ended.expect("no caller panics");
        }
        self.answers()
    }
}

impl Shared {
    async fn work(self: Arc<Self>, caller: usize, mut draw: SeededRng) {
        while !self.stopping.load(Ordering::Relaxed) {
            let tenant = draw.index(self.tenants.len());
            let router = (caller + draw.index(2)) % self.routers.len();
            let ask = self.question(&mut draw);
            self.ask(&mut draw, tenant, router, &ask).await;
        }
    }

    fn question(&self, draw: &mut SeededRng) -> ChatRequest {
        let number = self.questions.fetch_add(1, Ordering::Relaxed);
        let length = 1 + draw.below(ANSWER);
        let prompt = format!("question {number:05} tokens={length:02}");
        let mut ask = ChatRequest::new(MODEL, &prompt).with_key(&new_key());
        ask.max_tokens = ANSWER;
        ask.stream = draw.chance(50);
        ask
    }

    /// Sends one key until its outcome is known or the tries are used up.
    async fn ask(&self, draw: &mut SeededRng, tenant: usize, mut router: usize, ask: &ChatRequest) {
        for _try in 0..self.options.tries {
            match self.send(tenant, router, ask).await {
                CallOutcome::Complete { .. } => return,
                CallOutcome::NotRun => return tokio::time::sleep(REFUSED_PAUSE).await,
                CallOutcome::Unknown | CallOutcome::Disconnected => {}
            }
            tokio::time::sleep(RETRY_PAUSE).await;
            router = draw.other(self.routers.len(), router);
        }
    }

    async fn send(&self, tenant: usize, router: usize, ask: &ChatRequest) -> CallOutcome {
        let (caller, name) = &self.tenants[tenant];
        let began = self.recorder.tick();
        let answer = caller.ask(self.routers[router], ask).await;
        let end = CallOutcome::from(&answer);
        let told = AnswerRecord {
            router,
            result: result_of(&answer),
            max_cost: max_cost(ask),
            began,
        };
        self.told
            .lock()
            .expect("the mutex is not poisoned")
            .push(told);
        let sent = RequestInfo {
            key: ask.key.clone().expect("every question has a key"),
            workspace: name.clone(),
            budget: name.clone(),
            price: swiftlink_types::PRICE_UNIT,
            once: false,
            expected: Some(expected(ask)),
        };
        self.recorder.note(sent, began, end.clone());
        end
    }
}

fn result_of(answer: &Answer) -> String {
    if answer.is_served() {
        return "served".to_owned();
    }
    answer.slug().unwrap_or_else(|| "cut".to_owned())
}

/// Returns the maximum cost of `ask`, as the routers reserve it (budget tokens).
pub fn max_cost(ask: &ChatRequest) -> u64 {
    let body = ask.body().to_string();
    let body = swiftlink_stream::parse_request(body.as_bytes(), true);
    let body = body.expect("the question is well-formed");
    swiftlink_stream::bound_tokens(&body, 256, 1).total()
}

/// Counts the answers by result.
pub fn counts(told: &[AnswerRecord]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for told in told {
        *counts.entry(told.result.as_str()).or_default() += 1;
    }
    counts
}

/// Returns the tokens that the engines ran for distinct keys, by budget: those of a key's
/// finished run if there is one, else the mean of its unfinished executions.
pub fn tokens_run(history: &History) -> BTreeMap<String, u64> {
    let mut by_key: BTreeMap<&str, u64> = BTreeMap::new();
    for run in &history.runs {
        let begun = (run.prompt_tokens + run.completion_tokens) / run.executions.max(1);
        let tokens = if run.finished { run.last_tokens } else { begun };
        let most = by_key.entry(&run.key).or_default();
        *most = tokens.max(*most);
    }
    let budget_of = |call: &Call| (call.key.clone(), call.budget.clone());
    let budgets: BTreeMap<_, _> = history.calls.iter().map(budget_of).collect();
    let mut ran = BTreeMap::new();
    for (key, tokens) in by_key {
        let budget = budgets.get(key).expect("every run belongs to a call");
        *ran.entry(budget.clone()).or_default() += tokens;
    }
    ran
}
