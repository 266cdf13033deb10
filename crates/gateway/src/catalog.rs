//! Decodes the documents in which a deployment stores its configuration and its backend servers.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use swiftlink_rollout::Stage;
use swiftlink_types::{DomainName, PoolName, ServerInstance, VersionName};

use crate::model::Config;

/// Decodes the records of the store's feeds.
pub trait Catalog: fmt::Debug + Send + Sync {
    /// Decodes a record of the configuration feed; `None` if it isn't a configuration.
    ///
    /// # Errors
    /// Fails if the record is a configuration that can't be read.
    fn config(&self, key: &str, value: &[u8]) -> Result<Option<Config>, CatalogError>;

    /// Decodes a record of the configuration feed, or the removal of its key, that drains a failure
    /// domain or puts it back in use; `None` if the record is about something else.
    ///
    /// # Errors
    /// Fails if the record is about a failure domain and can't be read.
    fn domain(
        &self,
        _key: &str,
        _value: Option<&[u8]>,
    ) -> Result<Option<DomainChange>, CatalogError> {
        Ok(None)
    }

    /// Decodes a record of the configuration feed, or the removal of its key, that orders or
    /// withdraws a rollout; `None` if the record is about something else.
    ///
    /// # Errors
    /// Fails if the record is about a rollout and can't be read.
    fn rollout(
        &self,
        _key: &str,
        _value: Option<&[u8]>,
    ) -> Result<Option<RolloutChange>, CatalogError> {
        Ok(None)
    }

    /// The key and the value of the record that reports the stage of a rollout to operators.
    fn rollout_status(
        &self,
        pool: &PoolName,
        version: &VersionName,
        stage: Stage,
    ) -> (String, Bytes) {
        let text = format!("{version} {}", stage.as_str());
        (format!("rollout/{pool}"), Bytes::from(text))
    }

    /// Decodes a record of the server feed.
    ///
    /// # Errors
    /// Fails if the record can't be read; it names no server then.
    fn server(&self, key: &str, value: &[u8]) -> Result<ServerEntry, CatalogError>;
}

/// An operator's change to a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainChange {
    /// Name of the failure domain.
    pub domain: DomainName,
    /// Whether its servers get no more requests; `false` puts the domain back in use.
    pub is_drained: bool,
}

/// An operator's change to the rollout of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutChange {
    /// Name of the pool.
    pub pool: PoolName,
    /// Version to move the traffic to, and the time for that; `None` if the order is withdrawn.
    pub order: Option<(VersionName, Duration)>,
}

/// A document that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct CatalogError {
    /// Key of the record.
    pub key: String,
    /// Description of the defect.
    pub reason: String,
}

/// A backend server, as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Name and start time of the server.
    pub instance: ServerInstance,
    /// Pool that it serves.
    pub pool: PoolName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Version of its software.
    pub version: VersionName,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it drains and takes no new work.
    pub draining: bool,
    /// Remaining warm-up time; zero when it is warm.
    pub warmup: Duration,
}
