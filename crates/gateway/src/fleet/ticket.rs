//! A request at a server, and what its end says of that.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_routing::{Dispatch, ErrorKind, ServerIdx, StreamGaps};
use swiftlink_types::Micros;

use super::Pool;
use crate::rollout::Mark;

/// A request that was sent to a server. Dropped, it says nothing of the server.
#[derive(Debug)]
pub struct Ticket {
    pub(super) pool: Arc<Pool>,
    pub(super) sent: Option<Dispatch>,
    /// The server.
    pub idx: ServerIdx,
    /// What its answer is counted with while a roll-out runs.
    pub(super) mark: Option<Mark>,
    pub(super) is_answered: bool,
}

impl Ticket {
    /// The answer's first byte or event is there.
    pub fn first(&mut self) {
        let now = self.pool.now();
        if let Some(sent) = &mut self.sent {
            if let Some(mark) = self.mark.as_ref().filter(|_| !self.is_answered) {
                self.pool.lane.on_first(mark, now.saturating_sub(sent.at));
            }
            self.is_answered = true;
            self.pool.fleet().on_first_token(sent, now);
        }
        self.pool.changed.notify_one();
    }

    /// How the events of the answer followed each other.
    pub fn flow(&self, flow: StreamGaps) {
        self.pool.with_speeds(|fleet| fleet.on_gaps(self.idx, flow));
    }

    /// The events of the answer followed each other with such pauses in the mean.
    pub fn pace(&self, pause: Duration) {
        if let Some(mark) = &self.mark {
            self.pool.lane.on_pause(mark, pause.as_micros() as Micros);
        }
    }

    /// The answer hasn't come to its end in time, which may be its length.
    pub fn time_out(self) {
        self.count(true);
    }

    /// The answer has come to its end.
    pub fn end(mut self) {
        self.count(false);
        let now = self.pool.now();
        if let Some(sent) = self.sent.take() {
            self.pool.fleet().on_end(sent, now);
        }
    }

    /// The request failed by the server's fault.
    pub fn fail(mut self, kind: ErrorKind) {
        // One crash breaks many answers, and isn't a version's fault more than once.
        if matches!(kind, ErrorKind::Status | ErrorKind::Timeout) {
            self.count(true);
        }
        let now = self.pool.now();
        if let Some(sent) = self.sent.take() {
            self.pool.fleet().on_error(sent, now, kind);
        }
    }

    fn count(&self, has_failed: bool) {
        if let Some(mark) = &self.mark {
            self.pool.lane.on_done(mark, has_failed);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.pool.now();
        if let Some(sent) = self.sent.take() {
            self.pool.fleet().on_abandoned(sent, now);
        }
    }
}
