//! Decides whether a request is admitted to an overloaded pool, waits or is refused.

use std::collections::BTreeMap;
use std::time::Duration;

use swiftlink_types::{ClassName, Micros, WorkspaceName};

use crate::queue::{ClassSpec, Entry, Queue, QueuePolicy, Ticket};
use crate::rate::{Ewma, MICROS_PER_SEC};
use crate::retry::RetryPolicy;
use crate::shares::Shares;

/// Longest wait of a request, as a divisor of its latency target.
pub const WAIT_DIVISOR: Micros = 8;
/// Averaging horizon of a workspace's arrivals.
const ARRIVAL_HORIZON: Duration = Duration::from_secs(5);
/// Maximum number of flows.
const MAX_FLOWS: usize = 256;
/// Largest credit, in requests, and largest debt.
const MAX_CREDIT: f64 = 2.0;
const MAX_DEBT: f64 = 4.0;
/// Longest time between two requests that pass (µs).
const MAX_INTERVAL: f64 = 60.0 * MICROS_PER_SEC;
/// Maximum number of waiting requests of one flow.
const FLOW_LIMIT: usize = 64;
/// Weights of flows are rates in thousandths of a request per second.
const WEIGHT_SCALE: f64 = 1_000.0;
/// Time after the end of an overload in which the times given to refused requests hold (µs).
const MAX_PAUSE: Micros = 15_000_000;
/// Share of the admitted rate that is kept for requests that return. All of them together get no
/// more than the pool can serve: with a larger share, more new requests are late instead.
const RETRY_SHARE: f64 = 0.15;
/// Shortest time to return that a refusal names.
const MIN_RETURN: Micros = 200_000;
/// Longest time to return that a refusal names: how long an overload lasts isn't known.
const MAX_RETURN: Micros = 10_000_000;
/// Share of the named time over which requests without a place of their own are spread.
const RETURN_SPREAD: f64 = 0.5;

/// A request that asks to be sent to a server.
#[derive(Clone, Copy, Debug)]
pub struct GateRequest<'a> {
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Workspace that is charged.
    pub workspace: Option<&'a WorkspaceName>,
    /// Hash that identifies the request when it returns; 0 if there is none.
    pub key: u64,
    /// Target time to the first event.
    pub target: Micros,
    /// Time until the first event at an idle server.
    pub idle: Micros,
    /// Time until the request's deadline.
    pub left: Micros,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it now.
    Admit,
    /// Wait until [`Gate::poll`] names this id.
    Wait(u64),
    /// Refuse it now, since there is no capacity. There is some after this time.
    Refuse(Duration),
}

/// How the wait of a request ended.
pub type Verdict = Result<(), Duration>;

/// Requests of one workspace and priority.
#[derive(Debug)]
struct Flow {
    class: ClassName,
    arrivals: Ewma,
}

/// Lets through the admitted share of a router's requests to a pool.
///
/// Everything passes while the shares are open, and so does each flow (a workspace's requests of
/// one priority) whose share is 1. The other flows pass a [`Queue`] in front of one slot, which is
/// free while there is credit. A request that returns at the time it was given passes at once.
#[derive(Debug, Default)]
pub struct Gate {
    shares: Shares,
    /// Mean wait for a first event at the servers.
    wait: Micros,
    flows: BTreeMap<(u8, Option<WorkspaceName>), Flow>,
    pacing: Option<Pacing>,
    next_id: u64,
}

/// The queue in front of the admitted rate.
#[derive(Debug)]
struct Pacing {
    queue: Queue<u64>,
    /// Tickets of the waiting requests by id.
    tickets: BTreeMap<u64, Ticket>,
    /// Mean time between two requests that pass.
    interval: Micros,
    /// Number of requests that may pass. Each arrival adds the share of its flow, so that exactly
    /// the admitted share passes however the rate of arrivals changes.
    credit: f64,
    /// When shares were last restricted.
    used_at: Micros,
}

