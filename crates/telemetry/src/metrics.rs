//! StatsD metrics.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, MetricBuilder, NopMetricSink, QueuingMetricSink};
use cadence::{Counter, Gauge, StatsdClient, Timer};

const PREFIX: &str = "swiftlink";
/// Capacity of the queue of unsent metrics. When it is full, metrics are dropped, so that they
/// never delay a request.
const QUEUE_LEN: usize = 8_192;

/// Name and value of a tag.
pub type Tag<'a> = (&'a str, &'a str);

/// StatsD client; clones share the socket and the queue.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a client that sends metrics to the StatsD server at `address`, each with `tags`.
    /// Without an address all metrics are dropped.
    ///
    /// # Errors
    /// When no UDP socket can be opened.
    pub fn open(address: Option<SocketAddr>, tags: &[Tag<'_>]) -> io::Result<Self> {
        let Some(address) = address else {
            return Ok(Self::nop());
        };
        let bind_address = if address.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(bind_address)?;
        socket.set_nonblocking(true)?;
        let udp = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(udp, QUEUE_LEN);
        let mut builder = StatsdClient::builder(PREFIX, sink);
        for (name, value) in tags {
            builder = builder.with_tag(*name, *value);
        }
        let client = Arc::new(builder.with_error_handler(|_error| {}).build());
        Ok(Self { client })
    }

    /// Creates a client that drops every metric.
    #[must_use]
    pub fn nop() -> Self {
        let client = StatsdClient::builder(PREFIX, NopMetricSink).build();
        Self {
            client: Arc::new(client),
        }
    }

    /// Adds `n` to the counter `name`.
    pub fn count(&self, name: &str, n: u64) {
        self.count_with(name, n, &[]);
    }

    /// Adds `n` to the counter `name` with `tags`.
    pub fn count_with(&self, name: &str, n: u64, tags: &[Tag<'_>]) {
        let metric: MetricBuilder<'_, '_, Counter> = self.client.count_with_tags(name, n);
        let mut metric = metric;
        for (key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }

    /// Sets the gauge `name` to `value`.
    pub fn gauge(&self, name: &str, value: u64) {
        self.gauge_with(name, value, &[]);
    }

    /// Sets the gauge `name` to `value`, with `tags`.
    pub fn gauge_with(&self, name: &str, value: u64, tags: &[Tag<'_>]) {
        let mut metric: MetricBuilder<'_, '_, Gauge> = self.client.gauge_with_tags(name, value);
        for (key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }

    /// Records that `name` took `us` microseconds. The value is sent in milliseconds, the unit
    /// of StatsD timers, rounded down.
    pub fn time_us(&self, name: &str, us: u64) {
        self.time_us_with(name, us, &[]);
    }

    /// Records that `name` took `us` microseconds, with `tags`.
    pub fn time_us_with(&self, name: &str, us: u64, tags: &[Tag<'_>]) {
        let mut metric: MetricBuilder<'_, '_, Timer> = self.client.time_with_tags(name, us / 1_000);
        for (key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }

    /// Sends the buffered metrics. Metrics that are still queued for the buffer are sent by the
    /// next call.
    pub fn flush(&self) {
        // Losing metrics is acceptable.
        let _result = self.client.flush();
    }
}
