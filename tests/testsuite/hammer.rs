//! Many callers of several workspaces that use all routers of a fleet at once.

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

/// One answer as it was told.
#[derive(Clone, Debug)]
pub struct Told {
    /// Number of the router.
    pub router: usize,
    /// `served`, or the kind of the refusal, or `cut`.
    pub what: String,
    /// Budget tokens that the request may cost at most.
    pub bound: u64,
    /// Place in the recorder's order when it was sent.
    pub began: u64,
}

/// How callers behave.
#[derive(Clone, Copy, Debug)]
pub struct Style {
    /// Callers at once.
    pub callers: usize,
    /// How often a key is sent while its end is not known.
    pub tries: usize,
}

/// Running callers.
pub struct Hammer {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

struct Shared {
    recorder: Arc<Recorder>,
    routers: Vec<SocketAddr>,
    tenants: Vec<(Caller, String)>,
    told: Mutex<Vec<Told>>,
    questions: AtomicU64,
    stopping: AtomicBool,
    style: Style,
}

impl Hammer {
    /// Starts callers of the first `tenants` tenants at all routers of the fleet.
    pub fn spawn(
        fleet: &Fleet,
        recorder: &Arc<Recorder>,
        draw: &mut SeededRng,
        tenants: usize,
        style: Style,
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
            style,
        });
        let mut tasks = JoinSet::new();
        for caller in 0..style.callers {
            tasks.spawn(Arc::clone(&shared).work(caller, draw.fork()));
        }
        Self { shared, tasks }
    }

    /// All that was told so far.
    pub fn told(&self) -> Vec<Told> {
        self.shared.told.lock().expect("no holder panics").clone()
    }

    /// Waits until what is told from now on satisfies `holds`.
    pub async fn until(&self, what: &str, holds: impl Fn(&[Told]) -> bool) {
        let past = self.told().len();
        let seen = until(what, async || holds(&self.told()[past..]).then_some(()));
        seen.await.expect("the callers get on");
    }

    /// Lets all callers end, and gives what was told.
    pub async fn stop(mut self) -> Vec<Told> {
        self.shared.stopping.store(true, Ordering::Relaxed);
        while let Some(ended) = self.tasks.join_next().await {
            ended.expect("no caller panics");
        }
        self.told()
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

    /// Sends one key until its end is known, or the tries are used up.
    async fn ask(&self, draw: &mut SeededRng, tenant: usize, mut router: usize, ask: &ChatRequest) {
        for _try in 0..self.style.tries {
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
        let told = Told {
            router,
            what: what(&answer),
            bound: bound(ask),
            began,
        };
        self.told.lock().expect("no holder panics").push(told);
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

fn what(answer: &Answer) -> String {
    if answer.is_served() {
        return "served".to_owned();
    }
    answer.slug().unwrap_or_else(|| "cut".to_owned())
}

/// The most that `ask` may cost, as the routers reserve it.
pub fn bound(ask: &ChatRequest) -> u64 {
    let body = ask.body().to_string();
    let body = swiftlink_stream::parse_request(body.as_bytes(), true);
    let body = body.expect("the question is well-formed");
    swiftlink_stream::bound_tokens(&body, 256, 1).total()
}

/// Number of answers of each kind.
pub fn counts(told: &[Told]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for told in told {
        *counts.entry(told.what.as_str()).or_default() += 1;
    }
    counts
}

/// Tokens that the engines ran for distinct keys, by budget: the whole run of a
/// key where one came to its end, else what was begun.
pub fn ran(history: &History) -> BTreeMap<String, u64> {
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
