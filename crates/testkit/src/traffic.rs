//! Concurrent callers that send random requests of all kinds, generated from a seed.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::Method;
use swiftlink_standins::{engine, service};
use swiftlink_types::{PRICE_UNIT, RequestKey, wall_ms};
use tokio::task::JoinHandle;

use crate::caller::{Answer, Caller, ChatRequest};
use crate::fleet::{Fleet, MODEL, SERVICE};
use crate::recorder::{Recorder, RequestInfo};
use crate::rounds::SeededRng;

/// Number of different parcels in the requests.
const PARCELS: u64 = 1_000_000;

/// Load that the callers generate.
#[derive(Clone, Debug)]
pub struct TrafficOptions {
    /// Number of concurrent callers.
    pub callers: u64,
    /// Index of the callers' tenant.
    pub tenant: usize,
    /// Percentage of requests that must not run more than once.
    pub once: u64,
    /// Percentage of requests to the plain services.
    pub service: u64,
    /// Maximum length of the requested answers, in tokens.
    pub tokens: u64,
    /// Maximum number of attempts per request, each at another router.
    pub tries: usize,
    /// Timeout of one attempt.
    pub try_timeout: Duration,
    /// Deadline in the request, in ms.
    pub deadline_ms: Option<u64>,
    /// Delay of a caller between two requests.
    pub pause: Duration,
}

impl Default for TrafficOptions {
    fn default() -> Self {
        Self::new()
    }
}

impl TrafficOptions {
    /// Eight callers with a long timeout that send requests of all kinds once each.
    #[must_use]
    pub fn new() -> Self {
        Self {
            callers: 8,
            tenant: 0,
            once: 30,
            service: 30,
            tokens: 12,
            tries: 1,
            try_timeout: Duration::from_secs(30),
            deadline_ms: None,
            pause: Duration::from_millis(5),
        }
    }
}

/// One attempt and its answer.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Request key.
    pub key: String,
    /// Index of the router that got the request.
    pub router: usize,
    /// The router's answer; status 0 when there was none.
    pub answer: Answer,
}

/// Running callers, which [`Traffic::stop`] joins.
#[derive(Debug)]
pub struct Traffic {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    options: TrafficOptions,
    caller: Caller,
    name: String,
    routers: Vec<SocketAddr>,
    recorder: Arc<Recorder>,
    attempts: Mutex<Vec<AttemptRecord>>,
    stop: AtomicBool,
}

/// One generated request.
#[derive(Debug)]
enum GeneratedRequest {
    Model(ChatRequest),
    Service { method: Method, body: String },
}

impl Traffic {
    /// Starts callers that use all routers of `fleet` and record their calls in `recorder`.
    #[must_use]
    pub fn start(
        fleet: &Fleet,
        recorder: &Arc<Recorder>,
        rng: &mut SeededRng,
        options: &TrafficOptions,
    ) -> Self {
        let shared = Arc::new(Shared {
            options: options.clone(),
            caller: fleet.caller(options.tenant),
            name: fleet.tenant(options.tenant).name.clone(),
            routers: (0..fleet.routers.len())
                .map(|at| fleet.router(at))
                .collect(),
            recorder: Arc::clone(recorder),
            attempts: Mutex::default(),
            stop: AtomicBool::new(false),
        });
        let mut tasks = Vec::new();
        for _caller in 0..options.callers {
            tasks.push(tokio::spawn(Arc::clone(&shared).run(rng.fork())));
        }
        Self { shared, tasks }
    }

    /// The attempts that have ended so far.
    #[must_use]
    pub fn attempts(&self) -> Vec<AttemptRecord> {
        self.shared.attempts().clone()
    }

    /// Number of complete answers so far.
    #[must_use]
    pub fn served(&self) -> usize {
        let attempts = self.shared.attempts();
        attempts
            .iter()
            .filter(|attempt| attempt.answer.is_served())
            .count()
    }

    /// Lets the requests in flight finish and returns all attempts.
    ///
    /// # Panics
    /// When a caller panicked.
    pub async fn stop(self) -> Vec<AttemptRecord> {
        self.shared.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("the callers do not panic");
        }
        self.shared.attempts().clone()
    }
}

impl Shared {
    fn attempts(&self) -> MutexGuard<'_, Vec<AttemptRecord>> {
        self.attempts.lock().expect("no holder panics")
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    async fn run(self: Arc<Self>, mut rng: SeededRng) {
        while !self.is_stopped() {
            let generated = self.generate(&mut rng);
            let first = rng.index(self.routers.len());
            self.run_request(&generated, first).await;
            tokio::time::sleep(self.options.pause).await;
        }
    }

    fn generate(&self, rng: &mut SeededRng) -> GeneratedRequest {
        let once = rng.chance(self.options.once);
        let number = rng.below(PARCELS);
        if rng.chance(self.options.service) {
            let method = if once { Method::POST } else { Method::GET };
            let body = format!("{{\"parcel\":{number}}}");
            return GeneratedRequest::Service { method, body };
        }
        let tokens = 1 + rng.below(self.options.tokens);
        let mut chat = ChatRequest::new(MODEL, &format!("parcel {number} tokens={tokens}"));
        chat.once = once;
        chat.stream = rng.chance(50);
        chat.deadline_ms = self.options.deadline_ms;
        GeneratedRequest::Model(chat)
    }

    /// Sends one request under one key until an attempt gets a complete answer.
    async fn run_request(&self, generated: &GeneratedRequest, first: usize) {
        let key = RequestKey::generate(wall_ms()).to_string();
        for step in 0..self.options.tries {
            let router = (first + step) % self.routers.len();
            let send = async {
                let call = self.send(generated, &key, router);
                let ended = tokio::time::timeout(self.options.try_timeout, call).await;
                ended.unwrap_or_default()
            };
            let answer = self
                .recorder
                .record(self.request_info(generated, &key), send)
                .await;
            let is_served = answer.is_served();
            self.attempts().push(AttemptRecord {
                key: key.clone(),
                router,
                answer,
            });
            if is_served || self.is_stopped() {
                return;
            }
        }
    }

    async fn send(&self, generated: &GeneratedRequest, key: &str, router: usize) -> Answer {
        let router = self.routers[router];
        match generated {
            GeneratedRequest::Model(chat) => {
                self.caller.ask(router, &chat.clone().with_key(key)).await
            }
            GeneratedRequest::Service { method, body } => {
                let path = format!("/services/{SERVICE}/parcels");
                let caller = &self.caller;
                caller
                    .service(router, method.clone(), &path, body, Some(key))
                    .await
            }
        }
    }

    fn request_info(&self, generated: &GeneratedRequest, key: &str) -> RequestInfo {
        let (once, expected) = match generated {
            GeneratedRequest::Model(chat) => {
                (chat.once, engine::answer(&chat.prompt, chat.max_tokens))
            }
            GeneratedRequest::Service { method, body } => {
                let echo = service::echo(method.as_str(), "/parcels", body);
                (*method == Method::POST, echo.to_string())
            }
        };
        RequestInfo {
            key: key.to_owned(),
            workspace: self.name.clone(),
            budget: self.name.clone(),
            price: PRICE_UNIT,
            once,
            expected: Some(expected),
        }
    }
}
