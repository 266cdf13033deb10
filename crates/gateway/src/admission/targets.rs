//! Latency targets of a pool's streaming requests by priority, from the configuration.

use std::collections::BTreeSet;

use swiftlink_admission::Targets;
use swiftlink_types::PoolName;

use crate::model::{Config, RouteKind};

/// The shortest target of each priority. A workspace with a priority of its own may use any route.
/// Empty for a pool without streaming routes.
pub(crate) fn targets(config: &Config, pool: &PoolName) -> Targets {
    let workspaces = config.workspaces.values();
    let priorities: BTreeSet<u8> = workspaces
        .filter_map(|workspace| workspace.priority)
        .collect();
    let mut targets = Targets::new();
    for route in config.routes.iter() {
        let is_streaming = route.kind == RouteKind::Streaming;
        let has_pool = route.targets.iter().any(|target| target.pool == *pool);
        if !is_streaming || !has_pool || route.latency_target.is_zero() {
            continue;
        }
        for priority in priorities.iter().copied().chain([route.priority]) {
            let target = targets.entry(priority).or_insert(route.latency_target);
            *target = (*target).min(route.latency_target);
        }
    }
    targets
}
