//! Entry of the daemons: command line, settings, log and metrics, runtime, and then
//! the daemon itself until it has stopped.

use std::panic;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use swiftlink_settings::Settings;
use swiftlink_telemetry::{Metrics, event};

use crate::cli::{About, Command};
use crate::report::chain;
use crate::shell::Shell;

/// Exit code for a bad command line or bad settings.
const BAD_USAGE: u8 = 2;
/// How long a metric may wait in the buffer.
const FLUSH: Duration = Duration::from_secs(1);

/// Runs a daemon as the process's command line says.
///
/// `start` gets the checked settings and ends when the daemon has stopped. The exit
/// code is 0 after a stop, 1 after an error and 2 for a bad command line or settings.
pub fn run<S, F, Fut>(about: About, start: F) -> ExitCode
where
    S: Settings,
    F: FnOnce(S, Shell) -> Fut,
    Fut: Future<Output = anyhow::Result<()>>,
{
    let mut args = Vec::new();
    for arg in std::env::args_os().skip(1) {
        args.push(arg.to_string_lossy().into_owned());
    }
    run_args(about, &args, start)
}

/// Runs a daemon as `args` (without the program's name) say.
pub fn run_args<S, F, Fut>(about: About, args: &[String], start: F) -> ExitCode
where
    S: Settings,
    F: FnOnce(S, Shell) -> Fut,
    Fut: Future<Output = anyhow::Result<()>>,
{
    match about.parse(args) {
        Ok(Command::Help) => print(&about.help()),
        Ok(Command::Version) => print(&about.version_line()),
        Ok(Command::Check(file)) => check::<S>(&about, &file),
        Ok(Command::Run(file)) => serve(&about, &file, start),
        Err(error) => {
            let hint = format!("try `{} --help`", about.name);
            fail(&about, &format!("{error}\n{hint}"), BAD_USAGE)
        }
    }
}

fn print(text: &str) -> ExitCode {
    println!("{}", text.trim_end());
    ExitCode::SUCCESS
}

fn fail(about: &About, text: &str, code: u8) -> ExitCode {
    eprintln!("{}: error: {text}", about.name);
    ExitCode::from(code)
}

fn check<S: Settings>(about: &About, file: &Path) -> ExitCode {
    let settings: S = match swiftlink_settings::open(file) {
        Ok(settings) => settings,
        Err(error) => return fail(about, &chain(&error), BAD_USAGE),
    };
    match swiftlink_settings::render(&settings) {
        Ok(text) => print(&text),
        Err(error) => fail(about, &chain(&error), 1),
    }
}

fn serve<S, F, Fut>(about: &About, file: &Path, start: F) -> ExitCode
where
    S: Settings,
    F: FnOnce(S, Shell) -> Fut,
    Fut: Future<Output = anyhow::Result<()>>,
{
    let settings: S = match swiftlink_settings::open(file) {
        Ok(settings) => settings,
        Err(error) => return fail(about, &chain(&error), BAD_USAGE),
    };
    stop_on_panic();
    let result = block_on(about, settings, start);
    drop(panic::take_hook());
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(about, &chain(error.as_ref()), 1),
    }
}

fn block_on<S, F, Fut>(about: &About, settings: S, start: F) -> anyhow::Result<()>
where
    S: Settings,
    F: FnOnce(S, Shell) -> Fut,
    Fut: Future<Output = anyhow::Result<()>>,
{
    let common = settings.common();
    swiftlink_telemetry::init(&common.log_level).context("log level")?;
    let tags = [
        ("vm", common.vm.as_str()),
        ("domain", common.domain.as_str()),
        ("process", about.name),
    ];
    let metrics = Metrics::open(common.statsd, &tags).context("opening the metrics socket")?;
    event!(
        info,
        "process.started",
        process = about.name,
        version = about.version,
        vm = common.vm,
        domain = common.domain,
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name(about.name)
        .build()
        .context("starting the runtime")?;
    let result = runtime.block_on(async {
        let shell = Shell::new(metrics.clone());
        shell.follow_signals().context("following signals")?;
        let flushing = tokio::spawn(flush(metrics.clone()));
        let result = start(settings, shell).await;
        flushing.abort();
        result
    });
    metrics.flush();
    event!(info, "process.stopped", ok = result.is_ok());
    result
}

/// Sends buffered metrics now and then, so that rare ones don't wait for a full packet.
async fn flush(metrics: Metrics) {
    loop {
        tokio::time::sleep(FLUSH).await;
        metrics.flush();
    }
}

/// A panic is a broken invariant: the process logs it and stops, so that a state
/// that can't be trusted doesn't go on deciding.
fn stop_on_panic() {
    panic::set_hook(Box::new(|info| {
        let place = match info.location() {
            Some(location) => location.to_string(),
            None => "unknown".to_owned(),
        };
        let reason = info.payload_as_str().unwrap_or("no message");
        event!(error, "process.panicked", at = place, reason = reason);
        std::process::abort();
    }));
}
