//! Entry point of the daemons: handles command line, settings, log, metrics and runtime,
//! and runs the daemon until it has stopped.

use std::net::SocketAddr;
use std::panic;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use serde::Serialize;
use swiftlink_settings::{Common, Settings, SettingsError};
use swiftlink_telemetry::{Metrics, event};

use crate::cli::{About, Command};
use crate::report::error_chain;
use crate::shell::Shell;

/// Exit code for an invalid command line or invalid settings.
const BAD_USAGE: u8 = 2;
/// Longest time that a metric may stay in the buffer.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Identity of a daemon in logs and metrics.
#[derive(Debug, Clone)]
pub struct Identity {
    /// VM that the daemon runs on.
    pub vm: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Minimum level of logged events.
    pub log_level: String,
    /// Address of the StatsD server, if there is one.
    pub statsd: Option<SocketAddr>,
}

/// How a daemon's settings are loaded, and its identity derived from them.
#[derive(Debug)]
pub struct SettingsSource<S> {
    /// Reads and checks the settings file.
    pub load: fn(&Path) -> Result<S, SettingsError>,
    /// Derives the daemon's identity from its settings.
    pub identity: fn(&S) -> Identity,
}

/// Runs a daemon according to the process's command line.
///
/// `start` gets the validated settings and completes when the daemon has stopped. The exit
/// code is 0 after a stop, 1 after an error and 2 for an invalid command line or invalid
/// settings.
pub fn run<S, F, Fut>(about: About, start: F) -> ExitCode
where
    S: Settings,
    F: FnOnce(S, Shell) -> Fut,
    Fut: Future<Output = anyhow::Result<()>>,
{
    run_args(about, &args(), start)
}

/// Runs a daemon according to `args`, which exclude the program's name.
pub fn run_args<S, F, Fut>(about: About, args: &[String], start: F) -> ExitCode
where
    S: Settings,
    F: FnOnce(S, Shell) -> Fut,
    Fut: Future<Output = anyhow::Result<()>>,
{
    let source = SettingsSource {
        load: swiftlink_settings::open,
        identity: |settings: &S| identity(settings.common()),
    };
    run_source(about, args, &source, start)
}

/// Runs a daemon whose settings come from `source`.
pub fn run_source<S, F, Fut>(
    about: About,
    args: &[String],
    source: &SettingsSource<S>,
    start: F,
) -> ExitCode
where
    S: Serialize,
    F: FnOnce(S, Shell) -> Fut,
    Fut: Future<Output = anyhow::Result<()>>,
{
    match about.parse(args) {
        Ok(Command::Help) => print(&about.help()),
        Ok(Command::Version) => print(&about.version_line()),
        Ok(Command::Check(file)) => check(&about, &file, source),
        Ok(Command::Run(file)) => serve(&about, &file, source, start),
        Err(error) => {
            let hint = format!("try `{} --help`", about.name);
            fail(&about, &format!("{error}\n{hint}"), BAD_USAGE)
        }
    }
}

/// Returns the process's arguments without the program's name.
#[must_use]
pub fn args() -> Vec<String> {
    let args = std::env::args_os().skip(1);
    args.map(|arg| arg.to_string_lossy().into_owned()).collect()
}

fn identity(common: &Common) -> Identity {
    Identity {
        vm: common.vm.clone(),
        domain: common.domain.clone(),
        log_level: common.log_level.clone(),
        statsd: common.statsd,
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

fn check<S: Serialize>(about: &About, file: &Path, source: &SettingsSource<S>) -> ExitCode {
    let settings = match (source.load)(file) {
        Ok(settings) => settings,
        Err(error) => return fail(about, &error_chain(&error), BAD_USAGE),
    };
    match swiftlink_settings::render(&settings) {
        Ok(text) => print(&text),
        Err(error) => fail(about, &error_chain(&error), 1),
    }
}

fn serve<S, F, Fut>(about: &About, file: &Path, source: &SettingsSource<S>, start: F) -> ExitCode
where
    F: FnOnce(S, Shell) -> Fut,
    Fut: Future<Output = anyhow::Result<()>>,
{
    let settings = match (source.load)(file) {
        Ok(settings) => settings,
        Err(error) => return fail(about, &error_chain(&error), BAD_USAGE),
    };
    abort_on_panic();
    let identity = (source.identity)(&settings);
    let result = block_on(about, &identity, |shell| start(settings, shell));
    drop(panic::take_hook());
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(about, &error_chain(error.as_ref()), 1),
    }
}

fn block_on<F, Fut>(about: &About, identity: &Identity, start: F) -> anyhow::Result<()>
where
    F: FnOnce(Shell) -> Fut,
    Fut: Future<Output = anyhow::Result<()>>,
{
    swiftlink_telemetry::init(&identity.log_level).context("log level")?;
    let tags = [
        ("vm", identity.vm.as_str()),
        ("domain", identity.domain.as_str()),
        ("process", about.name),
    ];
    let metrics = Metrics::open(identity.statsd, &tags).context("opening the metrics socket")?;
    event!(
        info,
        "process.started",
        process = about.name,
        version = about.version,
        vm = identity.vm,
        domain = identity.domain,
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name(about.name)
        .build()
        .context("starting the runtime")?;
    let result = runtime.block_on(async {
        let shell = Shell::new(metrics.clone());
        shell.follow_signals().context("following signals")?;
        let flushing = tokio::spawn(flush_metrics(metrics.clone()));
        let result = start(shell).await;
        flushing.abort();
        result
    });
    metrics.flush();
    event!(info, "process.stopped", ok = result.is_ok());
    swiftlink_telemetry::flush();
    result
}

/// Flushes buffered metrics periodically, so that rare ones don't wait for a full packet.
async fn flush_metrics(metrics: Metrics) {
    loop {
        tokio::time::sleep(FLUSH_INTERVAL).await;
        metrics.flush();
    }
}

/// Installs a panic hook that logs the panic and aborts the process. A panic means a
/// broken invariant, and decisions on inconsistent state must not continue.
fn abort_on_panic() {
    panic::set_hook(Box::new(|info| {
        let place = match info.location() {
            Some(location) => location.to_string(),
            None => "unknown".to_owned(),
        };
        let reason = info.payload_as_str().unwrap_or("no message");
        event!(error, "process.panicked", at = place, reason = reason);
        swiftlink_telemetry::flush();
        std::process::abort();
    }));
}
