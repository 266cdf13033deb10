//! Reserves tokens with the routers that hold them.
//!
//! A request that finds too little quota here asks the holders of its workspace's account, one
//! after the other and each once: a holder lets it wait for a short time and then grants or
//! refuses. Granted tokens count as reserved there until this router releases them. Releases are
//! sent until the holder confirms them, so the release after a lost answer undoes the grant that
//! the answer reported. A reservation carries no body and no prompt, so it may cross regions.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use swiftlink_link::LinkError;
use swiftlink_telemetry::event;
use swiftlink_types::{Tokens, VmName};
use swiftlink_wire::link::{Ended, Refusal, Release, Reserve, Reserved, reply, request};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::local::{LocalQuota, QuotaError};
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
/// Time for the round trip to a holder, in addition to what the request may wait there. The network
/// takes 1 ms; a VM that has used up its processor quota for a scheduling period of 100 ms answers
/// up to that much later.
const ROUND_TRIP: Duration = Duration::from_millis(60);
/// How long a holder may take to answer a release before its link is reconnected.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between releases to the same holder, so that several are sent in one message.
const RELEASE_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of releases that are kept for an unreachable holder: some minutes of a busy
/// router's requests. The oldest are dropped first, and the holder counts them as spent.
const MAX_PENDING_RELEASES: usize = 10_000;

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
    /// Releases that are still to be sent.
    pending_releases: Mutex<HashMap<VmName, Vec<Ended>>>,
    /// Wakes the task that sends releases.
    waker: Notify,
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
        if let Answer::Refused(_, Some(retry_after)) = answer {
            self.add_retry(*retry_after);
        }
    }

    fn add_retry(&mut self, time: Duration) {
        self.retry_after = Some(self.retry_after.map_or(time, |known| known.min(time)));
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
            Self::Refused(QuotaError::HeldElsewhere, Some(_)) => "locked",
            Self::Refused(QuotaError::HeldElsewhere, None) => "elsewhere",
            Self::Refused(QuotaError::StoreUnavailable, _) => "store away",
            Self::Timeout => "no answer",
            Self::Down => "no connection",
        })
    }
}

/// Why no holder granted a reservation.
enum Refused {
    /// All were reached, and the last one gave this reason.
    By(QuotaError),
    /// A holder that may have the tokens wasn't reached.
    Unreached,
}

