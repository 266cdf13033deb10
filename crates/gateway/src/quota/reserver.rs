//! Reserves tokens with the routers that hold them.
//!
//! A request that finds too little quota here asks the holders of its workspace's account, one
//! after the other and each once: a holder lets it wait for a short time and then grants or
//! refuses. Granted tokens count as reserved there until this router releases them. Releases are
//! sent until the holder confirms them, so the release after a lost answer undoes the grant that
//! the answer reported. A reservation carries no body and no prompt, so it may cross regions.
//!
//! A router with a steady rate of requests of a workspace reserves from a lease instead
//! ([`super::lease`]).

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use async_trait::async_trait;
use swiftlink_link::LinkError;
use swiftlink_telemetry::event;
use swiftlink_types::{Tokens, VmName};
use swiftlink_wire::link::{LeaseSize, Refusal, Reserve, Reserved, reply, request};
use tokio::time::{sleep, timeout};

use super::lease::{LeaseCounters, Leases, keeper};
use super::local::{LocalQuota, QuotaError};
use super::pending::{PendingReservation, RequestQuota};
use super::releases::{RELEASE_TIMEOUT, Releases, RemoteReservation};
use super::reservation::{Reservation, Source};
use super::table::QuotaTable;
use crate::dialect::Usage;

/// Maximum number of refusals that one request gets from holders: those that an account is placed
/// on, and one more.
const MAX_REFUSALS: usize = 4;
/// Maximum number of holders that may time out for one request: each costs it the time of a
/// refusal.
const MAX_TIMEOUTS: usize = 2;
/// Time that a router that holds a share of the account itself gives its own claim before it asks
/// others: a claim takes 10 ms while the store answers.
const CLAIM_TIME: Duration = Duration::from_millis(25);
/// Wait for quota of a request that already runs: the queue of a full link is shorter.
const PENDING_WAIT: Duration = Duration::from_millis(1_500);
/// Time for the round trip to a holder, in addition to what the request may wait there. The network
/// takes 1 ms; a VM that has used up its processor quota for a scheduling period of 100 ms answers
/// up to that much later.
const ROUND_TRIP: Duration = Duration::from_millis(60);
/// Time for an answer to a request for a lease. No request waits for it, so it covers several
/// processor scheduling periods of the two VMs.
const LEASE_TIMEOUT: Duration = Duration::from_millis(250);
/// The same for a busy router, whose link may be full: the lease before lasts for as long.
const BUSY_LEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends calls to other routers.
#[async_trait]
pub trait PeerClient: fmt::Debug + Send + Sync {
    /// Calls the router on `vm` over an existing connection. Without one, it starts to connect.
    ///
    /// # Errors
    /// [`LinkError::Down`] when there is no connection: nothing was sent.
    async fn call(
        &self,
        vm: &VmName,
        kind: request::Kind,
        time: Duration,
    ) -> Result<reply::Kind, LinkError>;
}

/// Time limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// How long it may wait for quota.
    pub wait: Duration,
    /// How long it may run; a holder keeps its tokens reserved for that long.
    pub request: Duration,
}

/// Reserves tokens for this router's requests, here or with other routers.
#[derive(Debug)]
pub struct Reserver {
    quotas: Arc<QuotaTable>,
    peers: Arc<dyn PeerClient>,
    process: u64,
    /// Number of the next reservation.
    next: AtomicU64,
    releases: Arc<Releases>,
    pub(super) leases: Leases,
}

/// Why tokens couldn't be reserved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReserveError {
    /// The error that the caller is refused with.
    pub reason: QuotaError,
    /// The routers that were asked and their answers, for logs.
    pub asked: String,
    /// Time after which one of them can grant the request if the store stays unreachable; `None`
    /// where none knows.
    pub retry_after: Option<Duration>,
}

/// Answers of the routers that were asked.
#[derive(Debug, Default)]
struct Asked {
    answers: Vec<String>,
    retry_after: Option<Duration>,
}

impl Asked {
    fn add(&mut self, vm: &VmName, answer: &Answer) {
        self.answers.push(format!("{vm}: {answer}"));
        if let Answer::Refused(_, retry_after) = answer {
            self.add_retry(*retry_after);
        }
    }

    fn add_retry(&mut self, time: Option<Duration>) {
        let known = self.retry_after;
        self.retry_after = known.into_iter().chain(time).min();
    }
}

