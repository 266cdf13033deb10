//! The simulation: routers choose runners in virtual time.

use rand_pcg::Pcg64Mcg;
use swiftlink_routing::{
    Dispatch, ErrorKind, Fleet, FleetPolicy, PickArgs, RetryBudget, ServerIdx, ServerSpec,
};
use swiftlink_types::{DomainName, Micros, ServerInstance, ServerName};

use super::outcome::Outcome;
use super::runner::{Runner, SNAPSHOT_INTERVAL};
use super::setup::{Choice, FIRST_TOKEN_US, Fault, REMAINDER_US, Retry, SLOTS, Setup};
use crate::agenda::Agenda;
use crate::draw::{MS, generator, log_normal, poisson_gap, uniform, unit, weighted};

/// Number of failure domains.
const DOMAINS: usize = 4;
/// One-way latency to a runner in the same domain and in another one.
const SAME_DOMAIN_DELAY: Micros = 50;
const CROSS_DOMAIN_DELAY: Micros = 500;
/// Time until a failing runner returns an error.
const FAILURE_DELAY: Micros = 2 * MS;
/// Spread of the time to first token, and of the rest of an answer.
const FIRST_SPREAD: f64 = 0.2;
const REST_SPREAD: f64 = 0.5;
/// Factor on the time to first token when the prefix is cached.
const CACHED_PREFIX_FACTOR: f64 = 0.5;
/// Maximum attempts per request.
const MAX_ATTEMPTS: u32 = 3;

#[derive(Debug)]
enum Event {
    Arrive,
    Start(usize),
    First(usize),
    End(usize),
    Fail(usize),
    Poll { router: usize, member: usize },
    Snapshot,
}

#[derive(Debug)]
struct Router {
    fleet: Fleet,
    members: Vec<(ServerIdx, usize)>,
    retries: RetryBudget,
}

#[derive(Debug)]
struct Request {
    router: usize,
    arrived: Micros,
    prefix: u64,
    attempts: u32,
    tried: Vec<ServerIdx>,
    runner: usize,
    sent: Option<Dispatch>,
    is_prefix_cached: bool,
}

