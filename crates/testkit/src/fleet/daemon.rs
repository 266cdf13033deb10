//! A swiftlink daemon with its settings file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use anyhow::Context as _;
use serde_json::Value;

use super::standin::Dirs;
use crate::http::Http;
use crate::process::Process;
use crate::until::{PATIENCE, until_within};

/// Which daemon a process is.
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

/// A daemon that runs, or has run and can be started again.
#[derive(Debug)]
pub struct Daemon {
    /// Its process.
    pub process: Process,
    role: Role,
    name: String,
    address: SocketAddr,
    admin: SocketAddr,
    dirs: Dirs,
    http: Http,
}

impl Daemon {
    /// Writes the settings and starts the daemon. It may not serve yet.
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
        let text = toml::to_string(settings).context("the settings have no TOML form")?;
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

    /// Name in the fleet, such as `router-0`.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it listens for its users.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its admin address.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Its settings file.
    #[must_use]
    pub fn settings(&self) -> PathBuf {
        settings_file(&self.dirs, &self.name)
    }

    /// Its status, when it answers.
    pub async fn status(&self) -> Option<Value> {
        self.admin_json("/status").await
    }

    /// Its dump, when it answers.
    pub async fn dump(&self) -> Option<Value> {
        self.admin_json("/dump").await
    }

    /// Waits until it gives a status and, as a router, has joined all budget streams.
    ///
    /// # Errors
    /// When it ends before, or is not ready in time.
    pub async fn ready(&mut self) -> anyhow::Result<()> {
        let start = std::time::Instant::now();
        while start.elapsed() < PATIENCE {
            if let Some(status) = self.process.ended() {
                anyhow::bail!(
                    "{} ended with {status}: {}",
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
    /// When it does not in time.
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

    /// SIGTERM, and waits for the end.
    pub async fn stop(&mut self, limit: Duration) -> Option<ExitStatus> {
        self.process.terminate();
        self.process.wait(limit).await
    }

    /// Starts the daemon again with its settings, after its end.
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

/// Version of the configuration that a process has in force, by its status.
#[must_use]
pub fn version_of(status: &Value) -> u64 {
    let version = status.get("config_version").or(status.get("version"));
    version.and_then(Value::as_u64).unwrap_or(0)
}

/// The two addresses that every daemon binds.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For its users.
    pub listen: SocketAddr,
    /// For the admin endpoint.
    pub admin: SocketAddr,
}

impl Addresses {
    /// Two reserved addresses.
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
