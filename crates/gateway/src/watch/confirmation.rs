//! Up to which moment the list of servers has been read, and reads on request.
//!
//! A router that waits for changes doesn't know whether the store has something newer until the
//! wait is over. Whoever needs the state of this moment has the list read without a wait; all that
//! need it at the same time share one read.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use crate::clock::Clock;
use crate::origins::ServerList;
use crate::suspensions::Suspensions;

/// Maximum time for a read. The store answers in 4 ms; on slow days it takes 60 times as long.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum time between the moments of two reads, since each call of the store has a cost.
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// The last moment at which the store had nothing newer than what is in force.
#[derive(Debug)]
pub struct Confirmation {
    state: watch::Sender<State>,
    suspensions: Suspensions,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    as_of: Option<Instant>,
    /// The latest moment up to which the list is to be read, and until when that is waited for.
    wanted: Option<(Instant, Instant)>,
    /// Whether the last read failed.
    is_lost: bool,
}

impl State {
    fn covers(&self, moment: Instant) -> bool {
        self.as_of.is_some_and(|as_of| as_of >= moment)
    }

    fn is_wanted(&self) -> bool {
        let wanted = self.wanted;
        wanted.is_some_and(|(moment, until)| !self.covers(moment) && Instant::now() < until)
    }
}

impl Confirmation {
    /// The state of a router that has read nothing yet.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            state: watch::Sender::new(State::default()),
            suspensions: Suspensions::new(clock),
        }
    }

    /// The store had nothing newer at `as_of` than what is in force now.
    pub fn confirm(&self, as_of: Instant) {
        self.state.send_if_modified(|state| {
            let is_newer = !state.covers(as_of);
            if is_newer {
                state.as_of = Some(as_of);
            }
            is_newer
        });
    }

    /// Notes whether the last read failed.
    pub(super) fn set_lost(&self, is_lost: bool) {
        self.state.send_if_modified(|state| {
            let before = std::mem::replace(&mut state.is_lost, is_lost);
            before != is_lost
        });
    }

    /// Whether somebody waits for a read.
    pub(super) fn is_wanted(&self) -> bool {
        self.state.borrow().is_wanted()
    }

    /// Resolves when a read is due for those that wait for one.
    pub(super) async fn wanted(&self) {
        let mut states = self.state.subscribe();
        loop {
            // The sender outlives this call.
            let Ok(as_of) = states.wait_for(State::is_wanted).await.map(|s| s.as_of) else {
                return;
            };
            if let Some(as_of) = as_of {
                sleep_until(as_of + READ_INTERVAL).await;
            }
            if self.is_wanted() {
                return;
            }
        }
    }
}

#[async_trait]
impl ServerList for Confirmation {
    fn age(&self) -> Option<Duration> {
        let as_of = self.state.borrow().as_of;
        as_of.map(|as_of| self.suspensions.age(as_of))
    }

    fn is_lost(&self) -> bool {
        self.state.borrow().is_lost
    }

    async fn read_since(&self, moment: Instant) -> bool {
        let mut states = self.state.subscribe();
        self.state.send_if_modified(|state| {
            if state.covers(moment) || state.is_lost {
                return false;
            }
            let latest = state
                .wanted
                .map_or(moment, |(wanted, _)| wanted.max(moment));
            state.wanted = Some((latest, Instant::now() + READ_TIMEOUT));
            true
        });
        let is_decided = |state: &State| state.covers(moment) || state.is_lost;
        let state = timeout(READ_TIMEOUT, states.wait_for(is_decided)).await;
        state.is_ok_and(|state| state.is_ok_and(|state| state.covers(moment)))
    }
}
