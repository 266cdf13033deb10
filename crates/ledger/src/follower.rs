//! Follows one stream: from the log, or from peers while the log is out of reach.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_link::ReplyStream;
use swiftlink_log::{Backoff, Fold, Log, LogError};
use swiftlink_telemetry::event;
use swiftlink_types::MICROS_PER_MS;
use swiftlink_wire::link::{Follow, Page, reply, request};
use tokio_util::sync::CancellationToken;

use crate::clock::{Clock, micros};
use crate::contact::Contact;
use crate::peers::{Peer, Peers};
use crate::stream::Stream;

/// Most records in one read of the log.
const READ_RECORDS: u32 = 1_000;
/// First ceiling of the back-off between reads of a log that is out.
const RETRY_BASE: Duration = Duration::from_millis(50);
/// Largest ceiling of that back-off.
const RETRY_CAP: Duration = Duration::from_secs(2);
/// A peer that sent nothing for so long is given up.
const PEER_SILENCE: Duration = Duration::from_secs(3);
/// A peer whose knowledge is older than this is left for the next one.
const PEER_STALE_MS: u64 = 2_000;
/// Pause between peers.
const PEER_PAUSE: Duration = Duration::from_millis(200);

/// The task that follows a stream.
pub struct Follower<F: Fold> {
    /// Stream that is followed.
    pub stream: Arc<Stream<F>>,
    /// The log.
    pub log: Arc<dyn Log>,
    /// When the log was last heard from.
    pub contact: Arc<Contact>,
    /// Ledgers to follow while the log is out of reach.
    pub peers: Arc<Peers>,
    /// How long one read waits for a record.
    pub poll: Duration,
    /// Time source.
    pub clock: Clock,
}

impl<F: Fold> Follower<F> {
    /// Follows until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let _stopped = stop.run_until_cancelled(self.follow()).await;
    }

    async fn follow(&self) {
        loop {
            let error = self.read_log().await;
            self.contact.lost(&error);
            tokio::select! {
                () = self.probe_log() => {}
                () = self.read_peers() => {}
            }
        }
    }

    /// Reads the log until it fails.
    async fn read_log(&self) -> LogError {
        loop {
            if let Err(error) = self.read(self.poll).await {
                return error;
            }
        }
    }

    /// Tries the log with back-off until it answers.
    async fn probe_log(&self) {
        let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP);
        loop {
            tokio::time::sleep(backoff.next(rand::random())).await;
            if self.read(Duration::ZERO).await.is_ok() {
                return;
            }
        }
    }

    /// Reads one page of the log.
    async fn read(&self, wait: Duration) -> Result<(), LogError> {
        let sent = self.clock.now();
        let from = self.stream.next();
        let page = self
            .log
            .read(self.stream.name(), from, READ_RECORDS, wait)
            .await;
        let page = match page {
            Ok(page) => page,
            Err(LogError::Trimmed { first }) if first > from => {
                self.contact.answered();
                return self.skip(from, first);
            }
            Err(error) => return Err(error),
        };
        self.contact.answered();
        // The end is known as of the time when the log answered: not before it got the
        // question, and after the whole wait when there was nothing to answer.
        let waited = if page.records.is_empty() {
            micros(wait)
        } else {
            0
        };
        let known = (sent + waited).min(self.clock.now());
        let fed = self
            .stream
            .feed(page.first, &page.records, page.next, known);
        fed.map_err(|error| LogError::Protocol(error.to_string()))
    }

    /// The log no longer has the records from `from` to `first`.
    fn skip(&self, from: u64, first: u64) -> Result<(), LogError> {
        let name = self.stream.name();
        event!(
            warn,
            "log.trimmed",
            stream = name,
            next = from,
            first = first
        );
        let fed = self.stream.feed(first, &[], u64::MAX, 0);
        fed.map_err(|error| LogError::Protocol(error.to_string()))
    }

    /// Follows peers in turn, for as long as the caller wants.
    async fn read_peers(&self) {
        let mut turn = rand::random::<u32>() as usize;
        loop {
            if let Some(peer) = self.peers.nth(turn) {
                self.read_peer(peer).await;
            }
            turn = turn.wrapping_add(1);
            tokio::time::sleep(PEER_PAUSE).await;
        }
    }

    /// Follows one peer until it fails, falls silent or knows nothing recent.
    async fn read_peer(&self, peer: &Peer) {
        if !peer.client.is_up() {
            return;
        }
        let follow = Follow {
            stream: self.stream.name().to_string(),
            from: self.stream.next(),
        };
        let Ok(mut pages) = peer.client.stream(request::Kind::Follow(follow)).await else {
            return;
        };
        event!(
            debug,
            "peer.followed",
            stream = self.stream.name(),
            peer = peer.name
        );
        while let Some(page) = next_page(&mut pages).await {
            let known = self.clock.now().saturating_sub(page.age_ms * MICROS_PER_MS);
            let fed = self
                .stream
                .feed(page.first, &page.records, page.next, known);
            if let Err(error) = fed {
                event!(
                    warn,
                    "page.refused",
                    stream = self.stream.name(),
                    error = error
                );
                return;
            }
            if page.records.is_empty() && page.age_ms > PEER_STALE_MS {
                return;
            }
        }
    }
}

async fn next_page(pages: &mut ReplyStream) -> Option<Page> {
    let reply = tokio::time::timeout(PEER_SILENCE, pages.next()).await;
    match reply {
        Ok(Some(Ok(reply::Kind::Page(page)))) => Some(page),
        _ => None,
    }
}

impl<F: Fold> fmt::Debug for Follower<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut out = f.debug_struct("Follower");
        out.field("stream", self.stream.name());
        out.finish_non_exhaustive()
    }
}
