//! Start-up and shutdown of the ledger: opens the streams, spawns the tasks and joins them.

use std::fmt;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use swiftlink_budget::{CONFIG_STREAM, stream_of};
use swiftlink_link::{Handler, Secret, Server};
use swiftlink_log::{Fold, HttpLog, Log};
use swiftlink_shell::{About, Admin, Dump, Shell};
use swiftlink_telemetry::{Metrics, event};
use swiftlink_types::{MICROS_PER_MS, Micros, StreamName, wall_ms};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::appender::{AppendCounters, Appender, Outbox, Writer};
use crate::clock::Clock;
use crate::follower::Follower;
use crate::gauges::Gauges;
use crate::handover::hand_over;
use crate::join_filter::JoinFilter;
use crate::log_health::LogHealth;
use crate::peers::{NAME_PREFIX, Peers};
use crate::quarantine::Quarantine;
use crate::rate_limiter::RateLimiter;
use crate::reconcile::Reconciler;
use crate::service::Service;
use crate::settings::LedgerSettings;
use crate::shards::{Shard, Shards};
use crate::snapshots::{ChunkEncoder, SnapshotWriter, budget_record, config_record};
use crate::status::Status;
use crate::stream::{NoSink, Stream};
use crate::vm_list::{Poller, SharedVmTracker};

/// Name, version and description on the command line.
pub const ABOUT: About = About {
    name: "swiftlink-ledger",
    version: env!("CARGO_PKG_VERSION"),
    about: "Appends records to the platform's log in groups, folds the log and keeps charges.",
};

/// Runs the daemon until the shell requests a stop.
///
/// # Errors
/// When an address can't be bound.
pub async fn run(settings: LedgerSettings, shell: Shell) -> anyhow::Result<()> {
    let name = process_name(&settings);
    let timeout = Duration::from_millis(settings.log_timeout_ms);
    let log = Arc::new(HttpLog::open(settings.log, &name, timeout));
    let listener = TcpListener::bind(settings.listen)
        .with_context(|| format!("cannot listen on {}", settings.listen))?;
    let admin = settings.common.admin;
    let ledger = Ledger::spawn(settings, log, listener, shell.metrics.clone())?;
    let admin =
        Admin::bind(admin, ledger.dump()).with_context(|| format!("cannot listen on {admin}"))?;
    shell.stopped().await;
    ledger.stop().await;
    admin.stop().await;
    Ok(())
}

/// A running ledger, which serves links and follows the log.
pub struct Ledger {
    core: Core,
    service: Arc<Service>,
    server: Server,
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

/// State that all tasks share.
struct Core {
    name: Arc<str>,
    settings: LedgerSettings,
    clock: Clock,
    log: Arc<dyn Log>,
    log_health: Arc<LogHealth>,
    peers: Arc<Peers>,
    vms: Arc<SharedVmTracker>,
    config: Arc<Stream<swiftlink_resource::Fold>>,
    shards: Arc<Shards>,
    metrics: Metrics,
}

impl Ledger {
    /// Starts a ledger on `log` that serves links on `listener`. Must be called inside a
    /// tokio runtime.
    ///
    /// # Errors
    /// When the listener can't be used.
    pub fn spawn(
        settings: LedgerSettings,
        log: Arc<dyn Log>,
        listener: TcpListener,
        metrics: Metrics,
    ) -> anyhow::Result<Self> {
        let core = Core::open(settings, log, metrics);
        let service = Arc::new(core.service());
        let handler: Arc<dyn Handler> = Arc::<Service>::clone(&service);
        let server = Server::bind(listener, &core.name, core.secret(), handler)
            .context("cannot serve links")?;
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        core.spawn(&mut tasks, &stop);
        event!(
            info,
            "ledger.started",
            process = core.name,
            shards = core.shards.count()
        );
        Ok(Self {
            core,
            service,
            server,
            tasks,
            stop,
        })
    }

    /// State for the admin endpoint.
    #[must_use]
    pub fn dump(&self) -> Arc<dyn Dump> {
        Arc::new(self.core.status())
    }

