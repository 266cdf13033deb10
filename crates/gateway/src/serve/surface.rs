//! Takes callers' requests.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::HOST;
use swiftlink_shell::web::{BodyError, Incoming, Response, Service};
use swiftlink_telemetry::event;
use tokio::time::Instant;

use super::journey::{Journey, Parcel};
use super::refuse::{Refusal, SERVER_WAIT};
use crate::dialect::Ask;
use crate::domains::at_home;
use crate::fingerprint::{Content, Origin};
use crate::headroom::head_bytes;
use crate::model::{Config, Route, Workspace};
use crate::node::Node;
use crate::rights::{NoRights, Patience, Remote, Spend};

/// Longest wait for rights, as a part of the time to the answer that the caller hopes for: a
/// claim or a reservation takes 2 to 40 ms, and what has not come by then seldom comes. A fifth and
/// an eighth served as many; the shorter one refuses earlier.
const RIGHTS_PART: u32 = 8;
/// The shortest wait, also of callers in a hurry: a claim begins up to 50 ms after the one
/// before it and takes 10 ms while the store answers.
const RIGHTS_LEAST: Duration = Duration::from_millis(60);
/// Longest wait for news in a process that stood still: the store answers in a few milliseconds,
/// other routers in ten.
const STANDSTILL_WAIT: Duration = Duration::from_millis(60);
/// Time over which callers return whom the same event lets in.
const SPREAD: Duration = Duration::from_millis(400);
/// Time that a request has when neither its caller nor its route says.
const TIME: Duration = Duration::from_secs(60);

/// Serves callers.
#[derive(Debug)]
pub struct Surface {
    /// What the router knows.
    pub node: Arc<Node>,
    /// Where rights are reserved.
    pub remote: Arc<Remote>,
}

