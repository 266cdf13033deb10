//! What this router answers to its peers.

use std::sync::Arc;

use async_trait::async_trait;
use swiftlink_link::{Handler, Replies};
use swiftlink_telemetry::event;
use swiftlink_wire::link::{Failure, FailureKind, Noted, reply, request};

use crate::node::Node;
use crate::notes;
use crate::rights::lend;

/// Answers other routers.
#[derive(Debug)]
pub(crate) struct PeerHandler(pub(crate) Arc<Node>);

#[async_trait]
impl Handler for PeerHandler {
    async fn handle(&self, peer: &str, request: request::Kind, replies: Replies) {
        let kind = match request {
            request::Kind::Borrow(ask) => lend::lend(&self.0.books, peer, &ask),
            request::Kind::Notes(notes) => {
                notes::take(&self.0.pools, peer, notes);
                reply::Kind::Noted(Noted {})
            }
            _ => reply::Kind::Failure(Failure {
                kind: FailureKind::Unspecified.into(),
                detail: "routers lend and take notes, nothing else".to_owned(),
            }),
        };
        if replies.send(kind, true).await.is_err() {
            event!(info, "peer.answer_lost", peer = peer);
        }
    }
}
