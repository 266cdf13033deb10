//! Registers a router in the members' feed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use swiftlink_telemetry::event;
use swiftlink_types::VmName;
use swiftlink_wire::rights::Member as MemberRecord;
use tokio::time::sleep;

use super::{Peers, SECRET_KEY};
use crate::settings::RouterSettings;
use crate::store::{ANSWER_TIMEOUT, Feed, Record, Store, StoreError};

/// Size of the secret before its hexadecimal encoding.
const SECRET_BYTES: usize = 24;
/// Maximum random delay before a missing secret is generated: otherwise hundreds of routers that
/// start together would each write one.
const MAX_DRAW_DELAY: Duration = Duration::from_millis(300);
/// Pause after the first failed registration.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum pause.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// When the routers on VMs other than `own` last started, according to the members' records.
pub(crate) fn start_times(records: &[Record], own: &VmName) -> Vec<u64> {
    let others = records
        .iter()
        .filter(|record| record.key != own.as_str() && !record.key.contains('/'));
    let members = others.filter_map(|record| MemberRecord::decode(record.value.clone()?).ok());
    members.map(|member| member.started_ms).collect()
}

/// The record of this router in the members' feed; other routers reach it at `address`.
pub(crate) fn member(
    settings: &RouterSettings,
    address: SocketAddr,
    process: u64,
    started: u64,
) -> MemberRecord {
    MemberRecord {
        process,
        address: address.to_string(),
        domain: settings.domain.to_string(),
        started_ms: started,
        strength: settings.cpu_millis,
    }
}

/// Registers this router in a partition of the members' feed, and reads the secret of the links.
pub(crate) async fn register(
    store: Arc<dyn Store>,
    peers: Arc<Peers>,
    partition: u32,
    vm: VmName,
    member: MemberRecord,
) {
    let mut backoff = MIN_BACKOFF;
    loop {
        match append(&*store, partition, &vm, &member).await {
            Ok(()) => break,
            Err(error) => event!(info, "peer.not_registered", error = error),
        }
        sleep(backoff.mul_f64(rand::random())).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    peers.mark_registered();
    backoff = MIN_BACKOFF;
    loop {
        match find_secret(&*store).await {
            Ok(secret) => return peers.set_secret(&secret),
            Err(error) => event!(info, "peer.no_secret", error = error),
        }
        sleep(backoff.mul_f64(rand::random())).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

async fn append(
    store: &dyn Store,
    partition: u32,
    vm: &VmName,
    member: &MemberRecord,
) -> Result<(), StoreError> {
    let record = (vm.to_string(), Bytes::from(member.encode_to_vec()));
    let producer = format!("{vm}/{:016x}", member.process);
    let feed = Feed::Members(partition);
    store.append_next(feed, &producer, 1, record).await?;
    Ok(())
}

/// Reads the secret of the links and the end of their feed.
async fn read_secret(store: &dyn Store) -> Result<(u64, Option<Bytes>), StoreError> {
    let page = store.newest(Feed::Links, ANSWER_TIMEOUT.into()).await?;
    let mut records = page.records.into_iter();
    let secret = records.find(|record| record.key == SECRET_KEY);
    Ok((page.end, secret.and_then(|record| record.value)))
}

/// Reads the secret of the links, or generates it if there is none.
async fn find_secret(store: &dyn Store) -> Result<Bytes, StoreError> {
    if let (_, Some(secret)) = read_secret(store).await? {
        return Ok(secret);
    }
    // In a fleet that starts for the first time, one secret is enough.
    sleep(MAX_DRAW_DELAY.mul_f64(rand::random())).await;
    let (end, secret) = read_secret(store).await?;
    if let Some(secret) = secret {
        return Ok(secret);
    }
    let secret = generate_secret();
    let record = (SECRET_KEY.to_owned(), secret.clone());
    store.append_at(Feed::Links, end, &[record]).await?;
    Ok(secret)
}

fn generate_secret() -> Bytes {
    let drawn: [u8; SECRET_BYTES] = rand::random();
    let text: String = drawn.iter().map(|byte| format!("{byte:02x}")).collect();
    Bytes::from(text)
}
