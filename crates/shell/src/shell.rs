//! Runtime context of a daemon: metrics, runtime handle, and stop and reload signals.

use std::sync::Arc;

use swiftlink_telemetry::{Metrics, event};
use tokio::runtime::Handle;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Exit code after a second signal, which ends the process without waiting for requests
/// in flight.
const FORCED_EXIT: i32 = 130;

/// Metrics, runtime handle and signals of a daemon. Clones share the same state.
#[derive(Clone, Debug)]
pub struct Shell {
    /// The process's metrics.
    pub metrics: Metrics,
    stop: CancellationToken,
    reload: Arc<Notify>,
    handle: Handle,
}

impl Shell {
    /// Creates a shell on the current runtime, which only [`Shell::stop`] stops.
    ///
    /// # Panics
    /// Outside a tokio runtime.
    #[must_use]
    pub fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            stop: CancellationToken::new(),
            reload: Arc::default(),
            handle: Handle::current(),
        }
    }

    /// Resolves once SIGTERM, SIGINT or [`Shell::stop`] has requested a stop.
    pub fn stopped(&self) -> impl Future<Output = ()> + Send + 'static {
        self.stop.clone().cancelled_owned()
    }

    /// Requests a stop of the process.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Resolves at the next SIGHUP, which announces a changed settings file.
    pub async fn reloaded(&self) {
        self.reload.notified().await;
    }

    /// The multi-threaded runtime, for tasks that must outlive an HTTP request.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Spawns the signal handler: the first SIGTERM or SIGINT requests a stop, the second
    /// one exits at once, and SIGHUP requests a reload.
    pub(crate) fn follow_signals(&self) -> std::io::Result<()> {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        let mut hup = signal(SignalKind::hangup())?;
        let stop = self.stop.clone();
        let reload = Arc::clone(&self.reload);
        tokio::spawn(async move {
            loop {
                let name = tokio::select! {
                    _ = term.recv() => "SIGTERM",
                    _ = int.recv() => "SIGINT",
                    _ = hup.recv() => {
                        event!(info, "process.reload", signal = "SIGHUP");
                        reload.notify_waiters();
                        continue;
                    }
                };
                if stop.is_cancelled() {
                    event!(warn, "process.forced", signal = name);
                    swiftlink_telemetry::flush();
                    std::process::exit(FORCED_EXIT);
                }
                event!(info, "process.stopping", signal = name);
                stop.cancel();
            }
        });
        Ok(())
    }
}
