//! Resumes a model's answer of which the caller has received a part.
//!
//! Any router can do so, since the token names the server and the stream. The run is charged
//! under its original key, by whichever router reaches the end of the stream first.

use std::time::Duration;

use swiftlink_types::{Refusal, RefusalKind};

use crate::call::Work;
use crate::model::finish;
use crate::pass::{Finished, Progress, StreamEnd, forward_chunks, read_usage};
use crate::reader::{ReadError, Reader};
use crate::reply::{Reply, ReplySender};
use crate::serve::{Run, send_reply};
use crate::sink::Sink;

/// Reads the rest of the stream and charges the run.
pub async fn run(mut run: Run, reply: ReplySender) {
    let Work::Resume(work) = run.call.work.clone() else {
        return;
    };
    let server = work.token.server.as_str();
    let Some(address) = run.call.pool.address(server) else {
        let detail = format!("the backend server {server} is no longer declared");
        return send_reply(reply, Reply::Refused(stream_gone(detail)));
    };
    if work.token.stream.is_empty() {
        let detail = "the engine gave the stream no id";
        return send_reply(reply, Reply::Refused(stream_gone(detail)));
    }
    let options = run.node.read_options();
    let stream = work.token.stream.clone();
    let mut reader = Reader::resuming(address, stream.clone(), work.from, options);
    if let Err(error) = reader.open().await {
        return send_reply(reply, Reply::Refused(read_refusal(&error)));
    }
    let mut sink = Sink::events(reply);
    sink.begin(work.text.clone());
    let mut progress = Progress::default();
    let orphan = Duration::from_millis(run.node.settings.orphan_ms);
    let end = forward_chunks(&mut reader, &mut sink, &mut progress, orphan, || {}).await;
    match end {
        StreamEnd::Complete(mut finished) => {
            if finished.last.is_none() {
                // The caller claims to have the last chunk. The charge must not depend on
                // that claim, so the usage is read from the whole stream.
                if progress.seen == 0 {
                    finished.end_number = work.from;
                }
                let mut full = Reader::resuming(address, stream, 0, options);
                finished.tokens = match read_usage(&mut full).await {
                    Some(usage) => crate::answer::tokens_run(usage),
                    None => finished.tokens,
                };
            }
            finish_resumed(&mut run, sink, finished).await;
            reader.finish().await;
        }
        StreamEnd::Orphaned => {}
        StreamEnd::Failed(error) => sink.fail(read_refusal(&error)).await,
    }
}

async fn finish_resumed(run: &mut Run, sink: Sink, finished: Finished) {
    run.node.metrics.count("answer.resumed", 1);
    let charged = run.charge(finished.tokens).await;
    finish(run, sink, finished, charged).await;
}

fn stream_gone(detail: impl Into<String>) -> Refusal {
    Refusal::unknown(RefusalKind::StreamGone, detail)
}

fn read_refusal(error: &ReadError) -> Refusal {
    match error {
        ReadError::Gone => stream_gone(error.to_string()),
        _ => Refusal::unknown(RefusalKind::ServerFailed, error.to_string())
            .with_retry(Duration::from_secs(1)),
    }
}
