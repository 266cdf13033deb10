//! The border to the platform's log service.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use swiftlink_types::StreamName;
use swiftlink_wire::log::LogPage;

/// An append-only log of named streams with dense offsets from 0.
#[async_trait]
pub trait Log: Send + Sync + 'static {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    /// [`LogError::Unknown`] when the record may have been appended all the same;
    /// after any other error it certainly was not.
    async fn append(&self, stream: &StreamName, data: Bytes) -> Result<u64, LogError>;

    /// Reads at most `max` records from offset `from` on.
    ///
    /// Waits up to `wait` for a first record; the page is empty when none came.
    ///
    /// # Errors
    /// [`LogError::Trimmed`] when `from` is older than what the log keeps. A read
    /// has no effect, so every failure of the transport is [`LogError::Unavailable`].
    async fn read(
        &self,
        stream: &StreamName,
        from: u64,
        max: u32,
        wait: Duration,
    ) -> Result<LogPage, LogError>;
}

/// Why the log did not answer a call as asked.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The log is out; the call certainly had no effect.
    #[error("log is out: {0}")]
    Unavailable(String),
    /// No usable answer; the call may have had its effect.
    #[error("log gave no answer, the call may have taken effect: {0}")]
    Unknown(String),
    /// The offset asked for is no longer kept.
    #[error("log keeps records from offset {first} on only")]
    Trimmed {
        /// Oldest offset still kept.
        first: u64,
    },
    /// The log refused the call, or its answer to a read is malformed.
    #[error("log protocol error: {0}")]
    Protocol(String),
}
