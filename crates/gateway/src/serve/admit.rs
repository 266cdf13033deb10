//! Admission of a request to its pool.

use swiftlink_shell::web::Response;
use swiftlink_telemetry::event;
use tokio::time::timeout_at;

use super::attempts::Attempts;
use super::exchange::Exchange;
use super::refusal::Refusal;
use crate::admission::{AdmissionRequest, Overloaded, PoolAdmission};
use crate::fleet::Ticket;

impl Exchange {
    /// Waits until the tokens of the request are reserved, before anything of a response is delivered.
    pub(super) async fn is_paid(&mut self) -> bool {
        let deadline = self.deadline;
        let error = match timeout_at(deadline, self.quota.reserved()).await {
            Ok(Ok(())) => return true,
            Ok(Err(error)) => error.map_or_else(|| "shutdown".to_owned(), |error| error.asked),
            Err(_elapsed) => "timeout".to_owned(),
        };
        event!(
            warn,
            "quota.not_reserved",
            id = self.id(),
            workspace = self.workspace(),
            asked = error,
        );
        false
    }

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

    /// Logs a refusal for lack of capacity and makes its response.
    pub(super) fn refuse_overloaded(&self, overloaded: &Overloaded) -> Response {
        let refusal = Refusal::Overloaded(*overloaded);
        let priority = self.priority();
        event!(
            info,
            "request.refused",
            id = self.id(),
            route = self.route.name,
            workspace = self.workspace(),
            reason = refusal.as_str(),
            priority = priority,
            level = overloaded.level,
            wait_ms = overloaded.wait.as_millis(),
            back_ms = overloaded.after.as_millis(),
            waited = overloaded.has_waited,
            config = self.version,
            ms = self.start.elapsed().as_millis(),
        );
        self.is_logged.set(true);
        self.node.metrics.refused(refusal.as_str());
        self.node
            .metrics
            .overloaded(priority, overloaded.has_waited);
        refusal.response()
    }

    /// Identifies the request when it returns.
    fn key(&self) -> u64 {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&self.identity.fingerprint().as_bytes()[..8]);
        u64::from_le_bytes(bytes)
    }
}
