//! The daemons' command line.

use std::fs;
use std::process::ExitCode;

use serde::{Deserialize, Serialize};
use swiftlink_shell::{About, Command, Common, Settings, Shell, UsageError, error_chain, run_args};

const ABOUT: About = About {
    name: "swiftlink-test",
    version: "1.2.3",
    about: "Tests the shell.",
};

#[derive(Serialize, Deserialize)]
struct Daemon {
    #[serde(flatten)]
    common: Common,
}

impl Settings for Daemon {
    fn common(&self) -> &Common {
        &self.common
    }
}

fn args(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

#[test]
fn the_command_line_is_parsed() {
    let parse = |text| ABOUT.parse(&args(text));
    assert_eq!(parse("--help"), Ok(Command::Help));
    assert_eq!(parse("-V"), Ok(Command::Version));
    assert_eq!(parse("-c a.toml"), Ok(Command::Run("a.toml".into())));
    assert_eq!(
        parse("--settings=a.toml --check"),
        Ok(Command::Check("a.toml".into()))
    );
    assert_eq!(parse("--check"), Err(UsageError::NoSettings));
    assert_eq!(
        parse("-c a.toml b"),
        Err(UsageError::Argument("b".to_owned()))
    );
    assert!(matches!(parse("--nonsense"), Err(UsageError::Option(_))));
}

#[test]
fn help_names_every_option() {
    let help = ABOUT.help();
    for part in [
        "Tests the shell.",
        "--settings FILE",
        "--check",
        "--help",
        "--version",
    ] {
        assert!(help.contains(part), "{help}");
    }
    assert_eq!(ABOUT.version_line(), "swiftlink-test 1.2.3");
}

#[test]
fn causes_are_listed_below_their_error() {
    let error = anyhow::anyhow!("refused")
        .context("connecting")
        .context("starting");
    let expected = "starting\n\nCaused by:\n    connecting\n    refused";
    assert_eq!(error_chain(error.as_ref()), expected);
}

/// Exit codes can only be compared by their debug text.
fn code(code: ExitCode) -> String {
    format!("{code:?}")
}

#[test]
fn exit_codes_distinguish_usage_errors_from_failures() {
    let folder = tempfile::tempdir().unwrap();
    let good = folder.path().join("good.toml");
    let text =
        "vm = \"v\"\ndomain = \"d\"\nadmin = \"127.0.0.1:0\"\nsecret = \"0123456789abcdef\"\n";
    fs::write(&good, text).unwrap();
    let bad = folder.path().join("bad.toml");
    fs::write(&bad, "vm = 1\n").unwrap();
    let with = |file: &std::path::Path, rest: &str| {
        let mut list = vec!["-c".to_owned(), file.display().to_string()];
        list.extend(args(rest));
        list
    };
    let stop = |_settings: Daemon, shell: Shell| async move {
        shell.stop();
        shell.stopped().await;
        Ok(())
    };
    let fail = |_settings: Daemon, _shell: Shell| async { anyhow::bail!("start failed") };
    let (ok, failure) = (code(ExitCode::SUCCESS), code(ExitCode::FAILURE));
    let usage = code(ExitCode::from(2));

    assert_eq!(code(run_args(ABOUT, &with(&good, "--check"), fail)), ok);
    assert_eq!(code(run_args(ABOUT, &with(&bad, "--check"), stop)), usage);
    assert_eq!(code(run_args(ABOUT, &with(&bad, ""), stop)), usage);
    assert_eq!(code(run_args(ABOUT, &args("--nonsense"), stop)), usage);
    assert_eq!(code(run_args(ABOUT, &with(&good, ""), stop)), ok);
    assert_eq!(code(run_args(ABOUT, &with(&good, ""), fail)), failure);
}
