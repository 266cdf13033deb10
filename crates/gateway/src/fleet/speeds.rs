//! What this router has seen of the servers' speeds, and what all routers have.

use swiftlink_wire::link::{ServerSample, ServerSpeed};

use super::Pool;

impl Pool {
    /// Takes the samples of server speeds since the last call.
    pub(crate) fn take_samples(&self) -> Vec<ServerSample> {
        Vec::new()
    }

    /// Applies speeds that an aggregator of the pool computed from the samples of all routers.
    pub(crate) fn apply_speeds(&self, _speeds: &[ServerSpeed]) {}
}
