//! Settings files and the start of the daemons: invalid keys and values, and an
//! unreachable log.

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use swiftlink_testkit::fleet::{Dirs, Standin};
use swiftlink_testkit::port;
use swiftlink_testkit::process::Process;
use swiftlink_testkit::until::until;

use crate::support::binaries;

const DAEMONS: [&str; 3] = ["swiftlink-router", "swiftlink-ledger", "swiftlink-operator"];
/// Exit status for invalid settings.
const USAGE: i32 = 2;

/// Settings that all daemons accept, in lines 1 to 8.
fn settings(daemon: &str) -> String {
    let mut text = String::from(
        "vm = \"vm-0\"\n\
         domain = \"rennes-a\"\n\
         admin = \"127.0.0.1:11101\"\n\
         listen = \"127.0.0.1:11102\"\n\
         secret = \"sixteen-bytes-or-more\"\n\
         log_level = \"info\"\n",
    );
    match daemon {
        "swiftlink-router" => text.push_str(
            "ledgers = [{ name = \"vm-0\", address = \"127.0.0.1:11103\", domain = \"d\" }]\n",
        ),
        "swiftlink-ledger" => text.push_str("log = \"127.0.0.1:11104\"\n"),
        _ => text.push_str("log = \"127.0.0.1:11104\"\ntoken = \"sixteen-bytes-or-more\"\n"),
    }
    text
}

/// Returns the exit status and standard error of a daemon that checks a settings file.
fn run_check(daemon: &str, file: &Path) -> (Option<i32>, String) {
    let output = Command::new(binaries().join(daemon))
        .arg("--check")
        .arg("--settings")
        .arg(file)
        .output()
        .expect("the daemon can be started");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), text)
}

#[test]
fn good_settings_pass_the_check() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    for daemon in DAEMONS {
        let file = dir.path().join(format!("{daemon}.toml"));
        std::fs::write(&file, settings(daemon)).expect("the file can be written");
        let (status, text) = run_check(daemon, &file);
        assert_eq!(status, Some(0), "{daemon}: {text}");
    }
}

#[test]
fn wrong_keys_and_values_name_file_line_and_key() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    // The replaced text, its replacement, and the line and key that the error must name.
    let cases = [
        ("log_level", "log_levle", "6", "log_levle"),
        ("\"127.0.0.1:11102\"", "\"localhost\"", "4", "listen"),
        ("\"vm-0\"", "17", "1", "vm"),
        ("\"info\"", "\"loud\"", "6", "log_level"),
        (
            "sixteen-bytes-or-more\"\nlog",
            "short\"\nlog",
            "5",
            "secret",
        ),
    ];
    for daemon in DAEMONS {
        for (from, to, line, key) in cases {
            let file = dir.path().join(format!("{daemon}.toml"));
            let text = settings(daemon).replacen(from, to, 1);
            std::fs::write(&file, text).expect("the file can be written");
            let (status, text) = run_check(daemon, &file);
            assert_eq!(status, Some(USAGE), "{daemon}, {to}: {text}");
            let place = format!("{}:{line}:", file.display());
            assert!(
                text.contains(&place),
                "{daemon}, {to}: no {place} in {text}"
            );
            assert!(text.contains(key), "{daemon}, {to}: no {key} in {text}");
            assert!(
                !text.contains("sixteen-bytes"),
                "{daemon}: a secret in {text}"
            );
        }
    }
}

#[test]
fn a_missing_file_is_a_usage_error() {
    for daemon in DAEMONS {
        let (status, text) = run_check(daemon, Path::new("/nonexistent/x.toml"));
        assert_eq!(status, Some(USAGE), "{daemon}: {text}");
        assert!(text.contains("/nonexistent/x.toml"), "{daemon}: {text}");
    }
}

/// Counts the lines of the daemon's output about the unreachable log.
fn outage_lines(printed: &str) -> usize {
    let lines = printed.lines();
    lines.filter(|line| line.contains("event=log.out")).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_log_is_reported_once_and_retried() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let dirs = Dirs {
        binaries: binaries(),
        work: dir.path().to_owned(),
    };
    let log = port::reserve();
    let file = dirs.file("ledger.toml");
    let text = format!(
        "vm = \"vm-0\"\ndomain = \"d\"\nadmin = \"{}\"\nlisten = \"{}\"\n\
         secret = \"sixteen-bytes-or-more\"\nlog = \"{log}\"\nshards = 1\n",
        port::reserve(),
        port::reserve(),
    );
    std::fs::write(&file, text).expect("the file can be written");
    let args = ["--settings".to_owned(), file.display().to_string()];
    let binary = dirs.binary("swiftlink-ledger");
    let output = dirs.file("ledger.out");
    let mut ledger = Process::spawn("ledger", &binary, &args, &output).expect("the process starts");
    until("the outage to be logged", async || {
        (outage_lines(&ledger.printed()) > 0).then_some(())
    })
    .await
    .expect("the outage is logged");
    // Once the log listens at its address, the ledger connects without a restart.
    let standin = Standin::start_at(&dirs, "log", "log", log, &[])
        .await
        .expect("the log starts");
    until("the ledger to read the log", async || {
        let counts = standin.get("/_standin/counts").await.ok()?;
        (counts["reads"].as_u64()? > 0).then_some(())
    })
    .await
    .expect("the ledger reads the log");
    assert!(ledger.ended().is_none(), "{}", ledger.printed());
    assert_eq!(outage_lines(&ledger.printed()), 1, "{}", ledger.printed());
    ledger.terminate();
    let status = ledger.wait(Duration::from_secs(20)).await;
    assert_eq!(status.and_then(|status| status.code()), Some(0));
}
