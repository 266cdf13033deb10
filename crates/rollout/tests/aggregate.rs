//! Tests of what reports say about requests on old versions.
//!
//! Guards against old servers that are stopped while requests run on them: a report that didn't change
//! was sent once, counted for two seconds, and was taken for that of a router that had ended. Where no
//! report counted, the old versions were taken for idle.

use swiftlink_rollout::{Report, ReportAggregate, RouterStats, Stage};

fn report(stage: Stage, old_running: u64) -> Report {
    Report {
        stage,
        old_running,
        stats: RouterStats::default(),
    }
}

#[test]
fn old_versions_are_not_idle_while_no_router_has_reported() {
    let aggregate = ReportAggregate::default();
    assert!(!aggregate.is_old_idle(Stage::Shift, 0));
    assert!(!aggregate.is_old_idle(Stage::Shift, 3));
}

#[test]
fn old_versions_are_idle_once_all_routers_have_reported_that_they_are() {
    let mut aggregate = ReportAggregate::default();
    for process in 0..3 {
        assert!(!aggregate.is_old_idle(Stage::Shift, 3), "{process} reports");
        aggregate.insert(process, report(Stage::Shift, 0));
    }
    assert!(aggregate.is_old_idle(Stage::Shift, 3));
}

#[test]
fn a_request_on_an_old_version_counts_until_its_router_reports_its_end() {
    let mut aggregate = ReportAggregate::default();
    aggregate.insert(1, report(Stage::Shift, 1));
    aggregate.insert(2, report(Stage::Shift, 0));
    assert!(!aggregate.is_old_idle(Stage::Shift, 2));
    aggregate.insert(1, report(Stage::Shift, 0));
    assert!(aggregate.is_old_idle(Stage::Shift, 2));
    aggregate.insert(2, report(Stage::Canary, 0));
    assert!(!aggregate.is_old_idle(Stage::Shift, 2));
}
