//! The sample settings in `examples/` are valid and list every key.

use std::fs;
use std::path::{Path, PathBuf};

use serde_json::Value;
use swiftlink_ledger::LedgerSettings;
use swiftlink_operator::OperatorSettings;
use swiftlink_settings::{Settings, open};

fn example(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(name)
}

/// Loads the sample as the daemon does at startup and checks that it lists every key.
fn check<S: Settings>(name: &str) {
    let path = example(name);
    let settings: S = open(&path).unwrap_or_else(|error| panic!("{error}"));
    let text = fs::read_to_string(&path).expect("readable");
    let Ok(Value::Object(effective)) = serde_json::to_value(&settings) else {
        panic!("settings are a table");
    };
    for key in effective.keys() {
        let named = text.contains(&format!("\n{key} = ")) || text.contains(&format!("\n[[{key}]]"));
        assert!(named, "{name} does not show {key}");
    }
    assert!(
        text.contains("\n# statsd = "),
        "{name} does not show statsd"
    );
}

#[test]
fn the_operator_sample_is_valid_and_complete() {
    check::<OperatorSettings>("operator.toml");
}

#[test]
fn the_ledger_sample_is_valid_and_complete() {
    check::<LedgerSettings>("ledger.toml");
}

#[test]
fn the_router_sample_is_valid_and_complete() {
    check::<swiftlink_router::Settings>("router.toml");
}
