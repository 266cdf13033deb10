//! The commented sample file of the settings.

use std::path::Path;

use serde_json::{Value, json};
use swiftlink_router::Settings;

/// Settings that have no default.
const REQUIRED: [&str; 6] = ["vm", "domain", "admin", "secret", "listen", "ledgers"];
/// Settings that are absent or empty by default, which the sample need not show.
const OPTIONAL: [&str; 2] = ["vms", "peers"];

fn fields_of(settings: &Settings) -> serde_json::Map<String, Value> {
    match serde_json::to_value(settings) {
        Ok(Value::Object(fields)) => fields,
        other => panic!("no object: {other:?}"),
    }
}

#[test]
fn the_sample_states_the_defaults() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/router.toml");
    let sample: Settings = swiftlink_settings::load(&path).expect("the sample is good");
    let text = std::fs::read_to_string(&path).expect("the sample");
    let required = json!({
        "vm": "a", "domain": "b", "admin": "127.0.0.1:1", "secret": "0123456789abcdef",
        "listen": "127.0.0.1:2", "ledgers": [],
    });
    let defaults: Settings = serde_json::from_value(required).expect("only what has no default");
    let sample = fields_of(&sample);
    for (name, default) in fields_of(&defaults) {
        if REQUIRED.contains(&name.as_str()) || OPTIONAL.contains(&name.as_str()) {
            continue;
        }
        assert_eq!(sample[&name], default, "{name}");
        let stated = text
            .lines()
            .any(|line| line.starts_with(&format!("{name} = ")));
        assert!(stated, "{name} is in the sample");
    }
}
