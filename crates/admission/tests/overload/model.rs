//! A pool of engines behind routers: requests, prefill one after the other, reports and summaries.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use swiftlink_admission::{Admission, Decision, GateRequest, PoolAggregate, Targets};
use swiftlink_types::{Micros, WorkspaceName};

const SEC: Micros = 1_000_000;
const MS: Micros = 1_000;
/// Prefill time per prompt token (µs), and tokens of a mean request.
const PER_TOKEN: f64 = 28.0;
const MEAN_TOKENS: f64 = 4_300.0;
/// Requests per second that the pool serves.
pub const CAPACITY: f64 = SERVERS as f64 * 1e6 / (PER_TOKEN * MEAN_TOKENS);
const SERVERS: usize = 140;
/// Servers that a router compares.
const DRAWN: usize = 3;
/// Delay from one process to another.
const DELAY: Micros = 3 * MS;

/// How requests are admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// All are sent to a server at once.
    Today,
    /// By summaries of all routers.
    Summaries,
    /// By the own observations of each router.
    Alone,
    /// By summaries that stop after 15 s, in the middle of the burst.
    Stopping,
}

/// Requests of one workspace.
#[derive(Clone, Debug)]
pub struct Stream {
    pub priority: u8,
    pub workspace: WorkspaceName,
    pub rate: f64,
    /// Multiple of the rate from second 10 to 30.
    pub burst: f64,
}

pub struct Load {
    pub routers: usize,
    pub rule: Rule,
    pub streams: Vec<Stream>,
    pub seed: u64,
}

/// What became of the requests that arrived in the burst.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub sent: u32,
    /// First events within the target, from the attempt that was served.
    pub in_time: u32,
    pub refused: u32,
    pub lost: u32,
    pub returned: u32,
    pub returned_at_once: u32,
}

impl Counts {
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub classes: BTreeMap<u8, Counts>,
    pub workspaces: HashMap<WorkspaceName, Counts>,
    /// Refusals before the burst and from 10 s after its end.
    pub refused_outside: u32,
    /// Changes from refusing some requests to refusing none, and back, at router 0.
    pub changes: u32,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    key: u64,
    stream: usize,
    router: usize,
    tokens: u64,
    arrived: Micros,
    is_return: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Next(usize),
    Arrival(u64),
    Poll(usize),
    Answer(u64),
    Period(usize),
}

struct Router {
    admission: Admission,
    waiting: HashMap<u64, u64>,
}

pub fn targets() -> Targets {
    let ms = [(0, 500), (1, 1_000), (2, 1_500)];
    ms.map(|(priority, ms)| (priority, Duration::from_millis(ms)))
        .into()
}

struct Model<'a> {
    load: &'a Load,
    rng: Pcg64Mcg,
    events: BinaryHeap<Reverse<(Micros, Event)>>,
    requests: HashMap<u64, Request>,
    sent: HashMap<u64, (u64, Micros)>,
    busy_until: Vec<Micros>,
    routers: Vec<Router>,
    aggregate: PoolAggregate,
    targets: Targets,
    outcome: Outcome,
    was_open: bool,
}

/// Plays 50 s with a burst from 10 to 30 s.
pub fn play(load: &Load) -> Outcome {
    let router = |_| Router {
        admission: Admission::default(),
        waiting: HashMap::new(),
    };
    let mut model = Model {
        load,
        rng: Pcg64Mcg::seed_from_u64(load.seed),
        events: BinaryHeap::new(),
        requests: HashMap::new(),
        sent: HashMap::new(),
        busy_until: vec![0; SERVERS],
        routers: (0..load.routers).map(router).collect(),
        aggregate: PoolAggregate::default(),
        targets: targets(),
        outcome: Outcome::default(),
        was_open: true,
    };
    for stream in 0..load.streams.len() {
        model.plan_next(0, stream);
    }
    for router in 0..load.routers {
        let first = model.rng.random_range(0..SEC);
        model.plan(first, Event::Period(router));
    }
    while let Some(Reverse((now, event))) = model.events.pop() {
        if now > 50 * SEC {
            break;
        }
        model.handle(now, event);
    }
    model.outcome
}

