//! A complete fleet of real processes on loopback.

mod daemon;
mod net;
mod operator;
mod plan;
mod sample;
mod settings;
mod standin;

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;
use tempfile::TempDir;

pub use daemon::{Addresses, Daemon, Role, version_of};
pub use net::Net;
pub use operator::{Operator, change};
pub use plan::Plan;
pub use sample::{CALL_TOKENS, MODEL, SERVICE, Tenant, URGENT_PRICE, pools, server};
pub use settings::{Location, TOKEN};
pub use standin::{Dirs, Standin, dir_of};

use crate::caller::Caller;
use crate::checker::{Call, History};
use crate::records;
use crate::until::{WAIT_TIMEOUT, until_within};
use swiftlink_standins::engine::Run;

/// Location and addresses of one VM's daemons.
#[derive(Clone, Debug)]
struct Vm {
    location: Location,
    router: Addresses,
    ledger: Addresses,
}

/// A running fleet, whose processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Stand-in for the platform's log.
    pub log: Standin,
    /// Stand-in for the platform's VM list.
    pub vms: Standin,
    /// Engines of the model pool.
    pub engines: Vec<Standin>,
    /// Servers of the service pool.
    pub services: Vec<Standin>,
    /// One ledger per VM.
    pub ledgers: Vec<Daemon>,
    /// One router per VM.
    pub routers: Vec<Daemon>,
    /// The operator daemon.
    pub operator: Daemon,
    /// A client of the operator daemon.
    pub api: Operator,
    /// Network links between the processes.
    pub net: Net,
    tenants: Vec<Tenant>,
    shards: u32,
    // Declared last, so that it is dropped after the processes that write to it.
    _work: Arc<TempDir>,
}

impl Fleet {
    /// Address of the router with index `at` for callers.
    #[must_use]
    pub fn router(&self, at: usize) -> SocketAddr {
        self.routers[at].address()
    }

    /// Creates a caller with the API key of the tenant with index `at`.
    #[must_use]
    pub fn caller(&self, at: usize) -> Caller {
        Caller::new(&self.tenants[at].secret)
    }

    /// The tenant with index `at`.
    #[must_use]
    pub fn tenant(&self, at: usize) -> &Tenant {
        &self.tenants[at]
    }

    /// Number of budget streams.
    #[must_use]
    pub fn shards(&self) -> u32 {
        self.shards
    }

    /// Fetches the runs of all engines and services.
    ///
    /// # Errors
    /// When a stand-in does not answer.
    pub async fn runs(&self) -> anyhow::Result<Vec<Run>> {
        let mut runs = Vec::new();
        for standin in self.engines.iter().chain(&self.services) {
            runs.extend(standin.runs().await?);
        }
        Ok(runs)
    }

    /// Returns the history of `calls` with the current runs and log records.
    ///
    /// # Errors
    /// When a stand-in does not answer.
    pub async fn history(&self, calls: Vec<Call>) -> anyhow::Result<History> {
        Ok(History {
            calls,
            runs: self.runs().await?,
            streams: records::read_all(self.log.address(), self.shards).await?,
        })
    }

    /// Waits until every router has applied the configuration `version`.
    ///
    /// # Errors
    /// When a router has not applied it in time.
    pub async fn wait_for_version(&self, version: u64) -> anyhow::Result<()> {
        for router in &self.routers {
            router
                .status_until(WAIT_TIMEOUT, "version", |status| {
                    version_of(status) >= version
                })
                .await?;
        }
        Ok(())
    }

    /// Applies the initial configuration and waits until all processes are ready.
    async fn prepare(&mut self, servers: Vec<Value>) -> anyhow::Result<()> {
        for ledger in &mut self.ledgers {
            ledger.ready().await?;
        }
        self.operator.ready().await?;
        let mut changes = pools();
        changes.extend(servers);
        for tenant in &self.tenants {
            changes.extend(tenant.changes());
        }
        let version = self.api.apply(changes).await?;
        for router in &mut self.routers {
            router.ready().await?;
        }
        self.wait_for_version(version).await?;
        self.wait_for_top_ups().await
    }

    /// Waits until the ledgers have folded the initial top-ups.
    async fn wait_for_top_ups(&self) -> anyhow::Result<()> {
        for tenant in &self.tenants {
            let prepaid = tenant.prepaid;
            let is_paid = |budget: &Value| budget["topped_up"].as_u64() >= Some(prepaid);
            if prepaid > 0 {
                self.api.budget_until(&tenant.name, is_paid).await?;
            }
        }
        Ok(())
    }
}

/// Waits until the history of `calls` satisfies `settled`, and returns it. A pause without
/// new records proves nothing, so the test states the condition.
///
/// # Errors
/// When `settled` does not hold in time.
pub async fn settle(
    fleet: &Fleet,
    calls: Vec<Call>,
    settled: impl Fn(&History) -> bool,
) -> anyhow::Result<History> {
    until_within(WAIT_TIMEOUT, "the charges to settle", async || {
        let history = fleet.history(calls.clone()).await.ok()?;
        settled(&history).then_some(history)
    })
    .await
}
