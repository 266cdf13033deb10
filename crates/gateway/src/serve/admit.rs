//! Admission of a request to its pool.

use swiftlink_telemetry::event;

use super::exchange::{Attempts, Exchange};
use super::refusal::Refusal;
use crate::admission::{AdmissionRequest, PoolAdmission};
use crate::fleet::Ticket;

impl Exchange {
    /// Asks for admission before the first attempt at a stream, and waits for it if necessary.
    pub(super) async fn admit(&self, attempts: &Attempts) -> Result<(), Refusal> {
        let admission = &self.pool.admission;
        if !self.is_stream() || !attempts.is_empty() || !admission.is_active() {
            return Ok(());
        }
        let prompt = self.prompt();
        let request = AdmissionRequest {
            priority: self.priority(),
            workspace: self.workspace.as_ref().map(|workspace| &workspace.name),
            target: self.route.latency_target,
            tokens: prompt.own + prompt.shared,
            left: self.left(),
        };
        let admitted = admission.admit(&request, || self.key()).await;
        admitted.map_err(Refusal::Overloaded)
    }

    /// Counts an attempt at a stream, until its first event.
    pub(super) fn on_sent(&self, attempts: &mut Attempts, ticket: &Ticket) {
        // The previous attempt has ended.
        attempts.sent = None;
        if self.is_stream() {
            let target = self.route.latency_target;
            let tokens = ticket.prefill_tokens();
            attempts.sent = PoolAdmission::on_sent(&self.pool, self.priority(), tokens, target);
        }
    }

    /// Counts a refusal, and logs the level of one for lack of capacity.
    pub(super) fn on_refused(&self, refusal: Refusal) {
        self.node.metrics.refused(refusal.as_str());
        let Refusal::Overloaded(overloaded) = refusal else {
            return;
        };
        let priority = self.priority();
        self.node
            .metrics
            .overloaded(priority, overloaded.has_waited);
        event!(
            info,
            "admission.refused",
            id = self.id(),
            pool = self.pool.name,
            priority = priority,
            level = overloaded.level,
            wait_ms = overloaded.wait.as_millis(),
            back_ms = overloaded.after.as_millis(),
            waited = overloaded.has_waited,
        );
    }

    /// Identifies the request when it returns.
    fn key(&self) -> u64 {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&self.identity.fingerprint().as_bytes()[..8]);
        u64::from_le_bytes(bytes)
    }
}
