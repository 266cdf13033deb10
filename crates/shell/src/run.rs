//! Entry of the daemons: command line, settings, log and metrics, runtime, and then
//! the daemon itself until it has stopped.

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
use crate::report::chain;
use crate::shell::Shell;

/// Exit code for a bad command line or bad settings.
const BAD_USAGE: u8 = 2;
/// How long a metric may wait in the buffer.
const FLUSH: Duration = Duration::from_secs(1);

/// What a daemon says of itself in logs and metrics.
#[derive(Debug, Clone)]
pub struct Identity {
    /// VM that it runs on.
    pub vm: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Lowest level of events that are logged.
    pub log_level: String,
    /// Address of the StatsD server, if there is one.
    pub statsd: Option<SocketAddr>,
}

/// How a daemon's settings are read and used.
#[derive(Debug)]
pub struct Source<S> {
    /// Reads and checks the settings file.
    pub load: fn(&Path) -> Result<S, SettingsError>,
    /// What the daemon says of itself.
    pub identity: fn(&S) -> Identity,
}

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
    run_args(about, &args(), start)
}

/// Runs a daemon as `args` (without the program's name) say.
pub fn run_args<S, F, Fut>(about: About, args: &[String], start: F) -> ExitCode
where
    S: Settings,
    F: FnOnce(S, Shell) -> Fut,
    Fut: Future<Output = anyhow::Result<()>>,
{
    let source = Source {
        load: swiftlink_settings::open,
        identity: |settings: &S| identity(settings.common()),
    };
    run_source(about, args, &source, start)
}

/// Runs a daemon whose settings come from `source`.
pub fn run_source<S, F, Fut>(
    about: About,
    args: &[String],
    source: &Source<S>,
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

/// The process's arguments without the program's name.
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

fn check<S: Serialize>(about: &About, file: &Path, source: &Source<S>) -> ExitCode {
    let settings = match (source.load)(file) {
        Ok(settings) => settings,
        Err(error) => return fail(about, &chain(&error), BAD_USAGE),
    };
    match swiftlink_settings::render(&settings) {
        Ok(text) => print(&text),
        Err(error) => fail(about, &chain(&error), 1),
    }
}

fn serve<S, F, Fut>(about: &About, file: &Path, source: &Source<S>, start: F) -> ExitCode
where
    F: FnOnce(S, Shell) -> Fut,
    Fut: Future<Output = anyhow::Result<()>>,
{
    let settings = match (source.load)(file) {
        Ok(settings) => settings,
        Err(error) => return fail(about, &chain(&error), BAD_USAGE),
    };
    stop_on_panic();
    let identity = (source.identity)(&settings);
    let result = block_on(about, &identity, |shell| start(settings, shell));
    drop(panic::take_hook());
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(about, &chain(error.as_ref()), 1),
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
        let flushing = tokio::spawn(flush(metrics.clone()));
        let result = start(shell).await;
        flushing.abort();
        result
    });
    metrics.flush();
    event!(info, "process.stopped", ok = result.is_ok());
    swiftlink_telemetry::flush();
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
        swiftlink_telemetry::flush();
        std::process::abort();
    }));
}
