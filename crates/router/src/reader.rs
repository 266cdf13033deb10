//! Reads one answer of a model engine: each chunk once and in order, up to the end marker.
//!
//! If the connection ends early, a gap in the numbers persists or the engine is silent for too
//! long, the reader resumes the stream from the next missing chunk.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use eventsource_stream::{Event, EventStream, Eventsource};
use futures_util::StreamExt;
use http::StatusCode;
use http_body_util::BodyDataStream;
use swiftlink_log::Backoff;
use swiftlink_stream::{Assembler, AssemblerError, AssemblerPolicy, Chunk, DONE};
use swiftlink_types::Micros;
use tokio::time::{Instant, timeout};

use crate::engine;
use swiftlink_gateway::upstream::{Lease, PendingResponse, ResponseBody, SendOptions, send};

/// First backoff between attempts to resume.
const RETRY_BASE: Duration = Duration::from_millis(10);
/// Largest backoff between attempts to resume.
const RETRY_CAP: Duration = Duration::from_millis(500);
/// Longest wait for the end of the body after the end marker; only then can the connection
/// be reused.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(20);
/// Consecutive resumes without a new chunk after which the stream is given up.
const MAX_IDLE_RESUMES: u32 = 32;

/// Reason why an answer can't be read to its end.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The engine has discarded the stream.
    #[error("the engine no longer has the stream")]
    Gone,
    /// The engine could not be reached in time.
    #[error("the engine was lost: {0}")]
    Lost(String),
    /// The chunks contradict each other.
    #[error("the engine's chunks contradict each other: {0}")]
    Broken(#[from] AssemblerError),
}

/// Time limits of a reader.
#[derive(Debug, Clone, Copy)]
pub struct ReadOptions {
    /// Silence after which the stream is resumed.
    pub stall: Duration,
    /// Time without a connection after which the stream is given up.
    pub resume: Duration,
    /// Limits of a resuming request.
    pub send: SendOptions,
}

type Events = EventStream<BodyDataStream<ResponseBody>>;

/// Reader of one engine's answer.
pub struct Reader {
    address: SocketAddr,
    stream: Option<String>,
    options: ReadOptions,
    assembler: Assembler,
    events: Option<Box<Events>>,
    lease: Option<Lease>,
    start: Instant,
    /// Time since which the engine can't be reached.
    unreachable_since: Option<Instant>,
    /// Next chunk number at the time of the last progress.
    last_next: u64,
    backoff: Backoff,
    resumes: u64,
    /// Resumes since the last new chunk.
    idle_resumes: u32,
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
    /// Reads a response whose head has arrived, from chunk `from` on.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        answer: PendingResponse,
        from: u64,
        options: ReadOptions,
    ) -> Self {
        let mut reader = Self::disconnected(address, None, from, options);
        let id = engine::stream_id(answer.response.headers());
        reader.stream = id;
        reader.attach(answer);
        reader
    }

    /// Creates a reader that resumes the engine's stream `stream` from chunk `from` on; it
    /// connects on the first read.
    #[must_use]
    pub fn resuming(address: SocketAddr, stream: String, from: u64, options: ReadOptions) -> Self {
        let mut reader = Self::disconnected(address, Some(stream), from, options);
        reader.assembler.on_disconnect();
        reader
    }

    fn disconnected(
        address: SocketAddr,
        stream: Option<String>,
        from: u64,
        options: ReadOptions,
    ) -> Self {
        let now = Instant::now();
        Self {
            address,
            stream,
            options,
            assembler: Assembler::new(AssemblerPolicy::default(), from),
            events: None,
            lease: None,
            start: now,
            unreachable_since: None,
            last_next: from,
            backoff: Backoff::new(RETRY_BASE, RETRY_CAP),
            resumes: 0,
            idle_resumes: 0,
        }
    }

    /// The engine's id of the stream, if it gave one.
    #[must_use]
    pub fn stream(&self) -> Option<&str> {
        self.stream.as_deref()
    }

    /// Number of attempts to resume the stream.
    #[must_use]
    pub fn resumes(&self) -> u64 {
        self.resumes
    }

    /// Returns the next chunk in order; `None` once the answer is complete.
    ///
    /// # Errors
    /// See [`ReadError`]; no chunk follows an error.
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

    /// Connects to a resumed stream, so that a failure is known before the answer begins.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn open(&mut self) -> Result<(), ReadError> {
        while self.events.is_none() {
            self.resume(self.assembler.next()).await?;
        }
        Ok(())
    }

    /// Returns the connection to the pool if the body ends right after the end marker.
    pub async fn finish(mut self) {
        let Some(events) = self.events.as_mut() else {
            return;
        };
        let tail = timeout(BODY_END_TIMEOUT, events.next()).await;
        if !matches!(tail, Ok(None)) {
            return;
        }
        if let Some(lease) = self.lease.as_mut() {
            lease.recycle();
        }
    }

    /// Waits for one event; detaches on a disconnect or a stall.
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
            Ok(Some(Ok(event))) => self.on_event(event),
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

    fn on_event(&mut self, event: Event) -> Result<(), ReadError> {
        let now = self.now();
        // An engine without event numbers sends its chunks in order over one connection.
        let number = event.id.parse().unwrap_or_else(|_| self.assembler.next());
        if event.data == DONE {
            self.assembler.end(number, now)?;
        } else {
            self.assembler.push(number, event.data.into(), now)?;
        }
        if self.assembler.next() > self.last_next {
            self.last_next = self.assembler.next();
            self.idle_resumes = 0;
            self.backoff.reset();
        }
        Ok(())
    }

    /// Makes one attempt to resume the stream from chunk `from` on.
    async fn resume(&mut self, from: u64) -> Result<(), ReadError> {
        self.detach();
        let Some(stream) = self.stream.clone() else {
            return Err(ReadError::Lost(
                "cut before the stream had an id".to_owned(),
            ));
        };
        let since = *self.unreachable_since.get_or_insert_with(Instant::now);
        if since.elapsed() > self.options.resume || self.idle_resumes >= MAX_IDLE_RESUMES {
            return Err(ReadError::Lost("no progress in time".to_owned()));
        }
        if self.idle_resumes > 0 {
            tokio::time::sleep(self.backoff.next(rand::random())).await;
        }
        self.resumes += 1;
        self.idle_resumes += 1;
        let request = engine::resume(self.address, &stream, from);
        let Ok(answer) = send(self.address, request, self.options.send).await else {
            return Ok(());
        };
        match answer.response.status() {
            StatusCode::OK => {
                self.unreachable_since = None;
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
