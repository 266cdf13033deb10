//! StatsD metrics.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, MetricBuilder, NopMetricSink, QueuingMetricSink};
use cadence::{Counter, Gauge, StatsdClient, Timer};

const PREFIX: &str = "swiftlink";
/// Metrics that wait to be sent; more are dropped, so that metrics never hold up a request.
const QUEUE: usize = 8_192;

/// A name and value that a metric carries.
pub type Tag<'a> = (&'a str, &'a str);

/// Sends the process's metrics; a clone shares the same socket.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Sends metrics to the StatsD server at `address`, each with `tags`; to nowhere
    /// without an address.
    ///
    /// # Errors
    /// When no UDP socket can be opened.
    pub fn open(address: Option<SocketAddr>, tags: &[Tag<'_>]) -> io::Result<Self> {
        let Some(address) = address else {
            return Ok(Self::nop());
        };
        let any = if address.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        let udp = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(udp, QUEUE);
        let mut builder = StatsdClient::builder(PREFIX, sink);
        for (name, value) in tags {
            builder = builder.with_tag(*name, *value);
        }
        let client = Arc::new(builder.with_error_handler(|_error| {}).build());
        Ok(Self { client })
    }

    /// Drops every metric.
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

    /// Records that `name` took `us` microseconds; sent in milliseconds, as StatsD has it,
    /// rounded down.
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

    /// Sends what is buffered; metrics that are still on their way to the buffer are
    /// sent by the next call.
    pub fn flush(&self) {
        // A lost metric is no reason to stop.
        let _result = self.client.flush();
    }
}
