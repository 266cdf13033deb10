//! The limited servers of a router.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use swiftlink_telemetry::event;
use swiftlink_types::ServerInstance;
use tokio::sync::Notify;

use crate::eligibility::Announcement;
use crate::fleet::Pool;

use super::throttle::LimitChange;

/// A server that limits its rate.
#[derive(Clone, Debug)]
pub struct LimitedServer {
    /// Its pool.
    pub pool: Arc<Pool>,
    /// Its name and start time.
    pub instance: ServerInstance,
    /// What it announced, with its limit.
    pub announcement: Arc<Announcement>,
}

impl LimitedServer {
    /// Logs a change of the server's limit.
    pub(crate) fn log(&self, change: LimitChange) {
        let name = &self.instance.name;
        match change {
            LimitChange::None => {}
            LimitChange::Limited(rate) => {
                event!(info, "server.limited", server = name, rate = rate);
            }
            LimitChange::Changed { before, rate } => {
                event!(
                    info,
                    "server.limit_changed",
                    server = name,
                    rate = rate,
                    before = before
                );
            }
            LimitChange::Unnamed => event!(info, "server.limit_unnamed", server = name),
            LimitChange::Unreadable => event!(warn, "server.limit_unreadable", server = name),
            LimitChange::Over => event!(info, "server.limit_over", server = name),
        }
    }
}

/// All servers that limit their rate.
#[derive(Debug, Default)]
pub struct LimitedServers {
    servers: Mutex<HashMap<ServerInstance, LimitedServer>>,
    /// Notified when one is added.
    added: Notify,
    /// Notified when a request waits for a permit.
    wanted: Notify,
}

impl LimitedServers {
    /// Adds a server.
    pub fn insert(&self, server: LimitedServer) {
        self.lock().insert(server.instance.clone(), server);
        self.added.notify_one();
    }

    /// Removes the servers whose limit is over.
    pub fn prune(&self) {
        self.lock()
            .retain(|_, server| server.announcement.throttle.is_limited());
    }

    /// All of them.
    #[must_use]
    pub fn all(&self) -> Vec<LimitedServer> {
        self.lock().values().cloned().collect()
    }

    /// Records that a request waits for a permit.
    pub fn want(&self) {
        self.wanted.notify_one();
    }

    /// Resolves when a request waits for a permit.
    pub async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// Resolves when one is added, at once if one was added since the last call.
    pub async fn added(&self) {
        self.added.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServerInstance, LimitedServer>> {
        // Consistent between any two calls.
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
