//! Registers a router in the members' feed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use swiftlink_telemetry::event;
use swiftlink_types::VmName;
use swiftlink_wire::rights::Member as MemberRecord;
use tokio::sync::watch::Receiver;
use tokio::time::{Instant, sleep, timeout_at};

use super::{Peers, SECRET_KEY};
use crate::settings::RouterSettings;
use crate::store::{ANSWER_TIMEOUT, Feed, Record, Store, StoreError};

/// Size of the secret before its hexadecimal encoding.
const SECRET_BYTES: usize = 24;
/// Maximum random delay before a missing secret is generated: otherwise hundreds of routers that
/// start together would each write one.
const MAX_DRAW_DELAY: Duration = Duration::from_millis(300);
/// Age that a copy of the store doesn't exceed by far: it is some seconds old. A router that
/// registered earlier is in it.
const MAX_COPY_AGE: Duration = Duration::from_secs(60);
/// Maximum random delay, for each router of the fleet, before a router registers again: at most two
/// hundred of them in a second.
const REWRITE_DELAY_PER_ROUTER: Duration = Duration::from_millis(5);
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
/// Both are written again if the store comes back from an older copy.
pub(crate) async fn register(
    store: Arc<dyn Store>,
    peers: Arc<Peers>,
    partition: u32,
    vm: VmName,
    member: MemberRecord,
) {
    let registration = Registration {
        store,
        partition,
        vm,
        member,
    };
    let mut era = registration.store.era();
    registration.append(1).await;
    let mut registered = Instant::now();
    peers.mark_registered();
    let secret = registration.secret(None).await;
    peers.set_secret(&secret);
    era.mark_unchanged();
    for sequence in 2.. {
        if !registration.goes_back(&mut era, registered).await {
            return;
        }
        let routers = peers.all().len() as u32;
        let delay = (REWRITE_DELAY_PER_ROUTER * routers).max(MAX_DRAW_DELAY);
        sleep(delay.mul_f64(rand::random())).await;
        registration.append(sequence).await;
        registered = Instant::now();
        registration.secret(Some(&secret)).await;
    }
}

/// Writes of a router to the members' and links' feeds, each repeated until it succeeds.
struct Registration {
    store: Arc<dyn Store>,
    partition: u32,
    vm: VmName,
    member: MemberRecord,
}

impl Registration {
    /// Waits until the store goes back to a copy. Returns false if all its later copies have the record
    /// that was written before `registered`: the store answers in the same era [`MAX_COPY_AGE`]
    /// later. The age alone doesn't show that, as the store may be away for most of it.
    async fn goes_back(&self, era: &mut Receiver<u64>, registered: Instant) -> bool {
        let changed = timeout_at(registered + MAX_COPY_AGE, era.changed()).await;
        if let Ok(changed) = changed {
            // A store without eras never goes back.
            return changed.is_ok();
        }
        while let Err(error) = read_secret(&*self.store).await {
            event!(info, "peer.not_confirmed", error = error);
            sleep(MAX_BACKOFF.mul_f64(rand::random())).await;
        }
        let has_changed = era.has_changed().unwrap_or(false);
        era.mark_unchanged();
        has_changed
    }

    /// Appends the record of this router.
    async fn append(&self, sequence: u64) {
        let mut backoff = MIN_BACKOFF;
        while let Err(error) = self.try_append(sequence).await {
            event!(info, "peer.not_registered", error = error);
            sleep(backoff.mul_f64(rand::random())).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn try_append(&self, sequence: u64) -> Result<(), StoreError> {
        let record = (
            self.vm.to_string(),
            Bytes::from(self.member.encode_to_vec()),
        );
        let producer = format!("{}/{:016x}", self.vm, self.member.process);
        let feed = Feed::Members(self.partition);
        self.store
            .append_next(feed, &producer, sequence, record)
            .await?;
        Ok(())
    }

    /// Reads the secret of the links. If there is none, writes the known one or generates one.
    async fn secret(&self, known: Option<&Bytes>) -> Bytes {
        let mut backoff = MIN_BACKOFF;
        loop {
            match find_secret(&*self.store, known).await {
                Ok(secret) => return secret,
                Err(error) => event!(info, "peer.no_secret", error = error),
            }
            sleep(backoff.mul_f64(rand::random())).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Reads the secret of the links and the end of their feed.
async fn read_secret(store: &dyn Store) -> Result<(u64, Option<Bytes>), StoreError> {
    let page = store.newest(Feed::Links, ANSWER_TIMEOUT.into()).await?;
    let mut records = page.records.into_iter();
    let secret = records.find(|record| record.key == SECRET_KEY);
    let secret = secret.and_then(|record| record.value);
    if secret.as_deref().is_some_and(|value| !is_generated(value)) {
        event!(error, "peer.secret_invalid");
        return Ok((page.end, None));
    }
    Ok((page.end, secret))
}

/// Whether a secret is one that a router generated. With an empty one, or one that can be guessed,
/// whoever reaches the address of a router could open links and tunnels.
fn is_generated(secret: &[u8]) -> bool {
    secret.len() == 2 * SECRET_BYTES && secret.iter().all(u8::is_ascii_hexdigit)
}

/// Reads the secret of the links. If there is none that is valid, writes the known one or generates
/// one.
async fn find_secret(store: &dyn Store, known: Option<&Bytes>) -> Result<Bytes, StoreError> {
    if let (_, Some(secret)) = read_secret(store).await? {
        return Ok(secret);
    }
    // In a fleet that starts for the first time, one secret is enough.
    sleep(MAX_DRAW_DELAY.mul_f64(rand::random())).await;
    let (end, secret) = read_secret(store).await?;
    if let Some(secret) = secret {
        return Ok(secret);
    }
    let secret = known.cloned().unwrap_or_else(generate_secret);
    let record = (SECRET_KEY.to_owned(), secret.clone());
    store.append_at(Feed::Links, end, &[record]).await?;
    Ok(secret)
}

fn generate_secret() -> Bytes {
    let drawn: [u8; SECRET_BYTES] = rand::random();
    let text: String = drawn.iter().map(|byte| format!("{byte:02x}")).collect();
    Bytes::from(text)
}
