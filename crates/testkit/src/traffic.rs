//! Callers that send requests of all kinds at once, drawn from a seed.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::Method;
use swiftlink_standins::{engine, service};
use swiftlink_types::{PRICE_UNIT, RequestKey, wall_ms};
use tokio::task::JoinHandle;

use crate::caller::{Answer, Ask, Caller};
use crate::fleet::{Fleet, MODEL, SERVICE};
use crate::recorder::{Recorder, Sent};
use crate::rounds::Draw;

/// Different parcels that are asked for.
const NUMBERS: u64 = 1_000_000;

/// What the callers send, and how.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Callers at once.
    pub callers: u64,
    /// Number of the tenant that they belong to.
    pub tenant: usize,
    /// Share of the requests that may not run twice (percent).
    pub once: u64,
    /// Share of the requests that go to the plain services (percent).
    pub service: u64,
    /// Longest answer asked for (tokens).
    pub tokens: u64,
    /// Tries of one request, each at another router.
    pub tries: usize,
    /// Time after which a caller gives a try up.
    pub patience: Duration,
    /// Deadline that the caller sets (ms).
    pub deadline_ms: Option<u64>,
    /// Pause of a caller between two requests.
    pub pause: Duration,
}

impl Default for Mix {
    fn default() -> Self {
        Self::new()
    }
}

impl Mix {
    /// Eight patient callers of all kinds that try each request once.
    #[must_use]
    pub fn new() -> Self {
        Self {
            callers: 8,
            tenant: 0,
            once: 30,
            service: 30,
            tokens: 12,
            tries: 1,
            patience: Duration::from_secs(30),
            deadline_ms: None,
            pause: Duration::from_millis(5),
        }
    }
}

/// One try and its answer.
#[derive(Clone, Debug)]
pub struct Told {
    /// Request key.
    pub key: String,
    /// Number of the router that was asked.
    pub router: usize,
    /// What it answered; status 0 when nothing came.
    pub answer: Answer,
}

/// Running callers; [`Traffic::stop`] joins them.
#[derive(Debug)]
pub struct Traffic {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    mix: Mix,
    caller: Caller,
    name: String,
    routers: Vec<SocketAddr>,
    recorder: Arc<Recorder>,
    told: Mutex<Vec<Told>>,
    stop: AtomicBool,
}

/// One drawn request.
#[derive(Debug)]
enum Wish {
    Model(Ask),
    Service { method: Method, body: String },
}

impl Traffic {
    /// Starts the callers at all routers of `fleet`; their calls go to `recorder`.
    #[must_use]
    pub fn start(fleet: &Fleet, recorder: &Arc<Recorder>, draw: &mut Draw, mix: &Mix) -> Self {
        let shared = Arc::new(Shared {
            mix: mix.clone(),
            caller: fleet.caller(mix.tenant),
            name: fleet.tenant(mix.tenant).name.clone(),
            routers: (0..fleet.routers.len())
                .map(|at| fleet.router(at))
                .collect(),
            recorder: Arc::clone(recorder),
            told: Mutex::default(),
            stop: AtomicBool::new(false),
        });
        let mut tasks = Vec::new();
        for _caller in 0..mix.callers {
            tasks.push(tokio::spawn(Arc::clone(&shared).run(draw.fork())));
        }
        Self { shared, tasks }
    }

    /// The tries that have ended until now.
    #[must_use]
    pub fn told(&self) -> Vec<Told> {
        self.shared.told().clone()
    }

    /// Number of whole answers until now.
    #[must_use]
    pub fn served(&self) -> usize {
        let told = self.shared.told();
        told.iter().filter(|told| told.answer.is_served()).count()
    }

    /// Lets the requests in flight end; gives all tries.
    ///
    /// # Panics
    /// When a caller panicked.
    pub async fn stop(self) -> Vec<Told> {
        self.shared.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("the callers do not panic");
        }
        self.shared.told().clone()
    }
}

impl Shared {
    fn told(&self) -> MutexGuard<'_, Vec<Told>> {
        self.told.lock().expect("no holder panics")
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    async fn run(self: Arc<Self>, mut draw: Draw) {
        while !self.is_stopped() {
            let wish = self.wish(&mut draw);
            let first = draw.index(self.routers.len());
            self.ask(&wish, first).await;
            tokio::time::sleep(self.mix.pause).await;
        }
    }

    fn wish(&self, draw: &mut Draw) -> Wish {
        let once = draw.chance(self.mix.once);
        let number = draw.below(NUMBERS);
        if draw.chance(self.mix.service) {
            let method = if once { Method::POST } else { Method::GET };
            let body = format!("{{\"parcel\":{number}}}");
            return Wish::Service { method, body };
        }
        let tokens = 1 + draw.below(self.mix.tokens);
        let mut ask = Ask::new(MODEL, &format!("parcel {number} tokens={tokens}"));
        ask.once = once;
        ask.stream = draw.chance(50);
        ask.deadline_ms = self.mix.deadline_ms;
        Wish::Model(ask)
    }

    /// Tries one request under one key until it is answered whole.
    async fn ask(&self, wish: &Wish, first: usize) {
        let key = RequestKey::generate(wall_ms()).to_string();
        for step in 0..self.mix.tries {
            let router = (first + step) % self.routers.len();
            let send = async {
                let call = self.send(wish, &key, router);
                let ended = tokio::time::timeout(self.mix.patience, call).await;
                ended.unwrap_or_default()
            };
            let answer = self.recorder.record(self.sent(wish, &key), send).await;
            let is_served = answer.is_served();
            self.told().push(Told {
                key: key.clone(),
                router,
                answer,
            });
            if is_served || self.is_stopped() {
                return;
            }
        }
    }

    async fn send(&self, wish: &Wish, key: &str, router: usize) -> Answer {
        let router = self.routers[router];
        match wish {
            Wish::Model(ask) => self.caller.ask(router, &ask.clone().with_key(key)).await,
            Wish::Service { method, body } => {
                let path = format!("/services/{SERVICE}/parcels");
                let caller = &self.caller;
                caller
                    .service(router, method.clone(), &path, body, Some(key))
                    .await
            }
        }
    }

    fn sent(&self, wish: &Wish, key: &str) -> Sent {
        let (once, expected) = match wish {
            Wish::Model(ask) => (ask.once, engine::answer(&ask.prompt, ask.max_tokens)),
            Wish::Service { method, body } => {
                let echo = service::echo(method.as_str(), "/parcels", body);
                (*method == Method::POST, echo.to_string())
            }
        };
        Sent {
            key: key.to_owned(),
            workspace: self.name.clone(),
            budget: self.name.clone(),
            price: PRICE_UNIT,
            once,
            expected: Some(expected),
        }
    }
}
