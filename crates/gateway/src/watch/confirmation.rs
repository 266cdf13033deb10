//! Up to which moment the list of servers has been read.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::origins::ServerList;

/// The last moment at which the store had nothing newer than what is in force.
#[derive(Debug)]
pub struct Confirmation {
    as_of: watch::Sender<Option<Instant>>,
}

impl Confirmation {
    /// The state of a router that has read nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            as_of: watch::Sender::new(None),
        }
    }

    /// The store had nothing newer at `as_of` than what is in force now.
    pub fn confirm(&self, as_of: Instant) {
        self.as_of.send_if_modified(|last| {
            let is_newer = last.is_none_or(|last| last < as_of);
            if is_newer {
                *last = Some(as_of);
            }
            is_newer
        });
    }
}

impl Default for Confirmation {
    fn default() -> Self {
        Self::new()
    }
}

impl ServerList for Confirmation {
    fn age(&self) -> Option<Duration> {
        let as_of = *self.as_of.borrow();
        as_of.map(|as_of| as_of.elapsed())
    }
}
