//! The metrics of a router and their endpoint.
//!
//! Counters and histograms are served as text on the metrics address. Gauges are computed on
//! each scrape. Labels have few values: workspaces, servers and requests are never labels, they
//! are in the log.

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
use tokio::sync::watch;

use crate::ingress::PortCounters;
use crate::node::Node;
use crate::origins::ServerList;
use crate::quota::lease::LeaseCounters;
use crate::store::{Feed, Page, ResponseTimeout, Store, StoreError};

/// Upper bounds of the latency buckets in seconds: from a call within a zone to the longest
/// deadline in the users' requirements.
const LATENCY_BOUNDS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 6.0, 10.0, 15.0,
];
const OPENMETRICS: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RequestLabels {
    kind: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RefusalLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AttemptLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct PriorityLabels {
    priority: u8,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RouteLabels {
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
    requests: Family<RequestLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    durations: Family<RouteLabels, Histogram, fn() -> Histogram>,
    first_event: Histogram,
    store_calls: Family<CallLabels, Counter>,
    unreadable: Family<FeedLabels, Counter>,
    leases: LeaseCounters,
    overloaded: Family<PriorityLabels, Counter>,
    shed: Family<PriorityLabels, Counter>,
    /// Connections of callers.
    pub(crate) port: PortCounters,
    gauges: Gauges,
}

/// Values that are set on each scrape.
#[derive(Debug, Default)]
struct Gauges {
    in_flight: Gauge,
    config_version: Gauge<u64, AtomicU64>,
    config_age: Gauge<f64, AtomicU64>,
    list_age: Gauge<f64, AtomicU64>,
    available: Gauge<u64, AtomicU64>,
    reserved: Gauge<u64, AtomicU64>,
    charged: Gauge<u64, AtomicU64>,
    locked: Gauge<u64, AtomicU64>,
    ready: Gauge,
    drained: Family<DomainLabels, Gauge>,
    cold_servers: Gauge,
    ejected_servers: Gauge,
    cut_paths: Gauge,
    limited_servers: Gauge,
    known_speeds: Gauge,
    slowest_ratio: Gauge<f64, AtomicU64>,
    held_requests: Gauge,
    admission_level: Gauge,
    admission_waiting: Gauge,
}

fn histogram() -> Histogram {
    Histogram::new(LATENCY_BOUNDS)
}

impl Metrics {
    /// Registers all metrics, with counts at zero.
    #[must_use]
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("swiftlink"),
            requests: Family::default(),
            refusals: Family::default(),
            attempts: Family::default(),
            durations: Family::new_with_constructor(histogram),
            first_event: histogram(),
            store_calls: Family::default(),
            unreadable: Family::default(),
            leases: LeaseCounters::default(),
            overloaded: Family::default(),
            shed: Family::default(),
            port: PortCounters::default(),
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
        let attempts = "Sends to backend servers by outcome";
        registry.register("sends", attempts, self.attempts.clone());
        let durations = "Time from a request to the end of its answer";
        registry.register_with_unit("request", durations, Unit::Seconds, self.durations.clone());
        let first = "Time from a request to the first event of its stream";
        registry.register_with_unit(
            "first_event",
            first,
            Unit::Seconds,
            self.first_event.clone(),
        );
        let calls = "Calls of the store by outcome";
        registry.register("store_calls", calls, self.store_calls.clone());
        let unreadable = "Records of the store that can't be read, by feed";
        registry.register("unreadable_records", unreadable, self.unreadable.clone());
        let leased = "Requests whose rights were reserved from a lease, without a question";
        registry.register(
            "lease_requests",
            leased,
            self.leases.leased_requests.clone(),
        );
        let questions = "Reservations that holders of rights were asked for while a request waited";
        registry.register("rights_questions", questions, self.leases.queries.clone());
        let leases = "Leases that holders of rights granted";
        registry.register("leases", leases, self.leases.leases.clone());
        let tokens = "Tokens of the leases in use, reserved and spent ones included";
        registry.register("leased_tokens", tokens, self.leases.leased_tokens.clone());
        let overloaded = "Requests refused at once for lack of capacity, by priority";
        registry.register("admission_refusals", overloaded, self.overloaded.clone());
        let shed = "Requests refused for lack of capacity after a wait, by priority";
        registry.register("admission_sheds", shed, self.shed.clone());
        self.port.register(registry);
        let gauges = &self.gauges;
        let level =
            "Least urgent priority that all pools admit in full; 255 while nothing is refused";
        registry.register("admission_level", level, gauges.admission_level.clone());
        let waiting = "Requests that wait for capacity of their pool";
        registry.register(
            "admission_waiting",
            waiting,
            gauges.admission_waiting.clone(),
        );
        let flight = "Requests that are being served";
        registry.register("requests_in_flight", flight, gauges.in_flight.clone());
        let config = "Version of the configuration in force; 0 without one";
        registry.register("config_version", config, gauges.config_version.clone());
        let age = "Time in which the configuration may have changed without being known";
        let gauge = gauges.config_age.clone();
        registry.register_with_unit("config_age", age, Unit::Seconds, gauge);
        let age = "Time in which the list of servers may have changed without being known";
        let gauge = gauges.list_age.clone();
        registry.register_with_unit("server_list_age", age, Unit::Seconds, gauge);
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
        let drained = "Whether operators have emptied the failure domain";
        registry.register("domain_emptied", drained, gauges.drained.clone());
        let cold = "Backend servers that are cold and may get work";
        registry.register("cold_servers", cold, gauges.cold_servers.clone());
        let ejected = "Backend servers that get no requests because of errors";
        registry.register("ejected_servers", ejected, gauges.ejected_servers.clone());
        let cut = "Backend servers that this router reaches through other routers only";
        registry.register("cut_paths", cut, gauges.cut_paths.clone());
        let limited = "Backend servers that limit their rate of requests";
        registry.register("limited_servers", limited, gauges.limited_servers.clone());
        let speeds = "Backend servers whose speed relative to their pool is known";
        registry.register("known_speeds", speeds, gauges.known_speeds.clone());
        let slowest = "Time per prompt token of the slowest backend server, relative to the median \
                       of its pool; 0 when no speed is known";
        registry.register(
            "slowest_server_ratio",
            slowest,
            gauges.slowest_ratio.clone(),
        );
        let held = "Requests that are kept away from servers since these ended under them";
        registry.register("held_requests", held, gauges.held_requests.clone());
        let ready = "Whether new connections should come here";
        registry.register("ready", ready, gauges.ready.clone());
    }

    /// Counts an answered request of a route of `kind`.
    pub fn answered(&self, kind: &'static str, outcome: &'static str, time: Duration) {
        let labels = RequestLabels { kind, outcome };
        self.requests.get_or_create(&labels).inc();
        let durations = self.durations.get_or_create(&RouteLabels { kind });
        durations.observe(time.as_secs_f64());
    }

    /// Records the time to the first event of a stream.
    pub fn first_event(&self, time: Duration) {
        self.first_event.observe(time.as_secs_f64());
    }

    /// Counts a request that the router answered by itself.
    pub fn refused(&self, reason: &'static str) {
        self.refusals.get_or_create(&RefusalLabels { reason }).inc();
    }

    /// Counts a request that was refused for lack of capacity.
    pub fn overloaded(&self, priority: u8, has_waited: bool) {
        let family = if has_waited {
            &self.shed
        } else {
            &self.overloaded
        };
        family.get_or_create(&PriorityLabels { priority }).inc();
    }

    /// Counts an attempt at a backend server.
    pub fn attempted(&self, outcome: &'static str) {
        self.attempts
            .get_or_create(&AttemptLabels { outcome })
            .inc();
    }

    /// Counts a call to the store.
    pub fn store_called(&self, call: &'static str, outcome: &'static str) {
        self.store_calls
            .get_or_create(&CallLabels { call, outcome })
            .inc();
    }

    /// Counts a record of a feed that can't be decoded.
    pub fn unreadable(&self, feed: Feed) {
        let feed = feed.kind();
        self.unreadable.get_or_create(&FeedLabels { feed }).inc();
    }

    /// Counters for the parts that keep leases.
    #[must_use]
    pub fn leases(&self) -> LeaseCounters {
        self.leases.clone()
    }

    /// Encodes all metrics as text.
    #[must_use]
    pub fn render(&self, node: &Node) -> String {
        self.gauges.set(node);
        let mut text = String::new();
        if text::encode(&mut text, &self.registry).is_err() {
            // Writing to a string fails only if a metric can't be encoded.
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
        self.config_version
            .set(config.as_ref().map_or(0, |config| config.version));
        let age = node.freshness.age();
        self.config_age.set(age.as_secs_f64());
        if let Some(age) = node.list.age() {
            self.list_age.set(age.as_secs_f64());
        }
        let (mut available, mut reserved, mut charged, mut locked) = (0, 0, 0, 0);
        for quota in node.quotas.all() {
            let counters = quota.grant.counters();
            available += counters.available;
            reserved += counters.reserved;
            charged += counters.charged;
            locked += quota.balance().locked;
        }
        self.locked.set(locked);
        self.available.set(available);
        self.reserved.set(reserved);
        self.charged.set(charged);
        let held = node.quarantine.held_len();
        self.held_requests
            .set(i64::try_from(held).unwrap_or(i64::MAX));
        self.ready.set(i64::from(node.is_ready()));
        self.set_servers(node);
        let pools = node.pools.all();
        let levels = pools.iter().map(|pool| pool.admission.level());
        self.admission_level
            .set(levels.min().unwrap_or(u8::MAX).into());
        let waiting: usize = pools.iter().map(|pool| pool.admission.waiting_len()).sum();
        self.admission_waiting
            .set(i64::try_from(waiting).unwrap_or(i64::MAX));
    }

    fn set_servers(&self, node: &Node) {
        let cold: usize = node.pools.all().iter().map(|pool| pool.cold_len()).sum();
        self.cold_servers
            .set(i64::try_from(cold).unwrap_or(i64::MAX));
        let ejected: usize = node.pools.all().iter().map(|pool| pool.ejected_len()).sum();
        self.ejected_servers
            .set(i64::try_from(ejected).unwrap_or(i64::MAX));
        let cut = node.dialer.suspects().cut_len();
        self.cut_paths.set(i64::try_from(cut).unwrap_or(i64::MAX));
        let limited: usize = node.pools.all().iter().map(|pool| pool.limited_len()).sum();
        self.limited_servers
            .set(i64::try_from(limited).unwrap_or(i64::MAX));
        let pools = node.pools.all();
        let speeds = pools.iter().map(|pool| pool.speed_summary());
        let (known, slowest) = speeds.fold((0, 0), |(known, slowest), summary| {
            (known + summary.known, summary.slowest_milli.max(slowest))
        });
        self.known_speeds
            .set(i64::try_from(known).unwrap_or(i64::MAX));
        self.slowest_ratio.set(f64::from(slowest) / 1_000.0);
        for domain in node.pools.domains().all() {
            let labels = DomainLabels {
                domain: domain.name.to_string(),
            };
            let gauge = self.drained.get_or_create(&labels);
            gauge.set(i64::from(domain.is_drained()));
        }
    }
}

/// Serves the metrics of a node over HTTP.
pub(crate) struct MetricsService(pub(crate) Arc<Node>);

#[async_trait(?Send)]
impl Service for MetricsService {
    async fn call(&self, _request: Incoming) -> Response {
        let text = self.0.metrics.render(&self.0);
        let mut response = Response::new(Body::full(text));
        *response.status_mut() = StatusCode::OK;
        response.headers_mut().insert(CONTENT_TYPE, OPENMETRICS);
        response
    }
}

/// A store that counts its calls in the router's metrics.
#[derive(Debug)]
pub(crate) struct MeteredStore {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) node: Arc<Node>,
}

impl MeteredStore {
    fn count<T>(&self, call: &'static str, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) => "ok",
            Err(StoreError::Refused(_)) => "refused",
            Err(StoreError::Unknown(_)) => "unknown",
            Err(StoreError::Conflict { .. }) => "conflict",
            Err(StoreError::Trimmed { .. }) => "trimmed",
            Err(StoreError::Protocol(_)) => "protocol",
        };
        self.node.metrics.store_called(call, outcome);
    }
}

#[async_trait]
impl Store for MeteredStore {
    fn era(&self) -> watch::Receiver<u64> {
        self.store.era()
    }

    fn may_go_back(&self) -> bool {
        self.store.may_go_back()
    }

    async fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
        timeout: ResponseTimeout,
    ) -> Result<Page, StoreError> {
        let result = self.store.read(feed, from, wait, timeout).await;
        self.count("read", &result);
        result
    }

    async fn newest(&self, feed: Feed, timeout: ResponseTimeout) -> Result<Page, StoreError> {
        let result = self.store.newest(feed, timeout).await;
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
