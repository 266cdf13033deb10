//! Sends the origins of streams to their recorders.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use swiftlink_link::LinkError;
use swiftlink_telemetry::event;
use swiftlink_types::{PoolName, VersionName, VmName};
use swiftlink_wire::link::{
    CopyOrigins, StreamKey as KeyMessage, StreamOrigin, StreamOrigins, reply, request,
};
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::{Origin, Origins, StreamKey, Unsent};
use crate::clock::steady_millis;
use crate::fleet::Pools;

/// Number of routers, besides its own, that each origin is sent to.
pub const RECORDERS: usize = 3;
/// Number of routers that are tried for one origin.
const MAX_TRIED: usize = 2 * RECORDERS;
/// Maximum time for opening a link, and again for the reply.
const SEND_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of origins in a message.
const MAX_BATCH: usize = 2_048;
/// Number of routers that a starting one asks for their origins.
const COPIES: usize = 3;
/// Time between two tries of that, and their number: links to others are open a second or two after
/// the start.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
const COPY_TRIES: usize = 40;

/// The routers that keep the origins of streams.
#[async_trait]
pub trait Recorders: std::fmt::Debug + Send + Sync {
    /// The recorders of a stream, in the order in which they are chosen, without this router. The
    /// order is the same at all routers with the same members.
    fn recorders(&self, key: &StreamKey) -> Vec<VmName>;

    /// The routers that come before this one in the order in which routers write the record of a
    /// pool's versions, the first one first. `None` until all routers are known.
    fn writers_before(&self, pool: &PoolName) -> Option<Vec<VmName>>;

    /// Whether this router is a recorder of some streams.
    fn is_recorder(&self) -> bool;

    /// Calls a router. Waits up to `time` for a connection, and again for the reply.
    ///
    /// # Errors
    /// If the router is unknown, unreachable or doesn't reply in time.
    async fn call(
        &self,
        vm: &VmName,
        kind: request::Kind,
        time: Duration,
    ) -> Result<reply::Kind, LinkError>;
}

/// Sends origins until the task is aborted.
pub async fn run(origins: Arc<Origins>, pools: Arc<Pools>, recorders: Arc<dyn Recorders>) {
    let mut sends = JoinSet::new();
    sends.spawn(copy(Arc::clone(&origins), Arc::clone(&recorders)));
    loop {
        origins.due.notified().await;
        while sends.try_join_next().is_some() {}
        let mut due = origins.take_unsent(|pool| is_mixed(&pools, pool));
        while !due.is_empty() {
            let rest = due.split_off(due.len().min(MAX_BATCH));
            sends.spawn(send(Arc::clone(&recorders), due));
            due = rest;
        }
    }
}

fn is_mixed(pools: &Pools, pool: &PoolName) -> bool {
    pools.get(pool).is_some_and(|pool| pool.is_mixed())
}

/// Sends each origin to its recorders, and to the next ones in place of those that fail.
async fn send(recorders: Arc<dyn Recorders>, origins: Vec<Unsent>) {
    let pending = origins.into_iter().map(|unsent| Pending {
        candidates: recorders.recorders(&unsent.key),
        message: encode(&unsent.key, &unsent.origin),
        missing: RECORDERS,
        recorded: unsent.recorded,
    });
    let mut pending: Vec<Pending> = pending.collect();
    let mut tried = 0;
    while tried < MAX_TRIED && !pending.is_empty() {
        let mut sends: FuturesUnordered<_> = batches(&pending, tried)
            .into_iter()
            .map(|(vm, (indices, message))| {
                let recorders = &recorders;
                async move { (note(&**recorders, &vm, message).await, indices) }
            })
            .collect();
        while let Some((is_received, indices)) = sends.next().await {
            for index in indices.into_iter().filter(|_| is_received) {
                pending[index].on_received();
            }
        }
        drop(sends);
        tried += RECORDERS;
        pending.retain(|origin| origin.missing > 0 && origin.candidates.len() > tried);
    }
    if !pending.is_empty() {
        event!(info, "stream.not_recorded", streams = pending.len());
    }
}

/// What to send to each router that is next in the order of some origins, of which the first `tried`
/// were tried. Each batch names the origins in it by their indices.
fn batches(pending: &[Pending], tried: usize) -> HashMap<VmName, (Vec<usize>, StreamOrigins)> {
    let mut batches: HashMap<VmName, (Vec<usize>, StreamOrigins)> = HashMap::new();
    for (index, origin) in pending.iter().enumerate() {
        for vm in origin.candidates.iter().skip(tried).take(origin.missing) {
            let (indices, message) = batches.entry(vm.clone()).or_default();
            indices.push(index);
            message.origins.push(origin.message.clone());
        }
    }
    batches
}

