//! A daemon process with its settings file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use anyhow::Context as _;
use serde_json::Value;

use super::standin::Dirs;
use crate::http::Http;
use crate::process::Process;
use crate::until::{WAIT_TIMEOUT, until_within};

/// Kind of a daemon.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    /// `swiftlink-router`
    Router,
    /// `swiftlink-ledger`
    Ledger,
    /// `swiftlink-operator`
    Operator,
}

impl Role {
    /// Name of the role; the binary is named after it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Router => "router",
            Self::Ledger => "ledger",
            Self::Operator => "operator",
        }
    }
}

/// A daemon that is running, or has stopped and can be restarted.
#[derive(Debug)]
pub struct Daemon {
    /// The daemon's process.
    pub process: Process,
    role: Role,
    name: String,
    address: SocketAddr,
    admin: SocketAddr,
    dirs: Dirs,
    http: Http,
}

impl Daemon {
    /// Writes the settings and starts the daemon, without waiting until it is ready.
    ///
    /// # Errors
    /// When the file can't be written or the binary can't be started.
    pub fn start(
        dirs: &Dirs,
        role: Role,
        name: &str,
        addresses: Addresses,
        settings: &toml::Table,
    ) -> anyhow::Result<Self> {
        let file = settings_file(dirs, name);
        let text = toml::to_string(settings).context("the settings can't be written as TOML")?;
        std::fs::write(&file, text).with_context(|| format!("can't write {}", file.display()))?;
        Ok(Self {
            process: spawn(dirs, role, name)?,
            role,
            name: name.to_owned(),
            address: addresses.listen,
            admin: addresses.admin,
            dirs: dirs.clone(),
            http: Http::new(),
        })
    }

    /// Name of the daemon in the fleet, such as `router-0`.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Address that the daemon serves its clients on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address of the admin endpoint.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Path of the settings file.
    #[must_use]
    pub fn settings(&self) -> PathBuf {
        settings_file(&self.dirs, &self.name)
    }

    /// Fetches the status; `None` when the daemon does not answer.
    pub async fn status(&self) -> Option<Value> {
        self.admin_json("/status").await
    }

    /// Fetches the state dump; `None` when the daemon does not answer.
    pub async fn dump(&self) -> Option<Value> {
        self.admin_json("/dump").await
    }

    /// Waits until the daemon serves its status and, as a router, has joined all budget
    /// streams.
    ///
    /// # Errors
    /// When the process exits, or is not ready in time.
    pub async fn ready(&mut self) -> anyhow::Result<()> {
        let start = std::time::Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            if let Some(status) = self.process.ended() {
                anyhow::bail!(
                    "{} exited with {status}: {}",
                    self.name,
                    self.process.printed()
                );
            }
            if let Some(status) = self.status().await
                && status["joined"] == status["shards"]
            {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let status = self.status().await;
        anyhow::bail!("{} is not ready: {status:?}", self.name)
    }

    /// Waits until the status satisfies `holds`.
    ///
    /// # Errors
    /// When the time is up.
    pub async fn status_until(
        &self,
        limit: Duration,
        what: &str,
        holds: impl Fn(&Value) -> bool,
    ) -> anyhow::Result<Value> {
        let what = format!("{} of {}", what, self.name);
        until_within(limit, &what, async || {
            self.status().await.filter(|status| holds(status))
        })
        .await
    }

    /// Sends SIGTERM and waits up to `limit` for the exit.
    pub async fn stop(&mut self, limit: Duration) -> Option<ExitStatus> {
        self.process.terminate();
        self.process.wait(limit).await
    }

    /// Kills the daemon if it still runs, and starts it again with the same settings.
    ///
    /// # Errors
    /// When the binary can't be started.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        self.process.kill();
        self.process = spawn(&self.dirs, self.role, &self.name)?;
        Ok(())
    }

    async fn admin_json(&self, path: &str) -> Option<Value> {
        let reply = self.http.get(self.admin, path).await.ok()?;
        reply.status.is_success().then(|| reply.json())
    }
}

/// Returns the version of the active configuration from a process's status.
#[must_use]
pub fn version_of(status: &Value) -> u64 {
    let version = status.get("config_version").or(status.get("version"));
    version.and_then(Value::as_u64).unwrap_or(0)
}

/// The two addresses that every daemon binds.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address of the admin endpoint.
    pub admin: SocketAddr,
}

impl Addresses {
    /// Reserves both addresses.
    #[must_use]
    pub fn reserve() -> Self {
        Self {
            listen: crate::port::reserve(),
            admin: crate::port::reserve(),
        }
    }
}

fn settings_file(dirs: &Dirs, name: &str) -> PathBuf {
    dirs.file(&format!("{name}.toml"))
}

fn spawn(dirs: &Dirs, role: Role, name: &str) -> anyhow::Result<Process> {
    let binary = dirs.binary(&format!("swiftlink-{}", role.name()));
    let settings = settings_file(dirs, name);
    let args = ["--settings".to_owned(), settings.display().to_string()];
    let output = dirs.file(&format!("{name}.out"));
    Process::spawn(name, &binary, &args, &output)
}
