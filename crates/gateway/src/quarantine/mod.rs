//! Detects queries of death, requests that crash the servers that run them, by their whole or by a
//! part of their prompt, and keeps them away from servers.
//!
//! When an attempt breaks off, `crash_detection` checks whether its server crashed. If so, the
//! requests that this router was running there are announced to other routers (`gossip`), since the
//! same request may be retried through any of them. [`CrashHistory`] decides which requests to
//! hold. A held request is rejected at once, before quota is reserved and before a server is
//! contacted, and attempts of it that wait at servers are cancelled.

mod crash_detection;
pub(crate) mod gossip;
mod history;
mod observers;
mod record;

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftlink_telemetry::event;
use swiftlink_types::VmName;
use tokio::sync::{Notify, watch};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::fingerprint::{Fingerprint, PromptParts, RequestIdentity};
use crate::fleet::SelectedServer;

pub(crate) use crash_detection::detect as detect_crashes;
pub use gossip::{GOSSIP_FANOUT, GOSSIP_ROUNDS};
pub use observers::{OBSERVERS, ranking};

pub use history::{
    CRASHES_TO_HOLD, CrashHistory, INITIAL_HOLD, MAX_CRASHES, MAX_FINGERPRINTS, MAX_HELD, MAX_HOLD,
    SIMULTANEOUS_WINDOW,
};
pub use record::{Clearance, HeldRequest, HoldChanges, ServerCrash};

/// Maximum number of broken attempts waiting for detection. More than that at one moment add no
/// information.
const MAX_BROKEN_ATTEMPTS: usize = 4_096;

/// Time over which routers release a request one after the other.
const STAGGER_MAX: Duration = Duration::from_secs(60);

/// An attempt that broke off.
#[derive(Clone, Debug)]
pub(crate) struct BrokenAttempt {
    pub(crate) server: SelectedServer,
    /// The request and the parts that its prompt shares with others.
    pub(crate) fingerprints: Vec<Fingerprint>,
}

/// Announcements for other routers that weren't sent yet.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Crashes seen by this router.
    pub(crate) crashes: Vec<ServerCrash>,
    /// Requests and parts that completed here although servers had crashed while running them.
    pub(crate) completed: Vec<Fingerprint>,
    /// Requests that are held from now on.
    pub(crate) held: Vec<HeldRequest>,
}

impl Outbox {
    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.completed.is_empty() && self.held.is_empty()
    }
}

/// The requests held by this router.
pub struct Quarantine {
    vm: VmName,
    clock: Arc<dyn Clock>,
    history: Mutex<CrashHistory>,
    /// Whether any crash is known. If not, completed requests need no announcement.
    has_crashes: AtomicBool,
    /// Number of requests that are held or were held recently.
    held: AtomicUsize,
    /// Incremented when a request is held.
    hold_events: watch::Sender<u64>,
    broken_attempts: Mutex<Vec<BrokenAttempt>>,
    outbox: Mutex<Outbox>,
    /// Notified when there is a broken attempt.
    attempt_broken: Notify,
    /// Notified when there is an announcement.
    outbox_changed: Notify,
}

