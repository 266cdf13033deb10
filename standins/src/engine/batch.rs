//! Continuous batching in a simple form: each step gives one token to every
//! request that has a slot. No I/O; time is an argument.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::text;

/// Number of a stream within one engine process.
pub type StreamNo = u64;

/// A request as the batch takes it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Job {
    /// Request key that the router sent; empty when there was none.
    pub key: String,
    /// Model that was asked for.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Most tokens to answer with.
    pub max_tokens: u64,
    /// Higher first.
    pub priority: u32,
}

/// Where a stream stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// No slot yet; nothing has run.
    Waiting,
    /// Has a slot.
    Running,
    /// Ran to its end.
    Finished,
    /// Was cancelled.
    Cancelled,
}

/// One request in the batch or kept after its end.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The request.
    pub job: Job,
    /// Where it stands.
    pub phase: Phase,
    /// Tokens of the answer so far.
    pub done: u64,
    /// Tokens of the whole answer.
    pub length: u64,
    ended_ms: u64,
}

/// What the engine ran for one request key, over all its executions.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Run {
    /// Request key.
    pub key: String,
    /// `model` at an engine, `service` at a plain service.
    pub kind: String,
    /// Prompt tokens run, over all executions.
    pub prompt_tokens: u64,
    /// Answer tokens run, over all executions.
    pub completion_tokens: u64,
    /// Times that the request was begun.
    pub executions: u64,
    /// Times that the request arrived and was taken.
    pub seen: u64,
    /// An execution ran to its end.
    pub finished: bool,
    /// Prompt and answer tokens of the newest execution that ran to its end.
    pub last_tokens: u64,
}

/// Counters that a load report gives.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Load {
    /// Requests that have a slot.
    pub running: u64,
    /// Requests that wait for one.
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
    /// Queues a request and returns its stream's number.
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

    /// Fills free slots and gives each running request up to `tokens` tokens.
    /// Returns whether anything is still to be done.
    pub fn step(&mut self, now_ms: u64, slots: usize, tokens: u64) -> bool {
        self.admit(slots);
        for no in self.running.clone() {
            self.advance(no, now_ms, tokens);
        }
        !self.running.is_empty() || !self.waiting.is_empty()
    }

    /// Ends a stream early; false when it is unknown or has ended.
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

    /// Forgets streams that ended more than `keep_ms` ago.
    pub fn sweep(&mut self, now_ms: u64, keep_ms: u64) {
        self.streams.retain(|_no, stream| {
            let live = matches!(stream.phase, Phase::Waiting | Phase::Running);
            live || now_ms <= stream.ended_ms.saturating_add(keep_ms)
        });
    }

    /// The stream, while it is kept.
    #[must_use]
    pub fn stream(&self, no: StreamNo) -> Option<&Stream> {
        self.streams.get(&no)
    }

    /// Requests with and without a slot.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
        }
    }

    /// What ran, one entry per request key.
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
