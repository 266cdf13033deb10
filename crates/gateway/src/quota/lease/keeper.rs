//! Opens, replaces and closes the leases of all workspaces with recent requests.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_telemetry::event;
use swiftlink_types::{Micros, VmName};
use swiftlink_wire::link::LeaseSize;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::state::{Closed, Lease, REPLACED, Terms};
use super::{Decision, Demand, decide};
use crate::quota::local::LocalQuota;
use crate::quota::reserver::{LeaseAnswer, Reserver};

/// Time between two looks at all leases.
const TICK: Duration = Duration::from_millis(100);
/// Shortest time that a sample of the demand covers.
const MIN_SAMPLE: Duration = Duration::from_millis(50);
/// Shortest time between two leases of a workspace.
const MIN_INTERVAL: Duration = Duration::from_millis(25);
/// Time until holders are asked again after they refused a lease. It doubles up to
/// [`MAX_RETRY_INTERVAL`] with each further refusal: near the end of a budget, there is room again
/// when other leases have been reported.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// The same after none answered.
const UNREACHED_INTERVAL: Duration = Duration::from_millis(500);
/// The same where a holder doesn't know leases.
const UNSUPPORTED_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which a holder that didn't answer is asked after the others.
const SILENT_TIME: Duration = Duration::from_secs(15);
/// Time between two reports on a closed lease whose requests still run.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of holders that are asked for one lease: those that an account is placed on.
const MAX_ASKED: usize = 3;
/// Maximum number of holders that may refuse one lease.
const MAX_REFUSALS: usize = 2;
/// How long a lease is in use at most, in addition to the time of its requests: its holder counts it
/// as spent some time after that.
const LEASE_TIME: Duration = Duration::from_secs(3);

/// Keeps the leases of a router until the task is aborted.
pub(in crate::quota) async fn run(reserver: Arc<Reserver>) {
    let mut keepers: Vec<Keeper> = Vec::new();
    let mut asks: JoinSet<Answer> = JoinSet::new();
    loop {
        let tick = Instant::now() + TICK;
        let due = keepers.iter().filter_map(|keeper| keeper.due).min();
        tokio::select! {
            () = reserver.leases.changed() => {}
            () = sleep_until(due.map_or(tick, |due| due.min(tick))), if !keepers.is_empty() => {}
            Some(Ok(answer)) = asks.join_next() => apply(&reserver, &mut keepers, answer),
        }
        for quota in reserver.leases.take_arrived() {
            keepers.push(Keeper::new(quota));
        }
        for keeper in &mut keepers {
            if let Some(size) = keeper.step(&reserver) {
                let renewal = keeper.renewal();
                asks.spawn(ask(Arc::clone(&reserver), renewal, size));
            }
        }
        keepers.retain(Keeper::is_active);
    }
}

/// Returns the current lease of a workspace. Its requests keep the tokens that they hold.
pub(in crate::quota) fn close(quota: &LocalQuota, reason: &str) {
    if let Some(lease) = quota.lessee.replace(None) {
        lease.close(quota, reason);
    }
}

/// Whether a workspace has a lease, for the log: each change is one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    None,
    Leased,
    Refused,
}

/// Keeps the lease of one workspace.
struct Keeper {
    quota: Arc<LocalQuota>,
    demand: Demand,
    started: Instant,
    sampled: Instant,
    is_asking: bool,
    /// When a holder may be asked next.
    ask_from: Instant,
    /// When a lease that is due will be asked for.
    due: Option<Instant>,
    /// Time until holders are asked again after they refuse a lease.
    retry: Duration,
    /// A holder that didn't answer, and when.
    silent: Option<(VmName, Instant)>,
    closed: Vec<Closed>,
    state: State,
}

impl Keeper {
    fn new(quota: Arc<LocalQuota>) -> Self {
        let now = Instant::now();
        Self {
            quota,
            demand: Demand::new(0),
            started: now,
            sampled: now,
            is_asking: false,
            ask_from: now,
            due: None,
            retry: RETRY_INTERVAL,
            silent: None,
            closed: Vec::new(),
            state: State::None,
        }
    }

