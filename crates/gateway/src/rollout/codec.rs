//! Conversion of reports and progress to their wire and storage formats.

use std::sync::Arc;

use swiftlink_rollout::{
    LATENCY_BUCKETS, Progress, Report, ResponseStats, RouterStats, Stage, StatsKey,
};
use swiftlink_types::{PoolName, VersionName};
use swiftlink_wire::link::{Tally, TallyRow};
use swiftlink_wire::rights::{Rollout, RolloutStage};

/// Encodes a report about `order`.
pub(super) fn encode_report(pool: &PoolName, order: u64, process: u64, report: &Report) -> Tally {
    let rows = report.stats.rows.iter().map(|(key, stats)| TallyRow {
        route: key.route.to_string(),
        is_new: key.is_new,
        done: stats.finished,
        failed: stats.failed,
        first: trim_buckets(&stats.first_event),
        pauses: trim_buckets(&stats.gaps),
    });
    Tally {
        pool: pool.to_string(),
        order,
        process,
        stage: encode_stage(report.stage).into(),
        old_running: report.old_running,
        rows: rows.collect(),
    }
}

/// Decodes a report.
pub(crate) fn decode_report(message: &Tally) -> Report {
    let rows = message.rows.iter().map(|row| {
        let key = StatsKey {
            route: Arc::from(row.route.as_str()),
            is_new: row.is_new,
        };
        let stats = ResponseStats {
            finished: row.done,
            failed: row.failed,
            first_event: fill_buckets(&row.first),
            gaps: fill_buckets(&row.pauses),
        };
        (key, stats)
    });
    Report {
        stage: decode_stage(RolloutStage::try_from(message.stage).unwrap_or_default()),
        old_running: message.old_running,
        stats: RouterStats {
            rows: rows.collect(),
        },
    }
}

/// Encodes the progress of a rollout.
pub(super) fn encode_progress(progress: &Progress) -> Rollout {
    Rollout {
        order: progress.order,
        version: progress.version.to_string(),
        stage: encode_stage(progress.stage).into(),
        started_ms: progress.started,
    }
}

/// Decodes the progress of a rollout.
pub(super) fn decode_progress(record: &Rollout) -> Progress {
    Progress {
        order: record.order,
        version: VersionName::from(record.version.as_str()),
        stage: decode_stage(record.stage()),
        started: record.started_ms,
    }
}

fn encode_stage(stage: Stage) -> RolloutStage {
    match stage {
        Stage::Ordered => RolloutStage::Unspecified,
        Stage::Canary => RolloutStage::Trial,
        Stage::Shift => RolloutStage::Shift,
        Stage::Completed => RolloutStage::Completed,
        Stage::Reverted => RolloutStage::Reverted,
    }
}

fn decode_stage(stage: RolloutStage) -> Stage {
    match stage {
        RolloutStage::Unspecified => Stage::Ordered,
        RolloutStage::Trial => Stage::Canary,
        RolloutStage::Shift => Stage::Shift,
        RolloutStage::Completed => Stage::Completed,
        RolloutStage::Reverted => Stage::Reverted,
    }
}

/// Bucket counts without trailing empty buckets.
fn trim_buckets(counts: &[u64; LATENCY_BUCKETS]) -> Vec<u64> {
    let end = counts.iter().rposition(|count| *count > 0);
    counts[..end.map_or(0, |last| last + 1)].to_vec()
}

fn fill_buckets(counts: &[u64]) -> [u64; LATENCY_BUCKETS] {
    let mut all = [0; LATENCY_BUCKETS];
    for (bucket, count) in all.iter_mut().zip(counts) {
        *bucket = *count;
    }
    all
}
