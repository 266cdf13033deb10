//! Admission of a request: its sender, class, pool, key and maximum cost.
//!
//! Admission sends no messages. A refused request has not run, unless an earlier
//! request with the same key may have run.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use swiftlink_resource::{Config, Pool as PoolSpec, PoolKind};
use swiftlink_shell::web::{BodyError, Incoming};
use swiftlink_stream::{
    RequestBody, ResumeToken, TokenError, bound_tokens, parse_event_id, parse_request,
};
use swiftlink_types::{
    BudgetName, PoolName, Refusal, RefusalKind, RequestKey, Tokens, cost, wall_ms,
};
use tokio::time::Instant;

use crate::auth::{Sender, authenticate, class_of};
use crate::call::{Call, ModelWork, Original, ResumeWork, ServiceWork, Work};
use crate::fleet::Pool;
use crate::keys::{KeyRefusal, KeyUse};
use crate::node::Node;
use crate::repeat;
use crate::surface::{self, LAST_EVENT, Options, Route, bearer, malformed, options, route};

/// Retry delay for a router that can't accept new work at the moment.
const BUSY_RETRY: Duration = Duration::from_secs(1);
/// Retry delay for a key that is in use on this router.
const KEY_RETRY: Duration = Duration::from_secs(1);
/// Length of the prompt prefix (bytes) that selects a runner with a warm cache.
const PREFIX_BYTES: usize = 1_024;

/// Reads and admits a request whose head arrived at `started`; its deadline counts from then on.
///
/// # Errors
/// Returns the refusal to send to the caller.
pub async fn admit(node: &Node, request: &mut Incoming, started: Instant) -> Result<Call, Refusal> {
    match try_admit(node, request, started).await {
        Ok(call) => Ok(call),
        Err(refusal) => Err(adjust_refusal(node, request.headers(), refusal)),
    }
}

/// Adjusts the refusal of a request whose key was dispatched here before, which may
/// have run.
fn adjust_refusal(node: &Node, headers: &HeaderMap, refusal: Refusal) -> Refusal {
    let config = node.config.load();
    let sender = bearer(headers).and_then(|secret| authenticate(&config, secret, false));
    let Ok(sender) = sender else {
        return refusal;
    };
    if is_resumption(node, headers, &sender) {
        return repeat::with_unknown_outcome(refusal);
    }
    match surface::key(headers) {
        Ok(Some(key)) => repeat::adjust_outcome(&node.history, &sender.name, key, refusal),
        _ => refusal,
    }
}

/// Whether the request resumes a stream that belongs to its sender.
fn is_resumption(node: &Node, headers: &HeaderMap, sender: &Sender) -> bool {
    let id = headers.get(LAST_EVENT).and_then(|id| id.to_str().ok());
    let Some((text, _seen)) = id.and_then(|id| parse_event_id(id.trim())) else {
        return false;
    };
    ResumeToken::verify(text, sender.name.as_str(), &node.secret).is_ok()
}

async fn try_admit(node: &Node, request: &mut Incoming, started: Instant) -> Result<Call, Refusal> {
    let uri = request.uri().clone();
    let route = route(request.method(), uri.path(), uri.query())?;
    let config = node.config.load();
    let sender = authenticate(&config, bearer(request.headers())?, node.is_stale())?;
    let options = options(request.headers())?;
    let limit = Duration::from_millis(node.settings.deadline_ms);
    let deadline = started + options.deadline.unwrap_or(limit).min(limit);
    check_accepting(node)?;
    let body = read_body(request, node.settings.body_limit, deadline).await?;
    let original = Original {
        method: request.method().clone(),
        target: uri.to_string(),
        headers: request.headers().clone(),
        body,
    };
    let admission = Admission {
        node,
        config,
        sender,
        options,
        deadline,
    };
    match (route, &admission.options.last_event) {
        (Route::Stream | Route::Chat | Route::Completion, Some(_)) => admission.resume(original),
        (Route::Stream, None) => Err(malformed(LAST_EVENT, "is missing")),
        (Route::Chat, None) => admission.model(original, true),
        (Route::Completion, None) => admission.model(original, false),
        (Route::Service { pool, target }, _) => admission.service(original, &pool, target),
    }
}

