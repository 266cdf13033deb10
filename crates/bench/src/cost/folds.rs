//! The budget fold: bytes and time per budget, router and key.

use std::hint::black_box;

use prost::Message;
use swiftlink_budget::Fold;
use swiftlink_log::Fold as _;
use swiftlink_wire::log as wire;
use wire::record::Kind;

use super::meter::{fit_line, held, timed};
use super::records::key;
use super::sizes;
use crate::draw::{generator, uniform};
use crate::row::Rows;

/// Charges per batch.
const BATCH: usize = 100;
/// Budgets on which each router holds quota, in the slope over routers.
const GRANTS: usize = 32;
/// A top-up (tokens) large enough that quota never runs out.
const AMPLE: u64 = 1 << 50;

pub(super) fn run(seed: u64, quick: bool, rows: &mut Rows) {
    let budgets = sizes([2_750, 5_500, 11_000], quick);
    slope("fold-budgets", &budgets, rows, |size| {
        build(size, 1, 0, seed)
    });
    let routers = sizes([120, 240, 480], quick);
    slope("fold-grants", &routers, rows, |size| {
        build(1_000, size, GRANTS, seed)
    });
    let keys = sizes([100_000, 200_000, 400_000], quick);
    slope("fold-keys", &keys, rows, |size| {
        let mut fold = build(100, 8, 100, seed);
        charge(&mut fold, size, 8, 100);
        fold
    });
    charges(&keys, rows);
}

/// Reports bytes, snapshot size and times at each size, and the slopes over the sizes.
fn slope(name: &str, sizes: &[usize; 3], rows: &mut Rows, make: impl Fn(usize) -> Fold) {
    let mut bytes = Vec::new();
    let mut snapshot = Vec::new();
    let mut restore = Vec::new();
    for size in sizes {
        let x = *size as f64;
        let policy = size.to_string();
        let (held, fold) = held(|| make(*size));
        if let Some(held) = held {
            rows.add(name, &policy, "bytes", held);
            bytes.push((x, held));
        }
        let (encode, data) = timed(|| fold.encode());
        let (decode, restored) = timed(|| Fold::decode(&data));
        black_box(restored.is_ok());
        rows.add(name, &policy, "snapshot_bytes", data.len() as f64);
        rows.add(name, &policy, "encode_ms", encode * 1e3);
        rows.add(name, &policy, "restore_ms", decode * 1e3);
        snapshot.push((x, data.len() as f64));
        restore.push((x, decode * 1e3));
    }
    if !bytes.is_empty() {
        rows.add(name, "slope", "bytes", fit_line(&bytes).0);
    }
    rows.add(name, "slope", "snapshot_bytes", fit_line(&snapshot).0);
    rows.add(name, "slope", "restore_ms", fit_line(&restore).0);
}

/// Reports the time of one charge, batch decoding included, by number of stored keys.
fn charges(sizes: &[usize; 3], rows: &mut Rows) {
    for size in sizes {
        let mut fold = build(100, 8, 100, 0);
        charge(&mut fold, *size, 8, 100);
        let more = (*size).min(50_000);
        let batches = batches(*size, more, 8, 100);
        let bytes: usize = batches.iter().map(Vec::len).sum();
        let (secs, ()) = timed(|| {
            for (offset, batch) in batches.iter().enumerate() {
                black_box(fold.apply(offset as u64, batch));
            }
        });
        let policy = size.to_string();
        rows.add(
            "fold-charges",
            &policy,
            "charge_us",
            secs * 1e6 / more as f64,
        );
        rows.add("fold-charges", &policy, "charges_per_s", more as f64 / secs);
        rows.add(
            "fold-charges",
            &policy,
            "log_bytes",
            bytes as f64 / more as f64,
        );
    }
}

/// Builds a fold with `grants` grants for each router.
fn build(budgets: usize, routers: usize, grants: usize, seed: u64) -> Fold {
    let mut fold = Fold::default();
    let mut rng = generator(seed, 3);
    for number in 0..budgets {
        let top_up = wire::TopUp {
            budget: budget(number),
            id: format!("topup-{number}"),
            amount: AMPLE,
        };
        decide(&mut fold, Kind::TopUp(top_up));
    }
    for router in 0..routers {
        let join = wire::Join {
            incarnation: incarnation(router),
            address: format!("10.0.{}.{}:8080", router / 256, router % 256),
            domain: format!("domain-{}", router % 6),
            floor_ms: 0,
        };
        decide(&mut fold, Kind::Join(join));
        for number in 0..grants {
            let number = if grants == budgets {
                number
            } else {
                uniform(&mut rng, budgets as u64) as usize
            };
            let claim = wire::Claim {
                incarnation: incarnation(router),
                budget: budget(number),
                seq: 1,
                need: 1,
                want: AMPLE >> 16,
            };
            decide(&mut fold, Kind::Claim(claim));
        }
    }
    fold
}

fn decide(fold: &mut Fold, kind: Kind) {
    fold.decide(&batch(vec![wire::Record { kind: Some(kind) }]));
}

fn charge(fold: &mut Fold, count: usize, routers: usize, budgets: usize) {
    for (offset, batch) in batches(0, count, routers, budgets).iter().enumerate() {
        fold.apply(offset as u64, batch);
    }
}

/// Encodes batches of charges, assigned to the routers round-robin.
fn batches(first: usize, count: usize, routers: usize, budgets: usize) -> Vec<Vec<u8>> {
    let mut list = Vec::new();
    for start in (first..first + count).step_by(BATCH) {
        let mut records = Vec::new();
        for router in 0..routers {
            let numbers = (start..start + BATCH).filter(|number| number % routers == router);
            let items = numbers.map(|number| wire::Charge {
                key: key(number as u64),
                workspace: format!("workspace-{}", number % 250),
                budget: budget(number % budgets),
                tokens: 700,
                cost: 700,
                serial: (number / routers) as u64 + 1,
            });
            let charges = wire::Charges {
                incarnation: incarnation(router),
                items: items.collect(),
            };
            let kind = Some(Kind::Charges(charges));
            records.push(wire::Record { kind });
        }
        list.push(batch(records).encode_to_vec());
    }
    list
}

fn batch(records: Vec<wire::Record>) -> wire::Batch {
    wire::Batch {
        writer: "ledger".to_owned(),
        writer_epoch: 1,
        seq: 1,
        stamp_ms: 0,
        records,
    }
}

fn budget(number: usize) -> String {
    format!("budget-{number}")
}

fn incarnation(router: usize) -> Option<wire::Incarnation> {
    Some(wire::Incarnation {
        vm: format!("entry-bilbao-{router}"),
        epoch: 1_790_000_000_000_000,
    })
}
