//! Asks the allocators of limited servers for permits while requests arrive.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_telemetry::event;
use swiftlink_types::{ServerInstance, VmName};
use swiftlink_wire::link::{AskPermits, Permits, reply, request};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

use super::allocator::{Allocation, Observation, Query};
use super::coordinator::{Allocators, Coordinator};
use super::pace::Pace;
use super::registry::{LimitedServer, LimitedServers};
use crate::clock::steady_millis;

/// Interval at which limited servers are checked.
const TICK: Duration = Duration::from_millis(20);
/// Timeout of a query: routers of a region answer in a few milliseconds.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between two lines of the log on a server that stays limited.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps this router supplied with permits.
#[derive(Debug)]
pub(crate) struct Requester {
    pub(crate) servers: Arc<LimitedServers>,
    pub(crate) coordinator: Arc<Coordinator>,
    pub(crate) peers: Arc<dyn Allocators>,
}

/// How a limited server is followed.
#[derive(Debug)]
struct Tracked {
    pace: Pace,
    logged_at: Instant,
}

impl Tracked {
    fn new() -> Self {
        Self {
            pace: Pace::default(),
            logged_at: Instant::now(),
        }
    }
}

/// The answer to a query.
struct Answered {
    instance: ServerInstance,
    /// `None` if no allocator answered.
    allocation: Option<Allocation>,
    /// When the query was sent, in milliseconds of the VM's monotonic clock.
    asked: u64,
}

impl Requester {
    /// Asks for permits until the task is aborted.
    pub(crate) async fn run(self) {
        let mut tracked: HashMap<ServerInstance, Tracked> = HashMap::new();
        let mut queries: JoinSet<Answered> = JoinSet::new();
        loop {
            let servers = self.servers.all();
            if servers.is_empty() {
                tracked.clear();
                self.servers.added().await;
                continue;
            }
            while let Some(Ok(answered)) = queries.try_join_next() {
                take(answered, &servers, &mut tracked);
            }
            for server in &servers {
                let entry = tracked.entry(server.instance.clone());
                self.step(server, entry.or_insert_with(Tracked::new), &mut queries);
            }
            self.servers.prune();
            tracked.retain(|instance, _| servers.iter().any(|server| server.instance == *instance));
            // A tick that comes early is harmless.
            let _early = timeout(TICK, self.servers.wanted()).await;
        }
    }

    /// Drops what has lapsed and asks for permits if they run out.
    fn step(&self, server: &LimitedServer, tracked: &mut Tracked, queries: &mut JoinSet<Answered>) {
        let now = steady_millis();
        let throttle = &server.announcement.throttle;
        server.log(throttle.expire(now));
        server.pool.sync_throttle(server);
        log_state(server, tracked);
        let Some(observation) = throttle.observation(now) else {
            return;
        };
        let (in_hand, _) = throttle.permits(now);
        let arrivals = server.pool.arrivals();
        if !tracked.pace.is_due(now, in_hand, arrivals) {
            return;
        }
        let want = tracked.pace.ask(arrivals);
        let coordinator = Arc::clone(&self.coordinator);
        let peers = Arc::clone(&self.peers);
        let instance = server.instance.clone();
        queries.spawn(query(coordinator, peers, instance, observation, want));
    }
}

/// Asks the allocators of a server in turn.
async fn query(
    coordinator: Arc<Coordinator>,
    peers: Arc<dyn Allocators>,
    instance: ServerInstance,
    observation: Observation,
    want: u32,
) -> Answered {
    let mut asked = steady_millis();
    for vm in peers.allocators(&instance) {
        asked = steady_millis();
        let allocation = if vm == *peers.own() {
            coordinator.allocate(&Query {
                server: &instance,
                peer: vm.as_str(),
                observation,
                want,
            })
        } else {
            ask(&*peers, &vm, &instance, &observation, want).await
        };
        if allocation.is_some() {
            return Answered {
                instance,
                allocation,
                asked,
            };
        }
    }
    Answered {
        instance,
        allocation: None,
        asked,
    }
}

async fn ask(
    peers: &dyn Allocators,
    vm: &VmName,
    server: &ServerInstance,
    observation: &Observation,
    want: u32,
) -> Option<Allocation> {
    let message = AskPermits {
        server: server.name.to_string(),
        born: server.started,
        rate: observation.rate,
        named_ms: observation.named.as_millis() as u64,
        unnamed_ms: observation.unnamed.map(|time| time.as_millis() as u64),
        want,
    };
    let kind = request::Kind::AskPermits(message);
    match peers.call(vm, kind, QUERY_TIMEOUT).await {
        Ok(reply::Kind::Permits(Permits {
            elsewhere: true, ..
        })) => None,
        Ok(reply::Kind::Permits(permits)) => Some(Allocation {
            count: permits.count,
            rate: permits.rate,
            retry: Duration::from_millis(permits.retry_ms),
            sharers: permits.sharers,
        }),
        Ok(_) => {
            event!(warn, "peer.wrong_reply", peer = vm);
            None
        }
        Err(error) => {
            event!(
                debug,
                "limit.not_asked",
                peer = vm,
                server = server.name,
                reason = error
            );
            None
        }
    }
}

/// Applies the answer to a query.
fn take(
    answered: Answered,
    servers: &[LimitedServer],
    tracked: &mut HashMap<ServerInstance, Tracked>,
) {
    let Some(Tracked { pace, .. }) = tracked.get_mut(&answered.instance) else {
        return;
    };
    let now = steady_millis();
    let mut servers = servers.iter();
    let server = servers.find(|server| server.instance == answered.instance);
    let (Some(server), Some(allocation)) = (server, answered.allocation) else {
        pace.on_failure(now);
        return;
    };
    let throttle = &server.announcement.throttle;
    server.log(throttle.on_allocation(&allocation, answered.asked));
    server.pool.sync_throttle(server);
    let (_, used) = throttle.permits(now);
    pace.on_answer(now, &allocation, used, rand::random());
    throttle.set_next_query(pace.next());
}

/// Logs from time to time what became of the permits.
fn log_state(server: &LimitedServer, tracked: &mut Tracked) {
    if tracked.logged_at.elapsed() < LOG_INTERVAL {
        return;
    }
    tracked.logged_at = Instant::now();
    let throttle = &server.announcement.throttle;
    let Some((rate, known, counts)) = throttle.summary(steady_millis()) else {
        return;
    };
    event!(
        info,
        "server.limit_state",
        server = server.instance.name,
        rate = rate,
        known_secs = known.as_secs_f32(),
        expected = throttle.expected_rate().unwrap_or(rate),
        granted = counts.granted,
        used = counts.used,
        lapsed = counts.lapsed,
        withheld = counts.withheld,
    );
}