    /// The budget streams, for status and tests.
    #[must_use]
    pub fn shards(&self) -> &Arc<Shards> {
        &self.core.shards
    }

    /// The configuration stream, for status and tests.
    #[must_use]
    pub fn config(&self) -> &Arc<Stream<swiftlink_resource::Fold>> {
        &self.core.config
    }

    /// Stops the ledger: accepts no new records, waits for the accepted ones, hands over
    /// charges that don't reach the log in time, and joins all tasks.
    pub async fn stop(mut self) {
        self.service.close();
        let limit = Duration::from_millis(self.core.settings.stop_ms);
        let flushed = tokio::time::timeout(limit / 2, self.core.wait_flushed()).await;
        if flushed.is_err() {
            self.core.hand_over(limit / 2).await;
        }
        self.server.stop().await;
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        self.core.peers.stop().await;
        event!(info, "ledger.stopped", process = self.core.name);
    }
}

impl fmt::Debug for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut out = f.debug_struct("Ledger");
        out.field("name", &self.core.name);
        out.finish_non_exhaustive()
    }
}

impl Core {
    fn open(settings: LedgerSettings, log: Arc<dyn Log>, metrics: Metrics) -> Self {
        let clock = Clock::start();
        let name = process_name(&settings);
        let writer = Writer {
            name: Arc::clone(&name),
            epoch: wall_ms() * MICROS_PER_MS,
        };
        let mut list = Vec::new();
        for shard in 0..settings.shards {
            list.push(open_shard(shard, &settings, clock, &writer, &metrics));
        }
        let config = StreamName::from(CONFIG_STREAM);
        let config = Stream::new(config, clock, settings.tail_bytes, Arc::new(NoSink));
        let secret = Secret::new(settings.common.secret.expose());
        Self {
            peers: Arc::new(Peers::open(&settings.peers, &name, &secret)),
            vms: SharedVmTracker::new(settings.vm_reads),
            log_health: Arc::new(LogHealth::new(clock)),
            config: Arc::new(config),
            shards: Arc::new(Shards::new(list)),
            name,
            settings,
            clock,
            log,
            metrics,
        }
    }

    fn secret(&self) -> Secret {
        Secret::new(self.settings.common.secret.expose())
    }

    fn service(&self) -> Service {
        Service::new(
            Arc::clone(&self.name),
            Arc::from(self.settings.common.domain.as_str()),
            Arc::clone(&self.config),
            Arc::clone(&self.shards),
            Arc::clone(&self.log_health),
            JoinFilter::new(self.metrics.clone()),
        )
    }

    fn status(&self) -> Status {
        Status {
            name: Arc::clone(&self.name),
            settings: self.settings.clone(),
            config: Arc::clone(&self.config),
            shards: Arc::clone(&self.shards),
            peers: Arc::clone(&self.peers),
            vms: Arc::clone(&self.vms),
            log_health: Arc::clone(&self.log_health),
        }
    }

    fn spawn(&self, tasks: &mut JoinSet<()>, stop: &CancellationToken) {
        let rate = (self.settings.append_rate, self.settings.append_burst);
        let rate_limiter = Arc::new(RateLimiter::new(rate.0, rate.1));
        tasks.spawn(self.follower(&self.config).run(stop.clone()));
        tasks.spawn(
            self.snapshots(&self.config, config_record)
                .run(stop.clone()),
        );
        for shard in self.shards.iter() {
            tasks.spawn(self.follower(&shard.stream).run(stop.clone()));
            tasks.spawn(
                self.snapshots(&shard.stream, budget_record)
                    .run(stop.clone()),
            );
            tasks.spawn(self.appender(shard, &rate_limiter).run(stop.clone()));
        }
        tasks.spawn(self.reconciler().run(stop.clone()));
        tasks.spawn(self.quarantine().run(stop.clone()));
        tasks.spawn(self.gauges().run(stop.clone()));
        if let Some(address) = self.settings.vms {
            let poller = Poller::new(address, Arc::clone(&self.name), Arc::clone(&self.vms));
            tasks.spawn(poller.run(stop.clone()));
        }
    }

