//! Tests of the messages and of the targets.

use std::collections::BTreeMap;
use std::time::Duration;

use prost::Message;
use swiftlink_admission::{ClassLoad, ClassShares, PoolLoad, Shares, Summary};
use swiftlink_types::{PoolName, WorkspaceName};

use tokio::time::timeout;

use super::codec::{decode_report, decode_summary, encode_report, encode_summary};
use super::pool::{AdmissionRequest, PoolAdmission};

fn load() -> PoolLoad {
    let mut load = PoolLoad {
        seconds: 1.0,
        ..PoolLoad::default()
    };
    for priority in 0..3 {
        let names = (0..8).map(|number| format!("workspace-{priority}{number}"));
        let class = ClassLoad {
            arrivals: 16.0,
            refused: 2.0,
            late: 3.0,
            first_events: 13.0,
            wait: 1.5,
            workspaces: names.map(|name| (WorkspaceName::from(name), 2.0)).collect(),
        };
        load.classes.insert(priority, class);
    }
    load
}

/// Guards against reports that take a router more than its share of the link for control traffic.
#[test]
fn a_report_survives_encoding_and_stays_small() {
    let pool = PoolName::from("engines");
    let full = encode_report(&pool, 7, &load(), true, Vec::new());
    assert_eq!(decode_report(&full), load());
    let usual = encode_report(&pool, 7, &load(), false, Vec::new());
    println!(
        "{} bytes, {} with workspaces",
        usual.encoded_len(),
        full.encoded_len()
    );
    assert!(full.encoded_len() < 1_000);
    assert!(usual.encoded_len() < 100);
}

#[test]
fn a_summary_survives_encoding() {
    let class = ClassShares {
        others: 1.0,
        workspaces: BTreeMap::from([(WorkspaceName::from("a"), 0.25)]),
    };
    let mut load = load();
    for class in load.classes.values_mut() {
        class.workspaces.clear();
    }
    let summary = Summary {
        routers: 80,
        load,
        shares: Shares {
            classes: [(2, class)].into(),
        },
        wait: Duration::from_micros(115_384),
    };
    let message = encode_summary(&summary, Vec::new());
    println!("{} bytes", message.encoded_len());
    assert_eq!(message.level, 1);
    let decoded = decode_summary(&message);
    assert_eq!(decoded.shares, summary.shares);
    assert_eq!(decoded.load, summary.load);
    assert_eq!(decoded.wait.as_millis(), 115);
}

/// Guards against waiting requests whose callers have left and that nobody removes any more, so
/// that those after them count as having no chance.
#[tokio::test]
async fn callers_that_leave_while_they_wait_do_not_block_others() {
    let admission = PoolAdmission::new(PoolName::from("engines"), true);
    let class = ClassShares {
        others: 0.5,
        workspaces: BTreeMap::new(),
    };
    let summary = Summary {
        routers: 3,
        shares: Shares {
            classes: [(2, class)].into(),
        },
        ..Summary::default()
    };
    let request = AdmissionRequest {
        priority: 2,
        workspace: None,
        target: Duration::from_secs(80),
        tokens: 100,
        left: Duration::from_secs(100),
    };
    for key in 1..=40 {
        // Creates the flow, whose rate is known from the next summary on.
        admission.admit(&request, || key).await.expect("open");
    }
    admission.on_summary(summary, Duration::from_secs(60));
    let mut left = 0;
    for key in 100..140 {
        let admitted = timeout(Duration::from_millis(1), admission.admit(&request, || key));
        left += u32::from(admitted.await.is_err());
    }
    assert!(left > 0, "some waited");
    let mut admitted = 0;
    for key in 200..240 {
        let request = AdmissionRequest {
            target: Duration::from_millis(80),
            ..request
        };
        admitted += u32::from(admission.admit(&request, || key).await.is_ok());
    }
    assert!(admitted >= 10, "{admitted} of 40");
}
