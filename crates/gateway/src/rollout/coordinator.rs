//! Coordination of a rollout: decides on the stages and records them on the store.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use swiftlink_rollout::{Order, Progress, RolloutState, Stage, Step, compare_versions, next_step};
use swiftlink_telemetry::event;
use swiftlink_types::PoolName;
use swiftlink_wire::rights::Rollout;
use tokio::time::Instant;

use super::codec::{decode_progress, encode_progress};
use crate::catalog::Catalog;
use crate::fleet::Pool;
use crate::node::Node;
use crate::store::{ANSWER_TIMEOUT, Feed, Store, StoreError};

/// Delay per rank before a coordinator takes a pending step, so that the first one takes it if it
/// is alive.
const TURN_DELAY: Duration = Duration::from_millis(400);

/// A router's place in the fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    /// Rank among the coordinators of the pool's rollouts.
    pub(super) rank: usize,
    /// Number of routers.
    pub(super) routers: usize,
}

/// State of one order on a coordinator.
#[derive(Debug, Default)]
pub(super) struct Coordinator {
    order: Option<Order>,
    /// When the order was first seen on this router.
    first_seen: Option<Instant>,
    /// Current stage, and when this router learned of it.
    stage: Option<(Stage, Instant)>,
    /// Pending step, and since when it is pending.
    pending: Option<(Step, Instant)>,
    /// Stage last published to operators.
    published: Option<Stage>,
    /// Era of the store in which it was found to have the stage.
    era: Option<u64>,
}

