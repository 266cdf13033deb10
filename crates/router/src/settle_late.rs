//! Charges of answers that were cut before their end.
//!
//! The caller was told that the outcome is unknown and may come back with the same
//! key, here or elsewhere; whichever run ends first is charged. So the charge of
//! the part waits: first for the engine, which may still tell how the run ended,
//! and then for the time in which the caller is expected back.

use std::net::SocketAddr;
use std::time::Duration;

use swiftlink_types::Tokens;
use tokio::time::{Instant, sleep, timeout_at};

use crate::answer::tokens_run;
use crate::pass::read_usage;
use crate::reader::{ReadError, Reader};
use crate::serve::Run;

/// Pause between tries to reach the engine.
const TRY_PAUSE: Duration = Duration::from_secs(1);

/// What is left of a cut answer.
#[derive(Debug, Clone)]
pub struct Leftover {
    /// Address of the engine that ran it.
    pub address: SocketAddr,
    /// The engine's id of the stream.
    pub stream: Option<String>,
    /// Chunks that were seen of it.
    pub seen: Tokens,
}

/// Charges the cut answer of `run` in the background.
pub fn settle_late(run: Run, leftover: Leftover) {
    let node = std::sync::Arc::clone(&run.node);
    node.late.spawn_on(work(run, leftover), &node.runtime);
}

async fn work(run: Run, leftover: Leftover) {
    let Run {
        node,
        call,
        seat,
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
    // The key is free for the caller's retry from here on.
    drop(call);
    let until = Instant::now() + Duration::from_millis(node.settings.partial_ms);
    let usage = tokio::select! {
        () = node.closing.cancelled() => None,
        usage = timeout_at(until, usage_of(&leftover, options)) => usage.ok().flatten(),
    };
    let is_known = usage.is_some();
    if !is_known {
        tokio::select! {
            () = node.closing.cancelled() => {}
            () = tokio::time::sleep_until(until) => {}
        }
    }
    let tokens = usage.unwrap_or(leftover.seen);
    let cost = swiftlink_types::cost(tokens, price).min(bound);
    let (Some(seat), Some(rights)) = (seat, attempt.reservation) else {
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
        node.settler.settle(&seat, charge, hold).await;
    }
    if is_known {
        rights.settle(cost);
        return;
    }
    // How far the engine ran isn't known: the rest of the rights stays out of use,
    // since tokens that may have run must not be handed out again.
    node.metrics
        .count("grant.stranded", rights.amount().saturating_sub(cost));
    drop(rights);
}

/// Tokens that the engine says it ran, once it can be reached and the run has ended.
async fn usage_of(leftover: &Leftover, options: crate::reader::ReadOptions) -> Option<Tokens> {
    let stream = leftover.stream.clone()?;
    loop {
        let mut reader = Reader::resuming(leftover.address, stream.clone(), 0, options);
        match reader.open().await {
            Ok(()) => {
                if let Some(usage) = read_usage(&mut reader).await {
                    return Some(tokens_run(usage));
                }
            }
            Err(ReadError::Gone) => return None,
            Err(_) => {}
        }
        sleep(TRY_PAUSE).await;
    }
}
