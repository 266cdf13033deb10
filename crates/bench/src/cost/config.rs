//! The resource fold at full scale: bytes, and time of each change.

use std::hint::black_box;
use std::sync::Arc;

use swiftlink_log::Fold as _;
use swiftlink_resource::Fold;
use swiftlink_wire::log as wire;

use super::meter::{cost, fit_line, held, timed};
use super::sizes;
use crate::row::Rows;

/// Budgets per workspace, as a ratio: 11,000 budgets to 26,000 workspaces.
const BUDGETS: (usize, usize) = (11, 26);
/// Backend servers, the same at every size.
const SERVERS: usize = 600;
/// Number of timed changes.
const CHANGES: usize = 50;
/// Timed scans per round.
const SCANS: usize = 50;
/// Changes per change set while the state is built.
const CHANGES_PER_SET: usize = 500;

pub(super) fn run(quick: bool, rows: &mut Rows) {
    let sizes = sizes([6_500, 13_000, 26_000], quick);
    let mut bytes = Vec::new();
    let mut times = Vec::new();
    let mut shared = Vec::new();
    let mut scans = Vec::new();
    for size in sizes {
        let policy = size.to_string();
        let x = size as f64;
        let (held, mut fold) = held(|| build(size));
        let count = fold.config().count();
        rows.add("config-workspaces", &policy, "resources", count as f64);
        if let Some(held) = held {
            rows.add("config-workspaces", &policy, "bytes", held);
            bytes.push((x, held));
        }
        let (encode, data) = timed(|| fold.encode());
        let (decode, restored) = timed(|| Fold::decode(&data));
        black_box(restored.is_ok());
        rows.add(
            "config-workspaces",
            &policy,
            "snapshot_bytes",
            data.len() as f64,
        );
        rows.add("config-workspaces", &policy, "encode_ms", encode * 1e3);
        rows.add("config-workspaces", &policy, "restore_ms", decode * 1e3);
        let alone = change_ms(&mut fold, size, false);
        rows.add("config-workspaces", &policy, "change_alone_ms", alone);
        let in_use = change_ms(&mut fold, size, true);
        rows.add("config-workspaces", &policy, "change_in_use_ms", in_use);
        let scan = scan_us(&fold);
        rows.add("config-workspaces", &policy, "topup_scan_us", scan);
        scans.push((x, scan));
        times.push((x, alone));
        shared.push((x, in_use));
    }
    if !bytes.is_empty() {
        rows.add("config-workspaces", "slope", "bytes", fit_line(&bytes).0);
    }
    rows.add(
        "config-workspaces",
        "slope",
        "topup_scan_us",
        fit_line(&scans).0,
    );
    rows.add(
        "config-workspaces",
        "slope",
        "change_alone_ms",
        fit_line(&times).0,
    );
    rows.add(
        "config-workspaces",
        "slope",
        "change_in_use_ms",
        fit_line(&shared).0,
    );
}

/// Time of one scan (µs) for the top-ups of a budget. A router's claimer makes this
/// scan each time it evaluates its demand.
fn scan_us(fold: &Fold) -> f64 {
    let config = fold.config();
    let scan = || {
        let topups = config.topups.values();
        let own = topups.filter(|topup| topup.budget.as_str() == "budget-0");
        own.map(|topup| topup.amount).sum::<u64>()
    };
    cost(SCANS, scan).nanos / 1e3
}

/// Mean time (ms) of a change to one workspace. A router keeps the previous version
/// in use, so the fold works on a copy.
fn change_ms(fold: &mut Fold, size: usize, in_use: bool) -> f64 {
    let mut kept = None;
    let mut total = 0.0;
    for number in 0..CHANGES {
        let name = format!("workspace-{}", number * 7 % size);
        let config = fold.config();
        let found = config.get(swiftlink_resource::Kind::Workspace, &name);
        let base = found.expect("it was declared").version;
        drop(config);
        let stale = if number % 2 == 0 { "serve" } else { "refuse" };
        let spec = format!("{{\"budget\":\"budget-0\",\"stale\":\"{stale}\"}}");
        let offset = fold.version();
        let id = format!("change-{in_use}-{number}");
        let set = set(id, vec![change("workspace", name, base, spec)]);
        if in_use {
            kept = Some(fold.config());
        }
        let (secs, fate) = timed(|| fold.decide(offset, &set));
        black_box(fate);
        total += secs;
    }
    black_box(kept.as_ref().map(Arc::strong_count));
    total * 1e3 / CHANGES as f64
}

fn build(workspaces: usize) -> Fold {
    let budgets = workspaces * BUDGETS.0 / BUDGETS.1;
    let mut list = vec![
        change("class", "standard".to_owned(), 0, "{}".to_owned()),
        change(
            "pool",
            "model-0".to_owned(),
            0,
            "{\"kind\":\"model\"}".to_owned(),
        ),
    ];
    for number in 0..budgets {
        let name = format!("budget-{number}");
        let top_up = format!("{{\"budget\":\"{name}\",\"amount\":1000000}}");
        list.push(change("budget", name, 0, "{}".to_owned()));
        list.push(change("topup", format!("topup-{number}"), 0, top_up));
    }
    for number in 0..workspaces {
        let name = format!("workspace-{number}");
        let spec = format!("{{\"budget\":\"budget-{}\"}}", number % budgets);
        let key = format!("{{\"workspace\":\"{name}\",\"hash\":\"{number:064x}\"}}");
        list.push(change("workspace", name, 0, spec));
        list.push(change("key", format!("key-{number}"), 0, key));
    }
    for number in 0..SERVERS {
        let address = format!("10.1.{}.{}:8000", number / 256, number % 256);
        let spec = format!(
            "{{\"pool\":\"model-0\",\"address\":\"{address}\",\"domain\":\"domain-{}\"}}",
            number % 6
        );
        list.push(change("server", format!("server-{number}"), 0, spec));
    }
    let mut fold = Fold::default();
    for (number, changes) in list.chunks(CHANGES_PER_SET).enumerate() {
        let fate = fold.decide(
            number as u64,
            &set(format!("set-{number}"), changes.to_vec()),
        );
        let is_accepted = matches!(fate.verdict, swiftlink_resource::Verdict::Accepted);
        assert!(is_accepted, "the state is valid: {:?}", fate.verdict);
    }
    fold
}

fn set(id: String, changes: Vec<wire::Change>) -> wire::ChangeSet {
    wire::ChangeSet {
        id,
        author: "bench".to_owned(),
        stamp_ms: 0,
        changes,
        snapshot: None,
    }
}

fn change(kind: &str, name: String, base: u64, spec: String) -> wire::Change {
    wire::Change {
        kind: kind.to_owned(),
        name,
        base,
        delete: false,
        spec,
    }
}
