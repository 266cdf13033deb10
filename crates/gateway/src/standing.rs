//! Whether a server may get requests now, by operators and by its own word.
//!
//! Operators empty failure domains. A server says in its answers that it leaves, or that it wants
//! nothing for a while; that binds until its next start, whatever its entry on the store says, also
//! when the entry lapses and comes back. All of it is judged twice, when a server is chosen and
//! again when the bytes of a request leave.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use swiftlink_types::ServerInstance;

use crate::clock::steady_millis;
use crate::domains::Domain;

/// How long the word of a server is kept that isn't listed any more: its entry may come back once
/// the store does.
const KEPT: Duration = Duration::from_secs(600);

/// Why a server may get no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bar {
    /// Operators emptied its failure domain.
    Emptied,
    /// It said that it leaves.
    Leaving,
    /// It asked for rest.
    Resting,
    /// Its version gets nothing, or no more.
    Held,
}

impl Bar {
    /// What it is, for logs and answers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Emptied => "the failure domain is emptied",
            Self::Leaving => "the server leaves",
            Self::Resting => "the server wants rest",
            Self::Held => "the server's version gets no requests",
        }
    }
}

impl fmt::Display for Bar {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What a start of a server has said of itself.
#[derive(Debug, Default)]
pub struct Word {
    is_leaving: AtomicBool,
    /// Until when it wants nothing, in milliseconds of the VM's steady clock.
    rests_until: AtomicU64,
}

impl Word {
    /// It leaves. Says whether that is new.
    pub fn leave(&self) -> bool {
        !self.is_leaving.swap(true, SeqCst)
    }

    /// It wants nothing for so long. A shorter time than one before doesn't end that.
    pub fn rest(&self, time: Duration) {
        let until = steady_millis().saturating_add(time.as_millis() as u64);
        self.rests_until.fetch_max(until, SeqCst);
    }

    /// Whether it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(SeqCst)
    }

    /// How much longer it wants nothing; zero where it doesn't.
    #[must_use]
    pub fn rest_left(&self) -> Duration {
        let until = self.rests_until.load(SeqCst);
        Duration::from_millis(until.saturating_sub(steady_millis()))
    }
}

/// Whether servers of a version get requests, shared by all that send to them.
#[derive(Debug, Default)]
pub struct Gate(AtomicBool);

impl Gate {
    /// Opens or closes it.
    pub fn set_closed(&self, is_closed: bool) {
        self.0.store(is_closed, SeqCst);
    }

    /// Whether they get none.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.load(SeqCst)
    }
}

/// What decides whether requests may go to a start of a server.
#[derive(Clone, Debug)]
pub struct Standing {
    /// Its failure domain.
    pub domain: Arc<Domain>,
    /// What it said.
    pub word: Arc<Word>,
    /// Whether its version gets requests.
    pub gate: Arc<Gate>,
}

impl Standing {
    /// Of a server in `domain` that has said nothing.
    #[must_use]
    pub fn new(domain: Arc<Domain>) -> Self {
        Self {
            domain,
            word: Arc::default(),
            gate: Arc::default(),
        }
    }

    /// Why no request may go to it now; `None` where one may.
    #[must_use]
    pub fn bar(&self) -> Option<Bar> {
        if self.domain.is_emptied() {
            return Some(Bar::Emptied);
        }
        if self.gate.is_closed() {
            return Some(Bar::Held);
        }
        if self.word.is_leaving() {
            return Some(Bar::Leaving);
        }
        (!self.word.rest_left().is_zero()).then_some(Bar::Resting)
    }
}

#[derive(Debug)]
struct Kept {
    word: Arc<Word>,
    /// When it was listed last, in milliseconds of the VM's steady clock.
    listed: u64,
}

/// What all servers have said.
#[derive(Debug, Default)]
pub struct Words(Mutex<HashMap<ServerInstance, Kept>>);

impl Words {
    /// What a start that is listed now has said.
    #[must_use]
    pub fn of(&self, start: &ServerInstance) -> Arc<Word> {
        let mut words = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = words.entry(start.clone()).or_insert_with(|| Kept {
            word: Arc::default(),
            listed: 0,
        });
        kept.listed = steady_millis();
        Arc::clone(&kept.word)
    }

    /// Forgets starts that weren't listed for long.
    pub fn prune(&self) {
        let oldest = steady_millis().saturating_sub(KEPT.as_millis() as u64);
        let mut words = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        words.retain(|_, kept| kept.listed >= oldest);
    }
}
