//! A stand-in process and its switches.

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

/// What the stand-ins print before their address.
const LISTENING: &str = "listening=";

/// Where binaries are found and files are put.
#[derive(Clone, Debug)]
pub struct Dirs {
    /// Directory of the binaries.
    pub binaries: PathBuf,
    /// Directory of settings and outputs.
    pub work: PathBuf,
}

impl Dirs {
    /// Path of a binary.
    #[must_use]
    pub fn binary(&self, name: &str) -> PathBuf {
        self.binaries.join(name)
    }

    /// Path of a file of the run.
    #[must_use]
    pub fn file(&self, name: &str) -> PathBuf {
        self.work.join(name)
    }
}

/// A running stand-in.
#[derive(Debug)]
pub struct Standin {
    /// Its process.
    pub process: Process,
    address: SocketAddr,
    http: Http,
}

impl Standin {
    /// Starts the binary `standin-{kind}` and waits until it serves.
    ///
    /// # Errors
    /// When it does not start.
    pub async fn start(
        dirs: &Dirs,
        kind: &str,
        name: &str,
        args: &[String],
    ) -> anyhow::Result<Self> {
        Self::start_at(dirs, kind, name, port::any(), args).await
    }

    /// As [`Standin::start`], at a given address.
    ///
    /// # Errors
    /// When it does not start.
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
        let address = address.with_context(|| format!("{name} ended: {}", process.printed()))?;
        Ok(Self {
            process,
            address,
            http: Http::new(),
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Turns the switches that the JSON object names.
    ///
    /// # Errors
    /// When it refuses, or does not answer.
    pub async fn set(&self, switches: Value) -> anyhow::Result<()> {
        self.send(Method::PUT, "/_standin/fault", switches)
            .await
            .map(drop)
    }

    /// Sends a JSON body and gives the JSON answer.
    ///
    /// # Errors
    /// When it refuses, or does not answer.
    pub async fn send(&self, method: Method, path: &str, body: Value) -> anyhow::Result<Value> {
        let reply = self.http.send(method, self.address, path, &body).await?;
        let name = self.process.name();
        anyhow::ensure!(reply.status.is_success(), "{name}: {}", reply.json());
        Ok(reply.json())
    }

    /// Gives the JSON answer of a path.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn get(&self, path: &str) -> anyhow::Result<Value> {
        Ok(self.http.get(self.address, path).await?.json())
    }

    /// What an engine or a service ran, one entry per request key.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn runs(&self) -> anyhow::Result<Vec<Run>> {
        let runs = self.get("/_standin/runs").await?;
        serde_json::from_value(runs).context("no list of runs")
    }
}

/// The printed address; an end before it shows as an inner `None`.
fn printed_address(process: &mut Process) -> Option<Option<SocketAddr>> {
    for line in process.printed().lines() {
        if let Some(address) = line.strip_prefix(LISTENING) {
            // A line that is still being written does not parse.
            return address.parse().ok().map(Some);
        }
    }
    process.ended().map(|_status| None)
}

/// The directory that holds the binary at `path`.
///
/// # Panics
/// When the path has no parent.
#[must_use]
pub fn dir_of(path: &str) -> PathBuf {
    let dir = Path::new(path).parent();
    dir.expect("a binary lies in a directory").to_owned()
}
