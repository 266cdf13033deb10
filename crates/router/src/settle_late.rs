//! Deferred charges of answers that were interrupted before their end.
//!
//! The caller got the outcome "unknown" and may retry with the same key, here or at another
//! router; the run that ends first is charged. The partial charge is therefore deferred: first
//! until the engine reports how the run ended, otherwise until the time in which a retry is
//! expected has passed.

use std::net::SocketAddr;
use std::time::Duration;

use swiftlink_types::Tokens;
use tokio::time::{Instant, sleep, timeout_at};

use crate::answer::tokens_run;
use crate::pass::read_usage;
use crate::reader::{ReadError, Reader};
use crate::serve::Run;

/// Pause between attempts to reach the engine.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// An answer that was interrupted before its end.
#[derive(Debug, Clone)]
pub struct InterruptedAnswer {
    /// Address of the engine that ran it.
    pub address: SocketAddr,
    /// The engine's id of the stream.
    pub stream: Option<String>,
    /// Number of chunks received.
    pub seen: Tokens,
}

/// Charges the interrupted answer of `run` in the background.
pub fn settle_late(run: Run, interrupted: InterruptedAnswer) {
    let node = std::sync::Arc::clone(&run.node);
    node.deferred
        .spawn_on(settle(run, interrupted), &node.runtime);
}

async fn settle(run: Run, interrupted: InterruptedAnswer) {
    let Run {
        node,
        call,
        guard,
        attempt,
        ..
    } = run;
    let hold = call.key_use.hold();
    let workspace = call.workspace().clone();
    let key = call.key();
    let budget = call.budget.clone();
    let price = call.class.price;
    let bound = call.bound;
    let options = node.read_options();
    // Releases the key for the caller's retry.
    drop(call);
    let until = Instant::now() + Duration::from_millis(node.settings.partial_ms);
    let usage = tokio::select! {
        () = node.closing.cancelled() => None,
        usage = timeout_at(until, usage_of(&interrupted, options)) => usage.ok().flatten(),
    };
    let is_known = usage.is_some();
    if !is_known {
        tokio::select! {
            () = node.closing.cancelled() => {}
            () = tokio::time::sleep_until(until) => {}
        }
    }
    let tokens = usage.unwrap_or(interrupted.seen);
    let cost = swiftlink_types::cost(tokens, price).min(bound);
    let (Some(guard), Some(quota)) = (guard, attempt.reservation) else {
        return;
    };
    if cost > 0 {
        let charge = crate::charge::Cost {
            key,
            workspace,
            budget,
            tokens,
            cost,
        };
        node.settler.settle(&guard, charge, hold).await;
    }
    if is_known {
        quota.settle(cost);
        return;
    }
    // It is unknown how far the engine ran. The rest of the reserved quota is stranded, since
    // tokens that may have run must not be granted again.
    node.metrics
        .count("grant.stranded", quota.amount().saturating_sub(cost));
    drop(quota);
}

/// Returns the tokens that the engine reports, once it can be reached and the run has ended;
/// `None` if the engine no longer has the stream.
async fn usage_of(
    interrupted: &InterruptedAnswer,
    options: crate::reader::ReadOptions,
) -> Option<Tokens> {
    let stream = interrupted.stream.clone()?;
    loop {
        let mut reader = Reader::resuming(interrupted.address, stream.clone(), 0, options);
        match reader.open().await {
            Ok(()) => {
                if let Some(usage) = read_usage(&mut reader).await {
                    return Some(tokens_run(usage));
                }
            }
            Err(ReadError::Gone) => return None,
            Err(_) => {}
        }
        sleep(RETRY_PAUSE).await;
    }
}
