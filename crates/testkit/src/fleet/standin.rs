//! A stand-in process and its fault switches.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::Context as _;
use http::Method;
use serde_json::Value;
use swiftlink_standins::engine::Run;

use crate::http::Http;
use crate::port;
use crate::process::Process;
use crate::until::until;

/// Prefix of the output line in which a stand-in prints its address.
const LISTENING: &str = "listening=";

/// Directories of the binaries and of a run's files.
#[derive(Clone, Debug)]
pub struct Dirs {
    /// Directory of the binaries.
    pub binaries: PathBuf,
    /// Directory of settings and outputs.
    pub work: PathBuf,
}

impl Dirs {
    /// Path of the binary `name`.
    #[must_use]
    pub fn binary(&self, name: &str) -> PathBuf {
        self.binaries.join(name)
    }

    /// Path of the file `name` of the run.
    #[must_use]
    pub fn file(&self, name: &str) -> PathBuf {
        self.work.join(name)
    }
}

/// A running stand-in.
#[derive(Debug)]
pub struct Standin {
    /// The stand-in's process.
    pub process: Process,
    address: SocketAddr,
    http: Http,
}

impl Standin {
    /// Starts the binary `standin-{kind}` and waits until it serves.
    ///
    /// # Errors
    /// When the process does not start.
    pub async fn start(
        dirs: &Dirs,
        kind: &str,
        name: &str,
        args: &[String],
    ) -> anyhow::Result<Self> {
        Self::start_at(dirs, kind, name, port::any(), args).await
    }

    /// Like [`Standin::start`], at a given address.
    ///
    /// # Errors
    /// When the process does not start.
    pub async fn start_at(
        dirs: &Dirs,
        kind: &str,
        name: &str,
        address: SocketAddr,
        args: &[String],
    ) -> anyhow::Result<Self> {
        let binary = dirs.binary(&format!("standin-{kind}"));
        let mut words = vec!["--listen".to_owned(), address.to_string()];
        words.extend_from_slice(args);
        let output = dirs.file(&format!("{name}.out"));
        let mut process = Process::spawn(name, &binary, &words, &output)?;
        let address = until(name, async || printed_address(&mut process)).await?;
        let address = address.with_context(|| format!("{name} exited: {}", process.printed()))?;
        Ok(Self {
            process,
            address,
            http: Http::new(),
        })
    }

    /// Address that the stand-in listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault switches that the JSON object names.
    ///
    /// # Errors
    /// When the stand-in refuses, or does not answer.
    pub async fn set(&self, switches: Value) -> anyhow::Result<()> {
        self.send(Method::PUT, "/_standin/fault", switches)
            .await
            .map(drop)
    }

    /// Sends a JSON body and returns the JSON response.
    ///
    /// # Errors
    /// When the stand-in refuses, or does not answer.
    pub async fn send(&self, method: Method, path: &str, body: Value) -> anyhow::Result<Value> {
        let reply = self.http.send(method, self.address, path, &body).await?;
        let name = self.process.name();
        anyhow::ensure!(reply.status.is_success(), "{name}: {}", reply.json());
        Ok(reply.json())
    }

    /// Returns the JSON response to a GET of `path`.
    ///
    /// # Errors
    /// When the stand-in does not answer.
    pub async fn get(&self, path: &str) -> anyhow::Result<Value> {
        Ok(self.http.get(self.address, path).await?.json())
    }

    /// Fetches the runs of an engine or a service, one entry per request key.
    ///
    /// # Errors
    /// When the stand-in does not answer.
    pub async fn runs(&self) -> anyhow::Result<Vec<Run>> {
        let runs = self.get("/_standin/runs").await?;
        serde_json::from_value(runs).context("the response is not a list of runs")
    }
}

/// Returns the printed address, or `Some(None)` if the process exited without printing it.
fn printed_address(process: &mut Process) -> Option<Option<SocketAddr>> {
    for line in process.printed().lines() {
        if let Some(address) = line.strip_prefix(LISTENING) {
            // A partially written line does not parse.
            return address.parse().ok().map(Some);
        }
    }
    process.ended().map(|_status| None)
}

/// Returns the directory of the binary at `path`.
///
/// # Panics
/// When the path has no parent.
#[must_use]
pub fn dir_of(path: &str) -> PathBuf {
    let dir = Path::new(path).parent();
    dir.expect("the path of a binary has a parent").to_owned()
}
