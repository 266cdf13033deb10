//! Tells in the log when this router's own VM is declared gone, and when no longer.
//!
//! The router refuses callers as soon as it reads of it; what it runs comes to its end.
//! Ledgers retire its memberships and refuse its joins while the statement stands.

use std::sync::Arc;

use swiftlink_telemetry::event;
use tokio_util::sync::CancellationToken;

use crate::node::Node;

/// Looks at each new configuration until `stop`.
pub async fn watch(node: Arc<Node>, stop: CancellationToken) {
    let mut versions = node.config.watch();
    // One may have been published before.
    versions.mark_changed();
    let mut known = false;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            changed = versions.changed() => if changed.is_err() { return },
        }
        let now = node.is_retired();
        if now != known {
            tell(&node, now);
        }
        known = now;
    }
}

fn tell(node: &Node, retired: bool) {
    let vm = &node.settings.common.vm;
    let version = node.config.load().version;
    if !retired {
        event!(info, "router.taken-back", vm = vm, version = version);
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