impl Reserver {
    /// Reserves tokens for requests of `process`, through `peers` where `quotas` don't cover them.
    #[must_use]
    pub fn new(quotas: Arc<QuotaTable>, peers: Arc<dyn PeerClient>, process: u64) -> Arc<Self> {
        Arc::new(Self {
            quotas,
            peers,
            process,
            next: AtomicU64::new(1),
            pending_releases: Mutex::default(),
            waker: Notify::new(),
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
            if let Some(time) = quota.unlocks_in(usage.max_total()) {
                asked.add_retry(time);
            }
            ReserveError {
                reason,
                asked: asked.answers.join(", "),
                retry_after: asked.retry_after,
            }
        })
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
                Err(exhausted @ QuotaError::Exhausted { .. }) => Err(exhausted),
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
                Answer::Refused(exhausted @ QuotaError::Exhausted { .. }, _) => {
                    return Err(Refused::By(exhausted));
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

    /// The holders of the account, then candidates that may replace them.
    fn holders(&self, quota: &LocalQuota) -> Vec<VmName> {
        let turn = self.next.load(Relaxed);
        self.quotas
            .placement()
            .reserve_order(&quota.workspace, turn)
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
        let mut reservation = RemoteReservation {
            reserver: Arc::clone(self),
            vm: vm.clone(),
            number: self.next.fetch_add(1, Relaxed),
            is_open: true,
        };
        let request = Reserve {
            process: self.process,
            number: reservation.number,
            workspace: quota.workspace.to_string(),
            tokens,
            wait_ms: millis(wait),
            time_ms: millis(time),
        };
        let kind = request::Kind::Reserve(request);
        // The call gets a longer timeout than this wait, since a short wait that passes doesn't
        // mean that the link is dead; the release that follows finds out.
        let call = self
            .peers
            .call(vm, kind, RELEASE_TIMEOUT.max(wait + ROUND_TRIP));
        match timeout(wait + ROUND_TRIP, call).await {
            Ok(Ok(reply::Kind::Reserved(reserved))) => match refusal(&reserved, quota.prepaid()) {
                None => Answer::Granted(Reservation::new(Source::Peer(reservation), usage, tokens)),
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

    /// Sends releases to holders until the task is aborted.
    pub async fn run(self: Arc<Self>) {
        let mut calls = JoinSet::new();
        loop {
            tokio::select! {
                () = self.waker.notified() => {}
                // Failed releases are pending again.
                Some(_) = calls.join_next() => {}
            }
            sleep(RELEASE_PAUSE).await;
            let ended = std::mem::take(&mut *self.lock());
            for (vm, ended) in ended {
                calls.spawn(Arc::clone(&self).release(vm, ended));
            }
        }
    }

    /// Sends all pending releases at once, each within `time`.
    pub async fn flush(self: &Arc<Self>, time: Duration) {
        let ended = std::mem::take(&mut *self.lock());
        let mut calls = JoinSet::new();
        for (vm, ended) in ended {
            let reserver = Arc::clone(self);
            calls.spawn(async move { reserver.try_release(&vm, ended, time).await });
        }
        while calls.join_next().await.is_some() {}
    }

    /// Sends releases to a holder, and keeps them for the next attempt if that fails.
    async fn release(self: Arc<Self>, vm: VmName, ended: Vec<Ended>) {
        if self.try_release(&vm, ended.clone(), RELEASE_TIMEOUT).await {
            return;
        }
        sleep(RELEASE_TIMEOUT).await;
        let mut pending = self.lock();
        let kept = pending.entry(vm.clone()).or_default();
        kept.splice(..0, ended);
        let excess = kept.len().saturating_sub(MAX_PENDING_RELEASES);
        kept.drain(..excess);
        if excess > 0 {
            event!(warn, "quota.release_dropped", peer = vm, count = excess);
        }
    }

    /// Sends releases to a holder once; returns whether it confirmed them.
    async fn try_release(&self, vm: &VmName, ended: Vec<Ended>, time: Duration) -> bool {
        let count = ended.len();
        let kind = request::Kind::Release(Release {
            process: self.process,
            ended,
        });
        let error = match self.peers.call(vm, kind, time).await {
            Ok(reply::Kind::Released(_)) => return true,
            Ok(_) => "unexpected reply".to_owned(),
            Err(error) => error.to_string(),
        };
        event!(
            debug,
            "quota.not_released",
            peer = vm,
            count = count,
            reason = error,
        );
        false
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<VmName, Vec<Ended>>> {
        // No panic can leave the map half changed.
        self.pending_releases
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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

/// Tokens that another router may have reserved for a request. The other router gets a release
/// when the request ends, or when this is dropped before the answer is known.
#[derive(Debug)]
pub(super) struct RemoteReservation {
    reserver: Arc<Reserver>,
    vm: VmName,
    number: u64,
    is_open: bool,
}

impl RemoteReservation {
    /// Ends the request, which has spent `spent` tokens.
    pub(super) fn end(&mut self, spent: Tokens) {
        if !std::mem::take(&mut self.is_open) {
            return;
        }
        let ended = Ended {
            number: self.number,
            spent,
        };
        let mut pending = self.reserver.lock();
        pending.entry(self.vm.clone()).or_default().push(ended);
        drop(pending);
        self.reserver.waker.notify_one();
    }

    /// Drops it without a release, since nothing was reserved.
    fn forget(&mut self) {
        self.is_open = false;
    }
}

impl Drop for RemoteReservation {
    fn drop(&mut self) {
        self.end(0);
    }
}
