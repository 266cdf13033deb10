//! Brings declared top-ups into the budget streams.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_resource::Config;
use swiftlink_telemetry::event;
use swiftlink_types::Micros;
use swiftlink_wire::log::{Record, TopUp, record};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::contact::Contact;
use crate::duty::Duty;
use crate::shards::Shards;
use crate::stream::Stream;

/// Pause between looks at the declared top-ups.
const TICK: Duration = Duration::from_millis(100);
/// Largest wait before a declared top-up is appended.
const SPREAD: Micros = 300_000;
/// Wait before it is appended again if it is still not folded.
const AGAIN: Micros = 5_000_000;
/// Without an answer from the log for longer than this, others do the work.
const CONTACT_MS: u64 = 3_000;

/// The task that compares declared top-ups with the folded ones.
#[derive(Debug)]
pub struct Reconciler {
    /// The configuration stream.
    pub config: Arc<Stream<swiftlink_resource::Fold>>,
    /// The budget streams.
    pub shards: Arc<Shards>,
    /// When the log was last heard from.
    pub contact: Arc<Contact>,
    /// Time source.
    pub clock: Clock,
}

impl Reconciler {
    /// Reconciles until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let _stopped = stop.run_until_cancelled(self.reconcile()).await;
    }

    async fn reconcile(&self) {
        let mut duty = Duty::new(SPREAD, AGAIN);
        let mut seen = None;
        loop {
            tokio::time::sleep(TICK).await;
            if self.contact.age_ms() > CONTACT_MS {
                continue;
            }
            let marks = self.marks();
            if duty.is_empty() && seen.as_ref() == Some(&marks) {
                continue;
            }
            let open = self.missing();
            for top_up in duty.step(self.clock.now(), open, rand::random) {
                self.submit(top_up);
            }
            seen = Some(marks);
        }
    }

    /// Where all streams stand: nothing new is missing while that doesn't change.
    fn marks(&self) -> Vec<(u64, bool)> {
        let mut marks = vec![self.config.progress()];
        marks.extend(self.shards.iter().map(|shard| shard.stream.progress()));
        marks
            .iter()
            .map(|progress| (progress.next, progress.ready))
            .collect()
    }

    fn missing(&self) -> Vec<DeclaredTopUp> {
        let Some(config) = self.declared() else {
            return Vec::new();
        };
        let mut missing = Vec::new();
        for (name, top_up) in &config.topups {
            let Some(shard) = self.shards.of_budget(top_up.budget.as_str()) else {
                continue;
            };
            let state = shard.stream.state();
            let Some(fold) = state.current() else {
                continue;
            };
            if fold.has_top_up(top_up.budget.as_str(), name.as_ref()) {
                continue;
            }
            missing.push(DeclaredTopUp {
                budget: top_up.budget.to_string(),
                id: name.to_string(),
                amount: top_up.amount,
            });
        }
        missing
    }

    fn declared(&self) -> Option<Arc<Config>> {
        let state = self.config.state();
        state.current().map(swiftlink_resource::Fold::config)
    }

    fn submit(&self, top_up: DeclaredTopUp) {
        let Some(shard) = self.shards.of_budget(&top_up.budget) else {
            return;
        };
        event!(
            info,
            "topup.append",
            budget = top_up.budget,
            id = top_up.id,
            amount = top_up.amount
        );
        let kind = record::Kind::TopUp(top_up.into());
        if let Err(full) = shard.outbox.post(vec![Record { kind: Some(kind) }]) {
            event!(warn, "topup.delayed", error = full);
        }
    }
}

/// A top-up as it is declared in the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DeclaredTopUp {
    budget: String,
    id: String,
    amount: u64,
}

impl From<DeclaredTopUp> for TopUp {
    fn from(top_up: DeclaredTopUp) -> Self {
        Self {
            budget: top_up.budget,
            id: top_up.id,
            amount: top_up.amount,
        }
    }
}
