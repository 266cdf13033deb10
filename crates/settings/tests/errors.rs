//! Each error in a settings file is reported with file, key and line.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use swiftlink_settings::{
    CheckError, Common, LinkPeer, Settings, SettingsError, check_peers, load, open, parse, render,
};

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Daemon {
    #[serde(flatten)]
    common: Common,
    listen: SocketAddr,
    #[serde(default = "default_shards")]
    shards: u32,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    peers: Vec<LinkPeer>,
}

#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Limits {
    queue: u16,
}

fn default_shards() -> u32 {
    4
}

impl Settings for Daemon {
    fn common(&self) -> &Common {
        &self.common
    }

    fn check(&self) -> Result<(), CheckError> {
        if self.shards == 0 {
            return Err(CheckError::new("shards", "must be 1 or more"));
        }
        if self.limits.queue > 100 {
            return Err(CheckError::new("limits.queue", "must be 100 or less"));
        }
        check_peers("peers", &self.peers)
    }
}

const VALID: &str = r#"vm = "vm-1"
domain = "brest"
admin = "127.0.0.1:9001"
secret = "0123456789abcdef"
log_level = "debug"
listen = "127.0.0.1:9002"
shards = 8

[limits]
queue = 10

[[peers]]
name = "a"
address = "127.0.0.1:9003"
domain = "brest"

[[peers]]
name = "b"
address = "127.0.0.1:9004"
domain = "vannes"
"#;

/// Opens `text` and returns the error message, without the directory of the file.
fn error_of(text: &str) -> String {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("daemon.toml");
    fs::write(&path, text).unwrap();
    let message = open::<Daemon>(&path).unwrap_err().to_string();
    let parent = format!("{}/", directory.path().display());
    message.replace(&parent, "")
}

/// Opens the valid file after one replacement and returns the error message.
fn error_after(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "{from}");
    error_of(&VALID.replacen(from, to, 1))
}

#[test]
fn valid_settings_are_read() {
    let daemon: Daemon = parse(Path::new("daemon.toml"), VALID).unwrap();
    assert_eq!(daemon.common.vm, "vm-1");
    assert_eq!(daemon.common.secret.expose(), "0123456789abcdef");
    assert_eq!(daemon.shards, 8);
    assert_eq!(daemon.limits.queue, 10);
    assert_eq!(daemon.peers[1].domain, "vannes");
}

#[test]
fn missing_keys_get_defaults() {
    let text = VALID
        .replace("log_level = \"debug\"\n", "")
        .replace("shards = 8\n", "");
    let daemon: Daemon = parse(Path::new("daemon.toml"), &text).unwrap();
    assert_eq!(daemon.common.log_level, "info");
    assert_eq!(daemon.common.statsd, None);
    assert_eq!(daemon.shards, 4);
}

#[test]
fn the_secret_is_never_printed() {
    let daemon: Daemon = parse(Path::new("daemon.toml"), VALID).unwrap();
    let rendered = render(&daemon).unwrap();
    assert!(rendered.contains("secret = \"***\""), "{rendered}");
    let debug = format!("{daemon:?}");
    assert!(!rendered.contains("0123456789abcdef"));
    assert!(!debug.contains("0123456789abcdef"));
}

#[test]
fn a_syntax_error_names_the_line() {
    let message = error_after("shards = 8", "shards = = 8");
    assert!(message.starts_with("daemon.toml:7: "), "{message}");
}

#[test]
fn an_unknown_key_is_named() {
    let message = error_after("shards = 8", "shard = 8");
    assert!(
        message.starts_with("daemon.toml:7: shard: unknown field `shard`"),
        "{message}"
    );
    let message = error_after("queue = 10", "queues = 10");
    let start = "daemon.toml:10: limits.queues: unknown field `queues`";
    assert!(message.starts_with(start), "{message}");
    let message = error_after("name = \"b\"", "name = \"b\"\nport = 1");
    let start = "daemon.toml:19: peers[1].port: unknown field `port`";
    assert!(message.starts_with(start), "{message}");
}

