//! Command line and main loop of a stand-in process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Arc;

use anyhow::Context as _;
use getopts::{Matches, Options};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;

use crate::host::{Host, Standin};

/// Name, description and options of a stand-in.
#[derive(Clone, Copy, Debug)]
pub struct About {
    /// Name of the binary.
    pub name: &'static str,
    /// Description in one line.
    pub about: &'static str,
    /// Adds the options besides `--listen` and `--help`.
    pub options: fn(&mut Options),
}

/// Parsed options.
#[derive(Debug)]
pub struct Args(Matches);

impl Args {
    /// Address to listen on; port 0 lets the system choose.
    ///
    /// # Errors
    /// When it is missing or not an address.
    pub fn listen(&self) -> anyhow::Result<SocketAddr> {
        self.need("listen")
    }

    /// The option's value, or `default` when it is not given.
    ///
    /// # Errors
    /// When it can't be parsed.
    pub fn get<T: FromStr>(&self, name: &str, default: T) -> anyhow::Result<T> {
        let Some(text) = self.0.opt_str(name) else {
            return Ok(default);
        };
        parse(name, &text)
    }

    /// The value of an option that must be given.
    ///
    /// # Errors
    /// When it is missing or can't be parsed.
    pub fn need<T: FromStr>(&self, name: &str) -> anyhow::Result<T> {
        let text = self.0.opt_str(name);
        let text = text.with_context(|| format!("--{name} is missing"))?;
        parse(name, &text)
    }

    /// Serves `standin` on `--listen`. `--seed` initializes the generator for random faults.
    ///
    /// # Errors
    /// When an option can't be parsed or the address can't be bound.
    pub fn host(
        &self,
        standin: Arc<dyn Standin>,
        tasks: Vec<JoinHandle<()>>,
    ) -> anyhow::Result<Host> {
        Host::bind(self.listen()?, self.get("seed", 1)?, standin, tasks)
    }

    /// All values of an option that may be repeated.
    #[must_use]
    pub fn all(&self, name: &str) -> Vec<String> {
        self.0.opt_strs(name)
    }
}

fn parse<T: FromStr>(name: &str, text: &str) -> anyhow::Result<T> {
    let value = text.parse().ok();
    value.with_context(|| format!("--{name}: invalid value {text:?}"))
}

/// Runs a stand-in until SIGTERM or SIGINT. Parses the command line, starts the host, and
/// prints `listening=ADDR` once it accepts connections.
pub fn run<F>(about: About, start: F) -> ExitCode
where
    F: AsyncFnOnce(Args) -> anyhow::Result<Host>,
{
    let mut options = Options::new();
    options.reqopt("l", "listen", "address to listen on", "ADDR");
    options.optflag("h", "help", "print this help");
    (about.options)(&mut options);
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.iter().any(|word| word == "--help" || word == "-h") {
        let brief = format!(
            "{}: {}\nUsage: {} [options]",
            about.name, about.about, about.name
        );
        println!("{}", options.usage(&brief));
        return ExitCode::SUCCESS;
    }
    let matches = match options.parse(words) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{}: {error}", about.name);
            return ExitCode::from(2);
        }
    };
    match run_until_signal(start, Args(matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error:#}", about.name);
            ExitCode::FAILURE
        }
    }
}

fn run_until_signal<F>(start: F, args: Args) -> anyhow::Result<()>
where
    F: AsyncFnOnce(Args) -> anyhow::Result<Host>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("can't start the runtime")?;
    runtime.block_on(async {
        let mut term =
            signal(SignalKind::terminate()).context("can't install the SIGTERM handler")?;
        let mut int =
            signal(SignalKind::interrupt()).context("can't install the SIGINT handler")?;
        let host = start(args).await?;
        println!("listening={}", host.address());
        tokio::select! {
            _signal = term.recv() => {}
            _signal = int.recv() => {}
        }
        host.stop().await;
        Ok(())
    })
}
