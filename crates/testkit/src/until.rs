//! Waiting for a condition by looking again, never for a fixed time.

use std::time::{Duration, Instant};

/// How often a condition is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// A condition that holds in the end does so long before this.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until `look` gives something; an error after [`PATIENCE`].
///
/// # Errors
/// Names `what` was waited for.
pub async fn until<T>(what: &str, look: impl AsyncFnMut() -> Option<T>) -> anyhow::Result<T> {
    until_within(PATIENCE, what, look).await
}

/// Waits up to `limit` until `look` gives something.
///
/// # Errors
/// Names `what` was waited for.
pub async fn until_within<T>(
    limit: Duration,
    what: &str,
    mut look: impl AsyncFnMut() -> Option<T>,
) -> anyhow::Result<T> {
    let start = Instant::now();
    loop {
        if let Some(found) = look().await {
            return Ok(found);
        }
        if start.elapsed() > limit {
            anyhow::bail!("waited {limit:?} in vain for {what}");
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
