//! Conversion of reports and summaries to and from messages.

use std::collections::BTreeMap;
use std::time::Duration;

use swiftlink_admission::{ClassLoad, ClassShares, PoolLoad, Shares, Summary};
use swiftlink_types::{PoolName, WorkspaceName};
use swiftlink_wire::link;

/// Longest period that a report may name: the largest fleets report once in ten seconds.
const MAX_PERIOD_MS: u32 = 60_000;
/// Shares are sent in thousandths.
const MILLI: f64 = 1_000.0;

/// The report of a router process; workspaces are listed only while requests are refused.
pub(super) fn encode_report(
    pool: &PoolName,
    process: u64,
    load: &PoolLoad,
    has_workspaces: bool,
    servers: Vec<link::ServerSample>,
) -> link::PoolReport {
    let classes = load.classes.iter();
    link::PoolReport {
        pool: pool.to_string(),
        process,
        period_ms: (load.seconds * MILLI).max(1.0) as u32,
        classes: classes
            .map(|(priority, class)| encode_class(*priority, class, load.seconds, has_workspaces))
            .collect(),
        servers,
    }
}

pub(crate) fn decode_report(report: &link::PoolReport) -> PoolLoad {
    let seconds = f64::from(report.period_ms.clamp(1, MAX_PERIOD_MS)) / MILLI;
    decode_classes(&report.classes, seconds)
}

pub(crate) fn encode_summary(
    summary: &Summary,
    speeds: Vec<link::ServerSpeed>,
) -> link::PoolSummary {
    let classes = summary.load.classes.iter();
    let seconds = summary.load.seconds;
    link::PoolSummary {
        routers: u32::try_from(summary.routers).unwrap_or(u32::MAX),
        classes: classes
            .map(|(priority, class)| encode_class(*priority, class, seconds, false))
            .collect(),
        level: summary.shares.level().into(),
        speeds,
        shares: encode_shares(&summary.shares),
    }
}

pub(super) fn decode_summary(summary: &link::PoolSummary) -> Summary {
    let load = decode_classes(&summary.classes, 1.0);
    let waiting: f64 = load.classes.values().map(|class| class.wait).sum();
    let served = load.classes.values().map(|class| class.first_events);
    let served: f64 = served.sum();
    let wait = (waiting / served.max(1.0)).min(3_600.0);
    Summary {
        routers: summary.routers as usize,
        shares: decode_shares(&summary.shares),
        load,
        wait: Duration::from_secs_f64(wait),
    }
}

fn encode_class(
    priority: u8,
    class: &ClassLoad,
    seconds: f64,
    has_workspaces: bool,
) -> link::ClassLoad {
    let count = |rate: f64| (rate * seconds).round() as u64;
    let listed = class.workspaces.iter().filter(|_| has_workspaces);
    link::ClassLoad {
        priority: priority.into(),
        arrivals: count(class.arrivals),
        refused: count(class.refused),
        late: count(class.late),
        wait_us: count(class.wait * 1e6),
        first_events: count(class.first_events),
        workspaces: listed
            .map(|(workspace, arrivals)| link::WorkspaceLoad {
                workspace: workspace.to_string(),
                arrivals: count(*arrivals),
            })
            .collect(),
    }
}

fn decode_classes(classes: &[link::ClassLoad], seconds: f64) -> PoolLoad {
    let mut load = PoolLoad {
        seconds,
        ..PoolLoad::default()
    };
    for class in classes {
        let Ok(priority) = u8::try_from(class.priority) else {
            continue;
        };
        let rate = |count: u64| count as f64 / seconds;
        let workspaces = class.workspaces.iter();
        let decoded = ClassLoad {
            arrivals: rate(class.arrivals),
            refused: rate(class.refused),
            late: rate(class.late),
            first_events: rate(class.first_events),
            wait: rate(class.wait_us) / 1e6,
            workspaces: workspaces
                .map(|load| {
                    (
                        WorkspaceName::from(load.workspace.as_str()),
                        rate(load.arrivals),
                    )
                })
                .collect(),
        };
        load.classes.insert(priority, decoded);
    }
    load
}

fn encode_shares(shares: &Shares) -> Vec<link::AdmittedShare> {
    let mut encoded = Vec::new();
    for (priority, class) in &shares.classes {
        let mut push = |workspace: &str, share: f64| {
            encoded.push(link::AdmittedShare {
                priority: (*priority).into(),
                workspace: workspace.to_owned(),
                milli: (share * MILLI).round() as u32,
            });
        };
        push("", class.others);
        for (workspace, share) in &class.workspaces {
            push(workspace.as_str(), *share);
        }
    }
    encoded
}

fn decode_shares(encoded: &[link::AdmittedShare]) -> Shares {
    let mut shares = Shares::default();
    for entry in encoded {
        let Ok(priority) = u8::try_from(entry.priority) else {
            continue;
        };
        let share = (f64::from(entry.milli) / MILLI).min(1.0);
        let class = shares
            .classes
            .entry(priority)
            .or_insert_with(|| ClassShares {
                others: 1.0,
                workspaces: BTreeMap::new(),
            });
        if entry.workspace.is_empty() {
            class.others = share;
        } else {
            let workspace = WorkspaceName::from(entry.workspace.as_str());
            class.workspaces.insert(workspace, share);
        }
    }
    shares
}
