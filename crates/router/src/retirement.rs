//! Logs when this router's VM is declared gone and when that declaration is withdrawn.
//!
//! The router refuses callers as soon as it reads the declaration; requests in flight complete.
//! While the declaration stands, ledgers retire its memberships and refuse its joins.

use std::sync::Arc;

use swiftlink_telemetry::event;
use tokio_util::sync::CancellationToken;

use crate::node::Node;

/// Checks each new configuration until `stop`.
pub async fn watch(node: Arc<Node>, stop: CancellationToken) {
    let mut versions = node.config.watch();
    // A version may have been published before this task started.
    versions.mark_changed();
    let mut known = false;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            changed = versions.changed() => if changed.is_err() { return },
        }
        let now = node.is_retired();
        if now != known {
            log_change(&node, now);
        }
        known = now;
    }
}

fn log_change(node: &Node, retired: bool) {
    let vm = &node.settings.common.vm;
    let version = node.config.load().version;
    if !retired {
        event!(info, "router.reinstated", vm = vm, version = version);
        return;
    }
    event!(
        error,
        "router.declared-gone",
        vm = vm,
        version = version,
        next = format!("callers are refused; delete retirement/{vm} to use the VM again")
    );
}