#[async_trait(?Send)]
impl Service for Surface {
    async fn call(&self, request: Incoming) -> Response {
        let start = Instant::now();
        let guard = self.node.enter();
        let id = request
            .header(self.node.dialect.id_header())
            .map(str::to_owned);
        match self.serve(request, start).await {
            Ok(journey) => journey.run(guard).await,
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

impl Surface {
    /// All that is decided before a request is sent.
    async fn serve(&self, mut request: Incoming, start: Instant) -> Result<Journey, Refusal> {
        let node = &self.node;
        node.freshness.after_standstill(STANDSTILL_WAIT).await;
        if !node.freshness.is_confirmed() {
            return Err(Refusal::NotReady);
        }
        let config = node.config.load_full().ok_or(Refusal::NotReady)?;
        let route = find_route(&config, &request).ok_or_else(|| self.unknown(Refusal::NoRoute))?;
        let ask = node.dialect.ask(request.headers());
        let ask = ask.map_err(|reason| {
            event!(info, "request.malformed", reason = reason);
            Refusal::Malformed
        })?;
        let workspace = find_workspace(&config, &route, &ask);
        let workspace = workspace.map_err(|refusal| self.unknown(refusal))?;
        let body = request
            .body(config.limits.max_body)
            .await
            .map_err(refuse_body)?;
        node.traffic
            .received(head_bytes(request.headers()) + body.len());
        let origin = Arc::new(origin(workspace.as_deref(), &request, &body));
        if let Some(rest) = node.quarantine.remaining_hold(&origin) {
            let print = origin.print();
            event!(info, "request.held", id = ask.id(), print = print);
            return Err(Refusal::Held(rest));
        }
        let time = ask.deadline.unwrap_or(TIME).min(route.timeout);
        let spend = self.reserve(&route, workspace.as_deref(), &ask, time);
        let spend = spend.await?;
        let target = route.target(rand::random());
        let target = target.ok_or(Refusal::NoServer(SERVER_WAIT))?;
        let pool = node.pools.get(&target.pool);
        let pool = pool.ok_or(Refusal::NoServer(SERVER_WAIT))?;
        pool.on_request();
        let homes = workspace
            .as_ref()
            .map_or(&[][..], |workspace| &workspace.allowed_regions);
        let domains = at_home(&route.allowed_regions, homes, &node.settings.regions);
        Ok(Journey {
            node: Arc::clone(node),
            pool,
            route,
            workspace,
            parcel: Parcel {
                method: request.method().clone(),
                uri: request.uri().clone(),
                headers: request.headers().clone(),
                body,
            },
            origin,
            ask,
            spend,
            domains,
            version: config.version,
            start,
            deadline: start + time,
            is_told: Cell::new(false),
        })
    }

    /// How a request is refused whose route or key isn't in the configuration. Neither was there
    /// when it was last confirmed; longer ago than a change may take that says nothing of now.
    fn unknown(&self, refusal: Refusal) -> Refusal {
        if self.node.freshness.age() > self.node.settings.apply {
            return Refusal::Behind;
        }
        refusal
    }

    /// Reserves the most that the request can cost.
    async fn reserve(
        &self,
        route: &Route,
        workspace: Option<&Workspace>,
        ask: &Ask,
        time: Duration,
    ) -> Result<Option<Spend>, Refusal> {
        let (Some(workspace), Some(usage)) = (workspace, ask.usage) else {
            return Ok(None);
        };
        let Some(book) = self.node.books.get(&workspace.name) else {
            return Ok(None);
        };
        let wait = (route.latency_target / RIGHTS_PART).max(RIGHTS_LEAST);
        let patience = Patience { wait, time };
        let missing = match self.remote.reserve(&book, usage, patience).await {
            Ok(spend) => return Ok(Some(spend)),
            Err(missing) => missing,
        };
        let refusal = match missing.refusal {
            NoRights::Spent { .. } => Refusal::Spent,
            NoRights::Elsewhere => Refusal::NoRights(missing.back.map(spread)),
            NoRights::Away => Refusal::StoreAway(missing.back.map(spread)),
        };
        let standing = book.standing();
        event!(
            info,
            "rights.missing",
            id = ask.id(),
            workspace = workspace.name,
            cost = usage.most(),
            available = book.grant.available(),
            reserved = standing.reserved,
            locked = standing.locked,
            cap_age_ms = standing.cap_age.unwrap_or(0),
            rest = book.rest(),
            prepaid = book.prepaid(),
            read_age_ms = book.read_age_ms(),
            asked = missing.asked,
            back_ms = missing.back.map_or(-1, |back| back.as_millis() as i64),
            refusal = refusal.as_str(),
        );
        Err(refusal)
    }
}

/// A time to come back after `back`, drawn: those who are refused together would come together.
fn spread(back: Duration) -> Duration {
    back + SPREAD.mul_f64(rand::random())
}

/// What a request is known by when its caller sends it again.
fn origin(workspace: Option<&Workspace>, request: &Incoming, body: &Bytes) -> Origin {
    Origin::new(Content {
        workspace: workspace.map(|workspace| workspace.name.clone()),
        method: request.method().clone(),
        host: request.header(HOST.as_str()).unwrap_or("").to_owned(),
        uri: request.uri().clone(),
        body: body.clone(),
    })
}

fn find_route(config: &Config, request: &Incoming) -> Option<Arc<Route>> {
    let host = request.header(HOST.as_str())?;
    let route = config.routes.find(host, request.uri().path())?;
    Some(Arc::clone(route))
}

/// The workspace that is charged; none on a public route without a known key.
fn find_workspace(
    config: &Config,
    route: &Route,
    ask: &Ask,
) -> Result<Option<Arc<Workspace>>, Refusal> {
    let known = ask.key.as_deref().and_then(|key| config.keys.get(key));
    if known.is_none() && !route.public && !config.keys.is_empty() {
        return Err(Refusal::NoKey);
    }
    Ok(known.cloned())
}

fn refuse_body(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLarge => Refusal::TooLarge,
        BodyError::Timeout => Refusal::Slow,
        BodyError::Broken => Refusal::BrokenBody,
    }
}
