//! Requests that end the servers that run them, and how they are kept away from servers.
//!
//! A send that breaks off asks whether its server has ended (`breaks`). If so, what this router was
//! sending there is told to other routers (`tell`), since the same request comes back to any of
//! them. [`Cases`] decides which requests are held. One that is held is refused at once, before
//! rights are reserved and before a server is touched, and sends of it that wait at servers are cut.

mod breaks;
mod cases;
mod observers;
pub(crate) mod tell;

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftlink_telemetry::event;
use swiftlink_types::VmName;
use tokio::sync::{Notify, watch};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::fingerprint::{Fingerprint, RequestIdentity};
use crate::fleet::Chosen;
use crate::upstream::Endpoint;

pub(crate) use breaks::watch as watch_breaks;
pub use observers::{OBSERVERS, ranking};
pub use tell::{PASSED_ON, ROUNDS};

pub use cases::{
    Cases, Cleared, ENDS, ENDS_MAX, HELD_MAX, HOLD, HOLD_MAX, Held, ONE_MOMENT, PRINTS_MAX,
    ServerEnd, Verdict,
};

/// Breaks that wait to be looked into; what comes beyond it in one moment tells nothing new.
const BREAKS_MAX: usize = 4_096;

/// The time over which routers let go of a request, one after the other.
const STAGGER_MAX: Duration = Duration::from_secs(60);

/// A send that broke off.
#[derive(Clone, Debug)]
pub(crate) struct Break {
    pub(crate) server: Chosen,
    pub(crate) print: Fingerprint,
}

/// What other routers haven't been told yet.
#[derive(Debug, Default)]
pub(crate) struct Untold {
    /// Ends that this router saw.
    pub(crate) ends: Vec<ServerEnd>,
    /// Requests that ran well here though servers had ended under them.
    pub(crate) served: Vec<Fingerprint>,
    /// Requests that are held from now on.
    pub(crate) held: Vec<Held>,
}

impl Untold {
    fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.served.is_empty() && self.held.is_empty()
    }
}

/// The requests that are held back.
pub struct Quarantine {
    vm: VmName,
    clock: Arc<dyn Clock>,
    cases: Mutex<Cases>,
    /// Whether any end is known: nothing needs to be told of a request that runs well else.
    has_ends: AtomicBool,
    /// How many are held.
    held: AtomicUsize,
    /// Counts up when one more is held.
    holds: watch::Sender<u64>,
    breaks: Mutex<Vec<Break>>,
    untold: Mutex<Untold>,
    /// Told when there is a break to look into.
    broken: Notify,
    /// Told when there is something to tell.
    changed: Notify,
}

