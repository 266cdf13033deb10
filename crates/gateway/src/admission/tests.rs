//! Tests of the messages and of the targets.

use std::collections::BTreeMap;
use std::time::Duration;

use prost::Message;
use swiftlink_admission::{ClassLoad, ClassShares, PoolLoad, Shares, Summary};
use swiftlink_types::{PoolName, WorkspaceName};

use super::codec::{decode_report, decode_summary, encode_report, encode_summary};

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
