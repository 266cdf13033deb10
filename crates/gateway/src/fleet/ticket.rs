//! Handle of a request on a server, which reports the outcome to the fleet.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_rollout::StatsKey;
use swiftlink_routing::{Dispatch, ErrorKind, Fleet, ServerIdx, StreamGaps};
use swiftlink_telemetry::event;
use swiftlink_types::Micros;

use super::Pool;
use crate::eligibility::Permit;

/// A request that was sent to a server. If dropped, its outcome doesn't count for or against the
/// server.
#[derive(Debug)]
pub struct Ticket {
    pub(super) pool: Arc<Pool>,
    pub(super) dispatch: Option<Dispatch>,
    /// Server of the request.
    pub idx: ServerIdx,
    /// Key under which the response is counted during a rollout.
    pub(super) response_key: Option<StatsKey>,
    pub(super) has_response: bool,
    /// Permit to send the request, if the server limits its rate.
    pub(crate) permit: Option<Permit>,
}

impl Ticket {
    /// Prompt tokens that the server has to process, as far as is known.
    #[must_use]
    pub fn prefill_tokens(&self) -> u64 {
        self.dispatch.as_ref().map_or(0, Dispatch::prefill_tokens)
    }

    /// Handles the first byte or event of the response.
    pub fn on_first_event(&mut self) {
        let now = self.pool.now();
        if let Some(dispatch) = &mut self.dispatch {
            if let Some(response_key) = self.response_key.as_ref().filter(|_| !self.has_response) {
                self.pool
                    .rollout
                    .on_first_event(response_key, now.saturating_sub(dispatch.at));
            }
            self.has_response = true;
            self.pool.fleet().on_first_token(dispatch, now);
        }
        self.pool.changed.notify_one();
    }

    /// Records the timing of the response's events.
    pub fn on_stream_gaps(&self, gaps: StreamGaps) {
        self.pool
            .change_fleet(|fleet| fleet.on_gaps(self.idx, gaps));
    }

    /// Records the mean gap between the response's events.
    pub fn on_mean_gap(&self, gap: Duration) {
        if let Some(response_key) = &self.response_key {
            self.pool
                .rollout
                .on_gap(response_key, gap.as_micros() as Micros);
        }
    }

    /// Counts a response that didn't complete in time. The reason may be its length, so the server
    /// isn't blamed.
    pub fn time_out(self) {
        self.count_response(true);
    }

    /// Handles the complete response.
    pub fn complete(mut self) {
        self.count_response(false);
        let now = self.pool.now();
        if let Some(dispatch) = self.dispatch.take() {
            let mut fleet = self.pool.fleet();
            let before = fleet.ejected_until(self.idx);
            fleet.on_end(dispatch, now);
            self.log_ejection(&fleet, before, now, "none");
        }
    }

    /// Handles a failure caused by the server.
    pub fn fail(mut self, kind: ErrorKind) {
        // Only statuses and timeouts count against a version: one crash breaks many responses, but
        // is one fault.
        if matches!(kind, ErrorKind::Status | ErrorKind::Timeout) {
            self.count_response(true);
        }
        let now = self.pool.now();
        if let Some(dispatch) = self.dispatch.take() {
            let mut fleet = self.pool.fleet();
            let before = fleet.ejected_until(self.idx);
            fleet.on_error(dispatch, now, kind);
            self.log_ejection(&fleet, before, now, kind.as_str());
        }
    }

    /// Logs that the server was ejected or readmitted.
    fn log_ejection(&self, fleet: &Fleet, before: Option<Micros>, now: Micros, error: &str) {
        let until = fleet.ejected_until(self.idx);
        let Some(server) = fleet.get(self.idx).filter(|_| until != before) else {
            return;
        };
        let Some(until) = until else {
            event!(info, "server.readmitted", server = server.name());
            return;
        };
        event!(
            info,
            "server.ejected",
            server = server.name(),
            error = error,
            ms = until.saturating_sub(now) / 1_000,
            ejected = fleet.ejected_len(),
            open = fleet.open_len(),
        );
    }

    fn count_response(&self, has_failed: bool) {
        if let Some(response_key) = &self.response_key {
            self.pool.rollout.on_finished(response_key, has_failed);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.pool.now();
        if let Some(dispatch) = self.dispatch.take() {
            self.pool.fleet().on_abandoned(dispatch, now);
        }
    }
}
