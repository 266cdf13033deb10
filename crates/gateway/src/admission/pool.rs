//! Admission to one pool: the state, and the requests that wait.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use swiftlink_admission::{
    Admission, Decision, GateRequest, OPEN_LEVEL, PoolLoad, Summary, Targets, Verdict,
};
use swiftlink_telemetry::event;
use swiftlink_types::{Micros, PoolName, WorkspaceName};
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::fleet::Pool;

/// A request before a server is chosen for it.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Workspace that is charged.
    pub workspace: Option<&'a WorkspaceName>,
    /// Target time to the first event.
    pub target: Duration,
    /// Length of its prompt in tokens.
    pub tokens: u64,
    /// Time until its deadline.
    pub left: Duration,
}

/// Refusal of a request for lack of capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overloaded {
    /// Time after which there is capacity for it.
    pub after: Duration,
    /// Least urgent priority that is admitted in full.
    pub level: u8,
    /// Mean wait for a first event beyond what an idle server takes.
    pub wait: Duration,
    /// Whether it waited before it was refused.
    pub has_waited: bool,
}

/// Admission to one pool.
#[derive(Debug)]
pub struct PoolAdmission {
    pool: PoolName,
    clock: Instant,
    /// Whether requests may be refused for lack of capacity.
    is_enabled: bool,
    /// Whether the servers report their load.
    has_reports: AtomicBool,
    targets: ArcSwap<Targets>,
    /// Whether all requests are admitted.
    is_open: AtomicBool,
    level: AtomicU8,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    admission: Admission,
    waiters: HashMap<u64, oneshot::Sender<Verdict>>,
}

impl PoolAdmission {
    /// The state of a pool that isn't known to be overloaded. Unless `is_enabled`, everything is
    /// admitted.
    pub(crate) fn new(pool: PoolName, is_enabled: bool) -> Self {
        Self {
            pool,
            clock: Instant::now(),
            is_enabled,
            has_reports: AtomicBool::new(false),
            targets: ArcSwap::default(),
            is_open: AtomicBool::new(true),
            level: AtomicU8::new(OPEN_LEVEL),
            state: Mutex::default(),
        }
    }

    /// A server reported its load.
    pub(crate) fn on_load_report(&self) {
        if !self.has_reports.load(Relaxed) {
            self.has_reports.store(true, Relaxed);
        }
    }

    /// Sets the latency targets by priority; none for a pool without streaming routes.
    pub fn set_targets(&self, targets: Targets) {
        self.targets.store(Arc::new(targets));
    }

    /// The latency targets by priority.
    #[must_use]
    pub fn targets(&self) -> Arc<Targets> {
        self.targets.load_full()
    }

