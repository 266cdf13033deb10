//! Watches: parse the JSON lines of the stream and resume it after a lost connection.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use swiftlink_fetch::HttpError;

use crate::api::{WatchEvent, WatchLine};
use crate::{ClientError, Operator};

/// Idle time after which the connection of a watch is considered lost; the operator sends
/// heartbeats more often.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay before an attempt to resume a lost watch.
const RESUME_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of consecutive attempts to resume a lost watch.
const MAX_RESUME_ATTEMPTS: u32 = 20;

/// A watch that resumes at another operator when its connection is lost.
///
/// It delivers every event exactly once and in order.
#[derive(Debug)]
pub struct Watcher<'a> {
    operator: &'a Operator,
    kind: Option<&'a str>,
    stream: WatchStream,
    /// Delivered events of the change set at the position of the stream, which a resumed watch
    /// may send again.
    delivered: Vec<WatchEvent>,
}

impl<'a> Watcher<'a> {
    /// Starts a watch after version `from`, or after the current version.
    ///
    /// # Errors
    /// See [`Operator::watch`].
    pub async fn open(
        operator: &'a Operator,
        kind: Option<&'a str>,
        from: Option<u64>,
    ) -> Result<Self, ClientError> {
        Ok(Self {
            operator,
            kind,
            stream: operator.watch(kind, from).await?,
            delivered: Vec::new(),
        })
    }

    /// Returns the next event.
    ///
    /// # Errors
    /// Fails if no operator can continue the watch.
    pub async fn next(&mut self) -> Result<WatchEvent, ClientError> {
        loop {
            match self.stream.next().await {
                Ok(Some(event)) => {
                    if self.is_new(&event) {
                        return Ok(event);
                    }
                }
                Ok(None) | Err(ClientError::Lost { .. }) => self.resume().await?,
                Err(error) => return Err(error),
            }
        }
    }

    /// Returns whether the event was not delivered before the watch was resumed.
    fn is_new(&mut self, event: &WatchEvent) -> bool {
        self.delivered
            .retain(|delivered| delivered.version >= event.version);
        if self.delivered.contains(event) {
            return false;
        }
        self.delivered.push(event.clone());
        true
    }

    async fn resume(&mut self) -> Result<(), ClientError> {
        let from = self.stream.version();
        let mut attempts = 0;
        loop {
            tokio::time::sleep(RESUME_DELAY).await;
            attempts += 1;
            match self.operator.watch(self.kind, from).await {
                Ok(stream) => {
                    self.stream = stream;
                    return Ok(());
                }
                Err(error) if attempts < MAX_RESUME_ATTEMPTS && is_transient(&error) => {}
                Err(error) => return Err(error),
            }
        }
    }
}

/// Whether a later attempt may succeed.
fn is_transient(error: &ClientError) -> bool {
    match error {
        ClientError::Unreachable(_) | ClientError::Lost { .. } => true,
        ClientError::Refused(problem) => problem.status == 503,
        _ => false,
    }
}

/// The events of a watch on one connection, in order.
#[derive(Debug)]
pub struct WatchStream {
    address: SocketAddr,
    body: Incoming,
    buffer: Vec<u8>,
    lines: VecDeque<WatchLine>,
    version: Option<u64>,
}

impl WatchStream {
    pub(crate) fn new(address: SocketAddr, body: Incoming, version: Option<u64>) -> Self {
        Self {
            address,
            body,
            buffer: Vec::new(),
            lines: VecDeque::new(),
            version,
        }
    }

    /// Returns the version up to which all events were received, from which to resume after a
    /// lost connection. `None` if the watch started at the current version and has not received
    /// it yet.
    ///
    /// The events of one change set share a version. It counts as received with the first event
    /// of a later version or with a heartbeat of this or a later version, so that no event is
    /// skipped.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the next event; `None` if the operator closed the watch regularly.
    ///
    /// # Errors
    /// Fails if the connection is lost or idle for too long, or the operator can't continue.
    pub async fn next(&mut self) -> Result<Option<WatchEvent>, ClientError> {
        loop {
            while let Some(line) = self.lines.pop_front() {
                match line {
                    WatchLine::Event(event) => {
                        self.version = self.version.max(event.version.checked_sub(1));
                        return Ok(Some(event));
                    }
                    WatchLine::Heartbeat { heartbeat } => {
                        self.version = self.version.max(Some(heartbeat));
                    }
                    WatchLine::End { end } => return Err(ClientError::WatchEnded(end)),
                }
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Reads the next frame of the body; returns `false` at the end.
    async fn fill(&mut self) -> Result<bool, ClientError> {
        let frame = tokio::time::timeout(IDLE_TIMEOUT, self.body.frame()).await;
        let frame = frame.map_err(|_elapsed| self.lost(HttpError::Timeout(IDLE_TIMEOUT)))?;
        let Some(frame) = frame else {
            return Ok(false);
        };
        let frame = frame.map_err(|error| self.lost(HttpError::Lost(error.to_string())))?;
        let Ok(data) = frame.into_data() else {
            return Ok(true);
        };
        self.buffer.extend_from_slice(&data);
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let parsed = serde_json::from_slice(&line);
            let parsed = parsed.map_err(|error| ClientError::Protocol {
                address: self.address,
                detail: error.to_string(),
            })?;
            self.lines.push_back(parsed);
        }
        Ok(true)
    }

    fn lost(&self, cause: HttpError) -> ClientError {
        ClientError::Lost {
            address: self.address,
            cause,
        }
    }
}
