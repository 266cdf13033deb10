//! Tests of the assignment of requests to versions.

use std::collections::HashSet;
use std::time::Duration;

use swiftlink_rollout::{Assignment, ExposureLimit, Order, Progress, Stage, VersionPolicy};
use swiftlink_types::{PoolName, ServerName, VersionName, position};

fn version(name: &str) -> VersionName {
    VersionName::from(name)
}

fn versions(names: &[&str]) -> HashSet<VersionName> {
    names.iter().map(|name| version(name)).collect()
}

fn order(number: u64, name: &str) -> Order {
    Order {
        pool: PoolName::from("pool"),
        version: version(name),
        time_limit: Duration::from_secs(10),
        number,
    }
}

fn progress(order: u64, name: &str, stage: Stage) -> Progress {
    Progress {
        order,
        version: version(name),
        stage,
        started: 0,
    }
}

fn assignments(policy: &VersionPolicy) -> (Assignment, Assignment) {
    (
        policy.assignment(&version("v1")),
        policy.assignment(&version("v2")),
    )
}

#[test]
fn stages_determine_assignments() {
    let mut policy = VersionPolicy::default();
    policy.set_versions(&versions(&["v1"]), 1);
    policy.set_order(Some(order(5, "v2")));
    policy.set_versions(&versions(&["v1", "v2"]), 2);
    assert_eq!(
        assignments(&policy),
        (Assignment::Regular, Assignment::Excluded)
    );
    assert!(policy.set_progress(progress(5, "v2", Stage::Canary)));
    assert_eq!(
        assignments(&policy),
        (Assignment::Regular, Assignment::Canary)
    );
    assert!(policy.set_progress(progress(5, "v2", Stage::Shift)));
    policy.set_versions(&versions(&["v1", "v2"]), 3);
    assert_eq!(
        assignments(&policy),
        (Assignment::Excluded, Assignment::Regular)
    );
    assert!(
        !policy.set_progress(progress(5, "v2", Stage::Canary)),
        "stages never go back"
    );
    assert!(policy.set_progress(progress(5, "v2", Stage::Completed)));
    policy.set_versions(&versions(&["v1", "v2"]), 4);
    assert_eq!(
        assignments(&policy),
        (Assignment::Excluded, Assignment::Regular)
    );
}

#[test]
fn reverted_version_stays_excluded_without_the_order() {
    let mut policy = VersionPolicy::default();
    policy.set_versions(&versions(&["v1"]), 1);
    policy.set_order(Some(order(5, "v2")));
    policy.set_progress(progress(5, "v2", Stage::Canary));
    policy.set_progress(progress(5, "v2", Stage::Reverted));
    policy.set_versions(&versions(&["v1", "v2"]), 2);
    assert_eq!(
        assignments(&policy),
        (Assignment::Regular, Assignment::Excluded)
    );
    policy.set_order(None);
    policy.confirm(10);
    assert_eq!(
        assignments(&policy),
        (Assignment::Regular, Assignment::Excluded)
    );
}

/// The versions in use before the shift must get all traffic again if the new version turns out to
/// be faulty.
#[test]
fn old_versions_get_all_traffic_after_a_reverted_shift() {
    let mut policy = VersionPolicy::default();
    policy.set_versions(&versions(&["v1"]), 1);
    policy.set_order(Some(order(5, "v2")));
    for stage in [Stage::Canary, Stage::Shift] {
        policy.set_progress(progress(5, "v2", stage));
        policy.set_versions(&versions(&["v1", "v2"]), 2);
    }
    assert_eq!(
        assignments(&policy),
        (Assignment::Excluded, Assignment::Regular)
    );
    policy.set_progress(progress(5, "v2", Stage::Reverted));
    policy.set_versions(&versions(&["v1", "v2"]), 3);
    assert_eq!(
        assignments(&policy),
        (Assignment::Regular, Assignment::Excluded)
    );
}

#[test]
fn withdrawn_order_excludes_its_version() {
    let mut policy = VersionPolicy::default();
    policy.set_versions(&versions(&["v1"]), 1);
    policy.set_order(Some(order(5, "v2")));
    policy.set_progress(progress(5, "v2", Stage::Canary));
    policy.set_versions(&versions(&["v1", "v2"]), 2);
    policy.set_order(None);
    assert_eq!(
        assignments(&policy),
        (Assignment::Regular, Assignment::Excluded)
    );
}