/// A holder's answer.
enum Answer {
    Granted(Reservation),
    /// The time says when the holder can grant the request, if it knows.
    Refused(QuotaError, Option<Duration>),
    /// No answer in time; the holder may have granted the request.
    Timeout,
    /// There is no connection to the holder.
    Down,
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Granted(_) => "granted",
            Self::Refused(QuotaError::Exhausted { .. }, _) => "spent",
            Self::Refused(QuotaError::Limited { .. }, _) => "limited",
            Self::Refused(QuotaError::HeldElsewhere, Some(_)) => "locked",
            Self::Refused(QuotaError::HeldElsewhere, None) => "elsewhere",
            Self::Refused(QuotaError::StoreUnavailable, _) => "store away",
            Self::Timeout => "no answer",
            Self::Down => "no connection",
        })
    }
}

/// A holder's answer to a request for a lease.
pub(super) enum LeaseAnswer {
    /// The holder has reserved so many tokens.
    Granted(RemoteReservation, Tokens),
    Refused,
    /// The holder doesn't know leases.
    Unsupported,
    /// No connection, or no answer in time; the holder may have granted the lease.
    Unreached,
}

/// Why no holder granted a reservation.
enum Refused {
    /// All were reached, and the last one gave this reason.
    By(QuotaError),
    /// A holder that may have the tokens wasn't reached.
    Unreached,
}

impl Reserver {
    /// Reserves tokens for requests of `process`, through `peers` where `quotas` don't cover them,
    /// and counts in `counters` how.
    #[must_use]
    pub fn new(
        quotas: Arc<QuotaTable>,
        peers: Arc<dyn PeerClient>,
        process: u64,
        counters: LeaseCounters,
    ) -> Arc<Self> {
        Arc::new(Self {
            quotas,
            releases: Arc::new(Releases::new(Arc::clone(&peers), process)),
            peers,
            process,
            next: AtomicU64::new(1),
            leases: Leases::new(counters),
        })
    }

    /// Reserves the highest cost of `usage`, here or with another router.
    ///
    /// # Errors
    /// When no reachable router grants it.
    pub async fn reserve(
        self: &Arc<Self>,
        quota: &Arc<LocalQuota>,
        usage: Usage,
        timeouts: Timeouts,
    ) -> Result<Reservation, ReserveError> {
        if let Some(reservation) = quota.try_reserve(usage) {
            return Ok(reservation);
        }
        let mut asked = Asked::default();
        let placement = self.quotas.placement();
        let reserved = if placement.is_placed(&quota.workspace) {
            self.reserve_both(quota, usage, timeouts, &mut asked).await
        } else {
            if let Some(reservation) = self.leases.try_reserve(quota, usage, timeouts.request) {
                return Ok(reservation);
            }
            let order = self.holders(quota);
            match self
                .ask_all(order, quota, usage, timeouts, &mut asked)
                .await
            {
                // The holder with the tokens may be gone while the store is reachable.
                Err(Refused::Unreached) => quota.claim(usage, timeouts.wait).await,
                Err(Refused::By(reason)) => Err(reason),
                Ok(reservation) => Ok(reservation),
            }
        };
        reserved.map_err(|reason| {
            let unlock = reason.retry_after();
            asked.add_retry(unlock.or_else(|| quota.unlocks_in(usage.max_total())));
            ReserveError {
                reason,
                asked: asked.answers.join(", "),
                retry_after: asked.retry_after,
            }
        })
    }

    /// Sets whether answers of holders may be late, since this router's link is busy. Leases are for
    /// longer then.
    pub fn set_link_busy(&self, is_busy: bool) {
        self.leases.set_link_busy(is_busy);
    }

    /// Like [`Self::reserve`], but returns at once while the budget is ample and holders answer: the
    /// tokens are reserved in the background then, and may take a second or two.
    ///
    /// # Errors
    /// When no reachable router grants them.
    pub async fn reserve_behind(
        self: &Arc<Self>,
        quota: &Arc<LocalQuota>,
        usage: Usage,
        timeouts: Timeouts,
    ) -> Result<RequestQuota, ReserveError> {
        let is_placed = self.quotas.placement().is_placed(&quota.workspace);
        if is_placed || !quota.is_ample(usage.max_total()) {
            let reservation = self.reserve(quota, usage, timeouts).await?;
            return Ok(RequestQuota::Reserved(reservation));
        }
        let (reserver, quota) = (Arc::clone(self), Arc::clone(quota));
        let timeouts = Timeouts {
            wait: timeouts.wait.max(PENDING_WAIT),
            ..timeouts
        };
        Ok(RequestQuota::Pending(PendingReservation::spawn(
            async move { reserver.reserve(&quota, usage, timeouts).await },
        )))
    }

