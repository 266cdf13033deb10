//! How a deployment writes down its configuration and its backend servers.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use swiftlink_rollout::Stage;
use swiftlink_types::{DomainName, PoolName, ServerInstance, VersionName};

use crate::model::Config;

/// Reads the documents that the store's feeds carry.
pub trait Catalog: fmt::Debug + Send + Sync {
    /// The configuration in a record of the configuration feed; `None` when the record
    /// is about something else.
    ///
    /// # Errors
    /// When the record is a configuration that can't be read.
    fn config(&self, key: &str, value: &[u8]) -> Result<Option<Config>, CatalogError>;

    /// What a record of the configuration feed, or the removal of its key, says of a failure
    /// domain; `None` when it is about something else.
    ///
    /// # Errors
    /// When the record is about a failure domain and can't be read.
    fn domain(
        &self,
        _key: &str,
        _value: Option<&[u8]>,
    ) -> Result<Option<DomainChange>, CatalogError> {
        Ok(None)
    }

    /// What a record of the configuration feed, or the removal of its key, says of a roll-out;
    /// `None` when it is about something else.
    ///
    /// # Errors
    /// When the record is about a roll-out and can't be read.
    fn rollout(
        &self,
        _key: &str,
        _value: Option<&[u8]>,
    ) -> Result<Option<RolloutChange>, CatalogError> {
        Ok(None)
    }

    /// The record that tells operators how far a roll-out has come, its key first.
    fn rollout_status(
        &self,
        pool: &PoolName,
        version: &VersionName,
        stage: Stage,
    ) -> (String, Bytes) {
        let text = format!("{version} {}", stage.as_str());
        (format!("rollout/{pool}"), Bytes::from(text))
    }

    /// The backend server in a record of the server feed.
    ///
    /// # Errors
    /// When the record can't be read: it names no server then.
    fn server(&self, key: &str, value: &[u8]) -> Result<ServerEntry, CatalogError>;
}

/// What operators do with a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainChange {
    /// The domain.
    pub domain: DomainName,
    /// Whether its servers are to get no more requests; if not, it is taken back.
    pub is_emptied: bool,
}

/// What operators do with the roll-out of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutChange {
    /// The pool.
    pub pool: PoolName,
    /// Version that its traffic is to move to, and the time for that; `None`: the order is taken
    /// back.
    pub order: Option<(VersionName, Duration)>,
}

/// A document that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct CatalogError {
    /// Key of the record.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// A backend server, as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Its name, and when it started.
    pub instance: ServerInstance,
    /// Pool that it serves.
    pub pool: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Version of its software.
    pub version: VersionName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub draining: bool,
    /// How much longer it is cold; zero when it is warm.
    pub warmup: Duration,
}
