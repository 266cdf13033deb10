//! HTTP client of the operator interface, with failover between operators.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use percent_encoding::{NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
use serde::de::DeserializeOwned;
use serde_json::Value;
use swiftlink_fetch::{Answer, Call, Http, HttpError};

use crate::api::{
    Applied, ApplyRequest, Budget, CHANGE_FIRST_HEADER, CHANGE_ID_HEADER, Certainty, Problem,
    Resource, ResourceList, Status,
};
use crate::{ClientError, ClientSettings, FailedAttempts, WatchStream};

/// Timeout of a call; longer than the operator's own timeout of an apply.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of times that an undecided apply is tried at every operator.
const MAX_APPLY_ROUNDS: u32 = 2;

/// Prefix of the problem types of the operator interface.
const PROBLEM_URN_PREFIX: &str = "urn:swiftlink:problem:";

/// Client of the operator interface.
#[derive(Debug)]
pub struct Operator {
    http: Http,
    settings: ClientSettings,
    /// Index of the operator that responded last, which is tried first.
    preferred: AtomicUsize,
}

/// A request, independent of the operator that it is sent to.
struct ApiRequest<'a> {
    method: Method,
    path: &'a str,
    headers: Vec<(&'static str, &'a str)>,
    body: Bytes,
}

impl<'a> ApiRequest<'a> {
    fn get(path: &'a str) -> Self {
        Self {
            method: Method::GET,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }
}

impl Operator {
    /// Creates a client of the operators in `settings`.
    #[must_use]
    pub fn open(settings: ClientSettings) -> Self {
        Self {
            http: Http::open(concat!("swiftlink/", env!("CARGO_PKG_VERSION"))),
            settings,
            preferred: AtomicUsize::new(0),
        }
    }

    /// Applies a change set with the idempotency key `id`, which repeated calls must reuse.
    ///
    /// `repeat` states that the id may have been sent before. Returns once the set is decided;
    /// an undecided call is repeated at the next operator.
    ///
    /// # Errors
    /// Fails if the set was rejected or no operator could obtain a decision.
    pub async fn apply(
        &self,
        request: &ApplyRequest,
        id: &str,
        repeat: bool,
    ) -> Result<Applied, ClientError> {
        let body = Bytes::from(serde_json::to_vec(request).expect("plain data serialises"));
        let mut maybe_appended = repeat;
        let mut last = None;
        for _round in 0..MAX_APPLY_ROUNDS {
            for address in self.by_preference() {
                let error = match self.apply_at(address, id, &body, maybe_appended).await {
                    Ok(applied) => {
                        self.prefer(address);
                        return Ok(applied);
                    }
                    Err(error) => error,
                };
                match classify(&error) {
                    FailedApply::Final => return Err(error),
                    FailedApply::NotApplied => {}
                    FailedApply::Uncertain => maybe_appended = true,
                }
                last = Some(error);
            }
            if !maybe_appended {
                break;
            }
        }
        let error = last.unwrap_or_else(|| ClientError::Unreachable(FailedAttempts::default()));
        if !maybe_appended {
            return Err(error);
        }
        Err(ClientError::Unknown {
            id: id.to_owned(),
            cause: Box::new(error),
        })
    }

    /// Lists all resources of a kind.
    ///
    /// # Errors
    /// Fails if no operator responds or the kind is unknown.
    pub async fn list(&self, kind: &str) -> Result<ResourceList, ClientError> {
        self.call_json(&ApiRequest::get(&format!("/v1/resources/{}", encode(kind))))
            .await
    }

    /// Returns one resource.
    ///
    /// # Errors
    /// Fails if no operator responds or the resource doesn't exist.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Resource, ClientError> {
        self.call_json(&ApiRequest::get(&format!(
            "/v1/resources/{}/{}",
            encode(kind),
            encode(name)
        )))
        .await
    }

    /// Watches the events of a kind (or all kinds) after version `from`, or after the current
    /// version if `from` is `None`.
    ///
    /// # Errors
    /// Fails if no operator responds or the events after that version are no longer retained.
    pub async fn watch(
        &self,
        kind: Option<&str>,
        from: Option<u64>,
    ) -> Result<WatchStream, ClientError> {
        let mut path = String::from("/v1/watch?");
        if let Some(from) = from {
            path.push_str(&format!("from={from}&"));
        }
        if let Some(kind) = kind {
            path.push_str(&format!("kind={}", encode(kind)));
        }
        let request = ApiRequest::get(&path);
        let mut attempts = Vec::new();
        for address in self.by_preference() {
            let call = self.to_call(address, &request);
            let sent = tokio::time::timeout(CALL_TIMEOUT, self.http.send(&call)).await;
            let response = match sent.unwrap_or(Err(HttpError::Timeout(CALL_TIMEOUT))) {
                Ok(response) => response,
                Err(error) => {
                    attempts.push((address, error));
                    continue;
                }
            };
            let status = response.status();
            let headers = response.headers().clone();
            if status.is_success() {
                return Ok(WatchStream::new(address, response.into_body(), from));
            }
            let body = response.into_body().collect().await;
            let body = body.map(|whole| whole.to_bytes()).unwrap_or_default();
            let answer = Answer {
                status,
                headers,
                body,
            };
            return Err(to_error(address, &answer));
        }
        Err(ClientError::Unreachable(FailedAttempts(attempts)))
    }

    /// Returns the status of all processes in the operator's settings.
    ///
    /// # Errors
    /// Fails if no operator responds.
    pub async fn status(&self) -> Result<Status, ClientError> {
        self.call_json(&ApiRequest::get("/v1/status")).await
    }

