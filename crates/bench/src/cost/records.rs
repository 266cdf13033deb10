//! Bytes of the records that the letter's traffic is made of.

use prost::Message;
use swiftlink_types::RequestKey;
use swiftlink_wire::log as wire;
use wire::record::Kind;

use crate::row::Rows;

/// A time in ms since 1970, for keys of ordinary size.
const NOW_MS: u64 = 1_790_000_000_000;

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
