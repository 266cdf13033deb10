//! Admission of callers' requests.

use std::cell::Cell;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::HOST;
use swiftlink_shell::web::{BodyError, Incoming, Response, Service};
use swiftlink_telemetry::event;
use swiftlink_types::VersionName;
use tokio::time::{Instant, timeout, timeout_at};

use super::exchange::{Exchange, ForwardedRequest};
use super::refusal::{Refusal, SERVER_RETRY};
use crate::dialect::RequestMeta;
use crate::domains::allowed_domains;
use crate::fingerprint::{Content, PromptParts, RequestIdentity};
use crate::fleet::Pool;
use crate::model::{Config, Route, UnknownKey, Workspace};
use crate::node::Node;
use crate::origins::Lookup;
use crate::quota::{QuotaError, RequestQuota, Reserver, Timeouts};

/// Maximum wait for quota, as a divisor of the route's target latency: a claim or a reservation
/// takes 2 to 40 ms, and quota that hasn't arrived by then seldom does. A fifth and an eighth
/// served equally many requests; the shorter wait refuses earlier.
const QUOTA_WAIT_DIVISOR: u32 = 8;
/// Minimum of that wait, also for routes with a short target latency: a claim begins up to 50 ms
/// after the previous one and takes 10 ms while the store responds.
const MIN_QUOTA_WAIT: Duration = Duration::from_millis(60);
/// Maximum time for which a request whose body hasn't arrived holds quota.
const QUOTA_HOLD: Duration = Duration::from_secs(1);
/// Maximum wait for an update of the configuration in a process that was stalled. The poll that was in
/// flight may have timed out; the next one follows up to 150 ms later, and the store responds in a few
/// milliseconds.
pub(super) const STALL_WAIT: Duration = Duration::from_millis(250);
/// Jitter of retry times, over which callers that wait for the same event return.
const RETRY_JITTER: Duration = Duration::from_millis(400);
/// Timeout of a request whose caller specifies none, capped by that of its route.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Serves callers' requests.
#[derive(Debug)]
pub struct CallerService {
    /// The state of the router.
    pub node: Arc<Node>,
    /// Reserves quota here and at other routers.
    pub reserver: Arc<Reserver>,
    /// Finds the versions that began streams.
    pub lookup: Lookup,
}

#[async_trait(?Send)]
impl Service for CallerService {
    async fn call(&self, request: Incoming) -> Response {
        let start = Instant::now();
        let guard = self.node.enter();
        let id = request
            .header(self.node.dialect.id_header())
            .map(str::to_owned);
        match self.admit(request, start).await {
            Ok(exchange) => exchange.run(guard).await,
            Err(refusal) => {
                let id = id.as_deref().unwrap_or("-");
                let ms = start.elapsed().as_millis();
                let reason = refusal.as_str();
                let config = self.node.config.load();
                event!(
                    info,
                    "request.refused",
                    id = id,
                    reason = reason,
                    config = config.as_ref().map_or(0, |config| config.version),
                    config_age_ms = self.node.freshness.age().as_millis(),
                    ms = ms,
                );
                self.node.metrics.refused(reason);
                refusal.response()
            }
        }
    }
}

/// A request whose route and sender are known.
struct Identified {
    config: Arc<Config>,
    route: Arc<Route>,
    meta: RequestMeta,
    workspace: Option<Arc<Workspace>>,
    start: Instant,
    /// The earlier of the route's timeout and the caller's deadline.
    deadline: Instant,
}

impl Identified {
    /// Time until the deadline.
    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

impl CallerService {
    /// Decides whether and where a request is sent, and reserves its quota. The deadline of the request
    /// counts from its head, and bounds all that is awaited.
    async fn admit(&self, mut request: Incoming, start: Instant) -> Result<Exchange, Refusal> {
        self.node.freshness.wait_after_stall(STALL_WAIT).await;
        let identified = self.identify(&request, start)?;
        let deadline = identified.deadline;
        let prepared = timeout_at(deadline, self.prepare(identified, &mut request)).await;
        prepared.unwrap_or(Err(Refusal::Expired))
    }