impl Model<'_> {
    fn plan(&mut self, at: Micros, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn plan_next(&mut self, now: Micros, stream: usize) {
        let spec = &self.load.streams[stream];
        let is_burst = (10 * SEC..30 * SEC).contains(&now);
        let rate = spec.rate * if is_burst { spec.burst } else { 1.0 };
        let draw: f64 = self.rng.random();
        let gap = -(1.0 - draw).ln() / rate * SEC as f64;
        self.plan(now + gap as Micros, Event::Next(stream));
    }

    fn handle(&mut self, now: Micros, event: Event) {
        match event {
            Event::Next(stream) => {
                self.plan_next(now, stream);
                let draw: f64 = self.rng.random();
                let request = Request {
                    key: self.rng.random(),
                    stream,
                    router: self.rng.random_range(0..self.load.routers),
                    tokens: (MEAN_TOKENS * (0.3 + 1.4 * draw)) as u64,
                    arrived: now,
                    is_return: false,
                };
                self.requests.insert(request.key, request);
                self.count(&request, |counts| counts.sent += 1);
                self.on_arrival(now, request);
            }
            Event::Arrival(key) => {
                let request = self.requests[&key];
                self.count(&request, |counts| counts.returned += 1);
                self.on_arrival(now, request);
            }
            Event::Poll(router) => self.poll(now, router),
            Event::Answer(key) => {
                let request = self.requests[&key];
                let Some((id, sent)) = self.sent.remove(&key) else {
                    return;
                };
                let router = &mut self.routers[request.router];
                router
                    .admission
                    .on_first_event(id, now, now - sent, request.tokens);
                let is_in_time = now <= request.arrived + self.target(&request);
                self.count(&request, |counts| counts.in_time += u32::from(is_in_time));
            }
            Event::Period(router) => self.end_period(now, router),
        }
    }

    fn target(&self, request: &Request) -> Micros {
        let priority = self.load.streams[request.stream].priority;
        self.targets[&priority].as_micros() as Micros
    }

    /// Counts requests that first arrived in the burst.
    fn count(&mut self, request: &Request, change: impl Fn(&mut Counts)) {
        if !(10 * SEC..30 * SEC).contains(&request.arrived) {
            return;
        }
        let stream = &self.load.streams[request.stream];
        change(self.outcome.classes.entry(stream.priority).or_default());
        let workspace = stream.workspace.clone();
        change(self.outcome.workspaces.entry(workspace).or_default());
    }

    fn on_arrival(&mut self, now: Micros, request: Request) {
        let stream = &self.load.streams[request.stream];
        let target = self.target(&request);
        let router = &mut self.routers[request.router];
        let workspace = Some(&stream.workspace);
        router.admission.on_arrival(now, stream.priority, workspace);
        let gate_request = GateRequest {
            priority: stream.priority,
            workspace,
            key: request.key,
            target,
            idle: router.admission.idle_time(request.tokens),
            left: 8 * SEC,
        };
        let decision = match self.load.rule {
            Rule::Today => Decision::Admit,
            _ => router.admission.decide(now, &gate_request),
        };
        match decision {
            Decision::Admit => {
                if request.is_return {
                    self.count(&request, |counts| counts.returned_at_once += 1);
                }
                self.send(now, request);
            }
            Decision::Wait(id) => {
                router.waiting.insert(id, request.key);
            }
            Decision::Refuse(after) => self.refuse(now, request, after),
        }
        self.plan_poll(now, request.router);
    }

    fn plan_poll(&mut self, now: Micros, router: usize) {
        if let Some(at) = self.routers[router].admission.next_event() {
            self.plan(at.max(now), Event::Poll(router));
        }
    }

    fn poll(&mut self, now: Micros, router: usize) {
        let ended = self.routers[router].admission.poll(now);
        for (id, verdict) in ended {
            let key = self.routers[router].waiting.remove(&id).expect("waits");
            let request = self.requests[&key];
            match verdict {
                Ok(()) => self.send(now, request),
                Err(after) => {
                    let priority = self.load.streams[request.stream].priority;
                    self.routers[router].admission.on_refused(priority);
                    self.refuse(now, request, after);
                }
            }
        }
        self.plan_poll(now, router);
    }

    fn refuse(&mut self, now: Micros, mut request: Request, after: Duration) {
        self.count(&request, |counts| counts.refused += 1);
        if !(10 * SEC..=40 * SEC).contains(&now) {
            self.outcome.refused_outside += 1;
        }
        let back = now + after.as_micros() as Micros + self.rng.random_range(0..100 * MS);
        if request.is_return || back > request.arrived + 8 * SEC {
            self.count(&request, |counts| counts.lost += 1);
            return;
        }
        request.is_return = true;
        self.requests.insert(request.key, request);
        self.plan(back, Event::Arrival(request.key));
    }

    /// Sends to the least busy of a few servers.
    fn send(&mut self, now: Micros, mut request: Request) {
        if request.is_return {
            // The target counts from the attempt.
            let shift = now - request.arrived;
            let in_burst = request.arrived < 30 * SEC;
            request.arrived += if in_burst { 0 } else { shift };
        }
        let drawn = [(); DRAWN].map(|()| self.rng.random_range(0..SERVERS));
        let server = drawn
            .into_iter()
            .min_by_key(|server| self.busy_until[*server]);
        let server = server.expect("some are drawn");
        let prefill = (request.tokens as f64 * PER_TOKEN) as Micros;
        let end = self.busy_until[server].max(now) + prefill;
        self.busy_until[server] = end;
        let stream = &self.load.streams[request.stream];
        let target_at = now + self.target(&request);
        let admission = &mut self.routers[request.router].admission;
        let id = admission.on_sent(now, stream.priority, request.tokens, target_at);
        self.sent.insert(request.key, (id, now));
        self.plan(end + DELAY, Event::Answer(request.key));
    }

    fn end_period(&mut self, now: Micros, router: usize) {
        self.plan(now + SEC, Event::Period(router));
        let admission = &mut self.routers[router].admission;
        let mut admitted = admission.end_period(now, &self.targets);
        let has_summary = match self.load.rule {
            Rule::Summaries => true,
            Rule::Stopping => now < 15 * SEC,
            Rule::Today | Rule::Alone => false,
        };
        // An aggregator receives at most 100 reports a second.
        let every = self.load.routers.div_ceil(100) as u64;
        let is_due = (now / SEC) % every == router as u64 % every;
        if has_summary
            && is_due
            && let Some(report) = admission.report()
        {
            let process = router as u64;
            let summary = self
                .aggregate
                .on_report(process, now, report, &self.targets);
            admitted.extend(admission.on_summary(now, summary, Duration::from_secs(every)));
        }
        if router == 0 && admission.is_open() != self.was_open {
            self.was_open = !self.was_open;
            self.outcome.changes += 1;
        }
        for id in admitted {
            let key = self.routers[router].waiting.remove(&id).expect("waits");
            self.send(now, self.requests[&key]);
        }
    }
}
