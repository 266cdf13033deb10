//! What this router answers to its peers.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use async_trait::async_trait;
use swiftlink_link::{Handler, Replies};
use swiftlink_telemetry::event;
use swiftlink_types::PoolName;
use swiftlink_wire::link::{
    Ended, Failure, FailureKind, FeedRecords, GetFeed, Noted, Refusal, Release, Released, Reserve,
    Reserved, Seen, Tally, reply, request,
};

use crate::node::Node;
use crate::notes;
use crate::quarantine::gossip;
use crate::rights::Reservations;
use crate::rollout;
use crate::watch::copies;

/// Answers other routers.
#[derive(Debug)]
pub(crate) struct PeerHandler {
    pub(crate) node: Arc<Node>,
    pub(crate) reservations: Arc<Reservations>,
}

impl PeerHandler {
    fn steady(&self) -> u64 {
        self.node.books.clock().steady()
    }

    fn noted(&self) -> reply::Kind {
        reply::Kind::Noted(Noted {
            process: self.node.process,
            steady_ms: self.steady(),
        })
    }

    /// A router that stops gives its rights back soon: others grant.
    async fn reserve(&self, ask: &Reserve) -> Reserved {
        if self.node.is_stopping.load(Relaxed) {
            return Reserved {
                refusal: Refusal::Elsewhere.into(),
                ..Reserved::default()
            };
        }
        self.reservations.reserve(&self.node.books, ask).await
    }

    async fn answer_reserve(&self, ask: &Reserve, replies: &Replies) {
        let mut reserved = self.reserve(ask).await;
        reserved.process = self.node.process;
        reserved.steady_ms = self.steady();
        let kind = reply::Kind::Reserved(reserved);
        if replies.send(kind, true).await.is_err() {
            // The asker has given up; it will not use what was set aside.
            let ended = Ended {
                number: ask.number,
                spent: 0,
            };
            self.reservations.release(ask.process, &[ended]);
        }
    }

    fn release(&self, release: &Release) -> Released {
        self.reservations.release(release.process, &release.ended);
        Released {
            process: self.node.process,
            steady_ms: self.steady(),
        }
    }

    async fn tell_feed(&self, ask: &GetFeed) -> FeedRecords {
        let apply = self.node.settings.apply;
        let heard = self.node.copies.answer(ask, self.node.process, apply);
        copies::message(heard.await)
    }

    fn take_tally(&self, tally: &Tally) {
        let pool = PoolName::from(tally.pool.as_str());
        let report = rollout::decode_report(tally);
        self.node
            .reports
            .insert(&pool, tally.order, tally.process, report);
    }

    fn seen(&self, process: u64) -> Seen {
        let Some(sighting) = self.node.peer_clocks.get(process) else {
            return Seen::default();
        };
        Seen {
            steady_ms: Some(sighting.steady),
            age_ms: self.steady().saturating_sub(sighting.asked),
        }
    }
}

#[async_trait]
impl Handler for PeerHandler {
    async fn handle(&self, peer: &str, request: request::Kind, replies: Replies) {
        let kind = match request {
            request::Kind::Notes(notes) => {
                notes::take(&self.node.pools, peer, notes);
                self.noted()
            }
            request::Kind::Ends(ends) => match gossip::reply_to(&self.node.quarantine, peer, &ends) {
                Some(known) => reply::Kind::Ends(known),
                None => self.noted(),
            },
            request::Kind::Tally(tally) => {
                self.take_tally(&tally);
                self.noted()
            }
            request::Kind::GetSeen(ask) => reply::Kind::Seen(self.seen(ask.process)),
            request::Kind::GetFeed(ask) => {
                reply::Kind::FeedRecords(self.tell_feed(&ask).await)
            }
            request::Kind::Reserve(ask) => return self.answer_reserve(&ask, &replies).await,
            request::Kind::Release(release) => reply::Kind::Released(self.release(&release)),
            _ => reply::Kind::Failure(Failure {
                kind: FailureKind::Unspecified.into(),
                detail:
                    "routers reserve rights, take notes and ends, tell of others and of feeds, nothing else"
                        .to_owned(),
            }),
        };
        if replies.send(kind, true).await.is_err() {
            event!(info, "peer.answer_lost", peer = peer);
        }
    }
}
