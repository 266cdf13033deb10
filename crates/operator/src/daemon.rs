//! The running daemon.

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
use crate::board::Board;
use crate::fleet::Fleet;
use crate::follower::Follower;
use crate::ledgers::Ledgers;
use crate::settings::OperatorSettings;
use crate::web::Interface;

/// Time limit of one call of the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);
/// Time beyond an apply's own limits that a stop waits for requests in flight.
const STOP_MARGIN: Duration = Duration::from_secs(1);
/// Most connections of the resource interface.
const CONNECTIONS: usize = 256;

/// What an operator daemon is made of, so that tests can put in their own.
pub struct Parts {
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// Bound listener of the resource interface.
    pub listen: TcpListener,
    /// Bound listener of the admin endpoint.
    pub admin: TcpListener,
    /// Metrics.
    pub metrics: Metrics,
}

impl std::fmt::Debug for Parts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Parts")
            .field("listen", &self.listen)
            .field("admin", &self.admin)
            .finish_non_exhaustive()
    }
}

impl Parts {
    /// Opens the log and binds the addresses that the settings name.
    ///
    /// # Errors
    /// When an address can't be bound.
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
    board: Arc<Board>,
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
    /// Runs the daemon until the shell is told to stop; the body of its `main`.
    ///
    /// # Errors
    /// When an address can't be bound or a thread can't be started.
    pub async fn run(settings: OperatorSettings, shell: Shell) -> anyhow::Result<()> {
        let parts = Parts::open(&settings, shell.metrics.clone())?;
        let operator = Self::spawn(settings, parts)?;
        shell.stopped().await;
        operator.stop().await;
        Ok(())
    }

    /// Starts the daemon. Must be called inside a multi-threaded tokio runtime.
    ///
    /// # Errors
    /// When the servers' threads can't be started.
    pub fn spawn(settings: OperatorSettings, parts: Parts) -> anyhow::Result<Self> {
        let board = Arc::new(Board::new(settings.history));
        let ledgers = Arc::new(Ledgers::open(
            &settings.ledgers,
            &settings.common.domain,
            &format!("operator/{}", settings.common.vm),
            settings.common.secret.expose(),
        ));
        let stop = CancellationToken::new();
        let tracker = TaskTracker::new();
        let interface = interface(&settings, &parts, &board, &ledgers, &tracker);
        let limits = Limits {
            connections: CONNECTIONS,
            ..Limits::default()
        };
        let web = WebServer::bind(parts.listen, limits, Arc::new(interface))?;
        let dump = State {
            board: Arc::clone(&board),
            ledgers: Arc::clone(&ledgers),
            settings: settings.clone(),
        };
        let admin = Admin::listen(parts.admin, Arc::new(dump))?;
        let follower = Follower::new(parts.log, Arc::clone(&ledgers), Arc::clone(&board));
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
            board,
            ledgers,
            follower,
            stop,
            tracker,
            grace: settings.apply_limit() + settings.topup_limit() + STOP_MARGIN,
        })
    }

    /// Address of the resource interface.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.web.address()
    }

    /// Address of the admin endpoint.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Ends watches, lets applies in flight come to their answer, and joins all tasks.
    pub async fn stop(self) {
        self.board.closing().cancel();
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
    parts: &Parts,
    board: &Arc<Board>,
    ledgers: &Arc<Ledgers>,
    tracker: &TaskTracker,
) -> Interface {
    let applier = Applier {
        log: Arc::clone(&parts.log),
        board: Arc::clone(board),
        ledgers: Arc::clone(ledgers),
        metrics: parts.metrics.clone(),
        limit: settings.apply_limit(),
        topup: settings.topup_limit(),
    };
    Interface {
        token: Interface::token(settings.token.expose()),
        board: Arc::clone(board),
        applier: Arc::new(applier),
        ledgers: Arc::clone(ledgers),
        fleet: Arc::new(Fleet::new(
            settings.processes.clone(),
            settings.probe_limit(),
        )),
        heartbeat: settings.heartbeat(),
        metrics: parts.metrics.clone(),
        handle: Handle::current(),
        tracker: tracker.clone(),
    }
}

/// What the admin endpoint shows.
struct State {
    board: Arc<Board>,
    ledgers: Arc<Ledgers>,
    settings: OperatorSettings,
}

impl Dump for State {
    fn dump(&self) -> Value {
        let (events, oldest) = self.board.history();
        let ledgers: Vec<_> = self
            .ledgers
            .states()
            .map(|(name, up)| json!({ "name": name, "up": up }))
            .collect();
        json!({
            "status": self.status(),
            "events": events,
            "oldest_watch": oldest,
            "resources": self.board.config().map(|config| config.count()),
            "ledgers": ledgers,
            "settings": self.settings,
        })
    }

    fn status(&self) -> Value {
        json!({
            "role": "operator",
            "vm": self.settings.common.vm,
            "domain": self.settings.common.domain,
            "config_version": self.board.version(),
            "log_offset": self.board.next(),
            "log_age_ms": self.board.age_ms(),
        })
    }
}