impl Gate {
    /// Counts a request that arrived.
    pub fn on_arrival(&mut self, now: Micros, priority: u8, workspace: Option<&WorkspaceName>) {
        let key = (priority, workspace.cloned());
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.arrivals.add(now, 1.0);
            return;
        }
        if self.flows.len() >= MAX_FLOWS {
            self.flows
                .retain(|_, flow| flow.arrivals.per_sec(now) > 0.01);
        }
        if self.flows.len() >= MAX_FLOWS {
            return;
        }
        let name = workspace.map_or("-", WorkspaceName::as_str);
        let mut flow = Flow {
            class: ClassName::from(format!("{priority}/{name}")),
            arrivals: Ewma::new(ARRIVAL_HORIZON),
        };
        flow.arrivals.add(now, 1.0);
        self.flows.insert(key, flow);
    }

    /// Applies shares, and the mean wait for a first event at the servers. Returns the waiting
    /// requests that are admitted now since no share is restricted any more.
    pub fn set_shares(&mut self, now: Micros, shares: &Shares, wait: Duration) -> Vec<u64> {
        self.shares = shares.clone();
        self.wait = wait.as_micros() as Micros;
        if shares.is_open() {
            let Some(pacing) = &mut self.pacing else {
                return Vec::new();
            };
            pacing.queue.drain();
            return std::mem::take(&mut pacing.tickets).into_keys().collect();
        }
        // Requests that were refused shortly before are still recognized when they return.
        let is_old = |pacing: &Pacing| now.saturating_sub(pacing.used_at) > MAX_PAUSE;
        if self.pacing.as_ref().is_some_and(is_old) {
            self.pacing = None;
        }
        let mut rates = Vec::new();
        for ((priority, workspace), flow) in &self.flows {
            let share = shares.of(*priority, workspace.as_ref());
            if share < 1.0 {
                let rate = share * flow.arrivals.per_sec(now);
                rates.push((flow.class.clone(), rate));
            }
        }
        let total: f64 = rates.iter().map(|(_, rate)| rate).sum();
        let interval = (MICROS_PER_SEC / total.max(1e-6)).min(MAX_INTERVAL) as Micros;
        let pacing = self
            .pacing
            .get_or_insert_with(|| Pacing::new(now, interval));
        pacing.used_at = now;
        pacing.set_rate(interval, &rates);
        Vec::new()
    }

    /// Whether all requests are admitted.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.shares.is_open()
    }

    /// Decides about a request that arrives now.
    pub fn decide(&mut self, now: Micros, request: &GateRequest<'_>) -> Decision {
        let share = self.shares.of(request.priority, request.workspace);
        let pacing = self.pacing.as_mut();
        let Some(pacing) = pacing.filter(|_| !self.shares.is_open()) else {
            return Decision::Admit;
        };
        let flow = (request.priority, request.workspace.cloned());
        let Some(flow) = self.flows.get(&flow) else {
            return Decision::Admit;
        };
        if self.wait + request.idle > request.left {
            // The requests that wait at the servers now have their first events by then.
            let after = self.wait.clamp(MIN_RETURN, MAX_RETURN);
            return Decision::Refuse(spread(after, request.key));
        }
        if pacing.queue.redeem(&flow.class, now, request.key) {
            pacing.take();
            return Decision::Admit;
        }
        if share >= 1.0 {
            return Decision::Admit;
        }
        pacing.credit = (pacing.credit + share).min(MAX_CREDIT);
        pacing.free();
        let max_wait = request.target / WAIT_DIVISOR;
        let wait = pacing.queue.expected_wait(&flow.class, now);
        if share <= 0.0 || wait.as_micros() as Micros > max_wait {
            return Decision::Refuse(pacing.refuse(&flow.class, now, request));
        }
        let id = self.next_id;
        self.next_id += 1;
        let entry = Entry {
            class: flow.class.clone(),
            key: request.key,
            // The queue gives an entry up half a service time before its deadline.
            deadline: now + max_wait + pacing.interval / 2 + 1,
            service_time: Some(0),
            payload: id,
        };
        let Ok(ticket) = pacing.queue.push(entry, now) else {
            return Decision::Refuse(pacing.refuse(&flow.class, now, request));
        };
        if wait.is_zero() && pacing.queue.pop(now).is_some() {
            pacing.queue.on_abandoned();
            pacing.take();
            return Decision::Admit;
        }
        pacing.tickets.insert(id, ticket);
        Decision::Wait(id)
    }

    /// Removes a waiting request whose caller has left.
    pub fn cancel(&mut self, id: u64) {
        if let Some(pacing) = &mut self.pacing
            && let Some(ticket) = pacing.tickets.remove(&id)
        {
            pacing.queue.cancel(ticket);
        }
    }

    /// Returns the requests whose wait has ended.
    pub fn poll(&mut self, now: Micros) -> Vec<(u64, Verdict)> {
        let mut ended = Vec::new();
        let Some(pacing) = &mut self.pacing else {
            return ended;
        };
        pacing.free();
        while let Some((_, entry)) = pacing.queue.pop(now) {
            pacing.queue.on_abandoned();
            pacing.take();
            pacing.tickets.remove(&entry.payload);
            ended.push((entry.payload, Ok(())));
        }
        for expired in pacing.queue.take_expired(now) {
            let after = expired.refusal.retry_after.unwrap_or_default();
            let after = after.min(Duration::from_micros(MAX_RETURN));
            pacing.tickets.remove(&expired.entry.payload);
            ended.push((expired.entry.payload, Err(after)));
        }
        ended
    }

    /// When [`Self::poll`] will next return something, as far as is known.
    #[must_use]
    pub fn next_event(&self) -> Option<Micros> {
        let pacing = self.pacing.as_ref()?;
        let expiry = pacing.queue.next_expiry()?;
        Some(if pacing.credit >= 1.0 { 0 } else { expiry })
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting_len(&self) -> usize {
        self.pacing.as_ref().map_or(0, |pacing| pacing.queue.len())
    }
}