    fn follower<F: Fold>(&self, stream: &Arc<Stream<F>>) -> Follower<F> {
        Follower {
            stream: Arc::clone(stream),
            log: Arc::clone(&self.log),
            log_health: Arc::clone(&self.log_health),
            peers: Arc::clone(&self.peers),
            max_wait: Duration::from_millis(self.settings.poll_ms),
            clock: self.clock,
        }
    }

    fn snapshots<F: Fold>(
        &self,
        stream: &Arc<Stream<F>>,
        encode_chunk: ChunkEncoder,
    ) -> SnapshotWriter<F> {
        SnapshotWriter {
            stream: Arc::clone(stream),
            log: Arc::clone(&self.log),
            log_health: Arc::clone(&self.log_health),
            clock: self.clock,
            interval: self.settings.snapshot_every,
            max_age: self.settings.snapshot_secs * MICROS_PER_SEC,
            encode_chunk,
        }
    }

    fn appender(&self, shard: &Shard, rate_limiter: &Arc<RateLimiter>) -> Appender {
        Appender {
            stream: Arc::clone(&shard.stream),
            outbox: Arc::clone(&shard.outbox),
            log: Arc::clone(&self.log),
            log_health: Arc::clone(&self.log_health),
            rate_limiter: Arc::clone(rate_limiter),
            min_interval: self.settings.batch_ms * MICROS_PER_MS,
            appends: Arc::clone(&shard.appends),
            clock: self.clock,
            metrics: self.metrics.clone(),
        }
    }

    fn reconciler(&self) -> Reconciler {
        Reconciler {
            config: Arc::clone(&self.config),
            shards: Arc::clone(&self.shards),
            log_health: Arc::clone(&self.log_health),
            clock: self.clock,
        }
    }

    fn quarantine(&self) -> Quarantine {
        Quarantine {
            name: Arc::clone(&self.name),
            config: Arc::clone(&self.config),
            shards: Arc::clone(&self.shards),
            peers: Arc::clone(&self.peers),
            vms: Arc::clone(&self.vms),
            log_health: Arc::clone(&self.log_health),
            clock: self.clock,
            metrics: self.metrics.clone(),
        }
    }

    fn gauges(&self) -> Gauges {
        Gauges {
            config: Arc::clone(&self.config),
            shards: Arc::clone(&self.shards),
            log_health: Arc::clone(&self.log_health),
            metrics: self.metrics.clone(),
        }
    }

    async fn wait_flushed(&self) {
        for shard in self.shards.iter() {
            shard.outbox.wait_flushed().await;
        }
    }

    async fn hand_over(&self, limit: Duration) {
        let handed = tokio::time::timeout(limit, hand_over(&self.shards, &self.peers)).await;
        match handed {
            Ok(handed) => {
                event!(
                    warn,
                    "ledger.handover",
                    stored = handed.stored,
                    left = handed.left
                );
            }
            Err(_elapsed) => event!(error, "ledger.handover", error = "not finished in time"),
        }
    }
}

const MICROS_PER_SEC: Micros = 1_000 * MICROS_PER_MS;

/// Name of the process in logs, towards the platform and as the writer of batches.
fn process_name(settings: &LedgerSettings) -> Arc<str> {
    Arc::from(format!("{NAME_PREFIX}{}", settings.common.vm))
}

fn open_shard(
    shard: u32,
    settings: &LedgerSettings,
    clock: Clock,
    writer: &Writer,
    metrics: &Metrics,
) -> Shard {
    let outbox = Outbox::new(writer.clone(), settings.queue_bytes, metrics.clone());
    let sink = Arc::<Outbox>::clone(&outbox);
    let stream = Stream::new(stream_of(shard), clock, settings.tail_bytes, sink);
    Shard {
        stream: Arc::new(stream),
        outbox,
        appends: Arc::new(AppendCounters::default()),
    }
}
