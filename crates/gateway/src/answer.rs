//! What this router answers to its peers.

use std::sync::Arc;

use async_trait::async_trait;
use swiftlink_link::{Handler, Replies};
use swiftlink_telemetry::event;
use swiftlink_wire::link::{Failure, FailureKind, Noted, Seen, reply, request};

use crate::node::Node;
use crate::notes;
use crate::rights::lend;

/// Answers other routers.
#[derive(Debug)]
pub(crate) struct PeerHandler(pub(crate) Arc<Node>);

impl PeerHandler {
    fn steady(&self) -> u64 {
        self.0.books.clock().steady()
    }

    fn seen(&self, process: u64) -> Seen {
        let Some(sighting) = self.0.sightings.get(process) else {
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
            request::Kind::Borrow(ask) => lend::lend(&self.0.books, peer, &ask),
            request::Kind::Notes(notes) => {
                notes::take(&self.0.pools, peer, notes);
                reply::Kind::Noted(Noted {
                    process: self.0.process,
                    steady_ms: self.steady(),
                })
            }
            request::Kind::GetSeen(ask) => reply::Kind::Seen(self.seen(ask.process)),
            _ => reply::Kind::Failure(Failure {
                kind: FailureKind::Unspecified.into(),
                detail: "routers lend, take notes and tell of others, nothing else".to_owned(),
            }),
        };
        if replies.send(kind, true).await.is_err() {
            event!(info, "peer.answer_lost", peer = peer);
        }
    }
}
