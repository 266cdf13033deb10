//! Reads one answer of a model engine: chunks in order, each once, to the end mark.
//!
//! A connection that ends early, a gap that lasts, or a long silence makes the
//! reader resume the stream at the engine from the next chunk.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use eventsource_stream::{Event, EventStream, Eventsource};
use futures_util::StreamExt;
use http::StatusCode;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use swiftlink_log::Backoff;
use swiftlink_stream::{Assembler, AssemblerError, AssemblerPolicy, Chunk, DONE};
use swiftlink_types::Micros;
use tokio::time::{Instant, timeout};

use crate::engine;
use swiftlink_gateway::upstream::{Lease, PendingResponse, SendOptions, send};

/// First and largest pause between tries to resume.
const RETRY_BASE: Duration = Duration::from_millis(10);
const RETRY_CAP: Duration = Duration::from_millis(500);
/// Wait for the body's end after the end mark, so that the connection is kept.
const TAIL_WAIT: Duration = Duration::from_millis(20);
/// Resumes without a new chunk after which the stream is given up.
const FRUITLESS_MAX: u32 = 32;

/// Why an answer can't be read to its end.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The engine no longer has the stream.
    #[error("the engine no longer has the stream")]
    Gone,
    /// The engine could not be reached in time.
    #[error("the engine was lost: {0}")]
    Lost(String),
    /// The chunks contradict each other.
    #[error("the engine's chunks contradict each other: {0}")]
    Broken(#[from] AssemblerError),
}

/// Limits of a reader.
#[derive(Debug, Clone, Copy)]
pub struct ReadOptions {
    /// Silence after which the stream is resumed.
    pub stall: Duration,
    /// Time without a connection after which the stream is given up.
    pub resume: Duration,
    /// Limits of a resuming request.
    pub send: SendOptions,
}

type Events = EventStream<BodyDataStream<Incoming>>;

/// An answer on its way from an engine.
pub struct Reader {
    address: SocketAddr,
    stream: Option<String>,
    options: ReadOptions,
    assembler: Assembler,
    events: Option<Box<Events>>,
    lease: Option<Lease>,
    start: Instant,
    /// Since when the engine can't be reached.
    cut: Option<Instant>,
    /// Next number when the last chunk came in order.
    taken: u64,
    backoff: Backoff,
    resumes: u64,
    /// Resumes since the last chunk.
    fruitless: u32,
}

impl fmt::Debug for Reader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reader")
            .field("address", &self.address)
            .field("stream", &self.stream)
            .field("next", &self.assembler.next())
            .finish_non_exhaustive()
    }
}