/// An origin that not enough recorders have.
struct Pending {
    candidates: Vec<VmName>,
    message: StreamOrigin,
    /// Number of recorders that are still to receive it.
    missing: usize,
    /// Completes once one has it.
    recorded: Option<oneshot::Sender<()>>,
}

impl Pending {
    fn on_received(&mut self) {
        self.missing -= 1;
        if let Some(recorded) = self.recorded.take() {
            // The stream may have ended.
            let _gone = recorded.send(());
        }
    }
}

async fn note(recorders: &dyn Recorders, vm: &VmName, message: StreamOrigins) -> bool {
    let kind = request::Kind::StreamOrigins(message);
    match recorders.call(vm, kind, SEND_TIMEOUT).await {
        Ok(reply::Kind::Noted(_)) => true,
        Ok(_) => {
            event!(warn, "peer.wrong_reply", peer = vm);
            false
        }
        // The link itself reports that it is down.
        Err(LinkError::Down) => false,
        Err(error) => {
            event!(info, "stream.not_sent", peer = vm, reason = error);
            false
        }
    }
}

/// Copies the origins that other routers know: recorders that start know none.
async fn copy(origins: Arc<Origins>, recorders: Arc<dyn Recorders>) {
    for _ in 0..COPY_TRIES {
        sleep(COPY_INTERVAL).await;
        let mut vms = recorders.recorders(&StreamKey {
            workspace: 0,
            id: rand::random(),
        });
        vms.truncate(COPIES);
        if vms.is_empty() {
            continue;
        }
        if !recorders.is_recorder() {
            return;
        }
        let calls = vms.iter().map(|vm| {
            let kind = request::Kind::CopyOrigins(CopyOrigins {});
            recorders.call(vm, kind, SEND_TIMEOUT)
        });
        let mut has_copy = false;
        for reply in join_all(calls).await {
            let Ok(reply::Kind::StreamOrigins(message)) = reply else {
                continue;
            };
            has_copy = true;
            receive(&origins, &message);
        }
        if has_copy {
            event!(info, "stream.origins_copied", streams = origins.len());
            return;
        }
    }
}

/// The newest origins of pools that have several versions, for a router that has started.
#[must_use]
pub fn copy_for(origins: &Origins, pools: &Pools) -> StreamOrigins {
    let now = steady_millis();
    let table = super::lock(&origins.table);
    let mut all: Vec<(StreamKey, &Origin)> = table
        .all(now)
        .filter(|(_, origin)| is_mixed(pools, &origin.pool))
        .collect();
    all.sort_unstable_by_key(|(_, origin)| std::cmp::Reverse(origin.begun));
    let newest = all.iter().take(MAX_BATCH);
    StreamOrigins {
        origins: newest.map(|(key, origin)| encode(key, origin)).collect(),
    }
}

/// Adds the origins that another router sent.
pub fn receive(origins: &Origins, message: &StreamOrigins) {
    for origin in &message.origins {
        let Some((key, origin)) = decode(origin) else {
            event!(warn, "stream.origin_unreadable");
            continue;
        };
        origins.insert(key, origin);
    }
}

pub(super) fn encode_key(key: &StreamKey) -> KeyMessage {
    KeyMessage {
        workspace: key.workspace,
        id_high: (key.id >> 64) as u64,
        id_low: key.id as u64,
    }
}

pub(super) fn decode_key(key: &KeyMessage) -> StreamKey {
    StreamKey {
        workspace: key.workspace,
        id: u128::from(key.id_high) << 64 | u128::from(key.id_low),
    }
}

pub(super) fn encode(key: &StreamKey, origin: &Origin) -> StreamOrigin {
    let now = steady_millis();
    StreamOrigin {
        key: Some(encode_key(key)),
        pool: origin.pool.to_string(),
        version: origin.version.to_string(),
        age_ms: now.saturating_sub(origin.begun),
        left_ms: origin.expires.saturating_sub(now),
    }
}

pub(super) fn decode(message: &StreamOrigin) -> Option<(StreamKey, Origin)> {
    let now = steady_millis();
    let left = message.left_ms.min(super::MAX_LIFETIME.as_millis() as u64);
    let origin = Origin {
        pool: PoolName::from(message.pool.as_str()),
        version: VersionName::from(message.version.as_str()),
        begun: now.saturating_sub(message.age_ms),
        expires: now + left,
    };
    Some((decode_key(message.key.as_ref()?), origin))
}
