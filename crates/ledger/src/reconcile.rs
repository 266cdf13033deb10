//! Appends declared top-ups to the budget streams.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_resource::Config;
use swiftlink_telemetry::event;
use swiftlink_types::Micros;
use swiftlink_wire::log::{Record, TopUp, record};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::jitter::JitteredTasks;
use crate::log_health::LogHealth;
use crate::shards::Shards;
use crate::stream::Stream;

/// Interval between checks of the declared top-ups.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Largest random delay before a declared top-up is appended (µs).
const MAX_JITTER: Micros = 300_000;
/// Delay before a top-up is appended again if it is still not folded (µs).
const RETRY_DELAY: Micros = 5_000_000;
/// A ledger that got no answer from the log for longer than this (ms) leaves the task to
/// the others.
const MAX_LOG_AGE_MS: u64 = 3_000;

/// Task that appends declared top-ups which aren't folded yet.
#[derive(Debug)]
pub struct Reconciler {
    /// The configuration stream.
    pub config: Arc<Stream<swiftlink_resource::Fold>>,
    /// The budget streams.
    pub shards: Arc<Shards>,
    /// Reachability of the log.
    pub log_health: Arc<LogHealth>,
    /// Time source.
    pub clock: Clock,
}

impl Reconciler {
    /// Reconciles until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let _stopped = stop.run_until_cancelled(self.reconcile()).await;
    }

    async fn reconcile(&self) {
        let mut tasks = JitteredTasks::new(MAX_JITTER, RETRY_DELAY);
        let mut last_positions = None;
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            if self.log_health.age_ms() > MAX_LOG_AGE_MS {
                continue;
            }
            let positions = self.positions();
            if tasks.is_empty() && last_positions.as_ref() == Some(&positions) {
                continue;
            }
            let open = self.missing();
            for top_up in tasks.take_due(self.clock.now(), open, rand::random) {
                self.submit(top_up);
            }
            last_positions = Some(positions);
        }
    }

    /// Positions of all streams. While they don't change, no further top-up can be missing.
    fn positions(&self) -> Vec<(u64, bool)> {
        let mut positions = vec![self.config.progress()];
        positions.extend(self.shards.iter().map(|shard| shard.stream.progress()));
        positions
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
            let Some(shard) = self.shards.for_budget(top_up.budget.as_str()) else {
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
        let Some(shard) = self.shards.for_budget(&top_up.budget) else {
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