#[test]
fn a_wrong_type_is_named() {
    let message = error_after("shards = 8", "shards = \"many\"");
    assert!(
        message.starts_with("daemon.toml:7: shards: invalid type"),
        "{message}"
    );
    let message = error_after("queue = 10", "queue = 70000");
    assert!(
        message.starts_with("daemon.toml:10: limits.queue: invalid value"),
        "{message}"
    );
    let message = error_after("127.0.0.1:9004", "somewhere");
    assert!(
        message.starts_with("daemon.toml:19: peers[1].address: "),
        "{message}"
    );
}

#[test]
fn a_wrong_type_of_a_common_key_is_named() {
    let message = error_after("domain = \"brest\"", "domain = 4");
    assert!(
        message.starts_with("daemon.toml:2: domain: invalid type"),
        "{message}"
    );
    let message = error_after("127.0.0.1:9001", "nowhere");
    assert!(message.starts_with("daemon.toml:3: admin: "), "{message}");
    let message = error_after("log_level = \"debug\"", "statsd = true");
    assert!(message.starts_with("daemon.toml:5: statsd: "), "{message}");
}

#[test]
fn a_missing_key_is_named_with_its_table() {
    let message = error_after("listen = \"127.0.0.1:9002\"\n", "");
    assert_eq!(message, "daemon.toml:1: listen: missing field `listen`");
    let message = error_after("vm = \"vm-1\"\n", "");
    assert_eq!(message, "daemon.toml:1: vm: missing field `vm`");
    let message = error_after("address = \"127.0.0.1:9004\"\n", "");
    assert!(
        message.contains(": peers[1].address: missing field `address`"),
        "{message}"
    );
    assert!(message.starts_with("daemon.toml:17: "), "{message}");
}

#[test]
fn a_failing_check_is_named() {
    let message = error_after("shards = 8", "shards = 0");
    assert_eq!(message, "daemon.toml:7: shards: must be 1 or more");
    let message = error_after("queue = 10", "queue = 101");
    assert_eq!(message, "daemon.toml:10: limits.queue: must be 100 or less");
    let message = error_after("0123456789abcdef", "short");
    assert_eq!(
        message,
        "daemon.toml:4: secret: must have at least 16 bytes"
    );
    let message = error_after("\"debug\"", "\"loud\"");
    assert!(
        message.starts_with("daemon.toml:5: log_level: must be one of off,"),
        "{message}"
    );
    let message = error_after("name = \"b\"", "name = \"a\"");
    assert_eq!(
        message,
        "daemon.toml:18: peers[1].name: is the name of another peer too"
    );
}

#[test]
fn a_missing_file_is_named() {
    let error = load::<Daemon>(Path::new("no/such.toml")).unwrap_err();
    assert!(matches!(error, SettingsError::Read { .. }));
    assert_eq!(error.to_string(), "no/such.toml: cannot be read");
}

proptest! {
    #[test]
    fn any_text_gives_settings_or_an_error_within_the_file(text in ".{0,200}") {
        check_lines(&text)?;
    }

    #[test]
    fn any_edit_gives_settings_or_an_error_within_the_file(
        at in 0..VALID.len(),
        cut in 0..40_usize,
        insert in "[ -~\\n]{0,20}",
    ) {
        let mut text = VALID.to_owned();
        text.replace_range(at..(at + cut).min(VALID.len()), &insert);
        check_lines(&text)?;
    }
}

fn check_lines(text: &str) -> Result<(), TestCaseError> {
    let last = text.matches('\n').count() + 1;
    match parse::<Daemon>(Path::new("f.toml"), text) {
        Ok(_) => {}
        Err(SettingsError::Syntax { line, .. }) => prop_assert!((1..=last).contains(&line)),
        Err(SettingsError::Invalid { line, key, .. }) => {
            prop_assert!((1..=last).contains(&line));
            prop_assert!(!key.is_empty());
        }
        Err(error) => prop_assert!(false, "{error}"),
    }
    Ok(())
}
