//! What a running daemon gets from its surroundings.

use std::sync::Arc;

use swiftlink_telemetry::{Metrics, event};
use tokio::runtime::Handle;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Exit code after a second signal, which doesn't wait for requests in flight.
const FORCED: i32 = 130;

/// Metrics, runtime and stop signal of a daemon; a clone stands for the same process.
#[derive(Clone, Debug)]
pub struct Shell {
    /// The process's metrics.
    pub metrics: Metrics,
    stop: CancellationToken,
    reload: Arc<Notify>,
    handle: Handle,
}

impl Shell {
    /// A shell on the current runtime, stopped only by [`Shell::stop`].
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

    /// Resolves once the process was told to stop by SIGTERM, SIGINT or [`Shell::stop`].
    pub fn stopped(&self) -> impl Future<Output = ()> + Send + 'static {
        self.stop.clone().cancelled_owned()
    }

    /// Tells the process to stop.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Resolves once the process was told by SIGHUP that its settings file has changed.
    pub async fn reloaded(&self) {
        self.reload.notified().await;
    }

    /// The multi-threaded runtime, for tasks that must outlive an HTTP request.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Follows SIGTERM and SIGINT, of which the first one asks for a stop and the second
    /// forces it, and SIGHUP.
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
                    std::process::exit(FORCED);
                }
                event!(info, "process.stopping", signal = name);
                stop.cancel();
            }
        });
        Ok(())
    }
}
