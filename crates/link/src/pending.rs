//! Requests of a client that wait for replies.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use swiftlink_wire::link::Reply;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

use crate::LinkError;
use crate::outgoing::SendState;

/// Maximum number of replies queued for one stream.
pub(crate) const STREAM_QUEUE: usize = 1024;

/// Where the replies to one request go.
pub(crate) enum Sink {
    Once(oneshot::Sender<Reply>),
    Many(mpsc::Sender<Reply>),
}

/// Result of delivering a reply.
pub(crate) enum Delivery {
    Delivered,
    /// The stream's queue is full.
    Full(mpsc::Sender<Reply>, Reply),
    /// No caller waits for further replies to the request.
    Unwanted,
}

/// The requests in flight on one connection; `None` once it is lost.
#[derive(Default)]
pub(crate) struct Pending {
    sinks: Mutex<Option<HashMap<u64, Sink>>>,
}

impl Pending {
    pub(crate) fn new() -> Self {
        Self {
            sinks: Mutex::new(Some(HashMap::new())),
        }
    }

    /// Registers a request.
    ///
    /// # Errors
    /// [`LinkError::Down`] when the connection is lost.
    pub(crate) fn insert(&self, id: u64, sink: Sink) -> Result<(), LinkError> {
        let mut sinks = self.lock();
        let Some(sinks) = sinks.as_mut() else {
            return Err(LinkError::Down);
        };
        sinks.insert(id, sink);
        Ok(())
    }

    /// Removes a request; true if it was still waiting for replies.
    pub(crate) fn remove(&self, id: u64) -> bool {
        let mut sinks = self.lock();
        sinks.as_mut().is_some_and(|all| all.remove(&id).is_some())
    }

    /// Removes all requests, whose callers then see the connection end, and accepts no
    /// more.
    pub(crate) fn close_all(&self) {
        let sinks = self.lock().take();
        drop(sinks);
    }

    /// Delivers a reply to its request without waiting.
    pub(crate) fn deliver(&self, id: u64, reply: Reply) -> Delivery {
        let mut guard = self.lock();
        let Some(sinks) = guard.as_mut() else {
            return Delivery::Unwanted;
        };

        match sinks.get(&id) {
            None => Delivery::Unwanted,
            Some(Sink::Many(sink)) => {
                let last = reply.last;
                let delivery = match sink.try_send(reply) {
                    Ok(()) => Delivery::Delivered,
                    Err(TrySendError::Full(reply)) => return Delivery::Full(sink.clone(), reply),
                    Err(TrySendError::Closed(_)) => Delivery::Unwanted,
                };
                if last || matches!(delivery, Delivery::Unwanted) {
                    sinks.remove(&id);
                }
                delivery
            }
            Some(Sink::Once(_)) => {
                let Some(Sink::Once(sink)) = sinks.remove(&id) else {
                    return Delivery::Unwanted;
                };
                // Only the first reply is wanted.
                let is_only = reply.last;
                let is_delivered = sink.send(reply).is_ok();
                if is_delivered && is_only {
                    Delivery::Delivered
                } else {
                    Delivery::Unwanted
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<HashMap<u64, Sink>>> {
        // A poisoned lock is usable: no change is left half done when a guard is dropped.
        self.sinks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the error of a request whose connection was lost before its reply.
pub(crate) fn closed_error(send_state: &Arc<SendState>) -> LinkError {
    if send_state.try_withdraw() {
        LinkError::Down
    } else {
        LinkError::Lost
    }
}