/// A simulation of one policy.
#[derive(Debug)]
pub struct Simulation<'a> {
    setup: &'a Setup,
    routers: Vec<Router>,
    runners: Vec<Runner>,
    requests: Vec<Request>,
    /// Weights of the shared prefixes.
    weights: Vec<f64>,
    agenda: Agenda<Event>,
    /// Separate generators for demand, policy and runners, so that every policy gets the
    /// same demand.
    demand_rng: Pcg64Mcg,
    policy_rng: Pcg64Mcg,
    runner_rng: Pcg64Mcg,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation of the policy.
    #[must_use]
    pub fn new(setup: &'a Setup, choice: Choice, seed: u64) -> Self {
        let specs: Vec<ServerSpec> = (0..setup.runners).map(spec).collect();
        let routers = (0..setup.routers).map(|index| router(setup, choice, &specs, index, seed));
        let faults = |index: usize| setup.faults.get(index).copied();
        let ranks = 1..=setup.prefixes.count;
        Self {
            setup,
            routers: routers.collect(),
            runners: (0..setup.runners)
                .map(|index| Runner::new(faults(index)))
                .collect(),
            requests: Vec::new(),
            weights: ranks
                .map(|rank| (rank as f64).powf(-setup.prefixes.skew))
                .collect(),
            agenda: Agenda::new(),
            demand_rng: generator(seed, 1),
            policy_rng: generator(seed, 2),
            runner_rng: generator(seed, 3),
            outcome: Outcome::default(),
        }
    }

    /// Runs the simulation to its end.
    #[must_use]
    pub fn run(mut self) -> Outcome {
        self.begin();
        while let Some((now, event)) = self.agenda.pop() {
            if now >= self.setup.length {
                break;
            }
            match event {
                Event::Arrive => self.arrive(now),
                Event::Start(request) => self.on_arrival(now, request),
                Event::First(request) => self.first(now, request),
                Event::End(request) => self.end(now, request),
                Event::Fail(request) => self.fail(now, request),
                Event::Poll { router, member } => self.poll(now, router, member),
                Event::Snapshot => self.take_snapshot(now),
            }
        }
        self.outcome.first_token_times.sort_unstable();
        self.outcome
    }

    fn begin(&mut self) {
        self.agenda.schedule(0, Event::Snapshot);
        self.agenda.schedule(0, Event::Arrive);
        for (router, state) in self.routers.iter().enumerate() {
            for member in 0..state.members.len() {
                let at = uniform(&mut self.policy_rng, self.setup.poll);
                self.agenda.schedule(at, Event::Poll { router, member });
            }
        }
    }

    fn arrive(&mut self, now: Micros) {
        let wait = poisson_gap(&mut self.demand_rng, self.setup.rate());
        self.agenda.schedule(now + wait, Event::Arrive);
        let router = uniform(&mut self.demand_rng, self.routers.len() as u64) as usize;
        let number = self.requests.len();
        let is_known = unit(&mut self.demand_rng) < self.setup.prefixes.share;
        let rank = weighted(&mut self.demand_rng, &self.weights);
        let prefix = if is_known {
            hash(rank as u64)
        } else {
            hash(1 << 40 | number as u64)
        };
        self.requests.push(Request {
            router,
            arrived: now,
            prefix,
            attempts: 0,
            tried: Vec::new(),
            runner: 0,
            sent: None,
            is_prefix_cached: false,
        });
        if self.counts(number) {
            self.outcome.requests += 1;
        }
        self.send(now, number);
    }

    fn counts(&self, request: usize) -> bool {
        self.requests[request].arrived >= self.setup.warm_up
    }

    fn send(&mut self, now: Micros, number: usize) {
        let counts = self.counts(number);
        let request = &mut self.requests[number];
        let router = &mut self.routers[request.router];
        let pick = PickArgs {
            now,
            prefix: request.prefix,
            exclude: &request.tried,
            domains: None,
            is_canary: false,
            may_probe: true,
            ..PickArgs::default()
        };
        let Some(sent) = router.fleet.send(&pick, &mut self.policy_rng) else {
            if counts {
                self.outcome.failed += 1;
            }
            return;
        };
        let mut members = router.members.iter();
        let member = members.find(|(idx, _)| *idx == sent.idx);
        request.runner = member.expect("a router picks among its members").1;
        request.tried.push(sent.idx);
        request.sent = Some(sent);
        request.attempts += 1;
        let hop = hop(request.router, request.runner);
        if counts {
            self.outcome.attempts += 1;
            let is_faulty = self.runners[request.runner].fault.is_some();
            self.outcome.faulty_attempts += u64::from(is_faulty);
        }
        self.agenda.schedule(now + hop, Event::Start(number));
    }

    /// Handles the arrival of a request at its runner.
    fn on_arrival(&mut self, now: Micros, number: usize) {
        let runner = self.requests[number].runner;
        if let Some(Fault::Fails(share)) = self.runners[runner].fault
            && unit(&mut self.runner_rng) < share
        {
            return self
                .agenda
                .schedule(now + FAILURE_DELAY, Event::Fail(number));
        }
        if self.runners[runner].take(number) {
            self.start(now, number);
        }
    }

    fn start(&mut self, now: Micros, number: usize) {
        let request = &mut self.requests[number];
        let runner = &mut self.runners[request.runner];
        request.is_prefix_cached = runner.touch_prefix(request.prefix, now);
        let part = if request.is_prefix_cached {
            CACHED_PREFIX_FACTOR
        } else {
            1.0
        };
        let mean = FIRST_TOKEN_US * part * (1.0 + runner.load()) * runner.slowdown();
        let first = log_normal(&mut self.runner_rng, mean, FIRST_SPREAD);
        let rest = log_normal(
            &mut self.runner_rng,
            REMAINDER_US * runner.slowdown(),
            REST_SPREAD,
        );
        let hop = hop(request.router, request.runner);
        self.agenda
            .schedule(now + first + hop, Event::First(number));
        self.agenda
            .schedule(now + first + rest + hop, Event::End(number));
    }

    fn first(&mut self, now: Micros, number: usize) {
        let counts = self.counts(number);
        let request = &mut self.requests[number];
        let router = &mut self.routers[request.router];
        if let Some(sent) = &mut request.sent {
            router.fleet.on_first_token(sent, now);
        }
        if counts {
            self.outcome.first_token_times.push(now - request.arrived);
            self.outcome.hits += u64::from(request.is_prefix_cached);
        }
    }

    fn end(&mut self, now: Micros, number: usize) {
        let request = &mut self.requests[number];
        let router = &mut self.routers[request.router];
        if let Some(sent) = request.sent.take() {
            router.fleet.on_end(sent, now);
            router.retries.on_success();
        }
        if let Some(next) = self.runners[request.runner].end() {
            self.start(now, next);
        }
    }

    fn fail(&mut self, now: Micros, number: usize) {
        let counts = self.counts(number);
        let request = &mut self.requests[number];
        let router = &mut self.routers[request.router];
        if let Some(sent) = request.sent.take() {
            router.fleet.on_error(sent, now, ErrorKind::Status);
        }
        let may_retry = request.attempts < MAX_ATTEMPTS;
        let may_retry = may_retry && (self.setup.retry == Retry::Always || router.retries.take());
        if may_retry {
            return self.send(now, number);
        }
        if counts {
            self.outcome.failed += 1;
        }
    }

    fn poll(&mut self, now: Micros, router: usize, member: usize) {
        let state = &mut self.routers[router];
        let (idx, runner) = state.members[member];
        let report = self.runners[runner].report(self.setup.report_age);
        state.fleet.on_report(idx, now, report);
        self.agenda
            .schedule(now + self.setup.poll, Event::Poll { router, member });
    }

    fn take_snapshot(&mut self, now: Micros) {
        for runner in &mut self.runners {
            runner.take_snapshot();
        }
        self.agenda
            .schedule(now + SNAPSHOT_INTERVAL, Event::Snapshot);
    }
}

