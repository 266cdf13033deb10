//! Forwards an engine's chunks to a sink and determines how many tokens the run took.

use std::time::Duration;

use swiftlink_stream::{Chunk, StreamEvent, Usage, parse_event};
use swiftlink_types::Tokens;
use tokio::time::{Instant, timeout_at};

use crate::answer::tokens_run;
use crate::reader::{ReadError, Reader};
use crate::sink::{LastChunk, Sink};

/// Text that each chunk with a usage report contains.
const USAGE_FIELD: &str = "\"usage\"";

/// How a stream of chunks ended.
#[derive(Debug)]
pub enum StreamEnd {
    /// All chunks arrived.
    Complete(Finished),
    /// The remaining chunks can't be read.
    Failed(ReadError),
    /// The caller is gone, and the time for which its answer runs on has passed.
    Orphaned,
}

/// A complete answer.
#[derive(Debug)]
pub struct Finished {
    /// The last chunk, held back until the charge; it reports the usage.
    pub last: Option<LastChunk>,
    /// Number of the end marker.
    pub end_number: u64,
    /// Tokens run; the number of chunks seen if the engine reported no usage.
    pub tokens: Tokens,
}

/// Progress of reading one stream.
#[derive(Debug, Default)]
pub struct Progress {
    /// Chunks received so far.
    pub seen: Tokens,
    /// Arrival time of the first chunk.
    pub first: Option<Instant>,
}

/// Forwards chunks until the answer is complete or has failed, or its caller has been gone
/// for `orphan`.
pub async fn forward_chunks(
    reader: &mut Reader,
    sink: &mut Sink,
    progress: &mut Progress,
    orphan: Duration,
    mut on_first: impl FnMut(),
) -> StreamEnd {
    let mut last: Option<LastChunk> = None;
    let mut until = None;
    let mut next_number = 0;
    loop {
        if until.is_none() && sink.is_gone() {
            until = Some(Instant::now() + orphan);
        }
        let next = match until {
            None => reader.next().await,
            Some(until) => match timeout_at(until, reader.next()).await {
                Ok(next) => next,
                Err(_elapsed) => return StreamEnd::Orphaned,
            },
        };
        let chunk = match next {
            Ok(Some(chunk)) => chunk,
            Ok(None) => break,
            Err(error) => return StreamEnd::Failed(error),
        };
        if progress.first.is_none() {
            progress.first = Some(Instant::now());
            on_first();
        }
        // Another chunk follows, so the one with the usage wasn't the last.
        if let Some(held) = last.take() {
            sink.push(held.number, &held.data).await;
        }
        next_number = chunk.number + 1;
        progress.seen += 1;
        last = forward_or_hold(chunk, sink).await;
    }
    let usage = last.as_ref().and_then(|last| last.part.usage);
    StreamEnd::Complete(Finished {
        tokens: usage.map_or(progress.seen, tokens_run),
        last,
        end_number: next_number,
    })
}

/// Forwards the chunk, or holds it back if it reports the usage.
async fn forward_or_hold(chunk: Chunk, sink: &mut Sink) -> Option<LastChunk> {
    let number = chunk.number;
    let data = String::from_utf8_lossy(&chunk.data).into_owned();
    if let Some(part) = parse_usage(&data) {
        return Some(LastChunk { number, data, part });
    }
    sink.push(number, &data).await;
    None
}

/// Parses the chunk if it reports the usage.
fn parse_usage(data: &str) -> Option<swiftlink_stream::Completion> {
    if !data.contains(USAGE_FIELD) {
        return None;
    }
    match parse_event(data.as_bytes()) {
        Ok(StreamEvent::Part(part)) if part.usage.is_some() => Some(part),
        _ => None,
    }
}

/// Reads the rest of a stream for its usage only; `None` if the stream fails or reports none.
pub async fn read_usage(reader: &mut Reader) -> Option<Usage> {
    let mut usage = None;
    while let Some(chunk) = reader.next().await.ok()? {
        let data = String::from_utf8_lossy(&chunk.data);
        if let Some(part) = parse_usage(&data) {
            usage = part.usage;
        }
    }
    usage
}
