//! Who can tell how long ago a process was alive.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;

/// Others who have seen a process.
#[async_trait]
pub trait LastSeen: fmt::Debug + Send + Sync {
    /// The longest time that may have passed since the steady clock of a process's VM showed
    /// `stamp` milliseconds; `None` when nobody knows.
    async fn since(&self, process: u64, stamp: u64) -> Option<Duration>;
}