impl Coordinator {
    /// Takes the pending step, if there is one.
    pub(super) async fn take_step(
        &mut self,
        node: &Node,
        pool: &Pool,
        store: &dyn Store,
        catalog: &dyn Catalog,
        place: Place,
    ) {
        let Some((order, stage, progress)) = pool.rollout.order() else {
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
                secs = order.time_limit.as_secs_f32(),
                order = order.number,
            );
        }
        if let Some(progress) = &progress {
            self.restore_progress(store, &order.pool, progress).await;
        }
        let first_seen = *self.first_seen.get_or_insert_with(Instant::now);
        if self.stage.is_none_or(|(known, _)| known != stage) {
            self.stage = Some((stage, Instant::now()));
            node.reports.with(&order.pool, order.number, |aggregate| {
                aggregate.begin_stage()
            });
        }
        let wall = node.quotas.clock().read().wall;
        let started = progress.map_or(wall, |progress| progress.started);
        // Another coordinator may have seen the order earlier. Clocks may differ, so the time by
        // the clock is capped at the order's time limit.
        let clock_elapsed = Duration::from_millis(wall.saturating_sub(started));
        let elapsed = first_seen
            .elapsed()
            .max(clock_elapsed.min(order.time_limit));
        let rollout_state = self.rollout_state(node, pool, &order, stage, elapsed, place);
        let step = next_step(&order, &rollout_state);
        if step == Step::Wait {
            self.pending = None;
        } else if self.is_turn(&step, place.rank) {
            let reason = match &step {
                Step::Revert(reason) => reason.as_str(),
                Step::Wait | Step::Advance(_) => "-",
            };
            let progress = Progress {
                order: order.number,
                version: order.version.clone(),
                stage: match step {
                    Step::Advance(stage) => stage,
                    _ => Stage::Reverted,
                },
                started,
            };
            self.advance(node, store, &order.pool, &progress, reason)
                .await;
        }
        self.publish_status(store, catalog, &order, pool).await;
    }

    /// Writes the progress again if the store went back to a copy without it. Routers that start
    /// later begin the rollout anew otherwise.
    async fn restore_progress(&mut self, store: &dyn Store, pool: &PoolName, progress: &Progress) {
        let era = *store.era().borrow();
        if self.era == Some(era) {
            return;
        }
        match write_progress(store, pool, progress).await {
            Ok(is_written) => {
                if is_written {
                    event!(
                        info,
                        "rollout.restored",
                        pool = pool,
                        version = progress.version,
                        stage = progress.stage.as_str(),
                        order = progress.order,
                        era = era,
                    );
                }
                self.published = None;
                self.era = Some(era);
            }
            Err(error) => event!(warn, "rollout.not_written", pool = pool, error = error),
        }
    }

    fn rollout_state(
        &self,
        node: &Node,
        pool: &Pool,
        order: &Order,
        stage: Stage,
        elapsed: Duration,
        place: Place,
    ) -> RolloutState {
        let (new_servers, old_servers) = pool.count_servers(&order.version);
        let since = self.stage.map(|(_, since)| since);
        let (regression, is_old_idle) = node.reports.with(&order.pool, order.number, |aggregate| {
            let regression = compare_versions(&aggregate.totals())
                .or_else(|| compare_versions(&aggregate.stage_totals()));
            (
                regression,
                aggregate.is_old_idle(Stage::Shift, place.routers),
            )
        });
        RolloutState {
            stage,
            elapsed,
            stage_age: since.map_or(elapsed, |since| since.elapsed()),
            new_servers,
            old_servers,
            is_old_idle,
            regression,
        }
    }

    /// Whether it is this router's turn to take the step.
    fn is_turn(&mut self, step: &Step, rank: usize) -> bool {
        let kind = std::mem::discriminant(step);
        let since = match &self.pending {
            Some((pending, since)) if std::mem::discriminant(pending) == kind => *since,
            _ => Instant::now(),
        };
        self.pending = Some((step.clone(), since));
        since.elapsed() >= TURN_DELAY * rank as u32
    }

    /// Records the progress of the order, unless the store has a later stage.
    async fn advance(
        &mut self,
        node: &Node,
        store: &dyn Store,
        pool: &PoolName,
        progress: &Progress,
        reason: &str,
    ) {
        match write_progress(store, pool, progress).await {
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
                self.pending = None;
            }
            // The feed delivers the later stage.
            Ok(false) => {}
            Err(error) => event!(warn, "rollout.not_written", pool = pool, error = error),
        }
    }

    /// Publishes a new stage to operators.
    async fn publish_status(
        &mut self,
        store: &dyn Store,
        catalog: &dyn Catalog,
        order: &Order,
        pool: &Pool,
    ) {
        let Some((now, stage, _)) = pool.rollout.order() else {
            return;
        };
        if now != *order || stage == Stage::Ordered || self.published == Some(stage) {
            return;
        }
        let status = catalog.rollout_status(&order.pool, &order.version, stage);
        match write_status(store, order, stage, status).await {
            Ok(()) => self.published = Some(stage),
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

/// Appends a stage if the pool's latest stage on the store precedes it. The append is conditional
/// on the end of the feed, so that no record is written in between. Returns whether it was
/// appended.
async fn write_progress(
    store: &dyn Store,
    pool: &PoolName,
    progress: &Progress,
) -> Result<bool, StoreError> {
    let (end, known) = latest(store, pool).await?;
    if let Some(known) = known {
        if !progress.is_after(&known) {
            return Ok(false);
        }
        // A final stage is never overwritten.
        if known.is_of_same_order(progress) && known.stage.is_final() {
            return Ok(false);
        }
    }
    let value = Bytes::from(encode_progress(progress).encode_to_vec());
    let records = [(pool.to_string(), value)];
    store.append_at(Feed::Rollouts, end, &records).await?;
    Ok(true)
}

/// The end of the rollouts feed and the pool's latest progress in it.
async fn latest(store: &dyn Store, pool: &PoolName) -> Result<(u64, Option<Progress>), StoreError> {
    let page = store.newest(Feed::Rollouts, ANSWER_TIMEOUT.into()).await?;
    let mut records = page.records.into_iter();
    let known = records.find(|record| record.key == pool.as_str());
    let Some(value) = known.and_then(|record| record.value) else {
        return Ok((page.end, None));
    };
    let known = Rollout::decode(value);
    let known = known.map_err(|error| StoreError::Protocol(error.to_string()))?;
    Ok((page.end, Some(decode_progress(&known))))
}

/// Appends the status of a stage for operators, unless it is already there or the store has another
/// stage. The end of the operators' feed is read before the stage, so the append conflicts with the
/// status of a later stage.
async fn write_status(
    store: &dyn Store,
    order: &Order,
    stage: Stage,
    status: (String, Bytes),
) -> Result<(), StoreError> {
    let page = store.newest(Feed::Status, ANSWER_TIMEOUT.into()).await?;
    let known = latest(store, &order.pool).await?.1;
    if known.is_some_and(|known| !known.is_of(order) || known.stage != stage) {
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
