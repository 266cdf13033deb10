//! A watch in progress: lines of JSON, split and parsed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use swiftlink_fetch::HttpError;

use crate::api::{WatchEvent, WatchLine};
use crate::{ClientError, Operator};

/// Silence after which a watch is taken for dead; the operator sends heartbeats more often.
const SILENCE_LIMIT: Duration = Duration::from_secs(30);

/// Delay before a lost watch is begun again.
const RESUME_DELAY: Duration = Duration::from_millis(500);
/// Tries to begin a lost watch again, one after another.
const RESUME_TRIES: u32 = 20;

/// A watch that goes on at another operator when its connection is lost.
///
/// Gives every event once and in order.
#[derive(Debug)]
pub struct Watcher<'a> {
    operator: &'a Operator,
    kind: Option<&'a str>,
    stream: WatchStream,
    /// Events given of the change set that the stream's position stands in.
    given: Vec<WatchEvent>,
}

impl<'a> Watcher<'a> {
    /// Begins a watch after version `from`, or now.
    ///
    /// # Errors
    /// Those of [`Operator::watch`].
    pub async fn open(
        operator: &'a Operator,
        kind: Option<&'a str>,
        from: Option<u64>,
    ) -> Result<Self, ClientError> {
        Ok(Self {
            operator,
            kind,
            stream: operator.watch(kind, from).await?,
            given: Vec::new(),
        })
    }

    /// The next event.
    ///
    /// # Errors
    /// When the watch can't go on at any operator.
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

    /// Whether the event was not given before the last resumption.
    fn is_new(&mut self, event: &WatchEvent) -> bool {
        self.given.retain(|given| given.version >= event.version);
        if self.given.contains(event) {
            return false;
        }
        self.given.push(event.clone());
        true
    }

    async fn resume(&mut self) -> Result<(), ClientError> {
        let from = self.stream.version();
        let mut tries = 0;
        loop {
            tokio::time::sleep(RESUME_DELAY).await;
            tries += 1;
            match self.operator.watch(self.kind, from).await {
                Ok(stream) => {
                    self.stream = stream;
                    return Ok(());
                }
                Err(error) if tries < RESUME_TRIES && is_passing(&error) => {}
                Err(error) => return Err(error),
            }
        }
    }
}

/// Whether a later try may do better.
fn is_passing(error: &ClientError) -> bool {
    match error {
        ClientError::Unreachable(_) | ClientError::Lost { .. } => true,
        ClientError::Refused(problem) => problem.status == 503,
        _ => false,
    }
}

/// Events of one connection's watch, in order.
#[derive(Debug)]
pub struct WatchStream {
    address: SocketAddr,
    body: Incoming,
    rest: Vec<u8>,
    lines: VecDeque<WatchLine>,
    version: Option<u64>,
}

impl WatchStream {
    pub(crate) fn new(address: SocketAddr, body: Incoming, version: Option<u64>) -> Self {
        Self {
            address,
            body,
            rest: Vec::new(),
            lines: VecDeque::new(),
            version,
        }
    }

    /// Version up to which events were received; continue from here after a lost connection.
    /// `None` while a watch from now on has not heard which version that is.
    ///
    /// Events of one change set share a version; it counts as received with the
    /// first event or heartbeat of a later version, so that none is left out.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// The next event; `None` when the operator closed the watch in good order.
    ///
    /// # Errors
    /// When the connection is lost or silent, or the operator can't continue.
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

    /// Reads more of the body; `false` at its end.
    async fn fill(&mut self) -> Result<bool, ClientError> {
        let frame = tokio::time::timeout(SILENCE_LIMIT, self.body.frame()).await;
        let frame = frame.map_err(|_elapsed| self.lost(HttpError::Timeout(SILENCE_LIMIT)))?;
        let Some(frame) = frame else {
            return Ok(false);
        };
        let frame = frame.map_err(|error| self.lost(HttpError::Lost(error.to_string())))?;
        let Ok(data) = frame.into_data() else {
            return Ok(true);
        };
        self.rest.extend_from_slice(&data);
        while let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.rest.drain(..=end).collect();
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
