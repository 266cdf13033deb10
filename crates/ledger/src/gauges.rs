//! Gauges of the process, sent periodically.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_log::Fold;
use swiftlink_resource::Fold as ConfigFold;
use swiftlink_telemetry::Metrics;
use tokio_util::sync::CancellationToken;

use crate::log_health::LogHealth;
use crate::shards::Shards;
use crate::stream::Stream;

/// Interval between two rounds.
const SEND_INTERVAL: Duration = Duration::from_secs(5);

/// Task that sends the gauges.
#[derive(Debug)]
pub struct Gauges {
    /// The configuration stream.
    pub config: Arc<Stream<ConfigFold>>,
    /// The budget streams.
    pub shards: Arc<Shards>,
    /// Reachability of the log.
    pub log_health: Arc<LogHealth>,
    /// Metrics sender.
    pub metrics: Metrics,
}

impl Gauges {
    /// Sends gauges until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let sending = async {
            loop {
                self.send();
                tokio::time::sleep(SEND_INTERVAL).await;
            }
        };
        let _stopped: Option<()> = stop.run_until_cancelled(sending).await;
    }

    fn send(&self) {
        self.metrics
            .gauge("ledger.log_age_ms", self.log_health.age_ms());
        self.send_stream(&self.config);
        let mut pending = 0;
        let mut queued = 0;
        for shard in self.shards.iter() {
            self.send_stream(&shard.stream);
            pending += shard.outbox.pending_total();
            queued += shard.outbox.bytes();
        }
        self.metrics.gauge("ledger.pending_charges", pending);
        self.metrics.gauge("ledger.queued_bytes", queued as u64);
    }

    fn send_stream<F: Fold>(&self, stream: &Stream<F>) {
        let tags = [("stream", stream.name().as_str())];
        self.metrics
            .gauge_with("ledger.stream_age_ms", stream.age_ms(), &tags);
        self.metrics
            .gauge_with("ledger.stream_offset", stream.next(), &tags);
    }
}
