//! What a router does that leads a roll-out.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use swiftlink_rollout::{Order, Progress, Situation, Stage, Step, judge, next};
use swiftlink_telemetry::event;
use swiftlink_types::{PoolName, WallMs};
use swiftlink_wire::rights::Rollout;
use tokio::time::Instant;

use super::message::record;
use crate::catalog::Catalog;
use crate::fleet::Pool;
use crate::node::Node;
use crate::store::{ANSWER_TIMEOUT, Feed, Store, StoreError};

/// Time that the first leader has to take a step before the second one does.
const TURN: Duration = Duration::from_millis(400);
/// Reports that count when the versions before are let go: a process that was silent for so long
/// has ended or is cut off.
const RECENT: Duration = Duration::from_secs(2);

/// One order, as a leader follows it.
#[derive(Debug, Default)]
pub(super) struct Lead {
    order: Option<Order>,
    /// When it was first seen here.
    seen: Option<Instant>,
    /// The stage, and since when it is known here.
    stage: Option<(Stage, Instant)>,
    /// The step that is due, and since when.
    due: Option<(Step, Instant)>,
    /// Stage that operators were told of.
    told: Option<Stage>,
}

impl Lead {
    /// Takes the step that is due, if there is one.
    pub(super) async fn step(
        &mut self,
        node: &Node,
        pool: &Pool,
        store: &dyn Store,
        catalog: &dyn Catalog,
        rank: usize,
    ) {
        let Some((order, stage, progress)) = pool.lane.order() else {
            return;
        };
        if self.order.as_ref() != Some(&order) {
            *self = Self::default();
            self.order = Some(order.clone());
            event!(
                info,
                "rollout.ordered",
                pool = order.pool,
                version = order.version,
                secs = order.time.as_secs_f32(),
                order = order.number,
            );
        }
        let seen = *self.seen.get_or_insert_with(Instant::now);
        if self.stage.is_none_or(|(known, _)| known != stage) {
            self.stage = Some((stage, Instant::now()));
            node.reports
                .with(&order.pool, order.number, |evidence, _| evidence.mark());
        }
        let wall = node.quotas.clock().read().wall;
        let started = progress.map_or(wall, |progress| progress.started);
        let situation = self.situation(
            node,
            pool,
            &order,
            stage,
            seen,
            wall.saturating_sub(started),
        );
        let step = next(&order, &situation);
        if step == Step::Stay {
            self.due = None;
        } else if self.is_turn(&step, rank) {
            let reason = match &step {
                Step::Revert(reason) => reason.as_str(),
                Step::Stay | Step::Go(_) => "-",
            };
            let progress = Progress {
                order: order.number,
                version: order.version.clone(),
                stage: match step {
                    Step::Go(stage) => stage,
                    _ => Stage::Reverted,
                },
                started,
            };
            self.advance(node, store, &order.pool, &progress, reason)
                .await;
        }
        self.tell(store, catalog, &order, pool).await;
    }

    fn situation(
        &self,
        node: &Node,
        pool: &Pool,
        order: &Order,
        stage: Stage,
        seen: Instant,
        by_clock: WallMs,
    ) -> Situation {
        // Another leader may have seen it earlier; clocks may differ, but not by more than it takes.
        let by_clock = Duration::from_millis(by_clock).min(order.time);
        let (new_servers, old_servers) = pool.count(&order.version);
        let since = self.stage.map_or(seen, |(_, since)| since);
        let (finding, is_moved) = node
            .reports
            .with(&order.pool, order.number, |evidence, now| {
                let finding = judge(&evidence.sums()).or_else(|| judge(&evidence.fresh()));
                (finding, evidence.is_moved(Stage::Shift, now, RECENT))
            });
        Situation {
            stage,
            elapsed: seen.elapsed().max(by_clock),
            in_stage: since.elapsed(),
            new_servers,
            old_servers,
            is_moved,
            finding,
        }
    }

