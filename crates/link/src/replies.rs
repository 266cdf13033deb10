//! What a server calls for each request, and how it is answered.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_trait::async_trait;
use swiftlink_wire::link::{Failure, FailureKind, reply, request};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::Closed;
use crate::codec::MAX_FRAME;
use crate::outgoing::{Outbound, Outgoing, Place};

/// Serves the requests of a server's peers.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Serves one request of the peer that calls itself `peer`.
    ///
    /// Runs in a task of its own and may hand `replies` to another task. It is not
    /// dropped when the caller gives up, so that work which must be ended is; an
    /// unending handler watches [`Replies::closed`]. When the server stops, a
    /// handler that has not ended after a second is dropped.
    async fn handle(&self, peer: &str, request: request::Kind, replies: Replies);
}

/// Takes the replies to one request. If it is dropped before the last reply the
/// caller gets [`LinkError::Lost`](crate::LinkError::Lost).
pub struct Replies {
    id: u64,
    out: Outbound,
    ended: mpsc::UnboundedSender<Ended>,
    gone: CancellationToken,
    leaving: CancellationToken,
    in_flight: Arc<AtomicUsize>,
    answered: AtomicBool,
}

/// Tells the session that a request needs it no more.
#[derive(Debug)]
pub(crate) struct Ended {
    pub(crate) id: u64,
    pub(crate) answered: bool,
}

/// What the replies to all requests of one session share.
#[derive(Debug, Clone)]
pub(crate) struct Shared {
    pub(crate) out: Outbound,
    pub(crate) ended: mpsc::UnboundedSender<Ended>,
    /// Cancelled when the server stops.
    pub(crate) leaving: CancellationToken,
    /// Requests without their last reply.
    pub(crate) in_flight: Arc<AtomicUsize>,
}

impl Replies {
    pub(crate) fn new(id: u64, shared: &Shared, gone: CancellationToken) -> Self {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        Self {
            id,
            out: shared.out.clone(),
            ended: shared.ended.clone(),
            gone,
            leaving: shared.leaving.clone(),
            in_flight: Arc::clone(&shared.in_flight),
            answered: AtomicBool::new(false),
        }
    }

    /// Sends one reply, the `last` one or not. Waits while the caller is slow.
    ///
    /// In place of a reply over the frame limit the caller gets
    /// [`LinkError::Lost`](crate::LinkError::Lost).
    ///
    /// # Errors
    /// When the caller takes no more replies, or the last one was sent already.
    pub async fn send(&self, kind: reply::Kind, last: bool) -> Result<(), Closed> {
        if self.answered.load(Ordering::Acquire) || self.gone.is_cancelled() {
            return Err(Closed);
        }

        let mut last = last;
        let mut outgoing = Outgoing::reply(self.id, kind, last);
        if outgoing.size() > MAX_FRAME {
            last = true;
            outgoing = failure(self.id, FailureKind::Unspecified, "reply is too large");
        }

        // Nothing is marked before there is room: a send that is dropped while it
        // waits leaves the request unanswered.
        let place = match self.out.try_reserve() {
            Some(place) => place,
            None => self.wait().await?,
        };
        if last && !self.finish() {
            return Err(Closed);
        }
        place.send(outgoing);
        Ok(())
    }

    /// Ends when the caller takes no more replies or the server stops.
    pub async fn closed(&self) {
        tokio::select! {
            () = self.gone.cancelled() => {}
            () = self.leaving.cancelled() => {}
        }
    }

    /// Marks the request as answered; false if it was already. Comes before the
    /// reply is queued, so that the caller's next request finds this one's place.
    fn finish(&self) -> bool {
        let first = !self.answered.swap(true, Ordering::AcqRel);
        if first {
            self.in_flight.fetch_sub(1, Ordering::AcqRel);
        }
        first
    }

    async fn wait(&self) -> Result<Place<'_>, Closed> {
        tokio::select! {
            biased;
            () = self.gone.cancelled() => Err(Closed),
            place = self.out.reserve() => place,
        }
    }
}

impl Drop for Replies {
    fn drop(&mut self) {
        let ended = Ended {
            id: self.id,
            answered: !self.finish(),
        };
        // A session that is over needs no word.
        let _over = self.ended.send(ended);
    }
}

impl fmt::Debug for Replies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Replies")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// A failure as the last reply.
pub(crate) fn failure(id: u64, kind: FailureKind, detail: &str) -> Outgoing {
    let failure = Failure {
        kind: kind.into(),
        detail: detail.to_owned(),
    };
    Outgoing::reply(id, reply::Kind::Failure(failure), true)
}

/// The handler shared by all sessions of a server.
pub(crate) type SharedHandler = Arc<dyn Handler>;
