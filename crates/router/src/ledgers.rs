//! Connections to the fleet's ledgers, which submit records, store charges and serve
//! pages of streams.
//!
//! Every record is idempotent, so a record without a reply is submitted again through
//! any ledger.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use swiftlink_budget::stream_of;
use swiftlink_link::{Client, LinkError, Secret};
use swiftlink_types::DomainName;
use swiftlink_wire::link::{FailureKind, Submit, reply, request};
use swiftlink_wire::log::{Fate, Record, fate, record};
use tokio::time::Instant;

use crate::settings::Settings;

/// Pause before another round over all ledgers when none accepted a record.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a ledger that failed is tried only after the others.
const DEPRIORITIZE_TIME: Duration = Duration::from_secs(1);

/// One ledger and this router's connection to it.
#[derive(Debug)]
pub struct Ledger {
    /// Connection to the ledger.
    pub client: Arc<Client>,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    start: Instant,
    /// Time until which it is tried after the others (µs since `start`).
    deprioritized_until: AtomicU64,
}

impl Ledger {
    fn new(client: Arc<Client>, domain: &str) -> Arc<Self> {
        Arc::new(Self {
            client,
            domain: DomainName::from(domain),
            start: Instant::now(),
            deprioritized_until: AtomicU64::new(0),
        })
    }

    /// Makes [`by_preference`] list the ledger after the others for a while.
    pub fn deprioritize(&self) {
        let until = self.start.elapsed() + DEPRIORITIZE_TIME;
        self.deprioritized_until
            .store(until.as_micros() as u64, Ordering::Relaxed);
    }

    fn is_deprioritized(&self) -> bool {
        let now = self.start.elapsed().as_micros() as u64;
        now < self.deprioritized_until.load(Ordering::Relaxed)
    }
}

/// The connected ledgers of `list` in order, those that failed recently last.
#[must_use]
pub fn by_preference(list: &[Arc<Ledger>]) -> Vec<&Arc<Ledger>> {
    let mut sorted: Vec<_> = list.iter().filter(|ledger| ledger.client.is_up()).collect();
    sorted.sort_by_key(|ledger| ledger.is_deprioritized());
    sorted
}

/// No ledger returned a decision on the record in time. The record may still be decided.
#[derive(Debug, Clone, thiserror::Error)]
#[error("no ledger decided the record: {0}")]
pub struct UndecidedError(pub String);

/// All ledgers, in this router's order of preference.
#[derive(Debug)]
pub struct Ledgers {
    /// Ledgers of the own failure domain first.
    near: Vec<Arc<Ledger>>,
    /// Ledgers of other failure domains first.
    far: Vec<Arc<Ledger>>,
    attempt_timeout: Duration,
}

impl Ledgers {
    /// Starts the connections.
    #[must_use]
    pub fn spawn(settings: &Settings) -> Self {
        let common = &settings.common;
        let mut own = Vec::new();
        let mut others = Vec::new();
        for peer in &settings.ledgers {
            let secret = Secret::new(common.secret.expose());
            let name = format!("router-{}", common.vm);
            let client = Client::spawn(peer.address, &name, secret);
            let ledger = Ledger::new(client, &peer.domain);
            if peer.domain == common.domain {
                own.push(ledger);
            } else {
                others.push(ledger);
            }
        }
        // Routers of one domain start with different ledgers of the other domains, so
        // that the loss of a ledger doesn't move all of them to the same one.
        if !others.is_empty() {
            let start = start_index(&common.vm, others.len());
            others.rotate_left(start);
        }
        let near = own.iter().chain(&others).map(Arc::clone).collect();
        let far = others.iter().chain(&own).map(Arc::clone).collect();
        Self {
            near,
            far,
            attempt_timeout: settings.ledger_try(),
        }
    }

    /// The ledgers, own failure domain first.
    #[must_use]
    pub fn near(&self) -> &[Arc<Ledger>] {
        &self.near
    }

    /// The ledgers, other failure domains first.
    #[must_use]
    pub fn far(&self) -> &[Arc<Ledger>] {
        &self.far
    }

    /// Submits `kind` to the stream of `shard` through one ledger after another, until
    /// the fold of the log has decided it or `wait` is over.
    ///
    /// # Errors
    /// Fails when no decision was received in time. The record may have been appended or
    /// may be appended later.
    pub async fn submit(
        &self,
        shard: u32,
        kind: record::Kind,
        wait: Duration,
    ) -> Result<fate::Kind, UndecidedError> {
        let until = Instant::now() + wait;
        let mut why = String::from("no ledger is connected");
        loop {
            for ledger in by_preference(&self.near) {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(UndecidedError(why));
                }
                match self.submit_to(&ledger.client, shard, &kind, left).await {
                    Ok(fate) => return Ok(fate),
                    Err(error) => {
                        ledger.deprioritize();
                        why = error;
                    }
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if left <= ROUND_PAUSE {
                return Err(UndecidedError(why));
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    async fn submit_to(
        &self,
        client: &Client,
        shard: u32,
        kind: &record::Kind,
        left: Duration,
    ) -> Result<fate::Kind, String> {
        let wait = left.min(self.attempt_timeout);
        let record = Record {
            kind: Some(kind.clone()),
        };
        let submit = Submit {
            stream: stream_of(shard).to_string(),
            records: vec![record],
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        let reply = client
            .call(request::Kind::Submit(submit), wait)
            .await
            .map_err(|error| describe(&error))?;
        match reply {
            reply::Kind::Submitted(submitted) => first_fate(submitted.fates),
            _ => Err("unexpected reply to a submit".to_owned()),
        }
    }

    /// Closes all connections.
    pub async fn stop(&self) {
        for ledger in &self.near {
            ledger.client.stop().await;
        }
    }
}

fn first_fate(fates: Vec<Fate>) -> Result<fate::Kind, String> {
    let first = fates.into_iter().next().and_then(|fate| fate.kind);
    first.ok_or_else(|| "a submit without a fate".to_owned())
}

/// Describes a failed call in one line, for logs and refusals.
#[must_use]
pub fn describe(error: &LinkError) -> String {
    match error {
        LinkError::Down => "ledger not connected".to_owned(),
        LinkError::Lost => "connection to the ledger lost".to_owned(),
        LinkError::Timeout => "ledger silent".to_owned(),
        LinkError::Failed(failure) => match failure.kind() {
            FailureKind::LogOut => "the log is out".to_owned(),
            _ => failure.detail.clone(),
        },
    }
}

/// Derives a start index from the VM's name, so that routers start at different ledgers.
fn start_index(vm: &str, count: usize) -> usize {
    let sum: usize = vm.bytes().map(usize::from).sum();
    sum % count
}