    /// Finds the route and the sender of a request.
    fn identify(&self, request: &Incoming, start: Instant) -> Result<Identified, Refusal> {
        let node = &self.node;
        if !node.freshness.is_confirmed() {
            return Err(Refusal::NotReady);
        }
        let config = node.config.load_full().ok_or(Refusal::NotReady)?;
        let route =
            find_route(&config, request).ok_or_else(|| self.unknown_or_stale(Refusal::NoRoute))?;
        let meta = node.dialect.parse_request(request.headers());
        let meta = meta.map_err(|reason| {
            event!(info, "request.malformed", reason = reason);
            Refusal::Malformed
        })?;
        let workspace = config.caller(&route, meta.key.as_deref());
        let workspace = workspace.map_err(|UnknownKey| self.unknown_or_stale(Refusal::NoKey))?;
        let time = meta.deadline.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
        Ok(Identified {
            config,
            route,
            meta,
            workspace,
            start,
            deadline: start + time,
        })
    }

    /// Chooses the pool, reserves quota and reads the body.
    async fn prepare(
        &self,
        identified: Identified,
        request: &mut Incoming,
    ) -> Result<Exchange, Refusal> {
        let (pool, begun_by) = self.find_pool(&identified).await?;
        let parts = PromptParts::new(pool.name.clone(), identified.meta.parts.clone());
        self.check_parts(&identified.meta, &parts)?;
        let (quota, body) = self.reserve_and_read(&identified, &pool, request).await?;
        let content = content(identified.workspace.as_deref(), request, &body);
        let identity = Arc::new(RequestIdentity::new(content, parts));
        self.check_identity(&identified.meta, &identity)?;
        let Identified {
            config,
            route,
            meta,
            workspace,
            start,
            deadline,
        } = identified;
        let node = &self.node;
        pool.on_request();
        let workspace_regions = workspace
            .as_ref()
            .map_or(&[][..], |workspace| &workspace.allowed_regions);
        let domains = allowed_domains(
            &route.allowed_regions,
            workspace_regions,
            &node.settings.regions,
        );
        Ok(Exchange {
            node: Arc::clone(node),
            pool,
            route,
            workspace,
            request: ForwardedRequest {
                method: request.method().clone(),
                uri: request.uri().clone(),
                headers: request.headers().clone(),
                body,
            },
            identity,
            meta,
            quota,
            domains,
            begun_by,
            version: config.version,
            start,
            deadline,
            is_logged: Cell::new(false),
        })
    }

    /// Reserves quota and reads the body. A caller whose body doesn't arrive in time locks no quota: it is
    /// reserved again once the body is there.
    async fn reserve_and_read(
        &self,
        identified: &Identified,
        pool: &Pool,
        request: &mut Incoming,
    ) -> Result<(RequestQuota, Bytes), Refusal> {
        let quota = self.reserve(identified, pool).await?;
        let max_body = identified.config.limits.max_body;
        let body = request.body_until(max_body, identified.deadline);
        tokio::pin!(body);
        if let Ok(body) = timeout(QUOTA_HOLD, &mut body).await {
            return Ok((quota, body.map_err(body_refusal)?));
        }
        drop(quota);
        let body = body.await.map_err(body_refusal)?;
        let quota = self.reserve(identified, pool).await?;
        Ok((quota, body))
    }

    /// Chooses a pool of the route, or the one at which a stream goes on that its caller resumes, with
    /// the version that began it.
    async fn find_pool(
        &self,
        identified: &Identified,
    ) -> Result<(Arc<Pool>, Option<VersionName>), Refusal> {
        let Identified {
            route,
            meta,
            workspace,
            ..
        } = identified;
        let target = route.target(rand::random());
        let target = target.ok_or(Refusal::NoServer(SERVER_RETRY))?;
        let pool = self.node.pools.get(&target.pool);
        let pool = pool.ok_or(Refusal::NoServer(SERVER_RETRY))?;
        let origin = self.find_origin(meta, workspace.as_deref(), route, &pool);
        let Some((begun_at, version)) = origin.await? else {
            return Ok((pool, None));
        };
        Ok((begun_at, Some(version)))
    }

    /// Refuses a request with a quarantined part.
    fn check_parts(&self, meta: &RequestMeta, parts: &PromptParts) -> Result<(), Refusal> {
        let Some(rest) = self.node.quarantine.remaining_part_hold(parts) else {
            return Ok(());
        };
        event!(
            info,
            "request.held",
            id = meta.id(),
            print = "-",
            parts = parts
        );
        Err(Refusal::Held(rest))
    }