/// Checks that this router accepts new work.
///
/// # Errors
/// Fails while the router is stopping, retired or blocked by unstored charges.
fn check_accepting(node: &Node) -> Result<(), Refusal> {
    if node.is_stopping() {
        let detail = "this router is stopping";
        return Err(unavailable(detail));
    }
    if node.is_retired() {
        let detail = "this router's VM is declared gone for good";
        return Err(unavailable(detail));
    }
    if node.settler.is_stuck() {
        let detail = "this router has charges that no ledger has stored yet";
        return Err(unavailable(detail));
    }
    Ok(())
}

async fn read_body(
    request: &mut Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let body = request.body_until(limit, deadline).await;
    body.map_err(|error| match error {
        BodyError::TooLarge => {
            let detail = format!("the body is longer than {limit} bytes");
            Refusal::not_run(RefusalKind::TooLarge, detail)
        }
        BodyError::Timeout | BodyError::Stalled => {
            Refusal::not_run(RefusalKind::SlowBody, error.to_string())
        }
        BodyError::NoMemory => {
            Refusal::not_run(RefusalKind::Overloaded, error.to_string()).with_retry(BUSY_RETRY)
        }
        BodyError::Broken => malformed("body", error.to_string()),
    })
}

/// A request whose sender is authenticated.
struct Admission<'a> {
    node: &'a Node,
    config: Arc<Config>,
    sender: Sender,
    options: Options,
    deadline: Instant,
}

/// The parts of a call that depend on the kind of its work.
struct CallParts {
    pool: Arc<Pool>,
    spec: Arc<PoolSpec>,
    once: bool,
    tokens: Tokens,
    work: Work,
}

impl Admission<'_> {
    fn model(self, original: Original, chat: bool) -> Result<Call, Refusal> {
        let body = parse_request(&original.body, chat)
            .map_err(|error| malformed(&error.field, error.detail))?;
        let (pool, spec) = self.pool(&body.model, PoolKind::Model)?;
        let bound = bound_tokens(&body, spec.max_tokens, spec.token_bytes);
        let work = ModelWork {
            body: body.for_engine(bound.answer).into(),
            chat,
            stream: body.stream,
            prefix: prefix_hash(&body),
        };
        let parts = CallParts {
            pool,
            spec,
            once: self.options.once,
            tokens: bound.total(),
            work: Work::Model(work),
        };
        let key = self.options.key;
        self.call(original, key, parts)
    }

    fn service(self, original: Original, name: &str, target: String) -> Result<Call, Refusal> {
        let (pool, spec) = self.pool(name, PoolKind::Service)?;
        let method = original.method.as_str();
        let once = self.options.once || spec.once.iter().any(|once| once == method);
        let parts = CallParts {
            tokens: spec.call_tokens,
            pool,
            spec,
            once,
            work: Work::Service(ServiceWork { target }),
        };
        let key = self.options.key;
        self.call(original, key, parts)
    }

    fn resume(self, original: Original) -> Result<Call, Refusal> {
        let id = self.options.last_event.as_deref().unwrap_or_default();
        let (text, seen) =
            parse_event_id(id).ok_or_else(|| malformed(LAST_EVENT, "no event id"))?;
        let name = self.sender.name.as_str();
        let token = ResumeToken::verify(text, name, &self.node.secret).map_err(token_refusal)?;
        let key = RequestKey::from_bytes(&token.key)
            .map_err(|error| malformed(LAST_EVENT, error.to_string()))?;
        if self.options.key.is_some_and(|given| given != key) {
            return Err(malformed(surface::KEY, "is not the key of the stream"));
        }
        let (pool, spec) = self.pool(&token.pool, PoolKind::Model)?;
        let work = ResumeWork {
            text: text.to_owned(),
            from: seen.saturating_add(1),
            token,
        };
        let parts = CallParts {
            pool,
            spec,
            // Resuming a stream runs nothing, so it may be repeated.
            once: false,
            tokens: 0,
            work: Work::Resume(work),
        };
        self.call(original, Some(key), parts)
    }

    fn pool(&self, name: &str, kind: PoolKind) -> Result<(Arc<Pool>, Arc<PoolSpec>), Refusal> {
        let spec = self.config.pools.get(name).filter(|spec| spec.kind == kind);
        match (spec, self.node.pools.get(name)) {
            (Some(spec), Some(pool)) => Ok((pool, Arc::clone(spec))),
            _ => {
                let what = if kind == PoolKind::Model {
                    "model"
                } else {
                    "service pool"
                };
                let detail = format!("there is no {what} {name}");
                Err(Refusal::not_run(RefusalKind::UnknownPool, detail))
            }
        }
    }

    fn call(
        self,
        original: Original,
        key: Option<RequestKey>,
        parts: CallParts,
    ) -> Result<Call, Refusal> {
        let workspace = &self.sender.workspace;
        let wanted = self.options.class.as_ref();
        let (class_name, class) = class_of(&self.config, workspace, wanted)?;
        let (budget, bound) = match &parts.work {
            // The budget and the maximum cost with which the stream was admitted.
            Work::Resume(resume) => (
                BudgetName::from(resume.token.budget.as_str()),
                resume.token.bound,
            ),
            _ => (workspace.budget.clone(), cost(parts.tokens, class.price)),
        };
        let evicted = self
            .node
            .members
            .find(&budget)
            .map_or(0, |membership| membership.evicted_ms);
        let now = wall_ms();
        let has_key = key.is_some();
        let key = key.unwrap_or_else(|| RequestKey::generate(now));
        let keys = &self.node.keys;
        let taken = match &parts.work {
            Work::Resume(_) => keys.share(&self.sender.name, key, now, evicted),
            _ => keys.take(&self.sender.name, key, now, evicted),
        };
        let key_use = taken.map_err(key_refusal)?;
        // Checked again while the key is in use: a stop that begins from here on waits
        // for this request.
        check_accepting(self.node)?;
        let identity = identity(&key_use, has_key, &original);
        Ok(Call {
            key_use,
            has_key,
            budget,
            class_name,
            class,
            pool: parts.pool,
            pool_spec: parts.spec,
            once: parts.once,
            relayed: self.options.relayed,
            deadline: self.deadline,
            bound,
            identity,
            work: parts.work,
            original,
        })
    }
}

