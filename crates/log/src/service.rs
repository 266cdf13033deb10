//! The interface of the platform's log service.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use swiftlink_types::StreamName;
use swiftlink_wire::log::LogPage;

/// An append-only log of named streams, whose records have consecutive offsets from 0.
#[async_trait]
pub trait Log: Send + Sync + 'static {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    /// [`LogError::Unknown`] when the record may have been appended nevertheless; after
    /// any other error it certainly was not.
    async fn append(&self, stream: &StreamName, data: Bytes) -> Result<u64, LogError>;

    /// Reads up to `max` records from offset `from` on.
    ///
    /// Waits up to `wait` for the first record; the page is empty if there is none.
    ///
    /// # Errors
    /// [`LogError::Trimmed`] when the log has trimmed `from`. A read has no effect, so
    /// every transport failure is [`LogError::Unavailable`].
    async fn read(
        &self,
        stream: &StreamName,
        from: u64,
        max: u32,
        wait: Duration,
    ) -> Result<LogPage, LogError>;
}

/// Why a call to the log failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The log is unavailable; the call certainly had no effect.
    #[error("log is unavailable: {0}")]
    Unavailable(String),
    /// No usable response; the call may have taken effect.
    #[error("no usable response from the log, the call may have taken effect: {0}")]
    Unknown(String),
    /// The requested offset was trimmed.
    #[error("log keeps only records from offset {first}")]
    Trimmed {
        /// Oldest offset that the log keeps.
        first: u64,
    },
    /// The log rejected the call, or its response to a read is malformed.
    #[error("log protocol error: {0}")]
    Protocol(String),
}
