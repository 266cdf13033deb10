//! Whether a server may get requests now.
//!
//! Operators drain failure domains. A server announces in its responses that it is draining, or
//! asks for backoff. An announcement holds until the server's next start, whatever its entry in
//! the store says, also when the entry expires and comes back. All of it is checked twice: when a
//! server is chosen, and again when the bytes of a request leave.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use swiftlink_types::ServerInstance;

use crate::clock::steady_millis;
use crate::domains::Domain;
use crate::limits::Throttle;

/// How long announcements of an unlisted server are retained: its entry may come back once the
/// store does.
const RETENTION: Duration = Duration::from_secs(600);

/// Why a server may get no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockReason {
    /// Operators drained its failure domain.
    Drained,
    /// It announced that it is draining.
    Draining,
    /// It asked for backoff.
    BackingOff,
    /// Its version gets no requests, or no further ones.
    VersionHeld,
    /// It limits its rate, and this router has no permit in hand.
    Limited,
}

impl BlockReason {
    /// Description for logs and error messages.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Drained => "the failure domain is drained",
            Self::Draining => "the server is draining",
            Self::BackingOff => "the server asked for backoff",
            Self::VersionHeld => "the server's version gets no requests",
            Self::Limited => "the server limits its rate",
        }
    }
}

impl fmt::Display for BlockReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What a server instance has announced about itself.
#[derive(Debug, Default)]
pub struct Announcement {
    is_draining: AtomicBool,
    /// When its entry was first seen to say that it drains, in milliseconds of the VM's monotonic
    /// clock; 0 if it doesn't.
    leaving_since: AtomicU64,
    /// End of the backoff that it asked for, in milliseconds of the VM's monotonic clock.
    backoff_until: AtomicU64,
    /// The limit on its rate of requests.
    pub throttle: Throttle,
}

impl Announcement {
    /// Records that the server is draining. Returns whether that is new.
    pub fn set_draining(&self) -> bool {
        !self.is_draining.swap(true, SeqCst)
    }

    /// Records that the server's entry says that it drains.
    pub fn set_leaving(&self) {
        let now = steady_millis().max(1);
        // Keeps the first time.
        let _earlier = self.leaving_since.compare_exchange(0, now, SeqCst, SeqCst);
    }

    /// How long the server's entry has been seen to say that it drains; `None` if it doesn't.
    #[must_use]
    pub fn leaving_for(&self) -> Option<Duration> {
        let since = self.leaving_since.load(SeqCst);
        let passed = steady_millis().saturating_sub(since);
        (since > 0).then(|| Duration::from_millis(passed))
    }

    /// Starts a backoff of this length. A longer backoff that already runs stays in force.
    pub fn back_off(&self, time: Duration) {
        let until = steady_millis().saturating_add(time.as_millis() as u64);
        self.backoff_until.fetch_max(until, SeqCst);
    }

    /// Whether the server is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(SeqCst)
    }

    /// Remaining time of the backoff; zero without one.
    #[must_use]
    pub fn backoff_left(&self) -> Duration {
        let until = self.backoff_until.load(SeqCst);
        Duration::from_millis(until.saturating_sub(steady_millis()))
    }

    /// Takes a permit for one request to a server that limits its rate.
    #[must_use]
    pub fn take_permit(self: &Arc<Self>) -> Option<Permit> {
        let lapses_at = self.throttle.take(steady_millis())?;
        Some(Permit {
            announcement: Arc::clone(self),
            lapses_at,
            is_used: false,
        })
    }
}

/// Whether servers of a version get requests, shared by everything that sends to them.
#[derive(Debug, Default)]
pub struct Gate(AtomicBool);

impl Gate {
    /// Opens or closes the gate.
    pub fn set_closed(&self, is_closed: bool) {
        self.0.store(is_closed, SeqCst);
    }

    /// Whether the servers get no requests.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.load(SeqCst)
    }
}

/// Decides whether requests may go to a server instance.
#[derive(Clone, Debug)]
pub struct Eligibility {
    /// Failure domain of the server.
    pub domain: Arc<Domain>,
    /// What the server announced.
    pub announcement: Arc<Announcement>,
    /// Whether the server's version gets requests.
    pub gate: Arc<Gate>,
}

