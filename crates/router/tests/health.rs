//! What keeps a router from taking work.

use swiftlink_router::freshness::Trust;
use swiftlink_router::health::{HealthInputs, HealthIssue};

const WELL: HealthInputs = HealthInputs {
    stopping: false,
    retired: false,
    trust: Trust::Current,
    stuck: 0,
    joined: 4,
    shards: 4,
};

#[test]
fn a_router_that_serves_has_no_trouble() {
    assert_eq!(WELL.issues(), []);
    let out = HealthInputs {
        trust: Trust::LogUnavailable,
        ..WELL
    };
    assert_eq!(out.issues(), [], "it serves from the rights it holds");
}

#[test]
fn each_trouble_is_told_and_the_worst_first() {
    let cases = [
        (
            HealthInputs {
                stopping: true,
                ..WELL
            },
            HealthIssue::Stopping,
        ),
        (
            HealthInputs {
                retired: true,
                ..WELL
            },
            HealthIssue::DeclaredGone,
        ),
        (
            HealthInputs {
                trust: Trust::None,
                ..WELL
            },
            HealthIssue::NoConfiguration,
        ),
        (
            HealthInputs {
                trust: Trust::Stale,
                ..WELL
            },
            HealthIssue::Stale,
        ),
        (HealthInputs { stuck: 1, ..WELL }, HealthIssue::Stuck),
        (HealthInputs { joined: 3, ..WELL }, HealthIssue::NotJoined),
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
fn a_balancer_sends_callers_also_to_a_router_that_has_yet_to_join() {
    let kept: Vec<_> = HealthIssue::ALL
        .into_iter()
        .filter(|issue| !issue.makes_unready())
        .collect();
    assert_eq!(kept, [HealthIssue::NotJoined]);
}
