//! Readiness endpoint for the load balancer.

use std::sync::Arc;

use async_trait::async_trait;
use http::StatusCode;
use swiftlink_shell::web::{Incoming, Response, Service, text};

use crate::node::Node;

/// Answers readiness probes of the load balancer.
pub(crate) struct Readiness(pub(crate) Arc<Node>);

#[async_trait(?Send)]
impl Service for Readiness {
    async fn call(&self, _request: Incoming) -> Response {
        if self.0.is_ready() {
            return text(StatusCode::OK, "ready\n");
        }
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
