//! The request handler of a server, and the replies that it sends.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_trait::async_trait;
use swiftlink_wire::link::{Failure, FailureKind, OpenTunnel, TunnelState, reply, request};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::Closed;
use crate::codec::MAX_FRAME;
use crate::outgoing::{FrameSender, OutgoingFrame, SendPermit};
use crate::tunnel::{TunnelRefusal, TunnelTarget};

/// Handles the requests of a server's peers.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Handles one request of the peer that identified itself as `peer`.
    ///
    /// Runs in its own task and may pass `replies` to another task. The future is not
    /// dropped when the caller gives up, so that work which must be completed is; a
    /// handler without an end of its own watches [`Replies::closed`]. When the server
    /// stops, handlers get one second to end before they are dropped.
    async fn handle(&self, peer: &str, request: request::Kind, replies: Replies);

    /// Connects to the target of a tunnel that the peer asks for. Serves none by default.
    ///
    /// # Errors
    /// Why no connection was made.
    async fn open_tunnel(
        &self,
        _peer: &str,
        _target: &OpenTunnel,
    ) -> Result<TunnelTarget, TunnelRefusal> {
        Err(TunnelState::Closed.into())
    }
}

/// Sends the replies to one request. If it is dropped before the last reply, the
/// caller gets [`LinkError::Lost`](crate::LinkError::Lost).
pub struct Replies {
    id: u64,
    out: FrameSender,
    ended: mpsc::UnboundedSender<RequestEnd>,
    cancelled: CancellationToken,
    stopping: CancellationToken,
    in_flight: Arc<AtomicUsize>,
    answered: AtomicBool,
}

/// Notifies the session that the [`Replies`] of a request were dropped.
#[derive(Debug)]
pub(crate) struct RequestEnd {
    pub(crate) id: u64,
    pub(crate) answered: bool,
}

/// State shared by the replies to all requests of one session.
#[derive(Debug, Clone)]
pub(crate) struct Shared {
    pub(crate) out: FrameSender,
    pub(crate) ended: mpsc::UnboundedSender<RequestEnd>,
    /// Cancelled when the server stops.
    pub(crate) stopping: CancellationToken,
    /// Number of requests whose last reply is not sent yet.
    pub(crate) in_flight: Arc<AtomicUsize>,
}

impl Replies {
    pub(crate) fn new(id: u64, shared: &Shared, cancelled: CancellationToken) -> Self {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        Self {
            id,
            out: shared.out.clone(),
            ended: shared.ended.clone(),
            cancelled,
            stopping: shared.stopping.clone(),
            in_flight: Arc::clone(&shared.in_flight),
            answered: AtomicBool::new(false),
        }
    }

    /// Sends one reply; `last` marks the final one. Waits while the send queue is full.
    ///
    /// In place of a reply that exceeds the frame limit, the caller gets
    /// [`LinkError::Lost`](crate::LinkError::Lost).
    ///
    /// # Errors
    /// When the caller accepts no more replies, or the last one was already sent.
    pub async fn send(&self, kind: reply::Kind, last: bool) -> Result<(), Closed> {
        if self.answered.load(Ordering::Acquire) || self.cancelled.is_cancelled() {
            return Err(Closed);
        }

        let mut last = last;
        let mut frame = OutgoingFrame::reply(self.id, kind, last);
        if frame.size() > MAX_FRAME {
            last = true;
            frame = failure(self.id, FailureKind::Unspecified, "reply is too large");
        }

        // The request is marked as answered only once there is a place in the queue, so
        // that it stays unanswered if this future is dropped while it waits.
        let permit = match self.out.try_reserve() {
            Some(permit) => permit,
            None => self.reserve().await?,
        };
        if last && !self.finish() {
            return Err(Closed);
        }
        permit.send(frame);
        Ok(())
    }

    /// Waits until the caller accepts no more replies or the server stops.
    pub async fn closed(&self) {
        tokio::select! {
            () = self.cancelled.cancelled() => {}
            () = self.stopping.cancelled() => {}
        }
    }

    /// Marks the request as answered; false if it was already.
    ///
    /// Called before the last reply is queued, so that a request which the caller sends
    /// after that reply no longer counts this one as in flight.
    fn finish(&self) -> bool {
        let first = !self.answered.swap(true, Ordering::AcqRel);
        if first {
            self.in_flight.fetch_sub(1, Ordering::AcqRel);
        }
        first
    }

    async fn reserve(&self) -> Result<SendPermit<'_>, Closed> {
        tokio::select! {
            biased;
            () = self.cancelled.cancelled() => Err(Closed),
            permit = self.out.reserve() => permit,
        }
    }
}

impl Drop for Replies {
    fn drop(&mut self) {
        let ended = RequestEnd {
            id: self.id,
            answered: !self.finish(),
        };
        // Fails only if the session has ended, which then needs no notification.
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

/// Creates a failure as the last reply.
pub(crate) fn failure(id: u64, kind: FailureKind, detail: &str) -> OutgoingFrame {
    let failure = Failure {
        kind: kind.into(),
        detail: detail.to_owned(),
    };
    OutgoingFrame::reply(id, reply::Kind::Failure(failure), true)
}

/// The handler shared by all sessions of a server.
pub(crate) type SharedHandler = Arc<dyn Handler>;
