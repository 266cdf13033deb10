//! Conditions that keep a router from accepting work.

use swiftlink_router::freshness::Trust;
use swiftlink_router::health::{HealthInputs, HealthIssue};

const HEALTHY: HealthInputs = HealthInputs {
    stopping: false,
    retired: false,
    trust: Trust::Current,
    stuck: 0,
    joined: 4,
    shards: 4,
};

#[test]
fn a_healthy_router_has_no_issues() {
    assert_eq!(HEALTHY.issues(), []);
    let outage = HealthInputs {
        trust: Trust::LogUnavailable,
        ..HEALTHY
    };
    assert_eq!(outage.issues(), [], "it serves from the quota it holds");
}

#[test]
fn each_issue_is_reported_and_the_worst_first() {
    let cases = [
        (
            HealthInputs {
                stopping: true,
                ..HEALTHY
            },
            HealthIssue::Stopping,
        ),
        (
            HealthInputs {
                retired: true,
                ..HEALTHY
            },
            HealthIssue::DeclaredGone,
        ),
        (
            HealthInputs {
                trust: Trust::None,
                ..HEALTHY
            },
            HealthIssue::NoConfiguration,
        ),
        (
            HealthInputs {
                trust: Trust::Stale,
                ..HEALTHY
            },
            HealthIssue::Stale,
        ),
        (
            HealthInputs {
                stuck: 1,
                ..HEALTHY
            },
            HealthIssue::Stuck,
        ),
        (
            HealthInputs {
                joined: 3,
                ..HEALTHY
            },
            HealthIssue::NotJoined,
        ),
    ];
    for (inputs, issue) in cases {
        assert_eq!(inputs.issues(), [issue]);
    }
    let all = HealthInputs {
        stopping: true,
        retired: true,
        trust: Trust::Stale,
        stuck: 2,
        joined: 0,
        shards: 4,
    };
    let expected = [
        HealthIssue::Stopping,
        HealthIssue::DeclaredGone,
        HealthIssue::Stale,
        HealthIssue::Stuck,
        HealthIssue::NotJoined,
    ];
    assert_eq!(all.issues(), expected);
}

#[test]
fn a_router_that_has_not_joined_yet_stays_ready() {
    let kept: Vec<_> = HealthIssue::ALL
        .into_iter()
        .filter(|issue| !issue.makes_unready())
        .collect();
    assert_eq!(kept, [HealthIssue::NotJoined]);
}
