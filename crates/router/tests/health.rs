//! What keeps a router from taking work.

use swiftlink_router::freshness::Trust;
use swiftlink_router::health::{Facts, Trouble};

const WELL: Facts = Facts {
    stopping: false,
    retired: false,
    trust: Trust::Current,
    stuck: 0,
    joined: 4,
    shards: 4,
};

#[test]
fn a_router_that_serves_has_no_trouble() {
    assert_eq!(WELL.troubles(), []);
    let out = Facts {
        trust: Trust::LogOut,
        ..WELL
    };
    assert_eq!(out.troubles(), [], "it serves from the rights it holds");
}

#[test]
fn each_trouble_is_told_and_the_worst_first() {
    let cases = [
        (
            Facts {
                stopping: true,
                ..WELL
            },
            Trouble::Stopping,
        ),
        (
            Facts {
                retired: true,
                ..WELL
            },
            Trouble::DeclaredGone,
        ),
        (
            Facts {
                trust: Trust::None,
                ..WELL
            },
            Trouble::NoConfiguration,
        ),
        (
            Facts {
                trust: Trust::Stale,
                ..WELL
            },
            Trouble::Stale,
        ),
        (Facts { stuck: 1, ..WELL }, Trouble::Stuck),
        (Facts { joined: 3, ..WELL }, Trouble::NotJoined),
    ];
    for (facts, trouble) in cases {
        assert_eq!(facts.troubles(), [trouble]);
    }
    let all = Facts {
        stopping: true,
        retired: true,
        trust: Trust::Stale,
        stuck: 2,
        joined: 0,
        shards: 4,
    };
    let expected = [
        Trouble::Stopping,
        Trouble::DeclaredGone,
        Trouble::Stale,
        Trouble::Stuck,
        Trouble::NotJoined,
    ];
    assert_eq!(all.troubles(), expected);
}

#[test]
fn a_balancer_sends_callers_also_to_a_router_that_has_yet_to_join() {
    let kept: Vec<_> = Trouble::ALL
        .into_iter()
        .filter(|trouble| !trouble.turns_away())
        .collect();
    assert_eq!(kept, [Trouble::NotJoined]);
}
