//! Waiting for a condition by polling instead of sleeping for a fixed time.

use std::time::{Duration, Instant};

/// Interval between polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Default timeout, far above the time that any condition needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls until `poll` returns a value, for at most [`WAIT_TIMEOUT`].
///
/// # Errors
/// When the time is up; the message names `what` was awaited.
pub async fn until<T>(what: &str, poll: impl AsyncFnMut() -> Option<T>) -> anyhow::Result<T> {
    until_within(WAIT_TIMEOUT, what, poll).await
}

/// Polls until `poll` returns a value, for at most `limit`.
///
/// # Errors
/// When the time is up; the message names `what` was awaited.
pub async fn until_within<T>(
    limit: Duration,
    what: &str,
    mut poll: impl AsyncFnMut() -> Option<T>,
) -> anyhow::Result<T> {
    let start = Instant::now();
    loop {
        if let Some(value) = poll().await {
            return Ok(value);
        }
        if start.elapsed() > limit {
            anyhow::bail!("timed out after {limit:?} waiting for {what}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
