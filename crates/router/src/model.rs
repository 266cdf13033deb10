//! Runs a model request: dispatches it, forwards the chunks and charges the tokens before the
//! end of the answer is released.

use std::time::Duration;

use swiftlink_routing::ErrorKind;
use swiftlink_stream::ResumeToken;
use swiftlink_telemetry::event;
use swiftlink_types::{Refusal, RefusalKind, ServerName, Tokens};
use tokio::time::Instant;

use crate::answer::tokens_run;
use crate::call::{Call, ModelWork, Work};
use crate::dispatch::{ServerResponse, may_retry, open, wait_slot};
use crate::engine;
use crate::fleet::Target;
use crate::node::Node;
use crate::pass::{Finished, Progress, StreamEnd, forward_chunks, read_usage};
use crate::reader::{ReadError, Reader};
use crate::reply::{Reply, ReplySender};
use crate::serve::{Run, send_reply};
use crate::settle_late::{InterruptedAnswer, settle_late};
use crate::sink::{Sink, receipt};
use crate::surface::Route;
use swiftlink_gateway::upstream;

/// Longest wait for an engine to end a cancelled stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a model request until its answer is complete, interrupted or abandoned by its caller.
pub async fn run(mut run: Run, reply: ReplySender) {
    let Work::Model(work) = run.call.work.clone() else {
        return;
    };
    let mut slot = match wait_slot(&run.call).await {
        Ok(slot) => slot,
        Err(refusal) => return send_reply(reply, Reply::Refused(refusal)),
    };
    let mut sink = if work.stream {
        Sink::events(reply)
    } else {
        Sink::collect(reply, run.call.pool.name.as_str(), work.chat)
    };
    let mut interrupted = None;
    loop {
        let opened = match dispatch(&mut run, &work).await {
            Ok(opened) => opened,
            Err(refusal) => {
                if let Some(interrupted) = interrupted {
                    settle_late(run, interrupted);
                }
                return sink.fail(refusal).await;
            }
        };
        let ServerResponse { answer, mut target } = opened;
        let options = run.node.read_options();
        let mut reader = Reader::new(target.address, answer, 0, options);
        let stream = reader.stream().unwrap_or_default();
        sink.begin(resume_token(
            &run.node,
            &run.call,
            work.chat,
            &target.name,
            stream,
        ));
        let mut progress = Progress::default();
        let orphan = Duration::from_millis(run.node.settings.orphan_ms);
        let on_first = || target.first_token();
        let end = forward_chunks(&mut reader, &mut sink, &mut progress, orphan, on_first).await;
        match end {
            StreamEnd::Complete(finished) => {
                let server = target.name.clone();
                target.done();
                slot.served();
                drop(slot);
                let charged = run.charge(finished.tokens).await;
                run.remember(Some(server), reader.stream(), charged);
                run.call.key_use.free();
                finish(&run, sink, finished, charged).await;
                // Lets the caller's connection, which runs on this thread too, write the end first.
                tokio::task::yield_now().await;
                return reader.finish().await;
            }
            StreamEnd::Orphaned => {
                slot.served();
                return cancel(run, reader, target, progress).await;
            }
            StreamEnd::Failed(error) => {
                let why = error.to_string();
                event!(
                    info,
                    "answer.interrupted",
                    server = target.name,
                    key = run.call.key(),
                    why = why
                );
                let partial = InterruptedAnswer {
                    address: target.address,
                    stream: reader.stream().map(str::to_owned),
                    seen: progress.seen,
                };
                let detail = format!("the answer of {} was cut: {why}", target.name);
                target.failed(error_kind(&error));
                if !sink.has_sent() && may_retry(&run.call, &mut run.attempt, &why).is_ok() {
                    interrupted = Some(partial);
                    continue;
                }
                settle_late(run, partial);
                let refusal = Refusal::unknown(RefusalKind::ServerFailed, detail);
                return sink.fail(refusal).await;
            }
        }
    }
}

/// Releases the end of a complete answer after its charge.
pub async fn finish(run: &Run, sink: Sink, finished: Finished, charged: Tokens) {
    run.node.metrics.count("answer.whole", 1);
    run.mark_complete();
    let receipt = receipt(run.call.key(), charged);
    sink.finish(finished.last, finished.end_number, receipt)
        .await;
}

async fn dispatch(run: &mut Run, work: &ModelWork) -> Result<ServerResponse, Refusal> {
    let path = Route::engine_path(work.chat);
    let key = run.call.key();
    let weight = run.call.class.weight;
    let make = |target: &Target| engine::post(target.address, path, work.body.clone(), key, weight);
    let Run {
        node,
        call,
        attempt,
        ..
    } = run;
    open(node, call, attempt, work.prefix, true, make).await
}

fn error_kind(error: &ReadError) -> ErrorKind {
    match error {
        ReadError::Gone | ReadError::Broken(_) => ErrorKind::Broken,
        ReadError::Lost(_) => ErrorKind::Timeout,
    }
}

/// Returns the signed token with which any router can resume the stream.
#[must_use]
pub fn resume_token(
    node: &Node,
    call: &Call,
    chat: bool,
    server: &ServerName,
    stream: &str,
) -> String {
    let membership = node.members.find(&call.budget);
    let token = ResumeToken {
        key: call.key().as_bytes().to_vec(),
        workspace: call.workspace().to_string(),
        budget: call.budget.to_string(),
        pool: call.pool.name.to_string(),
        server: server.to_string(),
        stream: stream.to_owned(),
        class: call.class_name.to_string(),
        price: call.class.price,
        bound: call.bound,
        vm: node.settings.common.vm.clone(),
        epoch: membership.map_or(0, |membership| membership.incarnation.epoch),
        once: call.once,
        chat,
    };
    token.sign(&node.secret)
}

/// Cancels a stream whose caller is gone, and charges the tokens that the engine ran.
async fn cancel(mut run: Run, mut reader: Reader, target: Target, progress: Progress) {
    let address = target.address;
    let Some(stream) = reader.stream().map(str::to_owned) else {
        return;
    };
    let options = run.node.send_options(CANCEL_TIMEOUT, false);
    let request = engine::cancel(address, &stream);
    if let Err(error) = upstream::send(address, request, options).await {
        event!(
            info,
            "answer.cancel-failed",
            server = target.name,
            why = error
        );
    }
    let until = Instant::now() + CANCEL_TIMEOUT;
    let ended = tokio::time::timeout_at(until, read_usage(&mut reader)).await;
    drop(target);
    run.node.metrics.count("answer.orphaned", 1);
    if let Ok(Some(usage)) = ended {
        run.charge(tokens_run(usage)).await;
        return;
    }
    let interrupted = InterruptedAnswer {
        address,
        stream: None,
        seen: progress.seen,
    };
    settle_late(run, interrupted);
}
