//! Retires routers whose VM is gone, and releases the grants of routers that are proven
//! to be gone.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use swiftlink_budget::Fold;
use swiftlink_resource::Config;
use swiftlink_telemetry::{Metrics, event};
use swiftlink_types::{Incarnation, Micros};
use swiftlink_wire::log::{self as wire, Record, record};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::jitter::JitteredTasks;
use crate::log_health::LogHealth;
use crate::peers::{Peer, Peers};
use crate::proof::proof_of;
use crate::release::{LedgerAnswer, Proof, Verdict, decide};
use crate::shards::{Shard, Shards};
use crate::stream::Stream;
use crate::vm_list::SharedVmTracker;

/// Interval between checks of the folds.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Largest random delay before a retirement or release is appended (µs).
const MAX_JITTER: Micros = 500_000;
/// Delay before a release is evaluated again, or a retirement appended again (µs).
const RETRY_DELAY: Micros = 2_000_000;
/// A ledger that got no answer from the log for longer than this (ms) leaves the task to
/// the others.
const MAX_LOG_AGE_MS: u64 = 3_000;

/// Task that retires and releases router incarnations.
#[derive(Debug)]
pub struct Quarantine {
    /// Name of this ledger.
    pub name: Arc<str>,
    /// The configuration stream.
    pub config: Arc<Stream<swiftlink_resource::Fold>>,
    /// The budget streams.
    pub shards: Arc<Shards>,
    /// The other ledgers.
    pub peers: Arc<Peers>,
    /// The VM list.
    pub vms: Arc<SharedVmTracker>,
    /// Reachability of the log.
    pub log_health: Arc<LogHealth>,
    /// Time source.
    pub clock: Clock,
    /// Metrics sender.
    pub metrics: Metrics,
}

/// Shard number and incarnation of a router on one budget stream.
type RouterKey = (u32, Incarnation);

/// Verdicts that were logged for the quarantined incarnations.
type LoggedVerdicts = HashSet<(RouterKey, Verdict)>;

