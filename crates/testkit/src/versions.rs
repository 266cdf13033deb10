//! Watches the configuration in force on many processes at once.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::fleet::{Daemon, version_of};
use crate::http::Http;
use crate::until::until_within;

/// Between two looks at one process.
const LOOK: Duration = Duration::from_millis(20);

/// What is known of one process since its last start.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    start: u64,
    version: u64,
}

#[derive(Debug, Default)]
struct Shared {
    known: Mutex<BTreeMap<String, Known>>,
    back: Mutex<Vec<String>>,
}

/// Looks at the status of all processes until it is dropped.
#[derive(Debug)]
pub struct Versions {
    shared: Arc<Shared>,
    _looks: JoinSet<()>,
}

impl Versions {
    /// Starts to look at `daemons`.
    #[must_use]
    pub fn watch<'a>(daemons: impl IntoIterator<Item = &'a Daemon>) -> Self {
        let shared = Arc::<Shared>::default();
        let mut looks = JoinSet::new();
        for daemon in daemons {
            let name = daemon.name().to_owned();
            shared.known().insert(name.clone(), Known::default());
            let (shared, admin) = (Arc::clone(&shared), daemon.admin());
            looks.spawn(async move {
                loop {
                    shared.look(&name, admin).await;
                    tokio::time::sleep(LOOK).await;
                }
            });
        }
        Self {
            shared,
            _looks: looks,
        }
    }

    /// Kills the process and starts it again with nothing kept.
    ///
    /// # Errors
    /// When it can't be started.
    pub fn replace(&self, daemon: &mut Daemon) -> anyhow::Result<()> {
        daemon.process.kill();
        let mut known = self.shared.known();
        let known = known.entry(daemon.name().to_owned()).or_default();
        // A look that began before does not count for the new process.
        known.start += 1;
        known.version = 0;
        daemon.restart()
    }

    /// Waits until all processes that `chosen` names have `version` in force; gives
    /// the time since `since` and the last process.
    ///
    /// # Errors
    /// When one has not in time.
    pub async fn reach(
        &self,
        version: u64,
        since: Instant,
        chosen: impl Fn(&str) -> bool,
    ) -> anyhow::Result<(Duration, String)> {
        let mut last = "each process".to_owned();
        let what = format!("version {version} everywhere");
        let reached = until_within(crate::until::PATIENCE, &what, async || {
            let known = self.shared.known();
            let mut behind = known
                .iter()
                .filter(|(name, known)| chosen(name) && known.version < version);
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

    /// The version that the process showed last.
    #[must_use]
    pub fn of(&self, name: &str) -> u64 {
        let known = self.shared.known();
        known.get(name).map_or(0, |known| known.version)
    }

    /// Every time that a process went back, in words.
    ///
    /// # Panics
    /// When a look panicked.
    #[must_use]
    pub fn went_back(&self) -> Vec<String> {
        self.shared.back.lock().expect("no holder panics").clone()
    }
}

impl Shared {
    fn known(&self) -> MutexGuard<'_, BTreeMap<String, Known>> {
        self.known.lock().expect("no holder panics")
    }

    async fn look(&self, name: &str, admin: std::net::SocketAddr) {
        let start = self.known().get(name).map_or(0, |known| known.start);
        let Ok(reply) = Http::new().get(admin, "/status").await else {
            return;
        };
        if !reply.status.is_success() {
            return;
        }
        let version = version_of(&reply.json());
        let mut known = self.known();
        let known = known.entry(name.to_owned()).or_default();
        if known.start != start {
            return;
        }
        if version < known.version {
            let line = format!("{name}: from {} to {version}", known.version);
            self.back.lock().expect("no holder panics").push(line);
        }
        known.version = version;
    }
}
