//! Retires routers whose VM is gone, and frees the rights of those proved gone.

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
use crate::contact::Contact;
use crate::duty::Duty;
use crate::peers::{Peer, Peers};
use crate::proof::proof_of;
use crate::release::{Answer, Proof, Verdict, decide};
use crate::shards::{Shard, Shards};
use crate::stream::Stream;
use crate::vm_list::Vms;

/// Pause between looks at the folds.
const TICK: Duration = Duration::from_millis(200);
/// Largest wait before a retirement or release is appended.
const SPREAD: Micros = 500_000;
/// Wait before a release is looked at again, or a retirement appended again.
const AGAIN: Micros = 2_000_000;
/// Without an answer from the log for longer than this, others do the work.
const CONTACT_MS: u64 = 3_000;

/// The task that retires and releases.
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
    pub vms: Arc<Vms>,
    /// When the log was last heard from.
    pub contact: Arc<Contact>,
    /// Time source.
    pub clock: Clock,
    /// Metrics sender.
    pub metrics: Metrics,
}

/// An incarnation as one budget stream knows it.
type Case = (u32, Incarnation);

/// What was logged of the cases that are open.
type Told = HashSet<(Case, Verdict)>;

impl Quarantine {
    /// Works until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let _stopped = stop.run_until_cancelled(self.watch()).await;
    }

    async fn watch(&self) {
        let mut retire = Duty::new(SPREAD, AGAIN);
        let mut release = Duty::new(SPREAD, AGAIN);
        let mut told = Told::new();
        loop {
            tokio::time::sleep(TICK).await;
            if self.contact.age_ms() > CONTACT_MS {
                continue;
            }
            for case in retire.step(self.clock.now(), self.gone(), rand::random) {
                self.retire(&case);
            }
            let quarantined = self.quarantined();
            told.retain(|(case, _)| quarantined.contains(case));
            for case in release.step(self.clock.now(), quarantined, rand::random) {
                if let Some((proof, verdict)) = self.judge(&case).await {
                    self.act(case, proof, verdict, &mut told);
                }
            }
        }
    }

    /// Active incarnations whose VM left the VM list or is declared gone.
    fn gone(&self) -> Vec<Case> {
        let mut cases = Vec::new();
        let config = self.config().unwrap_or_default();
        if !self.vms.any_gone() && config.retirements.is_empty() {
            return cases;
        }
        for (number, shard) in (0..).zip(self.shards.iter()) {
            let state = shard.stream.state();
            let active = state.current().map(Fold::active).unwrap_or_default();
            for router in active {
                if self.is_gone(&config, router.incarnation.vm.as_str()) {
                    cases.push((number, router.incarnation));
                }
            }
        }
        cases
    }

    fn config(&self) -> Option<Arc<Config>> {
        let state = self.config.state();
        state.current().map(swiftlink_resource::Fold::config)
    }

    fn is_gone(&self, config: &Config, vm: &str) -> bool {
        config.is_retired(vm) || self.vms.is_gone(vm)
    }

    fn retire(&self, (number, incarnation): &Case) {
        let listed = self.vms.is_gone(incarnation.vm.as_str());
        let reason = if listed {
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
        self.post(*number, kind);
    }

    /// Incarnations whose rights are in quarantine.
    fn quarantined(&self) -> Vec<Case> {
        let mut cases = Vec::new();
        for (number, shard) in (0..).zip(self.shards.iter()) {
            let state = shard.stream.state();
            let retired = state.current().map(Fold::retired).unwrap_or_default();
            cases.extend(
                retired
                    .into_iter()
                    .map(|router| (number, router.incarnation)),
            );
        }
        cases
    }

    /// Asks every ledger, unless the proof is missing anyway.
    ///
    /// Asks twice: a ledger that stops hands its charges to another, which may have
    /// been asked just before, and may be up again before it is asked itself. The
    /// second round finds what was handed over during the first.
    async fn judge(&self, case: &Case) -> Option<(Proof, Verdict)> {
        let proof = self.proof(case)?;
        for _round in 0..2 {
            let answers = match proof {
                Proof::None => Vec::new(),
                Proof::Bound | Proof::Declared | Proof::Listed => self.ask_all(&case.1).await,
            };
            let verdict = decide(proof, &answers);
            if verdict != Verdict::Release {
                return Some((proof, verdict));
            }
        }
        // The statement may have been withdrawn while the ledgers were asked.
        (self.proof(case)? == proof).then_some((proof, Verdict::Release))
    }

    async fn ask_all(&self, incarnation: &Incarnation) -> Vec<Answer> {
        let asks = self.peers.iter().map(|peer| self.ask(peer, incarnation));
        let mut answers = join_all(asks).await;
        answers.push(Answer {
            ledger: Arc::clone(&self.name),
            pending: Some(self.shards.pending(incarnation)),
            gone: false,
        });
        answers
    }

    async fn ask(&self, peer: &Peer, incarnation: &Incarnation) -> Answer {
        let pending = peer.pending(incarnation).await.ok();
        let config = self.config().unwrap_or_default();
        Answer {
            ledger: Arc::clone(&peer.name),
            pending,
            gone: self.is_gone(&config, peer.vm()),
        }
    }

    /// What proves that a retired incarnation is gone; `None` if it isn't retired.
    fn proof(&self, (number, incarnation): &Case) -> Option<Proof> {
        let config = self.config()?;
        let absent = self.vms.is_absent(incarnation.vm.as_str());
        let shard = self.shard(*number)?;
        let state = shard.stream.state();
        let fold = state.current()?;
        let retired = fold.retired();
        let router = retired
            .iter()
            .find(|router| router.incarnation == *incarnation)?;
        Some(proof_of(router, fold, &config, absent))
    }

    fn act(&self, case: Case, proof: Proof, verdict: Verdict, told: &mut Told) {
        let (number, incarnation) = &case;
        if verdict != Verdict::Release {
            if told.insert((case.clone(), verdict.clone())) {
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
        self.post(*number, kind);
    }

    fn post(&self, number: u32, kind: record::Kind) {
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
