//! Simple continuous batching: each step generates tokens for every request that has a
//! slot. Without I/O; time is an argument.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::text;

/// Number of a stream within one engine process.
pub type StreamNo = u64;

/// A request to the batch.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Job {
    /// Request key from the router; empty when there is none.
    pub key: String,
    /// Name of the requested model.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of answer tokens.
    pub max_tokens: u64,
    /// Priority; higher ones get a slot first.
    pub priority: u32,
}

/// State of a stream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// Has no slot yet; nothing has run.
    Waiting,
    /// Has a slot.
    Running,
    /// Ran to completion.
    Finished,
    /// Was cancelled.
    Cancelled,
}

/// A request in the batch, or retained after its end.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The request.
    pub job: Job,
    /// State of the request.
    pub phase: Phase,
    /// Number of answer tokens generated so far.
    pub done: u64,
    /// Number of tokens of the complete answer.
    pub length: u64,
    ended_ms: u64,
}

/// Totals of one request key over all its executions.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Run {
    /// Request key.
    pub key: String,
    /// `model` at an engine, `service` at a plain service.
    pub kind: String,
    /// Prompt tokens processed, over all executions.
    pub prompt_tokens: u64,
    /// Answer tokens generated, over all executions.
    pub completion_tokens: u64,
    /// Number of started executions.
    pub executions: u64,
    /// Number of times that the request was accepted.
    pub seen: u64,
    /// Whether an execution ran to completion.
    pub finished: bool,
    /// Prompt and answer tokens of the latest execution that ran to completion.
    pub last_tokens: u64,
}

/// Counters of a load report.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Load {
    /// Number of requests that have a slot.
    pub running: u64,
    /// Number of requests that wait for a slot.
    pub waiting: u64,
}

/// The engine's batch.
#[derive(Debug, Default)]
pub struct Batch {
    streams: BTreeMap<StreamNo, Stream>,
    waiting: BTreeSet<(std::cmp::Reverse<u32>, StreamNo)>,
    running: BTreeSet<StreamNo>,
    runs: BTreeMap<String, Run>,
    last: StreamNo,
}

impl Batch {
    /// Queues a request and returns the number of its stream.
    pub fn submit(&mut self, job: Job) -> StreamNo {
        self.last += 1;
        let no = self.last;
        let run = self.runs.entry(job.key.clone()).or_insert_with(|| Run {
            key: job.key.clone(),
            kind: "model".to_owned(),
            ..Run::default()
        });
        run.seen += 1;
        self.waiting.insert((std::cmp::Reverse(job.priority), no));
        let length = text::answer_length(&job.prompt, job.max_tokens);
        let stream = Stream {
            job,
            phase: Phase::Waiting,
            done: 0,
            length,
            ended_ms: 0,
        };
        self.streams.insert(no, stream);
        no
    }

    /// Fills free slots and generates up to `tokens` tokens for each running request.
    /// Returns whether any request is running or waiting.
    pub fn step(&mut self, now_ms: u64, slots: usize, tokens: u64) -> bool {
        self.admit(slots);
        for no in self.running.clone() {
            self.advance(no, now_ms, tokens);
        }
        !self.running.is_empty() || !self.waiting.is_empty()
    }

    /// Cancels a stream. Returns false when it is unknown or has ended.
    pub fn cancel(&mut self, no: StreamNo, now_ms: u64) -> bool {
        let Some(stream) = self.streams.get_mut(&no) else {
            return false;
        };
        if !matches!(stream.phase, Phase::Waiting | Phase::Running) {
            return false;
        }
        stream.phase = Phase::Cancelled;
        stream.ended_ms = now_ms;
        self.running.remove(&no);
        self.waiting
            .remove(&(std::cmp::Reverse(stream.job.priority), no));
        true
    }

    /// Drops streams that ended more than `keep_ms` ago.
    pub fn sweep(&mut self, now_ms: u64, keep_ms: u64) {
        self.streams.retain(|_no, stream| {
            let live = matches!(stream.phase, Phase::Waiting | Phase::Running);
            live || now_ms <= stream.ended_ms.saturating_add(keep_ms)
        });
    }

    /// Returns the stream while it is retained.
    #[must_use]
    pub fn stream(&self, no: StreamNo) -> Option<&Stream> {
        self.streams.get(&no)
    }

    /// Counts the requests with and without a slot.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
        }
    }

    /// Returns the totals of each request key.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.runs.values().cloned().collect()
    }

    fn admit(&mut self, slots: usize) {
        while self.running.len() < slots {
            let Some((_priority, no)) = self.waiting.pop_first() else {
                return;
            };
            let Some(stream) = self.streams.get_mut(&no) else {
                continue;
            };
            stream.phase = Phase::Running;
            self.running.insert(no);
            let run = self.runs.entry(stream.job.key.clone()).or_default();
            run.executions += 1;
            run.prompt_tokens += text::prompt_tokens(&stream.job.prompt);
        }
    }

    fn advance(&mut self, no: StreamNo, now_ms: u64, tokens: u64) {
        let Some(stream) = self.streams.get_mut(&no) else {
            return;
        };
        let more = tokens.min(stream.length - stream.done);
        stream.done += more;
        let run = self.runs.entry(stream.job.key.clone()).or_default();
        run.completion_tokens += more;
        if stream.done < stream.length {
            return;
        }
        stream.phase = Phase::Finished;
        stream.ended_ms = now_ms;
        run.finished = true;
        run.last_tokens = text::prompt_tokens(&stream.job.prompt) + stream.length;
        self.running.remove(&no);
    }
}