    /// Waits for this router's own quota, and asks others if it doesn't arrive at once.
    async fn reserve_both(
        self: &Arc<Self>,
        quota: &Arc<LocalQuota>,
        usage: Usage,
        timeouts: Timeouts,
        asked: &mut Asked,
    ) -> Result<Reservation, QuotaError> {
        let here = quota.reserve(usage, timeouts.wait);
        let there = async {
            if !quota.is_withdrawn() {
                sleep(CLAIM_TIME).await;
            }
            let order = self.most_first(quota);
            self.ask_all(order, quota, usage, timeouts, asked).await
        };
        tokio::pin!(here, there);
        tokio::select! {
            biased;
            result = &mut here => match result {
                Ok(reservation) => Ok(reservation),
                Err(reason) if reason.is_fleet_wide() => Err(reason),
                Err(reason) => match there.await {
                    Ok(reservation) => Ok(reservation),
                    Err(Refused::Unreached) if quota.is_withdrawn() => {
                        quota.claim(usage, timeouts.wait).await
                    }
                    Err(_) => Err(reason),
                }
            },
            result = &mut there => match result {
                Ok(reservation) => Ok(reservation),
                Err(_) => here.await,
            },
        }
    }

    /// Asks holders in `order` until one grants the request, and adds their answers to `asked`.
    async fn ask_all(
        self: &Arc<Self>,
        order: Vec<VmName>,
        quota: &Arc<LocalQuota>,
        usage: Usage,
        timeouts: Timeouts,
        asked: &mut Asked,
    ) -> Result<Reservation, Refused> {
        let mut refused = None;
        let mut unreached = false;
        let (mut refusals, mut silent) = (0, 0);
        // Halved after each refusal, so that all holders together take no longer than `wait`.
        let mut wait = timeouts.wait / 2;
        for vm in order {
            let answer = self.ask(&vm, quota, usage, timeouts.request, wait).await;
            asked.add(&vm, &answer);
            match answer {
                Answer::Granted(reservation) => return Ok(reservation),
                Answer::Refused(reason, _) if reason.is_fleet_wide() => {
                    return Err(Refused::By(reason));
                }
                Answer::Refused(reason, _) => {
                    refused = Some(reason);
                    refusals += 1;
                    wait /= 2;
                }
                Answer::Timeout => {
                    unreached = true;
                    silent += 1;
                }
                Answer::Down => unreached = true,
            }
            if refusals == MAX_REFUSALS || silent == MAX_TIMEOUTS {
                break;
            }
        }
        match refused {
            Some(reason) if !unreached => Err(Refused::By(reason)),
            _ => Err(Refused::Unreached),
        }
    }

    /// The quota of all workspaces.
    pub(super) fn quotas(&self) -> &QuotaTable {
        &self.quotas
    }

    /// The holders of the account, then candidates that may replace them.
    pub(super) fn holders(&self, quota: &LocalQuota) -> Vec<VmName> {
        let placement = self.quotas.placement();
        placement.reserve_order(&quota.workspace, self.next.load(Relaxed))
    }

    /// Routers with unspent quota in descending order, then those of [`Self::holders`]. Only a
    /// router that reads the account knows the former.
    fn most_first(&self, quota: &LocalQuota) -> Vec<VmName> {
        let mut order = Vec::clone(&quota.holders());
        for vm in self.holders(quota) {
            if !order.contains(&vm) {
                order.push(vm);
            }
        }
        order
    }

