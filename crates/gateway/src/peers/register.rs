//! Writes a router into the members' feed.

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
use crate::store::{ANSWER_TIME, Feed, Record, Store, StoreError};

/// Bytes of the secret before its hexadecimal form.
const SECRET_BYTES: usize = 24;
/// Longest pause before a secret that is missing is drawn: hundreds that start together would all
/// write one.
const DRAW_TIME: Duration = Duration::from_millis(300);
/// First pause after a registration failed.
const BACKOFF: Duration = Duration::from_millis(20);
/// Longest pause.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// When the routers on other VMs than `own` started last, by the members' records.
pub(crate) fn starts(records: &[Record], own: &VmName) -> Vec<u64> {
    let others = records
        .iter()
        .filter(|record| record.key != own.as_str() && !record.key.contains('/'));
    let members = others.filter_map(|record| MemberRecord::decode(record.value.clone()?).ok());
    members.map(|member| member.started_ms).collect()
}

/// What the members' feed says of this router, which other routers reach at `address`.
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

/// Writes this router into a partition of the members' feed, and finds the secret of the links.
pub(crate) async fn register(
    store: Arc<dyn Store>,
    peers: Arc<Peers>,
    part: u32,
    vm: VmName,
    member: MemberRecord,
) {
    let mut backoff = BACKOFF;
    loop {
        match append(&*store, part, &vm, &member).await {
            Ok(()) => break,
            Err(error) => event!(info, "peer.not_registered", error = error),
        }
        sleep(backoff.mul_f64(rand::random())).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
    peers.note_registered();
    backoff = BACKOFF;
    loop {
        match find_secret(&*store).await {
            Ok(secret) => return peers.learn_secret(&secret),
            Err(error) => event!(info, "peer.no_secret", error = error),
        }
        sleep(backoff.mul_f64(rand::random())).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}

async fn append(
    store: &dyn Store,
    part: u32,
    vm: &VmName,
    member: &MemberRecord,
) -> Result<(), StoreError> {
    let record = (vm.to_string(), Bytes::from(member.encode_to_vec()));
    let producer = format!("{vm}/{:016x}", member.process);
    let feed = Feed::Members(part);
    store.append_next(feed, &producer, 1, record).await?;
    Ok(())
}

/// The secret of the links, if there is one.
async fn read_secret(store: &dyn Store) -> Result<(u64, Option<Bytes>), StoreError> {
    let page = store.newest(Feed::Links, ANSWER_TIME.into()).await?;
    let mut records = page.records.into_iter();
    let secret = records.find(|record| record.key == SECRET_KEY);
    Ok((page.end, secret.and_then(|record| record.value)))
}

/// The secret of the links; draws one if there is none.
async fn find_secret(store: &dyn Store) -> Result<Bytes, StoreError> {
    if let (_, Some(secret)) = read_secret(store).await? {
        return Ok(secret);
    }
    // In a fleet that starts for the first time one will do.
    sleep(DRAW_TIME.mul_f64(rand::random())).await;
    let (end, secret) = read_secret(store).await?;
    if let Some(secret) = secret {
        return Ok(secret);
    }
    let secret = draw_secret();
    let record = (SECRET_KEY.to_owned(), secret.clone());
    store.append_at(Feed::Links, end, &[record]).await?;
    Ok(secret)
}

fn draw_secret() -> Bytes {
    let drawn: [u8; SECRET_BYTES] = rand::random();
    let text: String = drawn.iter().map(|byte| format!("{byte:02x}")).collect();
    Bytes::from(text)
}
