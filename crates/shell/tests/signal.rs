//! SIGTERM and SIGINT request a stop of a daemon.

use std::fs;
use std::process::ExitCode;

use nix::sys::signal::{Signal, raise};
use serde::{Deserialize, Serialize};
use swiftlink_shell::{About, Common, Settings, Shell, run_args};

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

#[test]
fn sigterm_and_sigint_request_a_stop() {
    let about = About {
        name: "swiftlink-test",
        version: "1.2.3",
        about: "Tests the shell.",
    };
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("daemon.toml");
    let text =
        "vm = \"v\"\ndomain = \"d\"\nadmin = \"127.0.0.1:0\"\nsecret = \"0123456789abcdef\"\n";
    fs::write(&file, text).unwrap();
    let args = ["-c".to_owned(), file.display().to_string()];
    for signal in [Signal::SIGTERM, Signal::SIGINT] {
        let code = run_args(about, &args, |_settings: Daemon, shell: Shell| async move {
            raise(signal)?;
            shell.stopped().await;
            Ok(())
        });
        assert_eq!(format!("{code:?}"), format!("{:?}", ExitCode::SUCCESS));
    }
}
