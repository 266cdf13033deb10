//! The HTTP API for callers: paths and request headers.

use std::time::Duration;

use http::header::AUTHORIZATION;
use http::{HeaderMap, Method};
use swiftlink_types::{ClassName, Refusal, RefusalKind, RequestKey};

/// Header with the caller's request key.
pub const KEY: &str = "idempotency-key";
/// Header with the priority class.
pub const CLASS: &str = "x-priority";
/// Header that marks a request as non-idempotent if its value is `once`.
pub const RUN: &str = "swiftlink-run";
/// Header with the time limit of the request (ms).
pub const DEADLINE: &str = "swiftlink-deadline-ms";
/// Header with the id of the event after which a stream resumes.
pub const LAST_EVENT: &str = "last-event-id";
/// Header that marks a request as relayed by a peer router.
pub const RELAY: &str = "swiftlink-relay";

const CHAT: &str = "/v1/chat/completions";
const COMPLETIONS: &str = "/v1/completions";
const STREAMS: &str = "/v1/streams";
const SERVICES: &str = "/services/";

/// Operation that a request's path names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// A chat completion.
    Chat,
    /// A plain completion.
    Completion,
    /// Resumption of the stream named by `Last-Event-ID`.
    Stream,
    /// A call of a plain service.
    Service {
        /// Pool that serves it.
        pool: String,
        /// Path and query at the service.
        target: String,
    },
}

impl Route {
    /// Path of a completion request at a model engine.
    #[must_use]
    pub fn engine_path(is_chat: bool) -> &'static str {
        if is_chat { CHAT } else { COMPLETIONS }
    }
}

/// Parses a request's method, path and query.
///
/// # Errors
/// [`RefusalKind::UnknownPool`] if the path is unknown.
pub fn route(method: &Method, path: &str, query: Option<&str>) -> Result<Route, Refusal> {
    match path {
        CHAT if method == Method::POST => return Ok(Route::Chat),
        COMPLETIONS if method == Method::POST => return Ok(Route::Completion),
        STREAMS if method == Method::GET => return Ok(Route::Stream),
        _ => {}
    }
    let rest = path.strip_prefix(SERVICES).ok_or_else(|| {
        let detail = format!("there is nothing at {method} {path}");
        Refusal::not_run(RefusalKind::UnknownPool, detail)
    })?;
    let (pool, tail) = rest.split_once('/').unwrap_or((rest, ""));
    let target = match query {
        Some(query) => format!("/{tail}?{query}"),
        None => format!("/{tail}"),
    };
    Ok(Route::Service {
        pool: pool.to_owned(),
        target,
    })
}

/// Options that a request sets by its headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Options {
    /// Request key, if the caller set one.
    pub key: Option<RequestKey>,
    /// Requested priority class.
    pub class: Option<ClassName>,
    /// Whether the request must not run twice.
    pub once: bool,
    /// Time limit of the request.
    pub deadline: Option<Duration>,
    /// Id of the last event that the caller received.
    pub last_event: Option<String>,
    /// Whether a peer router relayed the request.
    pub relayed: bool,
}

/// Parses the request headers that the router knows.
///
/// # Errors
/// [`RefusalKind::Malformed`], naming the malformed header.
pub fn options(headers: &HeaderMap) -> Result<Options, Refusal> {
    let mut options = Options {
        key: key(headers)?,
        ..Options::default()
    };
    if let Some(text) = text(headers, CLASS)? {
        options.class = Some(ClassName::from(text.trim()));
    }
    options.once = match text(headers, RUN)?.map(str::trim) {
        None | Some("idempotent") => false,
        Some("once") => true,
        Some(_) => return Err(malformed(RUN, "must be `once` or `idempotent`")),
    };
    if let Some(text) = text(headers, DEADLINE)? {
        let ms: u64 = match text.trim().parse() {
            Ok(ms) if ms > 0 => ms,
            _ => return Err(malformed(DEADLINE, "must be a whole number above 0")),
        };
        options.deadline = Some(Duration::from_millis(ms));
    }
    options.last_event = text(headers, LAST_EVENT)?.map(|text| text.trim().to_owned());
    options.relayed = headers.contains_key(RELAY);
    Ok(options)
}

/// Parses the request key, if the caller set one.
///
/// # Errors
/// [`RefusalKind::Malformed`], naming the malformed header.
pub fn key(headers: &HeaderMap) -> Result<Option<RequestKey>, Refusal> {
    let Some(text) = text(headers, KEY)? else {
        return Ok(None);
    };
    let key = text.trim().trim_matches('"').parse();
    key.map(Some)
        .map_err(|error| malformed(KEY, format!("{error}")))
}

/// Returns the secret of the bearer token.
///
/// # Errors
/// [`RefusalKind::Unauthenticated`] if there is none.
pub fn bearer(headers: &HeaderMap) -> Result<&str, Refusal> {
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let parts = value.and_then(|value| value.split_once(' '));
    match parts {
        Some((scheme, secret)) if scheme.eq_ignore_ascii_case("bearer") => Ok(secret.trim()),
        _ => {
            let detail = "send `Authorization: Bearer <API key>`";
            Err(Refusal::not_run(RefusalKind::Unauthenticated, detail))
        }
    }
}

/// Creates a refusal that names the malformed field.
#[must_use]
pub fn malformed(field: &str, detail: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalKind::Malformed, detail).with_field(field)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed(name, "must be sent once"));
    }
    let text = value.to_str();
    text.map(Some)
        .map_err(|_error| malformed(name, "must be visible ASCII text"))
}
