//! Requests whose key this router has dispatched before.
//!
//! A complete answer is repeated from the stream that the engine retains: nothing runs and
//! nothing is charged.

use std::time::Duration;

use swiftlink_types::{Outcome, Refusal, RefusalKind, RequestKey, Tokens, WorkspaceName};
use tokio::time::timeout_at;

use crate::call::{Call, ModelWork, Work};
use crate::history::{CompletedRun, RunHistory};
use crate::model::resume_token;
use crate::node::Node;
use crate::pass::{Progress, StreamEnd, forward_chunks};
use crate::reader::Reader;
use crate::reply::{Reply, ReplySender};
use crate::serve::send_reply;
use crate::sink::{Sink, receipt};

/// Answers `call` with the answer of `completed`, or with a refusal that says that it ran.
pub async fn run(node: &Node, call: Call, completed: CompletedRun, reply: ReplySender) {
    let charged = completed.charged;
    let Some((work, mut reader)) = open(node, &call, &completed).await else {
        return send_reply(reply, Reply::Refused(not_kept(charged)));
    };
    let mut sink = if work.stream {
        Sink::events(reply)
    } else {
        Sink::collect(reply, call.pool.name.as_str(), work.chat)
    };
    if let (Some(server), Some(stream)) = (&completed.server, &completed.stream) {
        sink.begin(resume_token(node, &call, work.chat, server, stream));
    }
    let mut progress = Progress::default();
    // The run has ended and is charged, so the rest is not read if the caller is gone.
    let orphan = Duration::ZERO;
    match forward_chunks(&mut reader, &mut sink, &mut progress, orphan, || {}).await {
        StreamEnd::Complete(finished) => {
            node.metrics.count("answer.repeated", 1);
            let receipt = receipt(call.key(), charged);
            sink.finish(finished.last, finished.end_number, receipt)
                .await;
            reader.finish().await;
        }
        StreamEnd::Orphaned => {}
        StreamEnd::Failed(_) => sink.fail(not_kept(charged)).await,
    }
}

/// Opens the retained stream of the run, if the engine still has it.
async fn open(node: &Node, call: &Call, completed: &CompletedRun) -> Option<(ModelWork, Reader)> {
    let Work::Model(work) = &call.work else {
        return None;
    };
    let server = completed.server.as_ref()?;
    let address = call.pool.address(server.as_str())?;
    let stream = completed.stream.clone()?;
    let mut reader = Reader::resuming(address, stream, 0, node.read_options());
    let opened = timeout_at(call.deadline, reader.open()).await;
    opened.ok()?.ok()?;
    Some((work.clone(), reader))
}

/// Refusal: the key was used before for a different request.
#[must_use]
pub fn reused() -> Refusal {
    let detail = "the key was sent before with another method, target or body";
    Refusal::unknown(RefusalKind::KeyReused, detail)
}

/// Refusal: the key was charged, and this router has no complete answer for it.
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

/// Changes the outcome of a refusal to unknown if this router has dispatched the key before:
/// whatever the reason now, the key may have run.
#[must_use]
pub fn adjust_outcome(
    history: &RunHistory,
    workspace: &WorkspaceName,
    key: RequestKey,
    refusal: Refusal,
) -> Refusal {
    if history.knows(workspace, key) {
        return with_unknown_outcome(refusal);
    }
    refusal
}

/// Changes the outcome "not run" to unknown, for a request whose key may have a run, such as a
/// resumption.
#[must_use]
pub fn with_unknown_outcome(mut refusal: Refusal) -> Refusal {
    if refusal.outcome == Outcome::NotRun {
        refusal.outcome = Outcome::Unknown;
    }
    refusal
}
