//! Requests of a client that wait for replies.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use swiftlink_wire::link::Reply;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

use crate::LinkError;
use crate::outgoing::Ticket;

/// Replies kept for one stream whose owner does not take them.
pub(crate) const STREAM_QUEUE: usize = 1024;

/// Where the replies to one request go.
pub(crate) enum Sink {
    Once(oneshot::Sender<Reply>),
    Many(mpsc::Sender<Reply>),
}

/// What became of a reply.
pub(crate) enum Delivery {
    Taken,
    /// The stream's queue is full.
    Full(mpsc::Sender<Reply>, Reply),
    /// Nobody wants replies to the request (any more).
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

    /// Enters a request.
    pub(crate) fn open(&self, id: u64, sink: Sink) -> Result<(), LinkError> {
        let mut sinks = self.lock();
        let Some(sinks) = sinks.as_mut() else {
            return Err(LinkError::Down);
        };
        sinks.insert(id, sink);
        Ok(())
    }

    /// Removes a request; true if it still waited.
    pub(crate) fn close(&self, id: u64) -> bool {
        let mut sinks = self.lock();
        sinks.as_mut().is_some_and(|all| all.remove(&id).is_some())
    }

    /// Removes all requests and takes no more: their owners see the end.
    pub(crate) fn close_all(&self) {
        let sinks = self.lock().take();
        drop(sinks);
    }

    /// Hands a reply to its request, without waiting.
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
                    Ok(()) => Delivery::Taken,
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
                let whole = reply.last;
                let taken = sink.send(reply).is_ok();
                if taken && whole {
                    Delivery::Taken
                } else {
                    Delivery::Unwanted
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<HashMap<u64, Sink>>> {
        // Every change is whole before the guard is dropped.
        self.sinks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The error of a request whose connection ended before its reply.
pub(crate) fn ended(ticket: &Arc<Ticket>) -> LinkError {
    if ticket.withdraw() {
        LinkError::Down
    } else {
        LinkError::Lost
    }
}
