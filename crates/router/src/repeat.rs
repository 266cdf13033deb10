//! A request whose key this router has dispatched before.
//!
//! A whole answer is given again from the engine's kept stream: nothing runs and
//! nothing is charged.

use std::time::Duration;

use swiftlink_types::{Outcome, Refusal, RefusalKind, RequestKey, Tokens, WorkspaceName};
use tokio::time::timeout_at;

use crate::call::{Call, ModelWork, Work};
use crate::history::{RunHistory, WholeRun};
use crate::model::token;
use crate::node::Node;
use crate::pass::{End, Progress, pass};
use crate::reader::Reader;
use crate::reply::{Reply, ReplySender};
use crate::serve::send;
use crate::sink::{Sink, receipt};

/// Answers `call` with the answer of the run `whole`, or says that it ran.
pub async fn run(node: &Node, call: Call, whole: WholeRun, reply: ReplySender) {
    let charged = whole.charged;
    let Some((work, mut reader)) = open(node, &call, &whole).await else {
        return send(reply, Reply::Refused(not_kept(charged)));
    };
    let mut sink = if work.stream {
        Sink::events(reply)
    } else {
        Sink::collect(reply, call.pool.name.as_str(), work.chat)
    };
    if let (Some(server), Some(stream)) = (&whole.server, &whole.stream) {
        sink.begin(token(node, &call, work.chat, server, stream));
    }
    let mut progress = Progress::default();
    // The run has ended; without its caller there is nothing to read on for.
    let orphan = Duration::ZERO;
    match pass(&mut reader, &mut sink, &mut progress, orphan, || {}).await {
        End::Whole(finished) => {
            node.metrics.count("answer.repeated", 1);
            let receipt = receipt(call.key(), charged);
            sink.finish(finished.last, finished.end, receipt).await;
            reader.finish().await;
        }
        End::Orphaned => {}
        End::Cut(_) => sink.fail(not_kept(charged)).await,
    }
}

/// Opens the kept stream of the run, if there is one.
async fn open(node: &Node, call: &Call, whole: &WholeRun) -> Option<(ModelWork, Reader)> {
    let Work::Model(work) = &call.work else {
        return None;
    };
    let server = whole.server.as_ref()?;
    let address = call.pool.address(server.as_str())?;
    let stream = whole.stream.clone()?;
    let mut reader = Reader::resuming(address, stream, 0, node.read_options());
    let opened = timeout_at(call.deadline, reader.open()).await;
    opened.ok()?.ok()?;
    Some((work.clone(), reader))
}

/// The key was sent before with another request.
#[must_use]
pub fn reused() -> Refusal {
    let detail = "the key was sent before with another method, target or body";
    Refusal::unknown(RefusalKind::KeyReused, detail)
}

/// The key was charged, and this router has no whole answer of it.
#[must_use]
pub fn charged() -> Refusal {
    let detail = "a run of this key has ended elsewhere and was charged";
    Refusal::ran(RefusalKind::KeyInUse, detail)
}

fn not_kept(charged: Tokens) -> Refusal {
    let detail =
        format!("the request ran and was charged {charged} tokens; its answer is no longer kept");
    Refusal::ran(RefusalKind::KeyInUse, detail)
}

/// The refusal as it is when this router has dispatched the key before: whatever it is
/// refused for now, it can't be said that the key has not run.
#[must_use]
pub fn adjust_outcome(
    past: &RunHistory,
    workspace: &WorkspaceName,
    key: RequestKey,
    refusal: Refusal,
) -> Refusal {
    if past.knows(workspace, key) {
        return with_unknown_outcome(refusal);
    }
    refusal
}

/// The refusal of a request whose key has a run, such as a resumption.
#[must_use]
pub fn with_unknown_outcome(mut refusal: Refusal) -> Refusal {
    if refusal.outcome == Outcome::NotRun {
        refusal.outcome = Outcome::Unknown;
    }
    refusal
}
