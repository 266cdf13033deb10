//! Passes an engine's chunks on to a sink and finds what the run cost.

use std::time::Duration;

use swiftlink_stream::{Chunk, StreamEvent, Usage, parse_event};
use swiftlink_types::Tokens;
use tokio::time::{Instant, timeout_at};

use crate::answer::tokens_run;
use crate::reader::{ReadError, Reader};
use crate::sink::{LastChunk, Sink};

/// What stands in a chunk that may tell the usage.
const USAGE_MARK: &str = "\"usage\"";

/// How the chunks ended.
#[derive(Debug)]
pub enum End {
    /// All came.
    Whole(Finished),
    /// The rest can't be had.
    Cut(ReadError),
    /// The caller has gone, and the time that its answer runs on is over.
    Orphaned,
}

/// A whole answer.
#[derive(Debug)]
pub struct Finished {
    /// The last chunk, kept back; it tells the usage.
    pub last: Option<LastChunk>,
    /// Number of the end mark.
    pub end: u64,
    /// Tokens run; without the engine's word, the chunks seen.
    pub tokens: Tokens,
}

/// Progress of one pass.
#[derive(Debug, Default)]
pub struct Progress {
    /// Chunks with a part of the answer seen so far.
    pub seen: Tokens,
    /// The first chunk came at.
    pub first: Option<Instant>,
}

/// Passes chunks until the answer is whole, cut or orphaned for `orphan`.
pub async fn pass(
    reader: &mut Reader,
    sink: &mut Sink,
    progress: &mut Progress,
    orphan: Duration,
    mut on_first: impl FnMut(),
) -> End {
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
                Err(_elapsed) => return End::Orphaned,
            },
        };
        let chunk = match next {
            Ok(Some(chunk)) => chunk,
            Ok(None) => break,
            Err(error) => return End::Cut(error),
        };
        if progress.first.is_none() {
            progress.first = Some(Instant::now());
            on_first();
        }
        // A chunk after the one with the usage: that one wasn't the last.
        if let Some(kept) = last.take() {
            sink.push(kept.number, &kept.data).await;
        }
        next_number = chunk.number + 1;
        progress.seen += 1;
        last = take(chunk, sink).await;
    }
    let usage = last.as_ref().and_then(|last| last.part.usage);
    End::Whole(Finished {
        tokens: usage.map_or(progress.seen, tokens_run),
        last,
        end: next_number,
    })
}

/// Passes the chunk on, or keeps it back when it tells the usage.
async fn take(chunk: Chunk, sink: &mut Sink) -> Option<LastChunk> {
    let number = chunk.number;
    let data = String::from_utf8_lossy(&chunk.data).into_owned();
    if let Some(part) = usage_part(&data) {
        return Some(LastChunk { number, data, part });
    }
    sink.push(number, &data).await;
    None
}

/// The chunk's content, if it tells the usage.
fn usage_part(data: &str) -> Option<swiftlink_stream::Completion> {
    if !data.contains(USAGE_MARK) {
        return None;
    }
    match parse_event(data.as_bytes()) {
        Ok(StreamEvent::Part(part)) if part.usage.is_some() => Some(part),
        _ => None,
    }
}

/// Reads on without a caller, for the usage only; `None` when it can't be had.
pub async fn read_usage(reader: &mut Reader) -> Option<Usage> {
    let mut usage = None;
    while let Some(chunk) = reader.next().await.ok()? {
        let data = String::from_utf8_lossy(&chunk.data);
        if let Some(part) = usage_part(&data) {
            usage = part.usage;
        }
    }
    usage
}
