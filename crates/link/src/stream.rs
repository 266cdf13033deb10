//! The stream of replies to one request.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_wire::link::{Reply, reply};
use tokio::sync::mpsc;

use crate::LinkError;
use crate::connection::{Connection, into_result};
use crate::outgoing::SendState;
use crate::pending::closed_error;

/// The replies to one request, in order. Dropping it cancels the request.
///
/// Up to 1024 replies are queued. When the queue is full, the stream blocks its
/// connection for up to 50 ms and then ends with [`LinkError::Lost`], so a long stream
/// that is consumed slowly should have its own client.
pub struct ReplyStream {
    connection: Arc<Connection>,
    id: u64,
    send_state: Arc<SendState>,
    replies: mpsc::Receiver<Reply>,
    done: bool,
}

impl ReplyStream {
    pub(crate) fn new(
        connection: Arc<Connection>,
        id: u64,
        send_state: Arc<SendState>,
        replies: mpsc::Receiver<Reply>,
    ) -> Self {
        Self {
            connection,
            id,
            send_state,
            replies,
            done: false,
        }
    }

    /// Waits for the next reply. A stream that is interrupted yields one error; `None`
    /// follows that error or the last reply. Cancel safe.
    pub async fn next(&mut self) -> Option<Result<reply::Kind, LinkError>> {
        if self.done {
            return None;
        }
        let Some(reply) = self.replies.recv().await else {
            self.done = true;
            return Some(Err(closed_error(&self.send_state)));
        };
        self.done = reply.last;
        Some(into_result(reply))
    }

    /// Like [`ReplyStream::next`], but returns [`LinkError::Timeout`] after `timeout`. The
    /// stream remains usable.
    ///
    /// Closes the connection if no byte arrives within `timeout`.
    pub async fn next_within(
        &mut self,
        timeout: Duration,
    ) -> Option<Result<reply::Kind, LinkError>> {
        let received = self.connection.received();
        match tokio::time::timeout(timeout, self.next()).await {
            Ok(next) => next,
            Err(_elapsed) => {
                self.connection.close_if_silent(received);
                Some(Err(LinkError::Timeout))
            }
        }
    }
}

impl Drop for ReplyStream {
    fn drop(&mut self) {
        self.connection.cancel(self.id, &self.send_state);
    }
}

impl fmt::Debug for ReplyStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ReplyStream")
            .field("id", &self.id)
            .field("done", &self.done)
            .finish_non_exhaustive()
    }
}
