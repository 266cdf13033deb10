//! On shutdown, hands charges that aren't on the log yet to other ledgers.

use std::collections::BTreeMap;
use std::time::Duration;

use swiftlink_types::Incarnation;
use swiftlink_wire::link::{Settle, reply, request};
use swiftlink_wire::log::{Charge, Charges};

use crate::peers::{Peer, Peers};
use crate::shards::Shards;

/// Time limit for a peer to store charges.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of charges in one message.
const MAX_MESSAGE_CHARGES: usize = 1_000;

/// Numbers of charges that were and weren't handed over to a peer.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct HandoverReport {
    /// Stored by a peer.
    pub stored: u64,
    /// Stored by no peer.
    pub left: u64,
}

/// Stores all pending charges at peers.
pub async fn hand_over(shards: &Shards, peers: &Peers) -> HandoverReport {
    let mut report = HandoverReport::default();
    for shard in shards.iter() {
        let stream = shard.stream.name().to_string();
        for charges in merge(shard.outbox.pending_charges()) {
            let count = charges.items.len() as u64;
            let settle = Settle {
                stream: stream.clone(),
                charges: Some(charges),
            };
            if store(&settle, peers).await {
                report.stored += count;
            } else {
                report.left += count;
            }
        }
    }
    report
}

/// Merges charges of the same incarnation into as few messages as possible.
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
        for part in items.chunks(MAX_MESSAGE_CHARGES) {
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
