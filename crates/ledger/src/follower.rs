//! Follows one stream: from the log, or from peers while the log is unreachable.

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
use crate::log_health::LogHealth;
use crate::peers::{Peer, Peers};
use crate::stream::Stream;

/// Largest number of records in one read of the log.
const MAX_READ_RECORDS: u32 = 1_000;
/// Initial upper bound of the backoff between reads while the log is unreachable.
const RETRY_BASE: Duration = Duration::from_millis(50);
/// Largest upper bound of that backoff.
const RETRY_CAP: Duration = Duration::from_secs(2);
/// Time after which a silent peer is abandoned.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// A peer whose data is older than this (ms) is abandoned for the next one.
const MAX_PEER_AGE_MS: u64 = 2_000;
/// Delay before the next peer is tried.
const PEER_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Task that follows one stream.
pub struct Follower<F: Fold> {
    /// Stream to follow.
    pub stream: Arc<Stream<F>>,
    /// The log.
    pub log: Arc<dyn Log>,
    /// Reachability of the log.
    pub log_health: Arc<LogHealth>,
    /// Ledgers to follow while the log is unreachable.
    pub peers: Arc<Peers>,
    /// Longest time that one read waits for a record (long poll).
    pub max_wait: Duration,
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
            self.log_health.record_failure(&error);
            tokio::select! {
                () = self.probe_log() => {}
                () = self.read_peers() => {}
            }
        }
    }

    /// Reads the log until it fails.
    async fn read_log(&self) -> LogError {
        loop {
            if let Err(error) = self.read(self.max_wait).await {
                return error;
            }
        }
    }

    /// Retries the log with backoff until it answers.
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
            .read(self.stream.name(), from, MAX_READ_RECORDS, wait)
            .await;
        let page = match page {
            Ok(page) => page,
            Err(LogError::Trimmed { first }) if first > from => {
                self.log_health.record_success();
                return self.skip_trimmed(from, first);
            }
            Err(error) => return Err(error),
        };
        self.log_health.record_success();
        // The log determined its end after the request was sent; if the page is empty, only
        // after the whole wait. The earliest possible time counts.
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

    /// Skips the records from `from` to `first`, which the log has trimmed.
    fn skip_trimmed(&self, from: u64, first: u64) -> Result<(), LogError> {
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

    /// Follows the peers in turn; never returns.
    async fn read_peers(&self) {
        let mut turn = rand::random::<u32>() as usize;
        loop {
            if let Some(peer) = self.peers.round_robin(turn) {
                self.read_peer(peer).await;
            }
            turn = turn.wrapping_add(1);
            tokio::time::sleep(PEER_RETRY_DELAY).await;
        }
    }

    /// Follows one peer until it fails, falls silent or has only stale data.
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
            if page.records.is_empty() && page.age_ms > MAX_PEER_AGE_MS {
                return;
            }
        }
    }
}

async fn next_page(pages: &mut ReplyStream) -> Option<Page> {
    let reply = tokio::time::timeout(PEER_TIMEOUT, pages.next()).await;
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