    /// Whether requests of the pool are subject to admission.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.is_enabled && self.has_reports.load(Relaxed) && !self.targets.load().is_empty()
    }

    /// Least urgent priority that is admitted in full; [`OPEN_LEVEL`] if all are.
    #[must_use]
    pub fn level(&self) -> u8 {
        self.level.load(Relaxed)
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting_len(&self) -> usize {
        self.state().admission.waiting_len()
    }

    /// Admits a request, now or after a wait of at most an eighth of its target. `key` identifies it
    /// when it returns, and is computed only if it may be refused.
    ///
    /// # Errors
    /// [`Overloaded`] if there is no capacity for it.
    pub async fn admit(
        &self,
        request: &AdmissionRequest<'_>,
        key: impl FnOnce() -> u64,
    ) -> Result<(), Overloaded> {
        let AdmissionRequest {
            priority,
            workspace,
            ..
        } = *request;
        let now = self.now();
        if self.is_open.load(Relaxed) {
            self.state().admission.on_arrival(now, priority, workspace);
            return Ok(());
        }
        let key = key();
        let (id, verdict) = {
            let mut state = self.state();
            state.admission.on_arrival(now, priority, workspace);
            let gate_request = GateRequest {
                priority,
                workspace,
                key,
                target: micros(request.target),
                idle: state.admission.idle_time(request.tokens),
                left: micros(request.left),
            };
            match state.admission.decide(now, &gate_request) {
                Decision::Admit => return Ok(()),
                Decision::Refuse(after) => {
                    return Err(overloaded(&state, self.level(), now, after, false));
                }
                Decision::Wait(id) => {
                    let (sender, verdict) = oneshot::channel();
                    state.waiters.insert(id, sender);
                    (id, verdict)
                }
            }
        };
        let waiting = Waiting {
            admission: self,
            id,
        };
        let verdict = self.wait(verdict).await;
        drop(waiting);
        let Err(after) = verdict else {
            return Ok(());
        };
        let mut state = self.state();
        state.admission.on_refused(priority);
        Err(overloaded(&state, self.level(), self.now(), after, true))
    }

    /// Waits for a verdict. Each waiting request ends the waits that are due, so that no task of
    /// its own is needed for that.
    async fn wait(&self, mut verdict: oneshot::Receiver<Verdict>) -> Verdict {
        /// Longest time until the next look, if nothing is known of it.
        const MAX_SLEEP: Duration = Duration::from_millis(20);
        loop {
            let now = self.now();
            let next = self.state().admission.next_event().unwrap_or(0);
            let left = Duration::from_micros(next.saturating_sub(now));
            tokio::select! {
                // A verdict can't get lost: the gate names each waiting request once.
                verdict = &mut verdict => return verdict.unwrap_or(Ok(())),
                () = sleep(left.clamp(Duration::from_millis(1), MAX_SLEEP)) => self.poll(),
            }
        }
    }

    fn poll(&self) {
        let now = self.now();
        let mut state = self.state();
        for (id, verdict) in state.admission.poll(now) {
            state.end_wait(id, verdict);
        }
    }

    /// Counts a request as sent to a server, where the pool is subject to admission.
    pub(crate) fn on_sent(
        pool: &Arc<Pool>,
        priority: u8,
        tokens: u64,
        target: Duration,
    ) -> Option<SentRequest> {
        let admission = &pool.admission;
        if !admission.is_active() {
            return None;
        }
        let now = admission.now();
        let target_at = now + micros(target);
        let mut state = admission.state();
        let id = state.admission.on_sent(now, priority, tokens, target_at);
        drop(state);
        Some(SentRequest {
            pool: Arc::clone(pool),
            id: Some(id),
            sent_at: now,
            tokens,
        })
    }

    /// Ends a period of about a second. Returns the load to report, and whether some requests are
    /// refused.
    pub(super) fn end_period(&self) -> (Option<PoolLoad>, bool) {
        let now = self.now();
        let targets = self.targets();
        let mut state = self.state();
        let admitted = state.admission.end_period(now, &targets);
        self.apply(&mut state, now, admitted);
        let report = state.admission.report();
        (report, !state.admission.is_open())
    }

    /// Applies the summary of an aggregator, at a router that reports once per `period`.
    pub(super) fn on_summary(&self, summary: Summary, period: Duration) {
        let now = self.now();
        let mut state = self.state();
        let admitted = state.admission.on_summary(now, summary, period);
        self.apply(&mut state, now, admitted);
    }

    /// Admits waiting requests, and publishes and logs the level in force.
    fn apply(&self, state: &mut State, now: Micros, admitted: Vec<u64>) {
        for id in admitted {
            state.end_wait(id, Ok(()));
        }
        let (shares, wait, source) = state.admission.in_force(now);
        self.is_open.store(shares.is_open(), Relaxed);
        let level = shares.level();
        let before = self.level.swap(level, Relaxed);
        if before != level {
            event!(
                info,
                "admission.level_changed",
                pool = self.pool,
                level = level,
                before = before,
                restricted = shares.classes.len(),
                wait_ms = wait.as_millis(),
                source = source.as_str(),
            );
        }
    }

    fn now(&self) -> Micros {
        micros(self.clock.elapsed())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // The state is consistent between calls, so a poisoned lock can be used.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn end_wait(&mut self, id: u64, verdict: Verdict) {
        if let Some(waiter) = self.waiters.remove(&id) {
            // The caller of the request may have disconnected.
            let _gone = waiter.send(verdict);
        }
    }
}

/// A waiting request. If dropped, it no longer waits: its caller may have left.
struct Waiting<'a> {
    admission: &'a PoolAdmission,
    id: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.admission.state();
        state.waiters.remove(&self.id);
        state.admission.cancel(self.id);
    }
}

fn overloaded(
    state: &State,
    level: u8,
    now: Micros,
    after: Duration,
    has_waited: bool,
) -> Overloaded {
    let (_, wait, _) = state.admission.in_force(now);
    Overloaded {
        after,
        level,
        wait,
        has_waited,
    }
}

fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX / 4)
}

/// A request that was sent to a server. If dropped, its wait for a first event ends without one.
#[derive(Debug)]
pub(crate) struct SentRequest {
    pool: Arc<Pool>,
    id: Option<u64>,
    sent_at: Micros,
    tokens: u64,
}

impl SentRequest {
    /// Handles the first event of its response.
    pub(crate) fn on_first_event(mut self) {
        let Some(id) = self.id.take() else {
            return;
        };
        let admission = &self.pool.admission;
        let now = admission.now();
        let time = now.saturating_sub(self.sent_at);
        let mut state = admission.state();
        state.admission.on_first_event(id, now, time, self.tokens);
    }
}

impl Drop for SentRequest {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let admission = &self.pool.admission;
            admission.state().admission.on_ended(id, admission.now());
        }
    }
}
