//! Watches the active configuration versions of many processes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::fleet::{Daemon, version_of};
use crate::http::Http;
use crate::until::until_within;

/// Interval between two polls of one process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Observed state of one process since its last start.
#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    starts: u64,
    version: u64,
}

#[derive(Debug, Default)]
struct Shared {
    observed: Mutex<BTreeMap<String, Observed>>,
    regressions: Mutex<Vec<String>>,
}

/// Polls the status of all processes until it is dropped.
#[derive(Debug)]
pub struct Versions {
    shared: Arc<Shared>,
    _polls: JoinSet<()>,
}

impl Versions {
    /// Starts polling `daemons`.
    #[must_use]
    pub fn watch<'a>(daemons: impl IntoIterator<Item = &'a Daemon>) -> Self {
        let shared = Arc::<Shared>::default();
        let mut polls = JoinSet::new();
        for daemon in daemons {
            let name = daemon.name().to_owned();
            shared.observed().insert(name.clone(), Observed::default());
            let (shared, admin) = (Arc::clone(&shared), daemon.admin());
            polls.spawn(async move {
                loop {
                    shared.poll(&name, admin).await;
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            });
        }
        Self {
            shared,
            _polls: polls,
        }
    }

    /// Kills the process, forgets its version, and starts it again.
    ///
    /// # Errors
    /// When it can't be started.
    pub fn replace(&self, daemon: &mut Daemon) -> anyhow::Result<()> {
        daemon.process.kill();
        let mut observed = self.shared.observed();
        let observed = observed.entry(daemon.name().to_owned()).or_default();
        // A poll that began earlier must not count for the new process.
        observed.starts += 1;
        observed.version = 0;
        daemon.restart()
    }

    /// Waits until all processes that `selects` accepts have applied `version`. Returns the
    /// time since `since` and the last process.
    ///
    /// # Errors
    /// When a process has not applied it in time.
    pub async fn reach(
        &self,
        version: u64,
        since: Instant,
        selects: impl Fn(&str) -> bool,
    ) -> anyhow::Result<(Duration, String)> {
        let mut last = "each process".to_owned();
        let what = format!("version {version} everywhere");
        let reached = until_within(crate::until::WAIT_TIMEOUT, &what, async || {
            let observed = self.shared.observed();
            let mut behind = observed
                .iter()
                .filter(|(name, observed)| selects(name) && observed.version < version);
            if let Some((name, _known)) = behind.next() {
                last.clone_from(name);
                return None;
            }
            Some(since.elapsed())
        });
        let reached = reached.await;
        let time = reached.map_err(|error| error.context(format!("{last} is behind")))?;
        Ok((time, last))
    }

    /// Version that the process reported last.
    #[must_use]
    pub fn of(&self, name: &str) -> u64 {
        let observed = self.shared.observed();
        observed.get(name).map_or(0, |observed| observed.version)
    }

    /// Descriptions of all cases in which a process went back to an older version.
    ///
    /// # Panics
    /// When a poll panicked.
    #[must_use]
    pub fn regressions(&self) -> Vec<String> {
        self.shared
            .regressions
            .lock()
            .expect("no holder panics")
            .clone()
    }
}

impl Shared {
    fn observed(&self) -> MutexGuard<'_, BTreeMap<String, Observed>> {
        self.observed.lock().expect("no holder panics")
    }

    async fn poll(&self, name: &str, admin: std::net::SocketAddr) {
        let starts = self
            .observed()
            .get(name)
            .map_or(0, |observed| observed.starts);
        let Ok(reply) = Http::new().get(admin, "/status").await else {
            return;
        };
        if !reply.status.is_success() {
            return;
        }
        let version = version_of(&reply.json());
        let mut observed = self.observed();
        let observed = observed.entry(name.to_owned()).or_default();
        if observed.starts != starts {
            return;
        }
        if version < observed.version {
            let line = format!("{name}: from {} to {version}", observed.version);
            self.regressions
                .lock()
                .expect("no holder panics")
                .push(line);
        }
        observed.version = version;
    }
}