    /// Refuses a quarantined request.
    fn check_identity(
        &self,
        meta: &RequestMeta,
        identity: &RequestIdentity,
    ) -> Result<(), Refusal> {
        let Some(rest) = self.node.quarantine.remaining_hold(identity) else {
            return Ok(());
        };
        event!(
            info,
            "request.held",
            id = meta.id(),
            print = identity.fingerprint(),
            parts = identity.parts()
        );
        Err(Refusal::Held(rest))
    }

    /// Refusal of a request whose route or key isn't in the configuration. If the configuration was
    /// last confirmed longer ago than a change may take, the route or key may exist by now.
    fn unknown_or_stale(&self, refusal: Refusal) -> Refusal {
        if self.node.freshness.age() > self.node.settings.config_apply {
            return Refusal::StaleConfig;
        }
        refusal
    }

    /// Reserves the maximum cost of the request.
    async fn reserve(&self, identified: &Identified, pool: &Pool) -> Result<RequestQuota, Refusal> {
        let Identified {
            route,
            meta,
            workspace,
            ..
        } = identified;
        let Some(workspace) = workspace else {
            return Ok(RequestQuota::Unlimited);
        };
        let Some(usage) = meta.usage else {
            if workspace.prepaid.is_some() && pool.spec().max_event_tokens.is_some() {
                return Err(Refusal::NoUsage);
            }
            return Ok(RequestQuota::Unlimited);
        };
        let Some(quota) = self.node.quotas.get(&workspace.name) else {
            if workspace.prepaid.is_some() {
                // Known here later than the configuration.
                return Err(Refusal::NotReady);
            }
            return Ok(RequestQuota::Unlimited);
        };
        let wait = (route.latency_target / QUOTA_WAIT_DIVISOR).max(MIN_QUOTA_WAIT);
        let timeouts = Timeouts {
            wait,
            request: identified.left(),
        };
        let is_link_busy = self.node.traffic.is_busy.load(Relaxed);
        self.reserver.set_link_busy(is_link_busy);
        let reserved = if is_link_busy {
            let behind = self.reserver.reserve_behind(&quota, usage, timeouts);
            behind.await
        } else {
            let reservation = self.reserver.reserve(&quota, usage, timeouts).await;
            reservation.map(RequestQuota::Reserved)
        };
        let error = match reserved {
            Ok(reserved) => return Ok(reserved),
            Err(error) => error,
        };
        let refusal = match error.reason {
            QuotaError::Exhausted { .. } => Refusal::BudgetSpent,
            QuotaError::Limited { .. } | QuotaError::HeldElsewhere => {
                Refusal::NoQuota(error.retry_after.map(with_jitter))
            }
            QuotaError::StoreUnavailable => {
                Refusal::StoreUnavailable(error.retry_after.map(with_jitter))
            }
        };
        let balance = quota.balance();
        event!(
            info,
            "quota.missing",
            id = meta.id(),
            workspace = workspace.name,
            cost = usage.max_total(),
            available = quota.grant.available(),
            reserved = balance.reserved,
            locked = balance.locked,
            cap_age_ms = balance.cap_age.unwrap_or(0),
            rest = quota.remaining(),
            prepaid = quota.prepaid(),
            read_age_ms = quota.read_age_ms(),
            limited = error.reason.retry_after().is_some(),
            asked = error.asked,
            back_ms = error.retry_after.map_or(-1, |back| back.as_millis() as i64),
            refusal = refusal.as_str(),
        );
        Err(refusal)
    }
}

/// Adds jitter to a retry time: callers that are refused together would return together.
fn with_jitter(back: Duration) -> Duration {
    back + RETRY_JITTER.mul_f64(rand::random())
}

/// What identifies the request when its caller sends it again.
fn content(workspace: Option<&Workspace>, request: &Incoming, body: &Bytes) -> Content {
    Content {
        workspace: workspace.map(|workspace| workspace.name.clone()),
        method: request.method().clone(),
        host: request.header(HOST.as_str()).unwrap_or("").to_owned(),
        uri: request.uri().clone(),
        body: body.clone(),
    }
}

fn find_route(config: &Config, request: &Incoming) -> Option<Arc<Route>> {
    let host = request.header(HOST.as_str())?;
    let route = config.routes.find(host, request.uri().path())?;
    Some(Arc::clone(route))
}

fn body_refusal(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLarge => Refusal::TooLarge,
        BodyError::Timeout => Refusal::SlowBody,
        BodyError::Stalled => Refusal::StalledBody,
        BodyError::NoMemory => Refusal::NoMemory,
        BodyError::Broken => Refusal::BrokenBody,
    }
}