impl Eligibility {
    /// Eligibility of a server in `domain` that has announced nothing.
    #[must_use]
    pub fn new(domain: Arc<Domain>) -> Self {
        Self {
            domain,
            announcement: Arc::default(),
            gate: Arc::default(),
        }
    }

    /// Why no request may go to the server now; `None` if one may.
    #[must_use]
    pub fn block_reason(&self) -> Option<BlockReason> {
        if self.domain.is_drained() {
            return Some(BlockReason::Drained);
        }
        if self.gate.is_closed() {
            return Some(BlockReason::VersionHeld);
        }
        if self.announcement.is_draining() {
            return Some(BlockReason::Draining);
        }
        (!self.announcement.backoff_left().is_zero()).then_some(BlockReason::BackingOff)
    }
}

/// A permit for one request. It goes back if it is dropped without being used.
#[derive(Debug)]
pub struct Permit {
    announcement: Arc<Announcement>,
    /// In milliseconds of the VM's monotonic clock.
    lapses_at: u64,
    is_used: bool,
}

impl Permit {
    fn is_valid(&self) -> bool {
        self.lapses_at > steady_millis()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_used {
            self.announcement.throttle.put_back(self.lapses_at);
        }
    }
}

/// Decides whether one request may go to its server, up to the moment at which its bytes leave.
#[derive(Debug)]
pub struct Admission {
    eligibility: Eligibility,
    permit: Option<Permit>,
}

impl Admission {
    /// The admission of a request, with a permit if one was taken when the server was chosen.
    #[must_use]
    pub fn new(eligibility: Eligibility, permit: Option<Permit>) -> Self {
        Self {
            eligibility,
            permit,
        }
    }

    /// Why the request may not be sent now, except for the server's limit.
    #[must_use]
    pub fn block_reason(&self) -> Option<BlockReason> {
        self.eligibility.block_reason()
    }

    /// Uses a permit if the server limits its rate: the bytes of the request leave now.
    ///
    /// # Errors
    /// Why the request may not be sent.
    pub fn enter(&mut self) -> Result<(), BlockReason> {
        if let Some(reason) = self.block_reason() {
            return Err(reason);
        }
        let announcement = &self.eligibility.announcement;
        if !announcement.throttle.is_limited() {
            return Ok(());
        }
        if !self.permit.as_ref().is_some_and(Permit::is_valid) {
            self.permit = announcement.take_permit();
        }
        let Some(permit) = &mut self.permit else {
            announcement.throttle.count_withheld();
            return Err(BlockReason::Limited);
        };
        permit.is_used = true;
        announcement.throttle.count_used();
        Ok(())
    }

    /// No byte left after all: the permit may be used for another attempt.
    pub fn undo(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.is_used = false;
        }
    }
}

/// A server that may get requests unless its eligibility says otherwise.
impl From<Eligibility> for Admission {
    fn from(eligibility: Eligibility) -> Self {
        Self::new(eligibility, None)
    }
}

#[derive(Debug)]
struct Entry {
    announcement: Arc<Announcement>,
    /// When the server was listed last, in milliseconds of the VM's monotonic clock.
    listed: u64,
}

/// The announcements of all server instances.
#[derive(Debug, Default)]
pub struct Announcements(Mutex<HashMap<ServerInstance, Entry>>);

impl Announcements {
    /// What a server instance that is listed now has announced.
    #[must_use]
    pub fn of(&self, instance: &ServerInstance) -> Arc<Announcement> {
        let mut entries = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = entries.entry(instance.clone()).or_insert_with(|| Entry {
            announcement: Arc::default(),
            listed: 0,
        });
        entry.listed = steady_millis();
        Arc::clone(&entry.announcement)
    }

    /// Removes instances that haven't been listed for the retention time.
    pub fn prune(&self) {
        let oldest = steady_millis().saturating_sub(RETENTION.as_millis() as u64);
        let mut entries = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|_, entry| entry.listed >= oldest);
    }
}
