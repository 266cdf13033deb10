//! Start and shutdown of the daemon.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use serde_json::{Value, json};
use swiftlink_log::{HttpLog, Log};
use swiftlink_shell::web::{Limits, WebServer};
use swiftlink_shell::{Admin, Dump, Shell};
use swiftlink_telemetry::{Metrics, event};
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::applier::Applier;
use crate::fleet::Fleet;
use crate::follower::Follower;
use crate::ledgers::Ledgers;
use crate::settings::OperatorSettings;
use crate::shared_state::SharedState;
use crate::web::Interface;

/// Timeout of one call to the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a shutdown waits for requests in flight beyond the timeouts of an apply.
const SHUTDOWN_MARGIN: Duration = Duration::from_secs(1);
/// Maximum number of connections to the resource interface.
const MAX_CONNECTIONS: usize = 256;

/// External dependencies of the daemon, which tests can replace.
pub struct Dependencies {
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// Bound listener of the resource interface.
    pub listen: TcpListener,
    /// Bound listener of the admin endpoint.
    pub admin: TcpListener,
    /// Sink of the daemon's metrics.
    pub metrics: Metrics,
}

impl std::fmt::Debug for Dependencies {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Dependencies")
            .field("listen", &self.listen)
            .field("admin", &self.admin)
            .finish_non_exhaustive()
    }
}

impl Dependencies {
    /// Opens the log and binds the addresses in the settings.
    ///
    /// # Errors
    /// Fails if an address can't be bound.
    pub fn open(settings: &OperatorSettings, metrics: Metrics) -> anyhow::Result<Self> {
        let name = format!("swiftlink-operator/{}", settings.common.vm);
        Ok(Self {
            log: Arc::new(HttpLog::open(settings.log, &name, LOG_TIMEOUT)),
            listen: bind("listen", settings.listen)?,
            admin: bind("admin", settings.common.admin)?,
            metrics,
        })
    }
}

fn bind(key: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("can't bind {key} {address}"))
}

/// A running operator daemon.
pub struct Operator {
    web: WebServer,
    admin: Admin,
    state: Arc<SharedState>,
    ledgers: Arc<Ledgers>,
    follower: JoinHandle<()>,
    stop: CancellationToken,
    tracker: TaskTracker,
    grace: Duration,
}

impl std::fmt::Debug for Operator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Operator")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

impl Operator {
    /// Runs the daemon until the shell is stopped; the body of its `main`.
    ///
    /// # Errors
    /// Fails if an address can't be bound or a thread can't be started.
    pub async fn run(settings: OperatorSettings, shell: Shell) -> anyhow::Result<()> {
        let dependencies = Dependencies::open(&settings, shell.metrics.clone())?;
        let operator = Self::spawn(settings, dependencies)?;
        shell.stopped().await;
        operator.stop().await;
        Ok(())
    }

    /// Starts the daemon. Must be called within a multi-threaded tokio runtime.
    ///
    /// # Errors
    /// Fails if the threads of the servers can't be started.
    pub fn spawn(settings: OperatorSettings, dependencies: Dependencies) -> anyhow::Result<Self> {
        let state = Arc::new(SharedState::new(settings.history));
        let ledgers = Arc::new(Ledgers::open(
            &settings.ledgers,
            &settings.common.domain,
            &format!("operator/{}", settings.common.vm),
            settings.common.secret.expose(),
        ));
        let stop = CancellationToken::new();
        let tracker = TaskTracker::new();
        let interface = interface(&settings, &dependencies, &state, &ledgers, &tracker);
        let limits = Limits {
            connections: MAX_CONNECTIONS,
            ..Limits::default()
        };
        let web = WebServer::bind(dependencies.listen, limits, Arc::new(interface))?;
        let dump = AdminState {
            state: Arc::clone(&state),
            ledgers: Arc::clone(&ledgers),
            settings: settings.clone(),
        };
        let admin = Admin::listen(dependencies.admin, Arc::new(dump))?;
        let follower = Follower::new(dependencies.log, Arc::clone(&ledgers), Arc::clone(&state));
        let follower = tokio::spawn(follower.run(stop.clone()));
        event!(
            info,
            "operator.listening",
            address = web.address(),
            admin = admin.address()
        );
        Ok(Self {
            web,
            admin,
            state,
            ledgers,
            follower,
            stop,
            tracker,
            grace: settings.apply_timeout() + settings.topup_timeout() + SHUTDOWN_MARGIN,
        })
    }

    /// Returns the address of the resource interface.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.web.address()
    }

    /// Returns the address of the admin endpoint.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Stops the daemon: ends watches, completes applies in flight and joins all tasks.
    pub async fn stop(self) {
        self.state.shutdown().cancel();
        self.web.stop(self.grace).await;
        self.tracker.close();
        self.tracker.wait().await;
        self.stop.cancel();
        if let Err(error) = self.follower.await {
            event!(error, "follower.failed", error = error);
        }
        self.ledgers.stop().await;
        self.admin.stop().await;
    }
}

fn interface(
    settings: &OperatorSettings,
    dependencies: &Dependencies,
    state: &Arc<SharedState>,
    ledgers: &Arc<Ledgers>,
    tracker: &TaskTracker,
) -> Interface {
    let applier = Applier {
        log: Arc::clone(&dependencies.log),
        state: Arc::clone(state),
        ledgers: Arc::clone(ledgers),
        metrics: dependencies.metrics.clone(),
        decision_timeout: settings.apply_timeout(),
        topup_timeout: settings.topup_timeout(),
    };
    Interface {
        token: Interface::token(settings.token.expose()),
        state: Arc::clone(state),
        applier: Arc::new(applier),
        ledgers: Arc::clone(ledgers),
        fleet: Arc::new(Fleet::new(
            settings.processes.clone(),
            settings.probe_timeout(),
        )),
        heartbeat: settings.heartbeat(),
        metrics: dependencies.metrics.clone(),
        handle: Handle::current(),
        tracker: tracker.clone(),
    }
}

/// State shown by the admin endpoint.
struct AdminState {
    state: Arc<SharedState>,
    ledgers: Arc<Ledgers>,
    settings: OperatorSettings,
}

impl Dump for AdminState {
    fn dump(&self) -> Value {
        let (events, oldest) = self.state.history();
        let ledgers: Vec<_> = self
            .ledgers
            .link_states()
            .map(|(name, up)| json!({ "name": name, "up": up }))
            .collect();
        json!({
            "status": self.status(),
            "events": events,
            "oldest_watch": oldest,
            "resources": self.state.config().map(|config| config.count()),
            "ledgers": ledgers,
            "settings": self.settings,
        })
    }

    fn status(&self) -> Value {
        json!({
            "role": "operator",
            "vm": self.settings.common.vm,
            "domain": self.settings.common.domain,
            "config_version": self.state.version(),
            "log_offset": self.state.next_offset(),
            "log_age_ms": self.state.age_ms(),
        })
    }
}