impl Quarantine {
    /// Nothing is held yet.
    #[must_use]
    pub fn new(vm: VmName, clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            cases: Mutex::new(Cases::with_stagger(stagger(&vm))),
            vm,
            has_ends: AtomicBool::new(false),
            held: AtomicUsize::new(0),
            holds: watch::Sender::new(0),
            breaks: Mutex::default(),
            untold: Mutex::default(),
            broken: Notify::new(),
            changed: Notify::new(),
        }
    }

    /// How much longer a request is held; `None` where it isn't.
    #[must_use]
    pub fn rest(&self, origin: &RequestIdentity) -> Option<Duration> {
        if self.held_len() == 0 {
            return None;
        }
        lock(&self.cases).rest(&origin.fingerprint(), self.clock.steady())
    }

    /// Requests that are held, or were not long ago.
    #[must_use]
    pub fn held_len(&self) -> usize {
        self.held.load(Relaxed)
    }

    /// Ends of servers that are known, from here and from others.
    #[must_use]
    pub fn ends_len(&self) -> usize {
        lock(&self.cases).ends_len()
    }

    /// Resolves once a request is held.
    pub(crate) async fn until_held(self: Arc<Self>, origin: Arc<RequestIdentity>) {
        let mut holds = self.holds.subscribe();
        loop {
            if self.rest(&origin).is_some() {
                return;
            }
            if holds.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// A send to `server` broke off after bytes of the request had left.
    pub(crate) fn on_break(&self, server: &Chosen, origin: &RequestIdentity) {
        let mut breaks = lock(&self.breaks);
        if breaks.len() >= BREAKS_MAX {
            event!(warn, "quarantine.break_dropped", server = server.start.name);
            return;
        }
        breaks.push(Break {
            server: server.clone(),
            print: origin.fingerprint(),
        });
        drop(breaks);
        self.broken.notify_one();
    }

    /// A request ran to a good end.
    pub(crate) fn on_served(&self, origin: &RequestIdentity) {
        if !self.has_ends.load(Relaxed) {
            return;
        }
        let print = origin.fingerprint();
        if self.clear(print, self.clock.steady()) != Cleared::Nothing {
            self.pass_on_good_end(print);
        }
    }

    /// This router saw a server end while it worked on requests that were sent from here.
    fn on_end(&self, end: &ServerEnd) {
        self.learn(end);
        lock(&self.untold).ends.push(end.clone());
        self.changed.notify_one();
    }

    /// Takes what is known of a server's end, from here or from another router.
    pub(crate) fn learn(&self, end: &ServerEnd) {
        let now = self.clock.steady();
        let mut cases = lock(&self.cases);
        let Verdict { held, released } = cases.on_end(now, end);
        self.count(&cases);
        drop(cases);
        for print in released {
            event!(info, "quarantine.released", print = print);
        }
        if held.is_empty() {
            return;
        }
        for one in &held {
            log_held(one);
        }
        self.holds.send_modify(|count| *count += 1);
        lock(&self.untold).held.extend(held);
        self.changed.notify_one();
    }

    /// A request ran well at `at`, here or elsewhere.
    pub(crate) fn clear(&self, print: Fingerprint, at: u64) -> Cleared {
        let mut cases = lock(&self.cases);
        let cleared = cases.on_served(print, at);
        self.count(&cases);
        drop(cases);
        if cleared == Cleared::Hold {
            event!(info, "quarantine.cleared", print = print);
        }
        cleared
    }

    /// Tells others that a request ran well under which servers had ended.
    pub(crate) fn pass_on_good_end(&self, print: Fingerprint) {
        lock(&self.untold).served.push(print);
        self.changed.notify_one();
    }

    fn count(&self, cases: &Cases) {
        self.has_ends.store(!cases.is_empty(), Relaxed);
        self.held.store(cases.held_len(), Relaxed);
    }

    fn take_breaks(&self) -> Vec<Break> {
        std::mem::take(&mut *lock(&self.breaks))
    }

    /// Waits for something to tell, and gives it.
    pub(crate) async fn untold(&self) -> Untold {
        loop {
            let untold = std::mem::take(&mut *lock(&self.untold));
            if !untold.is_empty() {
                return untold;
            }
            self.changed.notified().await;
        }
    }

    /// What requests among those of `ends` are held for.
    pub(crate) fn proofs_for(&self, ends: &[ServerEnd]) -> Vec<ServerEnd> {
        let mut proofs = self.proofs();
        for proof in &mut proofs {
            let asked = |print: &Fingerprint| ends.iter().any(|end| end.prints.contains(print));
            proof.prints.retain(asked);
        }
        proofs.retain(|proof| !proof.prints.is_empty());
        proofs
    }

    /// The ends that requests are held for.
    pub(crate) fn proofs(&self) -> Vec<ServerEnd> {
        lock(&self.cases).proofs()
    }
}

impl fmt::Debug for Quarantine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cases = lock(&self.cases);
        f.debug_struct("Quarantine")
            .field("cases", &*cases)
            .finish_non_exhaustive()
    }
}

/// How much longer a router holds requests than the first one does: drawn by its VM's name.
fn stagger(vm: &VmName) -> Duration {
    let drawn = xxh3_64(vm.as_str().as_bytes()) as f64 / u64::MAX as f64;
    STAGGER_MAX.mul_f64(drawn)
}

/// One line says by which ends, seen by whom, a request is held.
fn log_held(held: &Held) {
    let ends = held.ends.iter().map(|end| {
        let seen: Vec<&str> = end.seen_by.iter().map(VmName::as_str).collect();
        format!("{}@{}", end.start.name, seen.join("+"))
    });
    event!(
        warn,
        "quarantine.held",
        print = held.print,
        secs = held.term.as_secs(),
        ends = ends.collect::<Vec<_>>().join(","),
    );
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // What they guard is whole between any two calls.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Where the server of a break is reached.
impl From<&Break> for Endpoint {
    fn from(brk: &Break) -> Self {
        Self::of(brk.server.address, &brk.server.start)
    }
}
