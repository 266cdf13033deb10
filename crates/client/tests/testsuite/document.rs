//! Documents of resources: the resulting requests and the error messages.

use std::path::Path;

use proptest::prelude::*;
use swiftlink_client::document::{load, parse};
use swiftlink_log::Fold as _;
use swiftlink_resource::{Fold, Verdict};
use swiftlink_wire::log::{Change, ChangeSet};

fn shown(text: &str) -> String {
    match parse("fleet.toml", text) {
        Ok(changes) => serde_json::to_string_pretty(&changes).expect("plain data"),
        Err(error) => format!("error: {error}"),
    }
}

#[test]
fn a_document_keeps_its_order_and_hides_its_secrets() {
    let text = r#"
[[workspace]]
name = "notaries"
budget = "registry"
classes = ["standard", "urgent"]

[[budget]]
name = "registry"
version = 0
min_grant = 1_000

[[key]]
name = "portal"
version = 12
workspace = "notaries"
secret = "sk-1"

[[server]]
name = "runner-1"
pool = "model/large"
address = "127.0.0.1:9001"
domain = "rennes-a"
drain = true

[[workspace]]
name = "surveyors"
budget = "registry"
"#;
    let sent = shown(text);
    assert!(!sent.contains("sk-1"));
    insta::assert_snapshot!(sent);
}

#[test]
fn faults_name_file_key_and_line() {
    let texts = [
        "[[budget]\n",
        "\n[[glass]]\nname = \"a\"\n",
        "[budget]\nname = \"a\"\n",
        "budget = [1]\n",
        "[[budget]]\nahead_secs = 1\n",
        "[[budget]]\nname = 3\n",
        "[[budget]]\nname = \"a\"\nahead = 1\n",
        "[[budget]]\nname = \"a\"\n\nahead_secs = \"x\"\n",
        "[[budget]]\nname = \"a\"\nahead_secs = 4000\n",
        "[[budget]]\nname = \"a\"\nversion = -1\n",
        "[[budget]]\nname = \"a b\"\n",
        "[[budget]]\nname = \"a\"\nsince = 2026-01-01\n",
        "[[topup]]\nname = \"a\"\namount = 5\n",
        "[[topup]]\nname = \"a\"\nbudget = \"b\"\namount = 99999999999999999999\n",
        "[[key]]\nname = \"a\"\nworkspace = \"w\"\nsecret = \"s\"\nhash = \"00\"\n",
        "[[key]]\nname = \"a\"\nworkspace = \"w\"\nsecret = \"\"\n",
        "[[key]]\nname = \"a\"\nworkspace = \"w\"\n",
        "[[key]]\nname = \"a\"\nworkspace = \"w\"\nhash = \"00\"\n",
        "[[server]]\nname = \"a\"\npool = \"p\"\naddress = \"here\"\ndomain = \"d\"\n",
        "[[workspace]]\nname = \"a\"\nbudget = \"b\"\nclasses = [\"c\", 3]\n",
        "[[workspace]]\nname = \"a\"\nbudget = \"b\"\nsecret = \"s\"\n",
        "[[retirement]]\nname = \"vm-3\"\nbecause = \"burnt\"\n",
    ];
    let lines: Vec<_> = texts.iter().map(|text| shown(text)).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn the_sample_is_accepted_as_one_set() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/fleet.toml");
    let changes = load(&file).expect("valid");
    let mut set = ChangeSet {
        id: "sample".to_owned(),
        ..ChangeSet::default()
    };
    for change in changes {
        set.changes.push(Change {
            kind: change.kind,
            name: change.name,
            base: change.base.unwrap_or(0),
            delete: false,
            spec: change.spec.expect("given").to_string(),
        });
    }
    let fate = Fold::empty().decide(0, &set);
    assert_eq!(fate.verdict, Verdict::Accepted);
    assert_eq!(fate.events.len(), set.changes.len());
}

/// The retirement in the sample is commented out; uncommented, it is a valid resource.
#[test]
fn the_sample_of_a_retirement_is_valid() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/fleet.toml");
    let text = std::fs::read_to_string(file).expect("readable");
    let (_, sample) = text.split_once("# [[retirement]]").expect("shown");
    let lines = sample.lines().map(|line| line.trim_start_matches("# "));
    let text = format!("[[retirement]]{}", lines.collect::<Vec<_>>().join("\n"));
    let changes = parse("fleet.toml", &text).expect("valid");
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].kind, "retirement");
    assert!(changes[0].spec.as_ref().expect("given")["reason"].is_string());
}

#[test]
fn a_missing_file_is_an_error() {
    let error = load(Path::new("no/such/file.toml")).expect_err("missing");
    assert_eq!(error.to_string(), "no/such/file.toml: can't be read");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// No text makes the parser panic.
    #[test]
    fn arbitrary_text_does_not_panic(text in "(\\[\\[(budget|key|class)\\]\\]\n|[a-z]{1,6} = [\"0-9a-z\\[\\]{}.+-]{0,6}\n|\\PC{0,8}\n){0,6}") {
        let _outcome = parse("any.toml", &text);
    }
}