    async fn ask(
        self: &Arc<Self>,
        vm: &VmName,
        quota: &Arc<LocalQuota>,
        usage: Usage,
        time: Duration,
        wait: Duration,
    ) -> Answer {
        let tokens = usage.max_total();
        self.leases.counters.queries.inc();
        let mut reservation = self.remote(vm);
        let request = Reserve {
            process: self.process,
            number: reservation.number(),
            workspace: quota.workspace.to_string(),
            tokens,
            wait_ms: millis(wait),
            time_ms: millis(time),
            lease: None,
        };
        let kind = request::Kind::Reserve(request);
        // The call gets a longer timeout than this wait, since a short wait that passes doesn't
        // mean that the link is dead; the release that follows finds out.
        let call = self
            .peers
            .call(vm, kind, RELEASE_TIMEOUT.max(wait + ROUND_TRIP));
        match timeout(wait + ROUND_TRIP, call).await {
            Ok(Ok(reply::Kind::Reserved(reserved))) => match refusal(&reserved, quota.prepaid()) {
                None => {
                    quota.on_granted(reserved.rest);
                    Answer::Granted(Reservation::new(Source::Peer(reservation), usage, tokens))
                }
                Some(reason) => {
                    reservation.forget();
                    let retry = reserved.back_ms.map(|ms| Duration::from_millis(ms.into()));
                    Answer::Refused(reason, retry)
                }
            },
            Ok(Ok(_)) => {
                event!(warn, "quota.wrong_reply", peer = vm);
                Answer::Timeout
            }
            Ok(Err(LinkError::Down)) => {
                reservation.forget();
                Answer::Down
            }
            // The release that follows undoes a grant that this router doesn't know of.
            Ok(Err(_)) | Err(_) => Answer::Timeout,
        }
    }

    /// Asks the holder on `vm` for a lease that may be used for `time`.
    pub(super) async fn ask_lease(
        &self,
        vm: &VmName,
        quota: &Arc<LocalQuota>,
        size: LeaseSize,
        time: Duration,
    ) -> LeaseAnswer {
        let mut reservation = self.remote(vm);
        let request = Reserve {
            process: self.process,
            number: reservation.number(),
            workspace: quota.workspace.to_string(),
            tokens: 0,
            wait_ms: 0,
            time_ms: millis(time),
            lease: Some(size),
        };
        let kind = request::Kind::Reserve(request);
        let time = if size.is_busy {
            BUSY_LEASE_TIMEOUT
        } else {
            LEASE_TIMEOUT
        };
        let call = self.peers.call(vm, kind, RELEASE_TIMEOUT);
        match timeout(time, call).await {
            Ok(Ok(reply::Kind::Reserved(reserved))) => match reserved.leased {
                Some(tokens) => {
                    quota.on_granted(reserved.rest);
                    LeaseAnswer::Granted(reservation, tokens.min(size.most))
                }
                None if reserved.refusal() == Refusal::Unspecified => LeaseAnswer::Unsupported,
                None => {
                    reservation.forget();
                    LeaseAnswer::Refused
                }
            },
            Ok(Err(LinkError::Down)) => {
                reservation.forget();
                LeaseAnswer::Unreached
            }
            // The release that follows undoes a grant that this router doesn't know of.
            Ok(_) | Err(_) => LeaseAnswer::Unreached,
        }
    }

    fn remote(&self, vm: &VmName) -> RemoteReservation {
        let number = self.next.fetch_add(1, Relaxed);
        RemoteReservation::new(Arc::clone(&self.releases), vm.clone(), number)
    }

    /// Sends releases to holders and keeps leases until the task is aborted.
    pub async fn run(self: Arc<Self>) {
        let releases = Arc::clone(&self.releases).run();
        tokio::join!(releases, keeper::run(self));
    }

    /// Returns all leases and sends all pending releases at once, each within `time`. No lease is
    /// opened after that.
    pub async fn flush(self: &Arc<Self>, time: Duration) {
        self.leases.stop();
        for quota in self.quotas.all() {
            keeper::close(&quota, "stopping");
        }
        self.releases.flush(time).await;
    }
}

/// Why the holder refused; `None` when it granted the request. A holder that doesn't know of all
/// `prepaid` tokens can't decide that they are spent.
fn refusal(reserved: &Reserved, prepaid: Tokens) -> Option<QuotaError> {
    match reserved.refusal() {
        Refusal::Unspecified => None,
        Refusal::Spent if reserved.prepaid < prepaid => Some(QuotaError::HeldElsewhere),
        Refusal::Spent => Some(QuotaError::Exhausted {
            remaining: reserved.rest,
        }),
        Refusal::Elsewhere => Some(QuotaError::HeldElsewhere),
        Refusal::Away => Some(QuotaError::StoreUnavailable),
    }
}

pub(super) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