    fn micros(&self) -> Micros {
        Micros::try_from(self.started.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// Carries out what is due; returns the size of a lease to ask for.
    fn step(&mut self, reserver: &Reserver) -> Option<LeaseSize> {
        self.due = None;
        self.closed
            .retain_mut(|closed| closed.report(REPORT_INTERVAL));
        if self.sampled.elapsed() >= MIN_SAMPLE {
            self.sampled = Instant::now();
            let sample = self.quota.lessee.take_sample();
            self.demand.add(&sample, self.micros());
        }
        self.demand.set_link_busy(reserver.leases.is_link_busy());
        let lease = self.quota.lessee.current();
        let view = lease.as_ref().map(|lease| lease.view(self.quota.prepaid()));
        match decide(&self.demand, view.as_ref(), self.micros()) {
            Decision::Keep => None,
            Decision::Close(reason) => {
                self.close(reason);
                None
            }
            Decision::Open(_) if self.is_asking || reserver.leases.is_stopped() => None,
            Decision::Open(_) if Instant::now() < self.ask_from => {
                self.due = Some(self.ask_from);
                None
            }
            Decision::Open(size) => {
                let placement = reserver.quotas().placement();
                if placement.is_placed(&self.quota.workspace) {
                    self.close("placed here");
                    return None;
                }
                self.is_asking = true;
                Some(size)
            }
        }
    }

    fn renewal(&self) -> Renewal {
        let silent = self.silent.as_ref();
        let silent = silent.filter(|(_, since)| since.elapsed() < SILENT_TIME);
        Renewal {
            quota: Arc::clone(&self.quota),
            demand: self.demand.clone(),
            now: self.micros(),
            last: silent.map(|(vm, _)| vm.clone()),
        }
    }

    /// Uses a new lease in place of the current one.
    fn set_lease(&mut self, lease: Arc<Lease>) {
        self.ask_from = Instant::now() + MIN_INTERVAL;
        self.retry = RETRY_INTERVAL;
        lease.log_granted(&self.quota, self.state == State::Leased);
        self.state = State::Leased;
        let replaced = self.quota.lessee.replace(Some(lease));
        let closed = replaced.and_then(|lease| lease.close(&self.quota, REPLACED));
        self.closed.extend(closed);
    }

    fn close(&mut self, reason: &'static str) {
        let Some(lease) = self.quota.lessee.replace(None) else {
            return;
        };
        self.closed.extend(lease.close(&self.quota, reason));
        self.state = State::None;
    }

    fn on_refused(&mut self, refused: Refused) {
        let retry = match refused {
            Refused::Unreached => UNREACHED_INTERVAL,
            Refused::Unsupported => UNSUPPORTED_INTERVAL,
            Refused::NotGranted => {
                let retry = self.retry;
                self.retry = (retry * 2).min(MAX_RETRY_INTERVAL);
                retry
            }
        };
        self.ask_from = Instant::now() + retry;
        if self.state == State::None {
            self.state = State::Refused;
            event!(
                info,
                "lease.refused",
                workspace = self.quota.workspace,
                reason = refused.as_str(),
            );
        }
    }

    /// Whether the workspace has recent requests or a lease. One that hasn't is forgotten until its
    /// next request.
    fn is_active(&self) -> bool {
        let has_lease = self.quota.lessee.current().is_some() || !self.closed.is_empty();
        let is_active = has_lease || self.is_asking || !self.demand.is_idle(self.micros());
        if !is_active {
            self.quota.lessee.unwatch();
        }
        is_active
    }
}

/// A lease to ask for, and the demand that it is for.
struct Renewal {
    quota: Arc<LocalQuota>,
    demand: Demand,
    now: Micros,
    /// The holder to ask after the others.
    last: Option<VmName>,
}

/// What the holders answered.
struct Answer {
    quota: Arc<LocalQuota>,
    lease: Result<Arc<Lease>, Refused>,
    /// A holder that didn't answer.
    silent: Option<VmName>,
}

/// Why there is no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refused {
    Unreached,
    NotGranted,
    Unsupported,
}

impl Refused {
    fn as_str(self) -> &'static str {
        match self {
            Self::Unreached => "no answer",
            Self::NotGranted => "not granted",
            Self::Unsupported => "holder without leases",
        }
    }
}

/// Asks holders for a lease until one grants it.
async fn ask(reserver: Arc<Reserver>, renewal: Renewal, size: LeaseSize) -> Answer {
    let Renewal {
        quota,
        demand,
        now,
        last,
    } = renewal;
    let request_time = quota.lessee.longest();
    let prepaid = quota.prepaid();
    let mut refusals = 0;
    let mut refused = Refused::Unreached;
    let mut silent = None;
    let mut order = reserver.holders(&quota);
    order.truncate(MAX_ASKED);
    order.sort_by_key(|vm| Some(vm) == last.as_ref());
    for vm in order {
        let time = request_time + LEASE_TIME;
        match reserver.ask_lease(&vm, &quota, size, time).await {
            LeaseAnswer::Granted(remote, granted) => {
                let terms = Terms {
                    granted,
                    renew_below: demand.renew_below(granted, now),
                    request_time,
                    prepaid,
                };
                let lease = Lease::open(remote, terms, &reserver.leases.counters);
                return Answer {
                    quota,
                    lease: Ok(Arc::new(lease)),
                    silent,
                };
            }
            LeaseAnswer::Refused => {
                refused = Refused::NotGranted;
                refusals += 1;
            }
            LeaseAnswer::Unsupported => {
                refused = Refused::Unsupported;
                refusals += 1;
            }
            LeaseAnswer::Unreached => silent = Some(vm),
        }
        if refusals == MAX_REFUSALS {
            break;
        }
    }
    Answer {
        quota,
        lease: Err(refused),
        silent,
    }
}

fn apply(reserver: &Reserver, keepers: &mut [Keeper], answer: Answer) {
    let mut all = keepers.iter_mut();
    let Some(keeper) = all.find(|keeper| Arc::ptr_eq(&keeper.quota, &answer.quota)) else {
        return;
    };
    keeper.is_asking = false;
    if let Some(vm) = answer.silent {
        keeper.silent = Some((vm, Instant::now()));
    }
    match answer.lease {
        Ok(lease) => keeper.set_lease(lease),
        Err(refused) => keeper.on_refused(refused),
    }
    // A shutdown that began in the meantime didn't find this lease.
    if reserver.leases.is_stopped() {
        keeper.close("stopping");
    }
}