    /// Returns a ledger's view of a budget.
    ///
    /// # Errors
    /// Fails if no operator responds, none of its ledgers responds, or the budget doesn't exist.
    pub async fn budget(&self, name: &str) -> Result<Budget, ClientError> {
        self.call_json(&ApiRequest::get(&format!("/v1/budgets/{}", encode(name))))
            .await
    }

    /// Returns the state dump of a process.
    ///
    /// # Errors
    /// Fails if no operator responds, or the process is unknown or doesn't respond.
    pub async fn dump(&self, process: &str) -> Result<Value, ClientError> {
        self.call_json(&ApiRequest::get(&format!(
            "/v1/processes/{}/dump",
            encode(process)
        )))
        .await
    }

    /// Sets the log level of a process.
    ///
    /// # Errors
    /// Fails if no operator responds, or the process is unknown, doesn't respond or refuses the
    /// level.
    pub async fn set_log_level(&self, process: &str, level: &str) -> Result<Value, ClientError> {
        let path = format!("/v1/processes/{}/log-level", encode(process));
        let request = ApiRequest {
            method: Method::PUT,
            body: Bytes::from(level.to_owned()),
            ..ApiRequest::get(&path)
        };
        self.call_json(&request).await
    }

    /// Returns the log level of a process.
    ///
    /// # Errors
    /// Fails if no operator responds, or the process is unknown or doesn't respond.
    pub async fn read_log_level(&self, process: &str) -> Result<Value, ClientError> {
        let path = format!("/v1/processes/{}/log-level", encode(process));
        self.call_json(&ApiRequest::get(&path)).await
    }

    async fn apply_at(
        &self,
        address: SocketAddr,
        id: &str,
        body: &Bytes,
        maybe_appended: bool,
    ) -> Result<Applied, ClientError> {
        let mut headers = vec![(CHANGE_ID_HEADER, id)];
        if !maybe_appended {
            headers.push((CHANGE_FIRST_HEADER, "true"));
        }
        let request = ApiRequest {
            method: Method::POST,
            path: "/v1/apply",
            headers,
            body: body.clone(),
        };
        let answer = self
            .http
            .fetch(&self.to_call(address, &request), CALL_TIMEOUT)
            .await;
        match answer {
            Ok(answer) => parse(address, &answer),
            Err(cause @ HttpError::Unreachable(_)) => Err(ClientError::Unreachable(
                FailedAttempts(vec![(address, cause)]),
            )),
            Err(cause) => Err(ClientError::Lost { address, cause }),
        }
    }

    /// Sends a request to the operators in turn until one responds; for idempotent requests.
    async fn call_json<T: DeserializeOwned>(
        &self,
        request: &ApiRequest<'_>,
    ) -> Result<T, ClientError> {
        let mut attempts = Vec::new();
        for address in self.by_preference() {
            match self
                .http
                .fetch(&self.to_call(address, request), CALL_TIMEOUT)
                .await
            {
                Ok(answer) => {
                    self.prefer(address);
                    return parse(address, &answer);
                }
                Err(error) => attempts.push((address, error)),
            }
        }
        Err(ClientError::Unreachable(FailedAttempts(attempts)))
    }

    fn to_call<'a>(&'a self, address: SocketAddr, request: &ApiRequest<'a>) -> Call<'a> {
        Call {
            method: request.method.clone(),
            address,
            path: request.path,
            token: Some(&self.settings.token),
            headers: request.headers.clone(),
            body: request.body.clone(),
        }
    }

    fn by_preference(&self) -> Vec<SocketAddr> {
        let mut operators = self.settings.operators.clone();
        let first = self.preferred.load(Ordering::Relaxed);
        let count = operators.len();
        operators.rotate_left(first.min(count));
        operators
    }

    fn prefer(&self, address: SocketAddr) {
        let index = self
            .settings
            .operators
            .iter()
            .position(|known| *known == address);
        self.preferred.store(index.unwrap_or(0), Ordering::Relaxed);
    }
}

/// Percent-encodes a text as a path segment or query value.
fn encode(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, NON_ALPHANUMERIC)
}

/// What is known about the set after a failed apply.
enum FailedApply {
    /// The set is decided or invalid: a retry would fail in the same way.
    Final,
    /// This call appended nothing: another operator may succeed.
    NotApplied,
    /// The set may have been appended.
    Uncertain,
}

fn classify(error: &ClientError) -> FailedApply {
    match error {
        ClientError::Unreachable(_) | ClientError::NotOperator(_) => FailedApply::NotApplied,
        ClientError::Refused(problem) => match problem.applied {
            Some(Certainty::No) => FailedApply::NotApplied,
            Some(Certainty::Unknown) => FailedApply::Uncertain,
            None => FailedApply::Final,
        },
        _ => FailedApply::Uncertain,
    }
}

fn parse<T: DeserializeOwned>(address: SocketAddr, answer: &Answer) -> Result<T, ClientError> {
    if !answer.status.is_success() {
        return Err(to_error(address, answer));
    }
    let parsed = serde_json::from_slice(&answer.body);
    parsed.map_err(|error| ClientError::Protocol {
        address,
        detail: error.to_string(),
    })
}

fn to_error(address: SocketAddr, answer: &Answer) -> ClientError {
    match serde_json::from_slice::<Problem>(&answer.body) {
        Ok(problem) if problem.kind.starts_with(PROBLEM_URN_PREFIX) => {
            ClientError::Refused(Box::new(problem))
        }
        // Another kind of server, for example the admin endpoint of a process.
        _ if answer.status == StatusCode::NOT_FOUND => ClientError::NotOperator(address),
        _ => protocol(address, answer.status),
    }
}

fn protocol(address: SocketAddr, status: StatusCode) -> ClientError {
    ClientError::Protocol {
        address,
        detail: format!("status {status} without a problem of the operator interface"),
    }
}
