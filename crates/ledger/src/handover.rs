//! Hands charges that the log did not take to other ledgers when this one stops.

use std::collections::BTreeMap;
use std::time::Duration;

use swiftlink_types::Incarnation;
use swiftlink_wire::link::{Settle, reply, request};
use swiftlink_wire::log::{Charge, Charges};

use crate::peers::{Peer, Peers};
use crate::shards::Shards;

/// How long a peer may take to store charges.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Most charges in one message.
const MESSAGE_ITEMS: usize = 1_000;

/// Charges handed over and charges for which no peer was found.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Handed {
    /// Stored by a peer.
    pub stored: u64,
    /// Still only here.
    pub left: u64,
}

/// Settles all pending charges at peers.
pub async fn hand_over(shards: &Shards, peers: &Peers) -> Handed {
    let mut handed = Handed::default();
    for shard in shards.iter() {
        let stream = shard.stream.name().to_string();
        for charges in merge(shard.outbox.pending_charges()) {
            let count = charges.items.len() as u64;
            let settle = Settle {
                stream: stream.clone(),
                charges: Some(charges),
            };
            if store(&settle, peers).await {
                handed.stored += count;
            } else {
                handed.left += count;
            }
        }
    }
    handed
}

/// Charges of the same incarnation in as few messages as may be.
fn merge(list: Vec<Charges>) -> Vec<Charges> {
    let mut items: BTreeMap<Incarnation, Vec<Charge>> = BTreeMap::new();
    for charges in list {
        let Some(incarnation) = &charges.incarnation else {
            continue;
        };
        let merged = items.entry(Incarnation::from(incarnation)).or_default();
        merged.extend(charges.items);
    }
    let mut merged = Vec::new();
    for (incarnation, items) in items {
        for part in items.chunks(MESSAGE_ITEMS) {
            merged.push(Charges {
                incarnation: Some((&incarnation).into()),
                items: part.to_vec(),
            });
        }
    }
    merged
}

async fn store(settle: &Settle, peers: &Peers) -> bool {
    for peer in peers.iter() {
        if peer.client.is_up() && store_at(settle, peer).await {
            return true;
        }
    }
    false
}

async fn store_at(settle: &Settle, peer: &Peer) -> bool {
    let kind = request::Kind::Settle(settle.clone());
    let Ok(mut replies) = peer.client.stream(kind).await else {
        return false;
    };
    let reply = tokio::time::timeout(STORE_TIMEOUT, replies.next()).await;
    matches!(
        reply,
        Ok(Some(Ok(reply::Kind::Stored(_) | reply::Kind::Submitted(_))))
    )
}