fn prefix_hash(body: &RequestBody) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.prefix(PREFIX_BYTES).hash(&mut hasher);
    hasher.finish().max(1)
}

fn identity(key_use: &KeyUse, has_key: bool, original: &Original) -> u64 {
    let mut hasher = DefaultHasher::new();
    key_use.workspace().hash(&mut hasher);
    if has_key {
        key_use.key().hash(&mut hasher);
    } else {
        original.target.hash(&mut hasher);
        original.body.hash(&mut hasher);
    }
    hasher.finish().max(1)
}

fn key_refusal(refusal: KeyRefusal) -> Refusal {
    match refusal {
        KeyRefusal::Future => malformed(surface::KEY, "was created in the future"),
        KeyRefusal::TooOld => {
            let detail = "the key is older than the time for which keys are remembered";
            Refusal::unknown(RefusalKind::KeyTooOld, detail)
        }
        KeyRefusal::InUse => {
            let detail = "a request with this key is in flight on this router";
            Refusal::unknown(RefusalKind::KeyInUse, detail).with_retry(KEY_RETRY)
        }
    }
}

fn token_refusal(error: TokenError) -> Refusal {
    match error {
        TokenError::Invalid => malformed(LAST_EVENT, error.to_string()),
        TokenError::Foreign => Refusal::not_run(RefusalKind::Forbidden, error.to_string()),
    }
}

fn unavailable(detail: &str) -> Refusal {
    Refusal::not_run(RefusalKind::Unavailable, detail).with_retry(BUSY_RETRY)
}

/// The refusal when no backend server of a pool accepts work.
#[must_use]
pub fn no_server(pool: &PoolName, retry: Option<Duration>) -> Refusal {
    let detail = format!("no backend server of {pool} takes new work now");
    let retry = retry.unwrap_or(BUSY_RETRY).max(BUSY_RETRY);
    Refusal::not_run(RefusalKind::NoServer, detail).with_retry(retry)
}