fn router(setup: &Setup, choice: Choice, specs: &[ServerSpec], index: usize, seed: u64) -> Router {
    let mut settings = FleetPolicy::new(domain(index));
    settings.subset = setup.subset;
    settings.seed = hash(seed ^ index as u64);
    settings.health = choice.health();
    let mut fleet = Fleet::new(settings, choice.policy());
    fleet.set_config(specs);
    let number = |name: &ServerName| specs.iter().position(|spec| spec.instance.name == *name);
    let members = fleet.members().into_iter();
    let members = members.map(|(idx, name)| (idx, number(&name).expect("it is configured")));
    Router {
        members: members.collect(),
        fleet,
        retries: RetryBudget::default(),
    }
}

fn spec(index: usize) -> ServerSpec {
    ServerSpec {
        instance: ServerInstance::from(ServerName::from(format!("runner-{index}"))),
        domain: domain(index),
        vm: None,
        slots: SLOTS as u32,
        drain: false,
        version: None,
        is_excluded: false,
        is_canary: false,
        cold_until: 0,
    }
}

fn domain(index: usize) -> DomainName {
    DomainName::from(format!("domain-{}", index % DOMAINS))
}

fn hop(router: usize, runner: usize) -> Micros {
    if router % DOMAINS == runner % DOMAINS {
        SAME_DOMAIN_DELAY
    } else {
        CROSS_DOMAIN_DELAY
    }
}

/// Mixes the bits of a number; never returns 0.
fn hash(number: u64) -> u64 {
    let wide = u128::from(number + 1).wrapping_mul(0xd6e8_feb8_6659_fd93_a076_1d64_78bd_642f);
    ((wide >> 64) as u64 ^ wide as u64) | 1
}