impl Quarantine {
    /// Creates a quarantine without held requests.
    #[must_use]
    pub fn new(vm: VmName, clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            history: Mutex::new(CrashHistory::with_stagger(stagger(&vm))),
            vm,
            has_crashes: AtomicBool::new(false),
            held: AtomicUsize::new(0),
            hold_events: watch::Sender::new(0),
            broken_attempts: Mutex::default(),
            outbox: Mutex::default(),
            attempt_broken: Notify::new(),
            outbox_changed: Notify::new(),
        }
    }

    /// Remaining time of a request's hold; `None` if it isn't held.
    #[must_use]
    pub fn remaining_hold(&self, identity: &RequestIdentity) -> Option<Duration> {
        if self.held_len() == 0 {
            return None;
        }
        let now = self.clock.steady();
        // Computed before the lock is taken.
        let (whole, parts) = (identity.fingerprint(), identity.parts().fingerprints());
        let history = lock(&self.history);
        let remaining = history.remaining_hold(&whole, now);
        remaining.max(history.remaining_part_hold(parts, now))
    }

    /// Remaining time for which prompts with these parts are held; `None` if they aren't.
    #[must_use]
    pub fn remaining_part_hold(&self, parts: &PromptParts) -> Option<Duration> {
        if self.held_len() == 0 {
            return None;
        }
        lock(&self.history).remaining_part_hold(parts.fingerprints(), self.clock.steady())
    }

    /// Number of requests that are held or were held recently.
    #[must_use]
    pub fn held_len(&self) -> usize {
        self.held.load(Relaxed)
    }

    /// Number of known crashes, reported by this router or by others.
    #[must_use]
    pub fn crashes_len(&self) -> usize {
        lock(&self.history).crashes_len()
    }

    /// Completes once the request is held.
    pub(crate) async fn until_held(self: Arc<Self>, identity: Arc<RequestIdentity>) {
        let mut hold_events = self.hold_events.subscribe();
        loop {
            if self.remaining_hold(&identity).is_some() {
                return;
            }
            if hold_events.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Handles an attempt on `server` that broke off after part of the request had been sent.
    pub(crate) fn on_broken_attempt(&self, server: &SelectedServer, identity: &RequestIdentity) {
        let mut broken_attempts = lock(&self.broken_attempts);
        if broken_attempts.len() >= MAX_BROKEN_ATTEMPTS {
            event!(
                warn,
                "quarantine.attempt_dropped",
                server = server.instance.name
            );
            return;
        }
        broken_attempts.push(BrokenAttempt {
            server: server.clone(),
            fingerprints: identity.suspects().collect(),
        });
        drop(broken_attempts);
        self.attempt_broken.notify_one();
    }

    /// Handles a request that completed, or that ran for so long that it doesn't crash its server.
    pub(crate) fn on_completed(&self, identity: &RequestIdentity) {
        if !self.has_crashes.load(Relaxed) {
            return;
        }
        let now = self.clock.steady();
        for fingerprint in identity.suspects() {
            if self.clear(fingerprint, now) != Clearance::Nothing {
                self.announce_completed(fingerprint);
            }
        }
    }

    /// Handles a crash that this router saw while its requests ran on the server.
    fn on_local_crash(&self, crash: &ServerCrash) {
        self.add_crash(crash);
        lock(&self.outbox).crashes.push(crash.clone());
        self.outbox_changed.notify_one();
    }

    /// Adds a crash that this router or another one saw.
    pub(crate) fn add_crash(&self, crash: &ServerCrash) {
        let now = self.clock.steady();
        let mut history = lock(&self.history);
        let HoldChanges { held, released } = history.on_crash(now, crash);
        self.update_counts(&history);
        drop(history);
        for fingerprint in released {
            event!(info, "quarantine.released", print = fingerprint);
        }
        if held.is_empty() {
            return;
        }
        for request in &held {
            log_held(request);
        }
        self.hold_events.send_modify(|count| *count += 1);
        lock(&self.outbox).held.extend(held);
        self.outbox_changed.notify_one();
    }

    /// Clears a request that completed at `at`, on this router or another one.
    pub(crate) fn clear(&self, fingerprint: Fingerprint, at: u64) -> Clearance {
        let mut history = lock(&self.history);
        let cleared = history.on_completed(fingerprint, at);
        self.update_counts(&history);
        drop(history);
        if cleared == Clearance::Hold {
            event!(info, "quarantine.cleared", print = fingerprint);
        }
        cleared
    }

    /// Announces that a request completed although servers had crashed while running it.
    pub(crate) fn announce_completed(&self, fingerprint: Fingerprint) {
        lock(&self.outbox).completed.push(fingerprint);
        self.outbox_changed.notify_one();
    }

    fn update_counts(&self, history: &CrashHistory) {
        self.has_crashes.store(!history.is_empty(), Relaxed);
        self.held.store(history.held_len(), Relaxed);
    }

    fn take_broken_attempts(&self) -> Vec<BrokenAttempt> {
        std::mem::take(&mut *lock(&self.broken_attempts))
    }

    /// Waits for announcements and takes them.
    pub(crate) async fn take_outbox(&self) -> Outbox {
        loop {
            let outbox = std::mem::take(&mut *lock(&self.outbox));
            if !outbox.is_empty() {
                return outbox;
            }
            self.outbox_changed.notified().await;
        }
    }

    /// The crashes that requests among those of `crashes` are held for.
    pub(crate) fn evidence_for(&self, crashes: &[ServerCrash]) -> Vec<ServerCrash> {
        let mut evidence = self.evidence();
        for crash in &mut evidence {
            let is_reported = |fingerprint: &Fingerprint| {
                crashes
                    .iter()
                    .any(|crash| crash.fingerprints.contains(fingerprint))
            };
            crash.fingerprints.retain(is_reported);
        }
        evidence.retain(|crash| !crash.fingerprints.is_empty());
        evidence
    }

    /// The crashes that requests are held for.
    pub(crate) fn evidence(&self) -> Vec<ServerCrash> {
        lock(&self.history).evidence()
    }
}

impl fmt::Debug for Quarantine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let history = lock(&self.history);
        f.debug_struct("Quarantine")
            .field("history", &*history)
            .finish_non_exhaustive()
    }
}

/// How much longer than the first router a router holds requests, derived from the name of its VM.
fn stagger(vm: &VmName) -> Duration {
    let fraction = xxh3_64(vm.as_str().as_bytes()) as f64 / u64::MAX as f64;
    STAGGER_MAX.mul_f64(fraction)
}

/// Logs the crashes that a request is held for, with the VMs that saw them.
fn log_held(held: &HeldRequest) {
    let crashes = held.crashes.iter().map(|crash| {
        let seen: Vec<&str> = crash.seen_by.iter().map(VmName::as_str).collect();
        format!("{}@{}", crash.instance.name, seen.join("+"))
    });
    event!(
        warn,
        "quarantine.held",
        print = held.fingerprint,
        kind = if held.fingerprint.is_part() {
            "part"
        } else {
            "request"
        },
        with = held.companions.len(),
        secs = held.duration.as_secs(),
        ends = crashes.collect::<Vec<_>>().join(","),
    );
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // The guarded values are consistent between calls, so a poisoned lock can be used.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
