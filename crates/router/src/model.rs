//! Runs a model request: dispatch, chunks, charge, end.

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
use crate::pass::{End, Finished, Progress, pass, read_usage};
use crate::reader::{ReadError, Reader};
use crate::reply::{Reply, ReplySender};
use crate::serve::{Run, send};
use crate::settle_late::{Leftover, settle_late};
use crate::sink::{Sink, receipt};
use crate::surface::Route;
use swiftlink_gateway::upstream;

/// Time that an engine gets to end a stream after it was told to.
const CANCEL_TIME: Duration = Duration::from_secs(2);

/// Runs a model request to its end.
pub async fn run(mut run: Run, reply: ReplySender) {
    let Work::Model(work) = run.call.work.clone() else {
        return;
    };
    let mut slot = match wait_slot(&run.call).await {
        Ok(slot) => slot,
        Err(refusal) => return send(reply, Reply::Refused(refusal)),
    };
    let mut sink = if work.stream {
        Sink::events(reply)
    } else {
        Sink::collect(reply, run.call.pool.name.as_str(), work.chat)
    };
    let mut leftover = None;
    loop {
        let opened = match dispatch(&mut run, &work).await {
            Ok(opened) => opened,
            Err(refusal) => {
                if let Some(leftover) = leftover {
                    settle_late(run, leftover);
                }
                return sink.fail(refusal).await;
            }
        };
        let ServerResponse { answer, mut target } = opened;
        let options = run.node.read_options();
        let mut reader = Reader::new(target.address, answer, 0, options);
        let stream = reader.stream().unwrap_or_default();
        sink.begin(token(&run.node, &run.call, work.chat, &target.name, stream));
        let mut progress = Progress::default();
        let orphan = Duration::from_millis(run.node.settings.orphan_ms);
        let on_first = || target.first_token();
        let end = pass(&mut reader, &mut sink, &mut progress, orphan, on_first).await;
        match end {
            End::Whole(finished) => {
                let server = target.name.clone();
                target.done();
                slot.served();
                drop(slot);
                let charged = run.charge(finished.tokens).await;
                run.remember(Some(server), reader.stream(), charged);
                run.call.key_use.free();
                finish(&run, sink, finished, charged).await;
                // The caller's connection, on this thread too, writes the end first.
                tokio::task::yield_now().await;
                return reader.finish().await;
            }
            End::Orphaned => {
                slot.served();
                return cancel(run, reader, target, progress).await;
            }
            End::Cut(error) => {
                let why = error.to_string();
                event!(
                    info,
                    "answer.cut",
                    server = target.name,
                    key = run.call.key(),
                    why = why
                );
                let rest = Leftover {
                    address: target.address,
                    stream: reader.stream().map(str::to_owned),
                    seen: progress.seen,
                };
                let detail = format!("the answer of {} was cut: {why}", target.name);
                target.failed(kind(&error));
                if !sink.has_sent() && may_retry(&run.call, &mut run.attempt, &why).is_ok() {
                    leftover = Some(rest);
                    continue;
                }
                settle_late(run, rest);
                let refusal = Refusal::unknown(RefusalKind::ServerFailed, detail);
                return sink.fail(refusal).await;
            }
        }
    }
}

/// Releases the end of a whole answer, which is charged.
pub async fn finish(run: &Run, sink: Sink, finished: Finished, charged: Tokens) {
    run.node.metrics.count("answer.whole", 1);
    run.whole();
    let receipt = receipt(run.call.key(), charged);
    sink.finish(finished.last, finished.end, receipt).await;
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

fn kind(error: &ReadError) -> ErrorKind {
    match error {
        ReadError::Gone | ReadError::Broken(_) => ErrorKind::Broken,
        ReadError::Lost(_) => ErrorKind::Timeout,
    }
}

/// The signed token that resumes the stream at any router.
#[must_use]
pub fn token(node: &Node, call: &Call, chat: bool, server: &ServerName, stream: &str) -> String {
    let seat = node.members.find(&call.budget);
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
        epoch: seat.map_or(0, |seat| seat.incarnation.epoch),
        once: call.once,
        chat,
    };
    token.sign(&node.secret)
}

/// Ends a stream that nobody waits for, and charges what ran.
async fn cancel(mut run: Run, mut reader: Reader, target: Target, progress: Progress) {
    let address = target.address;
    let Some(stream) = reader.stream().map(str::to_owned) else {
        return;
    };
    let options = run.node.send_options(CANCEL_TIME, false);
    let request = engine::cancel(address, &stream);
    if let Err(error) = upstream::send(address, request, options).await {
        event!(
            info,
            "answer.cancel-failed",
            server = target.name,
            why = error
        );
    }
    let until = Instant::now() + CANCEL_TIME;
    let ended = tokio::time::timeout_at(until, read_usage(&mut reader)).await;
    drop(target);
    run.node.metrics.count("answer.orphaned", 1);
    if let Ok(Some(usage)) = ended {
        run.charge(tokens_run(usage)).await;
        return;
    }
    let leftover = Leftover {
        address,
        stream: None,
        seen: progress.seen,
    };
    settle_late(run, leftover);
}