/// Servers of a new version may be listed before the order for them is read.
#[test]
fn additional_version_waits_until_all_orders_are_known() {
    let mut policy = VersionPolicy::default();
    policy.set_versions(&versions(&["v1"]), 1);
    policy.set_versions(&versions(&["v1", "v2"]), 7);
    assert_eq!(
        assignments(&policy),
        (Assignment::Regular, Assignment::Excluded)
    );
    assert!(!policy.confirm(6), "an order may have come since");
    assert!(policy.confirm(7));
    assert_eq!(
        assignments(&policy),
        (Assignment::Regular, Assignment::Regular)
    );
}

#[test]
fn later_order_replaces_a_running_one() {
    let mut policy = VersionPolicy::default();
    policy.set_versions(&versions(&["v1"]), 1);
    policy.set_order(Some(order(5, "v2")));
    policy.set_progress(progress(5, "v2", Stage::Canary));
    policy.set_versions(&versions(&["v1", "v2"]), 2);
    policy.set_order(Some(order(9, "v3")));
    policy.set_versions(&versions(&["v1", "v2", "v3"]), 3);
    policy.confirm(8);
    assert_eq!(policy.stage(), Stage::Ordered);
    assert_eq!(policy.assignment(&version("v3")), Assignment::Excluded);
}

#[test]
fn order_for_the_version_in_use_excludes_no_server() {
    let mut policy = VersionPolicy::default();
    policy.set_versions(&versions(&["v1"]), 1);
    policy.set_order(Some(order(5, "v1")));
    policy.set_versions(&versions(&["v1"]), 2);
    assert_eq!(policy.assignment(&version("v1")), Assignment::Regular);
}

/// A router that starts during a rollout only knows what the store says.
#[test]
fn router_started_during_a_rollout_applies_its_stage() {
    for (stage, expected) in [
        (Stage::Canary, (Assignment::Regular, Assignment::Canary)),
        (Stage::Shift, (Assignment::Excluded, Assignment::Regular)),
        (
            Stage::Completed,
            (Assignment::Excluded, Assignment::Regular),
        ),
        (Stage::Reverted, (Assignment::Regular, Assignment::Excluded)),
    ] {
        let mut policy = VersionPolicy::default();
        policy.set_order(Some(order(5, "v2")));
        policy.set_progress(progress(5, "v2", stage));
        policy.set_versions(&versions(&["v1", "v2"]), 1);
        assert_eq!(assignments(&policy), expected, "{stage:?}");
    }
}

#[test]
fn all_routers_select_the_same_few_canary_servers() {
    let exposure = ExposureLimit {
        share: 0.1,
        slack: 50.0,
    };
    let mut servers: Vec<ServerName> = (0..100)
        .map(|n| ServerName::from(format!("s{n}")))
        .collect();
    let canary_servers = VersionPolicy::default().canary_servers(servers.clone(), &exposure);
    let expected = (100.0 * exposure.canary_share()).ceil() as usize;
    assert_eq!(canary_servers.len(), expected);
    servers.reverse();
    assert_eq!(
        VersionPolicy::default().canary_servers(servers, &exposure),
        canary_servers
    );
}

/// Guards against a rollout that begins anew, and so against a reverted version that gets requests
/// again, after the store went back to a copy. A router that reads the order in the new era knows it
/// by another position than the one that wrote its progress.
#[test]
fn progress_of_an_earlier_era_belongs_to_the_order_at_its_offset() {
    let mut policy = VersionPolicy::default();
    policy.set_order(Some(order(position(1, 5), "v2")));
    assert!(policy.set_progress(progress(5, "v2", Stage::Reverted)));
    assert_eq!(policy.stage(), Stage::Reverted);
    assert!(!policy.set_progress(progress(position(1, 5), "v2", Stage::Canary)));
    // The store assigned the offset again to an order for another version.
    policy.set_order(Some(order(position(1, 5), "v3")));
    assert_eq!(policy.stage(), Stage::Ordered);
}

/// The copy lacked the order, and the operator wrote it again.
#[test]
fn order_that_is_written_again_in_a_later_era_keeps_its_stage() {
    let mut policy = VersionPolicy::default();
    policy.set_order(Some(order(8, "v2")));
    policy.set_progress(progress(8, "v2", Stage::Reverted));
    policy.set_order(Some(order(position(1, 6), "v2")));
    assert_eq!(policy.stage(), Stage::Reverted);
    let number = policy.progress().map(|progress| progress.order);
    assert_eq!(number, Some(position(1, 6)));
    // Ordered once more.
    policy.set_order(Some(order(position(1, 9), "v2")));
    assert_eq!(policy.stage(), Stage::Ordered);
}
