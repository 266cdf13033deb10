//! Servers of a pool by the paths to them.

use std::sync::Arc;

use swiftlink_types::ServerInstance;

use super::{Pool, Pools, SelectedServer};
use crate::paths::{Destination, ServerId};

impl Pool {
    /// A listed server.
    #[must_use]
    pub fn find(&self, instance: &ServerInstance) -> Option<SelectedServer> {
        let fleet = self.fleet();
        let listed = fleet.get(fleet.find(&instance.name)?)?.instance().clone();
        drop(fleet);
        if listed != *instance {
            return None;
        }
        let info = self.servers.load().get(&instance.name).cloned()?;
        Some(self.selected(listed, info))
    }

    /// All listed servers, with the paths to them.
    #[must_use]
    pub fn destinations(&self) -> Vec<Destination> {
        let servers = Arc::clone(&self.servers.load());
        let fleet = self.fleet();
        let mut all = Vec::with_capacity(servers.len());
        for (name, info) in servers.iter() {
            let Some(server) = fleet.find(name).and_then(|idx| fleet.get(idx)) else {
                continue;
            };
            let instance = server.instance().clone();
            all.push(self.selected(instance, info.clone()).destination);
        }
        all
    }
}

impl Pools {
    /// Ends the ejection of a server that this router's path made look as if it failed.
    pub fn readmit(&self, server: &ServerId) {
        let Some(pool) = self.get(&server.pool) else {
            return;
        };
        let mut fleet = pool.fleet();
        if let Some(idx) = fleet.find(&server.instance.name) {
            fleet.readmit(idx);
        }
    }
}