    /// Whether this router takes the step now.
    fn is_turn(&mut self, step: &Step, rank: usize) -> bool {
        let kind = std::mem::discriminant(step);
        let since = match &self.due {
            Some((due, since)) if std::mem::discriminant(due) == kind => *since,
            _ => Instant::now(),
        };
        self.due = Some((step.clone(), since));
        since.elapsed() >= TURN * rank as u32
    }

    /// Writes how far the order has come, unless the store knows more.
    async fn advance(
        &mut self,
        node: &Node,
        store: &dyn Store,
        pool: &PoolName,
        progress: &Progress,
        reason: &str,
    ) {
        match write(store, pool, progress).await {
            Ok(true) => {
                event!(
                    info,
                    "rollout.decided",
                    pool = pool,
                    version = progress.version,
                    stage = progress.stage.as_str(),
                    order = progress.order,
                    reason = reason,
                );
                node.pools.set_progress(pool, progress);
                self.due = None;
            }
            // The feed tells what it knows.
            Ok(false) => {}
            Err(error) => event!(warn, "rollout.not_written", pool = pool, error = error),
        }
    }

    /// Tells operators of a stage that they don't know of.
    async fn tell(&mut self, store: &dyn Store, catalog: &dyn Catalog, order: &Order, pool: &Pool) {
        let Some((now, stage, _)) = pool.lane.order() else {
            return;
        };
        if now != *order || stage == Stage::Ordered || self.told == Some(stage) {
            return;
        }
        let status = catalog.rollout_status(&order.pool, &order.version, stage);
        let at = (order.number, stage);
        match write_status(store, &order.pool, at, status).await {
            Ok(()) => self.told = Some(stage),
            Err(error) => {
                event!(
                    warn,
                    "rollout.status_not_written",
                    pool = order.pool,
                    error = error
                );
            }
        }
    }
}

/// Appends a stage if the store's newest one of the pool is before it: nobody can have written
/// since it was read. Says whether it did.
async fn write(
    store: &dyn Store,
    pool: &PoolName,
    progress: &Progress,
) -> Result<bool, StoreError> {
    let (end, known) = newest(store, pool).await?;
    if let Some(known) = known {
        if (known.order, known.stage) >= (progress.order, progress.stage) {
            return Ok(false);
        }
        // A verdict stays.
        if known.order == progress.order && known.stage.is_final() {
            return Ok(false);
        }
    }
    let value = Bytes::from(record(progress).encode_to_vec());
    let records = [(pool.to_string(), value)];
    store.append_at(Feed::Rollouts, end, &records).await?;
    Ok(true)
}

/// The end of the roll-outs' feed, and how far the pool's newest one has come.
async fn newest(store: &dyn Store, pool: &PoolName) -> Result<(u64, Option<Progress>), StoreError> {
    let page = store.newest(Feed::Rollouts, ANSWER_TIMEOUT.into()).await?;
    let mut records = page.records.into_iter();
    let known = records.find(|record| record.key == pool.as_str());
    let Some(value) = known.and_then(|record| record.value) else {
        return Ok((page.end, None));
    };
    let known = Rollout::decode(value);
    let known = known.map_err(|error| StoreError::Protocol(error.to_string()))?;
    Ok((page.end, Some(super::message::progress(&known))))
}

/// Appends what operators read of a stage, unless it stands there or the store knows another stage:
/// the end of the operators' feed is read before the stage, so a later stage's status conflicts.
async fn write_status(
    store: &dyn Store,
    pool: &PoolName,
    at: (u64, Stage),
    status: (String, Bytes),
) -> Result<(), StoreError> {
    let page = store.newest(Feed::Status, ANSWER_TIMEOUT.into()).await?;
    let known = newest(store, pool).await?.1;
    if known.is_some_and(|known| (known.order, known.stage) != at) {
        return Ok(());
    }
    let mut records = page.records.iter();
    let is_known =
        records.any(|record| record.key == status.0 && record.value.as_ref() == Some(&status.1));
    if !is_known {
        store.append_at(Feed::Status, page.end, &[status]).await?;
    }
    Ok(())
}
