//! What a router counts, and how it is read.
//!
//! Counters and histograms are served as text on the metrics address. Gauges are read
//! when they are asked for. Labels have few values: no workspace, server or request is
//! among them; those are in the log.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode};
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use swiftlink_shell::web::{Body, Incoming, Response, Service};

use crate::node::Node;
use crate::store::{Feed, Late, Page, Store, StoreError};

/// Bounds of the latency histograms in seconds: from a call within a zone to the longest
/// deadline of the users' sheets.
const BOUNDS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 6.0, 10.0, 15.0,
];
const TEXT: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindOnly {
    kind: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct DomainLabels {
    domain: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct FeedLabels {
    feed: &'static str,
}

/// The counters and histograms of a router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<KindLabels, Counter>,
    refusals: Family<ReasonLabels, Counter>,
    sends: Family<OutcomeLabels, Counter>,
    times: Family<KindOnly, Histogram, fn() -> Histogram>,
    first: Histogram,
    calls: Family<CallLabels, Counter>,
    unreadable: Family<FeedLabels, Counter>,
    gauges: Gauges,
}

/// Values that are set when metrics are read.
#[derive(Debug, Default)]
struct Gauges {
    in_flight: Gauge,
    config: Gauge<u64, AtomicU64>,
    config_age: Gauge<f64, AtomicU64>,
    available: Gauge<u64, AtomicU64>,
    reserved: Gauge<u64, AtomicU64>,
    charged: Gauge<u64, AtomicU64>,
    locked: Gauge<u64, AtomicU64>,
    ready: Gauge,
    emptied: Family<DomainLabels, Gauge>,
    cold: Gauge,
    held: Gauge,
}

fn histogram() -> Histogram {
    Histogram::new(BOUNDS)
}

impl Metrics {
    /// All counts at zero.
    #[must_use]
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("swiftlink"),
            requests: Family::default(),
            refusals: Family::default(),
            sends: Family::default(),
            times: Family::new_with_constructor(histogram),
            first: histogram(),
            calls: Family::default(),
            unreadable: Family::default(),
            gauges: Gauges::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        let requests = "Answered requests by kind of route and end";
        registry.register("requests", requests, self.requests.clone());
        let refusals = "Requests that the router answered by itself, by reason";
        registry.register("refusals", refusals, self.refusals.clone());
        let sends = "Sends to backend servers by outcome";
        registry.register("sends", sends, self.sends.clone());
        let times = "Time from a request to the end of its answer";
        registry.register_with_unit("request", times, Unit::Seconds, self.times.clone());
        let first = "Time from a request to the first event of its stream";
        registry.register_with_unit("first_event", first, Unit::Seconds, self.first.clone());
        let calls = "Calls of the store by outcome";
        registry.register("store_calls", calls, self.calls.clone());
        let unreadable = "Records of the store that can't be read, by feed";
        registry.register("unreadable_records", unreadable, self.unreadable.clone());
        let gauges = &self.gauges;
        let flight = "Requests that are being served";
        registry.register("requests_in_flight", flight, gauges.in_flight.clone());
        let config = "Version of the configuration in force; 0 without one";
        registry.register("config_version", config, gauges.config.clone());
        let age = "Time in which the configuration may have changed without being known";
        let gauge = gauges.config_age.clone();
        registry.register_with_unit("config_age", age, Unit::Seconds, gauge);
        let available = "Rights that no request holds, of all workspaces";
        registry.register(
            "rights_available_tokens",
            available,
            gauges.available.clone(),
        );
        let reserved = "Rights that requests hold, of all workspaces";
        registry.register("rights_reserved_tokens", reserved, gauges.reserved.clone());
        let charged = "Tokens spent since the start, of all workspaces";
        registry.register("rights_charged_tokens", charged, gauges.charged.clone());
        let locked = "Rights that no stored cap covers yet, of all workspaces";
        registry.register("rights_locked_tokens", locked, gauges.locked.clone());
        let emptied = "Whether operators have emptied the failure domain";
        registry.register("domain_emptied", emptied, gauges.emptied.clone());
        let cold = "Backend servers that are cold and may get work";
        registry.register("cold_servers", cold, gauges.cold.clone());
        let held = "Requests that are kept away from servers since these ended under them";
        registry.register("held_requests", held, gauges.held.clone());
        let ready = "Whether new connections should come here";
        registry.register("ready", ready, gauges.ready.clone());
    }

    /// A request of a route of `kind` was answered.
    pub fn answered(&self, kind: &'static str, outcome: &'static str, time: Duration) {
        let labels = KindLabels { kind, outcome };
        self.requests.get_or_create(&labels).inc();
        let times = self.times.get_or_create(&KindOnly { kind });
        times.observe(time.as_secs_f64());
    }

    /// The first event of a stream went out.
    pub fn first_event(&self, time: Duration) {
        self.first.observe(time.as_secs_f64());
    }

    /// The router answered a request by itself.
    pub fn refused(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// A request was sent to a backend server.
    pub fn sent(&self, outcome: &'static str) {
        self.sends.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// The store was called.
    pub fn called(&self, call: &'static str, outcome: &'static str) {
        self.calls
            .get_or_create(&CallLabels { call, outcome })
            .inc();
    }

    /// A record of a feed can't be read.
    pub fn unreadable(&self, feed: Feed) {
        let feed = feed.kind();
        self.unreadable.get_or_create(&FeedLabels { feed }).inc();
    }

    /// All metrics as text.
    #[must_use]
    pub fn render(&self, node: &Node) -> String {
        self.gauges.set(node);
        let mut text = String::new();
        if text::encode(&mut text, &self.registry).is_err() {
            // Writing to a string fails only where a metric can't be encoded.
            text.clear();
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Gauges {
    fn set(&self, node: &Node) {
        self.in_flight
            .set(i64::try_from(node.in_flight()).unwrap_or(i64::MAX));
        let config = node.config.load();
        self.config
            .set(config.as_ref().map_or(0, |config| config.version));
        let age = node.freshness.age();
        self.config_age.set(age.as_secs_f64());
        let (mut available, mut reserved, mut charged, mut locked) = (0, 0, 0, 0);
        for book in node.books.all() {
            let counters = book.grant.counters();
            available += counters.available;
            reserved += counters.reserved;
            charged += counters.charged;
            locked += book.standing().locked;
        }
        self.locked.set(locked);
        self.available.set(available);
        self.reserved.set(reserved);
        self.charged.set(charged);
        let held = node.quarantine.held_len();
        self.held.set(i64::try_from(held).unwrap_or(i64::MAX));
        self.ready.set(i64::from(node.is_ready()));
        self.set_servers(node);
    }

    fn set_servers(&self, node: &Node) {
        let cold: usize = node.pools.all().iter().map(|pool| pool.cold_len()).sum();
        self.cold.set(i64::try_from(cold).unwrap_or(i64::MAX));
        for domain in node.pools.domains().all() {
            let labels = DomainLabels {
                domain: domain.name.to_string(),
            };
            let gauge = self.emptied.get_or_create(&labels);
            gauge.set(i64::from(domain.is_emptied()));
        }
    }
}

/// Serves the metrics of a node.
pub(crate) struct Exposition(pub(crate) Arc<Node>);

#[async_trait(?Send)]
impl Service for Exposition {
    async fn call(&self, _request: Incoming) -> Response {
        let text = self.0.metrics.render(&self.0);
        let mut response = Response::new(Body::full(text));
        *response.status_mut() = StatusCode::OK;
        response.headers_mut().insert(CONTENT_TYPE, TEXT);
        response
    }
}

/// A store whose calls are counted.
#[derive(Debug)]
pub(crate) struct Counted {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) node: Arc<Node>,
}

impl Counted {
    fn count<T>(&self, call: &'static str, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) => "ok",
            Err(StoreError::Refused(_)) => "refused",
            Err(StoreError::Unknown(_)) => "unknown",
            Err(StoreError::Conflict { .. }) => "conflict",
            Err(StoreError::Trimmed { .. }) => "trimmed",
            Err(StoreError::Protocol(_)) => "protocol",
        };
        self.node.metrics.called(call, outcome);
    }
}

#[async_trait]
impl Store for Counted {
    async fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
        late: Late,
    ) -> Result<Page, StoreError> {
        let result = self.store.read(feed, from, wait, late).await;
        self.count("read", &result);
        result
    }

    async fn newest(&self, feed: Feed, late: Late) -> Result<Page, StoreError> {
        let result = self.store.newest(feed, late).await;
        self.count("newest", &result);
        result
    }

    async fn append_at(
        &self,
        feed: Feed,
        at: u64,
        records: &[(String, Bytes)],
    ) -> Result<u64, StoreError> {
        let result = self.store.append_at(feed, at, records).await;
        self.count("append", &result);
        result
    }

    async fn append_next(
        &self,
        feed: Feed,
        producer: &str,
        sequence: u64,
        record: (String, Bytes),
    ) -> Result<u64, StoreError> {
        let result = self.store.append_next(feed, producer, sequence, record);
        let result = result.await;
        self.count("append", &result);
        result
    }
}
