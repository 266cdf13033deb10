//! A request at a server, and what its end says of that.

use std::sync::Arc;

use swiftlink_routing::{ErrorKind, Flow, Sent, ServerIdx};

use super::Pool;

/// A request that was sent to a server. Dropped, it says nothing of the server.
#[derive(Debug)]
pub struct Ticket {
    pub(super) pool: Arc<Pool>,
    pub(super) sent: Option<Sent>,
    /// The server.
    pub idx: ServerIdx,
}

impl Ticket {
    /// The answer's first byte or event is there.
    pub fn first(&mut self) {
        let now = self.pool.now();
        if let Some(sent) = &mut self.sent {
            self.pool.fleet().on_first_token(sent, now);
        }
        self.pool.changed.notify_one();
    }

    /// How the events of the answer followed each other.
    pub fn flow(&self, flow: Flow) {
        self.pool.with_speeds(|fleet| fleet.on_flow(self.idx, flow));
    }

    /// The answer has come to its end.
    pub fn end(mut self) {
        let now = self.pool.now();
        if let Some(sent) = self.sent.take() {
            self.pool.fleet().on_end(sent, now);
        }
    }

    /// The request failed by the server's fault.
    pub fn fail(mut self, kind: ErrorKind) {
        let now = self.pool.now();
        if let Some(sent) = self.sent.take() {
            self.pool.fleet().on_error(sent, now, kind);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.pool.now();
        if let Some(sent) = self.sent.take() {
            self.pool.fleet().on_unused(sent, now);
        }
    }
}