impl Quarantine {
    /// Runs until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let _stopped = stop.run_until_cancelled(self.watch()).await;
    }

    async fn watch(&self) {
        let mut retire = JitteredTasks::new(MAX_JITTER, RETRY_DELAY);
        let mut release = JitteredTasks::new(MAX_JITTER, RETRY_DELAY);
        let mut logged = LoggedVerdicts::new();
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            if self.log_health.age_ms() > MAX_LOG_AGE_MS {
                continue;
            }
            for key in retire.take_due(self.clock.now(), self.active_on_gone_vms(), rand::random) {
                self.retire(&key);
            }
            let quarantined = self.quarantined();
            logged.retain(|(key, _)| quarantined.contains(key));
            for key in release.take_due(self.clock.now(), quarantined, rand::random) {
                if let Some((proof, verdict)) = self.evaluate(&key).await {
                    self.apply_verdict(key, proof, verdict, &mut logged);
                }
            }
        }
    }

    /// Active incarnations whose VM left the VM list or is declared gone.
    fn active_on_gone_vms(&self) -> Vec<RouterKey> {
        let mut keys = Vec::new();
        let config = self.config().unwrap_or_default();
        if !self.vms.has_gone() && config.retirements.is_empty() {
            return keys;
        }
        for (number, shard) in (0..).zip(self.shards.iter()) {
            let state = shard.stream.state();
            let active = state.current().map(Fold::active).unwrap_or_default();
            for router in active {
                if self.is_gone(&config, router.incarnation.vm.as_str()) {
                    keys.push((number, router.incarnation));
                }
            }
        }
        keys
    }

    fn config(&self) -> Option<Arc<Config>> {
        let state = self.config.state();
        state.current().map(swiftlink_resource::Fold::config)
    }

    fn is_gone(&self, config: &Config, vm: &str) -> bool {
        config.is_retired(vm) || self.vms.is_gone(vm)
    }

    fn retire(&self, (number, incarnation): &RouterKey) {
        let left_list = self.vms.is_gone(incarnation.vm.as_str());
        let reason = if left_list {
            "vm left the list"
        } else {
            "vm is declared gone"
        };
        event!(
            warn,
            "router.retire",
            router = incarnation,
            shard = number,
            reason = reason
        );
        self.metrics.count("ledger.retires", 1);
        let kind = record::Kind::Retire(wire::Retire {
            incarnation: Some(incarnation.into()),
        });
        self.append_record(*number, kind);
    }

    /// Incarnations whose grants are quarantined.
    fn quarantined(&self) -> Vec<RouterKey> {
        let mut keys = Vec::new();
        for (number, shard) in (0..).zip(self.shards.iter()) {
            let state = shard.stream.state();
            let retired = state.current().map(Fold::retired).unwrap_or_default();
            keys.extend(
                retired
                    .into_iter()
                    .map(|router| (number, router.incarnation)),
            );
        }
        keys
    }

    /// Evaluates a retired incarnation. Asks every ledger for its pending charges, unless
    /// there is no proof anyway.
    ///
    /// Asks twice: a ledger that stops hands its charges to another one, which may have
    /// been asked just before, and it may be up again before it is asked itself. The
    /// second round finds charges that were handed over during the first.
    async fn evaluate(&self, key: &RouterKey) -> Option<(Proof, Verdict)> {
        let proof = self.proof(key)?;
        for _round in 0..2 {
            let answers = match proof {
                Proof::None => Vec::new(),
                Proof::Successor | Proof::Declared | Proof::Delisted => self.ask_all(&key.1).await,
            };
            let verdict = decide(proof, &answers);
            if verdict != Verdict::Release {
                return Some((proof, verdict));
            }
        }
        // The VM's retirement may have been withdrawn while the ledgers were asked.
        (self.proof(key)? == proof).then_some((proof, Verdict::Release))
    }

    async fn ask_all(&self, incarnation: &Incarnation) -> Vec<LedgerAnswer> {
        let calls = self
            .peers
            .iter()
            .map(|peer| self.ask_peer(peer, incarnation));
        let mut answers = join_all(calls).await;
        answers.push(LedgerAnswer {
            ledger: Arc::clone(&self.name),
            pending: Some(self.shards.pending(incarnation)),
            gone: false,
        });
        answers
    }

    async fn ask_peer(&self, peer: &Peer, incarnation: &Incarnation) -> LedgerAnswer {
        let pending = peer.pending(incarnation).await.ok();
        let config = self.config().unwrap_or_default();
        LedgerAnswer {
            ledger: Arc::clone(&peer.name),
            pending,
            gone: self.is_gone(&config, peer.vm()),
        }
    }

    /// Proof that a retired incarnation is gone; `None` if it isn't retired.
    fn proof(&self, (number, incarnation): &RouterKey) -> Option<Proof> {
        let config = self.config()?;
        let is_absent = self.vms.is_absent(incarnation.vm.as_str());
        let shard = self.shard(*number)?;
        let state = shard.stream.state();
        let fold = state.current()?;
        let retired = fold.retired();
        let router = retired
            .iter()
            .find(|router| router.incarnation == *incarnation)?;
        Some(proof_of(router, fold, &config, is_absent))
    }

    fn apply_verdict(
        &self,
        key: RouterKey,
        proof: Proof,
        verdict: Verdict,
        logged: &mut LoggedVerdicts,
    ) {
        let (number, incarnation) = &key;
        if verdict != Verdict::Release {
            if logged.insert((key.clone(), verdict.clone())) {
                event!(
                    warn,
                    "router.quarantined",
                    router = incarnation,
                    shard = number,
                    reason = verdict
                );
            }
            return;
        }
        event!(
            info,
            "router.release",
            router = incarnation,
            shard = number,
            proof = proof
        );
        self.metrics.count("ledger.releases", 1);
        let kind = record::Kind::Release(wire::Release {
            incarnation: Some(incarnation.into()),
        });
        self.append_record(*number, kind);
    }

    fn append_record(&self, number: u32, kind: record::Kind) {
        let Some(shard) = self.shard(number) else {
            return;
        };
        if let Err(full) = shard.outbox.post(vec![Record { kind: Some(kind) }]) {
            event!(warn, "record.delayed", error = full);
        }
    }

    fn shard(&self, number: u32) -> Option<&Shard> {
        self.shards.iter().nth(number as usize)
    }
}
