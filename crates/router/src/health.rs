//! Conditions that keep a router from accepting work, for operators and the load
//! balancer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use swiftlink_shell::web::{self, Response};
use swiftlink_telemetry::event;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::freshness::Trust;
use crate::node::Node;

/// Path of the health report on the address for callers.
pub const PATH: &str = "/health";
/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of checks between two updates of the gauges.
const CHECKS_PER_GAUGE: u32 = 10;

/// A reason for which a router refuses all or some work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthIssue {
    /// The router is stopping.
    Stopping,
    /// Its VM is declared gone: all new work is refused.
    DeclaredGone,
    /// It has read no configuration since its start.
    NoConfiguration,
    /// Its configuration may be stale: workspaces whose stale rule says so are refused.
    Stale,
    /// Some of its charges are not stored by any ledger: all new work is refused.
    Stuck,
    /// It has not joined all budget streams: it has no quota of their budgets.
    NotJoined,
}

impl HealthIssue {
    /// All issues, the one that refuses most first.
    pub const ALL: [Self; 6] = [
        Self::Stopping,
        Self::DeclaredGone,
        Self::NoConfiguration,
        Self::Stale,
        Self::Stuck,
        Self::NotJoined,
    ];

    /// Its name in answers, events and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stopping => "stopping",
            Self::DeclaredGone => "declared-gone",
            Self::NoConfiguration => "no-configuration",
            Self::Stale => "stale",
            Self::Stuck => "stuck",
            Self::NotJoined => "not-joined",
        }
    }

    /// Whether a load balancer should send callers to other routers.
    #[must_use]
    pub fn makes_unready(self) -> bool {
        self != Self::NotJoined
    }
}

/// State of a router from which its issues are derived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthInputs {
    /// A planned stop has begun.
    pub stopping: bool,
    /// An operator has declared its VM gone.
    pub retired: bool,
    /// How far the configuration can be trusted.
    pub trust: Trust,
    /// Charges that no ledger has stored.
    pub stuck: usize,
    /// Budget streams joined.
    pub joined: usize,
    /// Budget streams of the fleet.
    pub shards: usize,
}

impl HealthInputs {
    /// Reads the current state of `node`.
    #[must_use]
    pub fn of(node: &Node) -> Self {
        Self {
            stopping: node.is_stopping(),
            retired: node.is_retired(),
            trust: node.config.trust(),
            stuck: node.settler.counts().stuck.load(Ordering::Relaxed),
            joined: node.members.joined(),
            shards: node.settings.shards as usize,
        }
    }

    /// The current issues, the one that refuses most first.
    #[must_use]
    pub fn issues(&self) -> Vec<HealthIssue> {
        let holds = |issue: &HealthIssue| match issue {
            HealthIssue::Stopping => self.stopping,
            HealthIssue::DeclaredGone => self.retired,
            HealthIssue::NoConfiguration => self.trust == Trust::None,
            HealthIssue::Stale => self.trust == Trust::Stale,
            HealthIssue::Stuck => self.stuck > 0,
            HealthIssue::NotJoined => self.joined < self.shards,
        };
        HealthIssue::ALL.into_iter().filter(holds).collect()
    }
}

/// Answers a load balancer's health check: whether callers should be sent here.
#[must_use]
pub fn respond(node: &Node) -> Response {
    let mut issues = HealthInputs::of(node).issues();
    issues.retain(|issue| issue.makes_unready());
    let Some(first) = issues.first() else {
        return web::json(StatusCode::OK, &json!({ "status": "ready" }));
    };
    let body = json!({ "status": "unready", "reason": first.as_str() });
    web::json(StatusCode::SERVICE_UNAVAILABLE, &body)
}

/// Logs issues that begin and end, and updates the gauges, until `stop`.
pub async fn watch(node: Arc<Node>, stop: CancellationToken) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut known = Vec::new();
    let mut checks = 0_u32;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let inputs = HealthInputs::of(&node);
        let issues = inputs.issues();
        if issues != known {
            log_changes(&known, &issues);
        }
        if issues != known || checks.is_multiple_of(CHECKS_PER_GAUGE) {
            send_gauges(&node, &inputs, &issues);
        }
        known = issues;
        checks = checks.wrapping_add(1);
    }
}

fn log_changes(known: &[HealthIssue], issues: &[HealthIssue]) {
    for issue in issues {
        if known.contains(issue) {
            continue;
        }
        event!(warn, "router.trouble", reason = issue.as_str());
    }
    for issue in known {
        if issues.contains(issue) {
            continue;
        }
        event!(info, "router.trouble-over", reason = issue.as_str());
    }
}

fn send_gauges(node: &Node, inputs: &HealthInputs, issues: &[HealthIssue]) {
    let metrics = &node.metrics;
    for issue in HealthIssue::ALL {
        let tags = [("reason", issue.as_str())];
        let value = u64::from(issues.contains(&issue));
        metrics.gauge_with("router.trouble", value, &tags);
    }
    let mut waiting = 0;
    for pool in node.pools.all() {
        waiting += pool.queue.depth().0 as u64;
    }
    let mut quota = 0_u64;
    for membership in node.members.all() {
        for account in membership.accounts() {
            let counters = account.grant.counters();
            quota = quota.saturating_add(counters.available + counters.reserved);
        }
    }
    metrics.gauge("router.queue", waiting);
    metrics.gauge("router.in_flight", node.keys.in_flight() as u64);
    metrics.gauge("router.rights", quota);
    metrics.gauge("router.stuck_charges", inputs.stuck as u64);
    if let Some(age) = node.config.age() {
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        metrics.gauge("router.config_age_ms", age);
    }
}