impl Pacing {
    fn new(now: Micros, interval: Micros) -> Self {
        let policy = QueuePolicy {
            initial_service: Duration::from_micros(interval),
            retry: RetryPolicy {
                share: RETRY_SHARE,
                ..RetryPolicy::default()
            },
            ..QueuePolicy::default()
        };
        Self {
            queue: Queue::new(policy, 1),
            tickets: BTreeMap::new(),
            interval,
            credit: 1.0,
            used_at: now,
        }
    }

    fn set_rate(&mut self, interval: Micros, rates: &[(ClassName, f64)]) {
        self.interval = interval;
        self.queue.set_service_time(interval);
        for (class, rate) in rates {
            let spec = ClassSpec {
                weight: ((rate * WEIGHT_SCALE) as u32).max(1),
                limit: FLOW_LIMIT,
            };
            self.queue.set_class(class, spec);
        }
    }

    /// Makes the slot available if there is credit.
    fn free(&mut self) {
        self.queue.set_slots(usize::from(self.credit >= 1.0));
    }

    /// Uses credit for one request.
    fn take(&mut self) {
        self.credit = (self.credit - 1.0).max(-MAX_DEBT);
        self.free();
    }

    /// Time after which a refused request may return. It gets a place of its own if it can still
    /// use it then.
    fn refuse(&mut self, class: &ClassName, now: Micros, request: &GateRequest<'_>) -> Duration {
        let latest = now + request.left.saturating_sub(request.idle).min(MAX_RETURN);
        let (due, is_kept) = self.queue.refuse(class, request.key, now, latest);
        let after = due.saturating_sub(now);
        if is_kept {
            return Duration::from_micros(after);
        }
        spread(after.min(MAX_RETURN), request.key)
    }
}

/// Spreads the times at which requests without a place of their own return.
fn spread(after: Micros, key: u64) -> Duration {
    let spread = (key % 1_024) as f64 / 1_024.0 * RETURN_SPREAD;
    Duration::from_micros((after as f64 * (1.0 + spread)) as Micros)
}
