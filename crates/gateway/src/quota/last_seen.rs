//! When a router process was last seen alive.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;

/// Answers from peers on when they last saw a process alive.
#[async_trait]
pub trait LastSeen: fmt::Debug + Send + Sync {
    /// The longest time that can have passed since the monotonic clock of the process's VM showed
    /// `stamp` milliseconds; `None` when no peer knows.
    async fn since(&self, process: u64, stamp: u64) -> Option<Duration>;
}
