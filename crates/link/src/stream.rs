//! Several replies to one request.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_wire::link::{Reply, reply};
use tokio::sync::mpsc;

use crate::LinkError;
use crate::connection::{Connection, value};
use crate::outgoing::Ticket;
use crate::pending::ended;

/// The replies to one request, in order. Dropping it cancels the request.
///
/// Up to 1024 replies wait for their taker. Beyond that the stream holds up its
/// connection for up to 50 ms and then ends with [`LinkError::Lost`], so a long
/// stream that is taken slowly should have a client of its own.
pub struct ReplyStream {
    connection: Arc<Connection>,
    id: u64,
    ticket: Arc<Ticket>,
    replies: mpsc::Receiver<Reply>,
    done: bool,
}

impl ReplyStream {
    pub(crate) fn new(
        connection: Arc<Connection>,
        id: u64,
        ticket: Arc<Ticket>,
        replies: mpsc::Receiver<Reply>,
    ) -> Self {
        Self {
            connection,
            id,
            ticket,
            replies,
            done: false,
        }
    }

    /// The next reply; `None` after the last one or after the stream broke off,
    /// which one error tells. May be dropped and called again.
    pub async fn next(&mut self) -> Option<Result<reply::Kind, LinkError>> {
        if self.done {
            return None;
        }
        let Some(reply) = self.replies.recv().await else {
            self.done = true;
            return Some(Err(ended(&self.ticket)));
        };
        self.done = reply.last;
        Some(value(reply))
    }

    /// As [`ReplyStream::next`], but gives up after `timeout` with
    /// [`LinkError::Timeout`]; the stream can be asked again then.
    ///
    /// A connection on which no byte came in that time is closed.
    pub async fn next_within(
        &mut self,
        timeout: Duration,
    ) -> Option<Result<reply::Kind, LinkError>> {
        let heard = self.connection.heard();
        match tokio::time::timeout(timeout, self.next()).await {
            Ok(next) => next,
            Err(_elapsed) => {
                self.connection.check_silence(heard);
                Some(Err(LinkError::Timeout))
            }
        }
    }
}

impl Drop for ReplyStream {
    fn drop(&mut self) {
        self.connection.give_up(self.id, &self.ticket);
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