impl Reader {
    /// Reads the answer that has begun to come, from chunk `from` on.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        answer: PendingResponse,
        from: u64,
        options: ReadOptions,
    ) -> Self {
        let mut reader = Self::idle(address, None, from, options);
        let id = engine::stream_id(answer.response.headers());
        reader.stream = id;
        reader.attach(answer);
        reader
    }

    /// Reads the engine's stream `stream` from chunk `from` on, once asked to.
    #[must_use]
    pub fn resuming(address: SocketAddr, stream: String, from: u64, options: ReadOptions) -> Self {
        let mut reader = Self::idle(address, Some(stream), from, options);
        reader.assembler.on_disconnect();
        reader
    }

    fn idle(address: SocketAddr, stream: Option<String>, from: u64, options: ReadOptions) -> Self {
        let now = Instant::now();
        Self {
            address,
            stream,
            options,
            assembler: Assembler::new(AssemblerPolicy::default(), from),
            events: None,
            lease: None,
            start: now,
            cut: None,
            taken: from,
            backoff: Backoff::new(RETRY_BASE, RETRY_CAP),
            resumes: 0,
            fruitless: 0,
        }
    }

    /// The engine's id of the stream, if it gave one.
    #[must_use]
    pub fn stream(&self) -> Option<&str> {
        self.stream.as_deref()
    }

    /// Number of times that the stream was resumed.
    #[must_use]
    pub fn resumes(&self) -> u64 {
        self.resumes
    }

    /// The next chunk in order; `None` once the answer is whole.
    ///
    /// # Errors
    /// See [`ReadError`]; no further chunk comes after it.
    pub async fn next(&mut self) -> Result<Option<Chunk>, ReadError> {
        loop {
            if let Some(chunk) = self.assembler.pop() {
                return Ok(Some(chunk));
            }
            if self.assembler.is_complete() {
                return Ok(None);
            }
            if let Some(from) = self.assembler.resume_from(self.now()) {
                self.resume(from).await?;
                continue;
            }
            self.receive().await?;
        }
    }

    /// Opens a resumed stream, so that a failure shows before an answer has begun.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn open(&mut self) -> Result<(), ReadError> {
        while self.events.is_none() {
            self.resume(self.assembler.next()).await?;
        }
        Ok(())
    }

    /// Keeps the connection for further requests if the answer's body ends at once.
    pub async fn finish(mut self) {
        let Some(events) = self.events.as_mut() else {
            return;
        };
        let tail = timeout(TAIL_WAIT, events.next()).await;
        if !matches!(tail, Ok(None)) {
            return;
        }
        if let Some(lease) = self.lease.as_mut() {
            lease.recycle();
        }
    }

    /// Receives one event, or notes that none came.
    async fn receive(&mut self) -> Result<(), ReadError> {
        let limit = match self.assembler.check_at() {
            Some(at) => Duration::from_micros(at.saturating_sub(self.now()).max(1)),
            None => self.options.stall,
        };
        let Some(events) = self.events.as_mut() else {
            self.assembler.on_disconnect();
            return Ok(());
        };
        match timeout(limit, events.next()).await {
            Ok(Some(Ok(event))) => self.take(event),
            Ok(Some(Err(_)) | None) => {
                self.detach();
                Ok(())
            }
            Err(_elapsed) => {
                if self.assembler.check_at().is_none() {
                    self.detach();
                }
                Ok(())
            }
        }
    }

    fn take(&mut self, event: Event) -> Result<(), ReadError> {
        let now = self.now();
        // An engine that numbers nothing sends in order over one connection.
        let number = event.id.parse().unwrap_or_else(|_| self.assembler.next());
        if event.data == DONE {
            self.assembler.end(number, now)?;
        } else {
            self.assembler.push(number, event.data.into(), now)?;
        }
        if self.assembler.next() > self.taken {
            self.taken = self.assembler.next();
            self.fruitless = 0;
            self.backoff.reset();
        }
        Ok(())
    }

    /// Asks the engine for the stream from chunk `from` on; returns after one try.
    async fn resume(&mut self, from: u64) -> Result<(), ReadError> {
        self.detach();
        let Some(stream) = self.stream.clone() else {
            return Err(ReadError::Lost(
                "cut before the stream had an id".to_owned(),
            ));
        };
        let cut = *self.cut.get_or_insert_with(Instant::now);
        if cut.elapsed() > self.options.resume || self.fruitless >= FRUITLESS_MAX {
            return Err(ReadError::Lost("no progress in time".to_owned()));
        }
        if self.fruitless > 0 {
            tokio::time::sleep(self.backoff.next(rand::random())).await;
        }
        self.resumes += 1;
        self.fruitless += 1;
        let request = engine::resume(self.address, &stream, from);
        let Ok(answer) = send(self.address, request, self.options.send).await else {
            return Ok(());
        };
        match answer.response.status() {
            StatusCode::OK => {
                self.cut = None;
                self.attach(answer);
                let now = self.now();
                self.assembler.on_resume(now);
                Ok(())
            }
            StatusCode::NOT_FOUND | StatusCode::GONE => Err(ReadError::Gone),
            _ => Ok(()),
        }
    }

    fn attach(&mut self, answer: PendingResponse) {
        let (response, lease) = answer.split();
        let body = BodyDataStream::new(response.into_body());
        self.events = Some(Box::new(body.eventsource()));
        self.lease = Some(lease);
    }

    fn detach(&mut self) {
        self.events = None;
        self.lease = None;
        self.assembler.on_disconnect();
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }
}
