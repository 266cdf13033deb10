//! Resumes a model's answer that the caller has seen a part of.
//!
//! Any router can: the token names server and stream. The run is charged under its
//! own key, so that whichever router reaches its end first charges it.

use std::time::Duration;

use swiftlink_types::{Refusal, RefusalKind};

use crate::call::Work;
use crate::model::finish;
use crate::pass::{End, Finished, Progress, pass, read_usage};
use crate::reader::{ReadError, Reader};
use crate::reply::{Reply, ReplySender};
use crate::serve::{Run, send};
use crate::sink::Sink;

/// Reads the rest of the stream and charges the run.
pub async fn run(mut run: Run, reply: ReplySender) {
    let Work::Resume(work) = run.call.work.clone() else {
        return;
    };
    let server = work.token.server.as_str();
    let Some(address) = run.call.pool.address(server) else {
        let detail = format!("the backend server {server} is no longer declared");
        return send(reply, Reply::Refused(gone(detail)));
    };
    if work.token.stream.is_empty() {
        let detail = "the engine gave the stream no id";
        return send(reply, Reply::Refused(gone(detail)));
    }
    let options = run.node.read_options();
    let stream = work.token.stream.clone();
    let mut reader = Reader::resuming(address, stream.clone(), work.from, options);
    if let Err(error) = reader.open().await {
        return send(reply, Reply::Refused(read_refusal(&error)));
    }
    let mut sink = Sink::events(reply);
    sink.begin(work.text.clone());
    let mut progress = Progress::default();
    let orphan = Duration::from_millis(run.node.settings.orphan_ms);
    let end = pass(&mut reader, &mut sink, &mut progress, orphan, || {}).await;
    match end {
        End::Whole(mut finished) => {
            if finished.last.is_none() {
                // The caller says that it has seen the last chunk; the charge doesn't
                // depend on its word.
                if progress.seen == 0 {
                    finished.end = work.from;
                }
                let mut whole = Reader::resuming(address, stream, 0, options);
                finished.tokens = match read_usage(&mut whole).await {
                    Some(usage) => crate::answer::tokens_run(usage),
                    None => finished.tokens,
                };
            }
            finish_resumed(&mut run, sink, finished).await;
            reader.finish().await;
        }
        End::Orphaned => {}
        End::Cut(error) => sink.fail(read_refusal(&error)).await,
    }
}

async fn finish_resumed(run: &mut Run, sink: Sink, finished: Finished) {
    run.node.metrics.count("answer.resumed", 1);
    let charged = run.charge(finished.tokens).await;
    finish(run, sink, finished, charged).await;
}

fn gone(detail: impl Into<String>) -> Refusal {
    Refusal::unknown(RefusalKind::StreamGone, detail)
}

fn read_refusal(error: &ReadError) -> Refusal {
    match error {
        ReadError::Gone => gone(error.to_string()),
        _ => Refusal::unknown(RefusalKind::ServerFailed, error.to_string())
            .with_retry(Duration::from_secs(1)),
    }
}
