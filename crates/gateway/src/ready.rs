//! Readiness endpoint for the load balancer.

use std::sync::Arc;

use async_trait::async_trait;
use http::StatusCode;
use swiftlink_shell::web::{Incoming, Response, Service, text};
use swiftlink_telemetry::event;

use crate::ingress::MAX_AGE;
use crate::node::Node;

/// Answers readiness probes of the load balancer.
pub(crate) struct Readiness(pub(crate) Arc<Node>);

#[async_trait(?Send)]
impl Service for Readiness {
    async fn call(&self, _request: Incoming) -> Response {
        let node = &self.0;
        if node.is_ready() {
            return text(StatusCode::OK, "ready\n");
        }
        let age = node.decision.age(node.uptime());
        if age >= MAX_AGE {
            event!(warn, "ready.undecided", age_ms = age.as_millis());
        }
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
