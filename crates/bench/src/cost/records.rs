//! Sizes of the records and messages that make up the fleet's traffic.

use prost::Message;
use swiftlink_types::RequestKey;
use swiftlink_wire::link;
use swiftlink_wire::log as wire;
use wire::record::Kind;

use crate::row::Rows;

/// A time in ms since the Unix epoch that gives keys of realistic size.
const NOW_MS: u64 = 1_790_000_000_000;

/// One VM in the response of the platform's VM list.
const LISTED: &str = r#"{"name":"entry-bilbao-123","domain":"deusto-hall","state":"live"},"#;
/// One poll of a runner's load: the request head, then the response.
const POLL: &str = concat!(
    "GET /load HTTP/1.1\r\nhost: 10.20.30.40:8000\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 84\r\n",
    "date: Wed, 02 Dec 2026 15:00:00 GMT\r\n\r\n",
    r#"{"running":12,"waiting":3,"slots":16,"kv_used":0.5125,"draining":false,"age_ms":500}"#,
);
const TEXTS: [(&str, &str); 2] = [("vm-listed", LISTED), ("load-poll", POLL)];

pub(super) fn run(rows: &mut Rows) {
    let one = charges(1);
    let many = charges(101);
    let kinds = [
        ("charge-alone", size(one.clone())),
        ("charge-more", (size(many) - size(one)) / 100.0),
        ("claim", size(claim())),
        ("mark", size(mark())),
    ];
    for (name, bytes) in kinds {
        rows.add("record-bytes", name, "bytes", bytes);
    }
    for (name, top_ups) in [("budget-view", 1), ("budget-view-100-topups", 100)] {
        let bytes = budget_view(top_ups).encoded_len() as f64;
        rows.add("record-bytes", name, "bytes", bytes);
    }
    for (name, text) in TEXTS {
        rows.add("record-bytes", name, "bytes", text.len() as f64);
    }
    let fate = wire::Fate {
        kind: Some(wire::fate::Kind::Claim(claim_fate())),
    };
    rows.add(
        "record-bytes",
        "claim-fate",
        "bytes",
        fate.encoded_len() as f64,
    );
}

fn size(kind: Kind) -> f64 {
    wire::Record { kind: Some(kind) }.encoded_len() as f64
}

fn incarnation() -> Option<wire::Incarnation> {
    Some(wire::Incarnation {
        vm: "entry-bilbao-123".to_owned(),
        epoch: NOW_MS * 1_000,
    })
}

pub(super) fn key(number: u64) -> Vec<u8> {
    let mut bytes = *RequestKey::generate(NOW_MS).as_bytes();
    bytes[8] = 0x80;
    bytes[9..].copy_from_slice(&number.to_be_bytes()[1..]);
    bytes.to_vec()
}

fn charges(count: u64) -> Kind {
    let items = (0..count).map(|number| wire::Charge {
        key: key(number),
        workspace: "workspace-12345".to_owned(),
        budget: "budget-12345".to_owned(),
        tokens: 700,
        cost: 1_400,
        serial: 1_000_000,
    });
    Kind::Charges(wire::Charges {
        incarnation: incarnation(),
        items: items.collect(),
    })
}

fn claim() -> Kind {
    Kind::Claim(wire::Claim {
        incarnation: incarnation(),
        budget: "budget-12345".to_owned(),
        seq: 1_000,
        need: 700,
        want: 100_000,
    })
}

fn mark() -> Kind {
    Kind::Mark(wire::Mark {
        incarnation: incarnation(),
        floor_ms: NOW_MS,
    })
}

/// A ledger's view of a budget; routers read it for each budget in use.
fn budget_view(top_ups: usize) -> link::BudgetView {
    let ids = (0..top_ups).map(|number| format!("topup-2026-{number:05}"));
    link::BudgetView {
        name: "budget-12345".to_owned(),
        topped_up: 1_000_000_000,
        granted: 900_000_000,
        charged: 800_000_000,
        free: 100_000_000,
        quarantined: 0,
        offset: 10_000_000,
        age_ms: 100,
        top_ups: ids.collect(),
    }
}

fn claim_fate() -> wire::ClaimFate {
    let holder = wire::Holder {
        incarnation: incarnation(),
        address: "10.20.30.40:8080".to_owned(),
        domain: "deusto-hall".to_owned(),
        held: 100_000,
    };
    wire::ClaimFate {
        seq: 1_000,
        granted: 100_000,
        free: 10_000_000,
        elsewhere: 1_000_000,
        holders: vec![holder; 3],
        sharers: 120,
    }
}
