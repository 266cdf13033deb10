//! The operator interface over HTTP, at the first operator that can be reached.

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
use crate::{ClientError, ClientSettings, Tries, WatchStream};

/// Time limit of a call; longer than the operator's own limit for an apply.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Rounds over all operators that an undecided apply is repeated for.
const APPLY_ROUNDS: u32 = 2;

/// How the type of every problem of the operator interface begins.
const PROBLEM_URN: &str = "urn:swiftlink:problem:";

/// Client of the operator interface.
#[derive(Debug)]
pub struct Operator {
    http: Http,
    settings: ClientSettings,
    /// Index of the operator that answered last; it is asked first.
    preferred: AtomicUsize,
}

/// What one call sends, whichever operator it goes to.
struct Ask<'a> {
    method: Method,
    path: &'a str,
    headers: Vec<(&'static str, &'a str)>,
    body: Bytes,
}

impl<'a> Ask<'a> {
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
    /// A client of the operators in `settings`.
    #[must_use]
    pub fn open(settings: ClientSettings) -> Self {
        Self {
            http: Http::open(concat!("swiftlink/", env!("CARGO_PKG_VERSION"))),
            settings,
            preferred: AtomicUsize::new(0),
        }
    }

    /// Applies a change set under the id `id`, which a repeated call must keep.
    ///
    /// `repeat` says that the id may have been sent before. Returns once the log
    /// has decided; an undecided call is repeated at the next operator.
    ///
    /// # Errors
    /// When the set was rejected, or no operator could have it decided.
    pub async fn apply(
        &self,
        request: &ApplyRequest,
        id: &str,
        repeat: bool,
    ) -> Result<Applied, ClientError> {
        let body = Bytes::from(serde_json::to_vec(request).expect("plain data serialises"));
        let mut doubt = repeat;
        let mut last = None;
        for _round in 0..APPLY_ROUNDS {
            for address in self.order() {
                let error = match self.apply_at(address, id, &body, doubt).await {
                    Ok(applied) => {
                        self.prefer(address);
                        return Ok(applied);
                    }
                    Err(error) => error,
                };
                match verdict(&error) {
                    Verdict::Final => return Err(error),
                    Verdict::NotApplied => {}
                    Verdict::Doubtful => doubt = true,
                }
                last = Some(error);
            }
            if !doubt {
                break;
            }
        }
        let error = last.unwrap_or_else(|| ClientError::Unreachable(Tries::default()));
        if !doubt {
            return Err(error);
        }
        Err(ClientError::Unknown {
            id: id.to_owned(),
            cause: Box::new(error),
        })
    }

    /// All resources of a kind.
    ///
    /// # Errors
    /// When no operator answers, or the kind is unknown.
    pub async fn list(&self, kind: &str) -> Result<ResourceList, ClientError> {
        self.json(&Ask::get(&format!("/v1/resources/{}", part(kind))))
            .await
    }

    /// One resource.
    ///
    /// # Errors
    /// When no operator answers, or there is no such resource.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Resource, ClientError> {
        self.json(&Ask::get(&format!(
            "/v1/resources/{}/{}",
            part(kind),
            part(name)
        )))
        .await
    }

    /// Events of a kind (or of all) after version `from`; from now on when `None`.
    ///
    /// # Errors
    /// When no operator answers, or none remembers events from that version on.
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
            path.push_str(&format!("kind={}", part(kind)));
        }
        let ask = Ask::get(&path);
        let mut tries = Vec::new();
        for address in self.order() {
            let call = self.call(address, &ask);
            let sent = tokio::time::timeout(CALL_TIMEOUT, self.http.send(&call)).await;
            let response = match sent.unwrap_or(Err(HttpError::Timeout(CALL_TIMEOUT))) {
                Ok(response) => response,
                Err(error) => {
                    tries.push((address, error));
                    continue;
                }
            };
            let status = response.status();
            if status.is_success() {
                return Ok(WatchStream::new(address, response.into_body(), from));
            }
            let body = response.into_body().collect().await;
            let body = body.map(|whole| whole.to_bytes()).unwrap_or_default();
            return Err(refusal(address, &Answer { status, body }));
        }
        Err(ClientError::Unreachable(Tries(tries)))
    }

    /// State of every process that the operator knows of.
    ///
    /// # Errors
    /// When no operator answers.
    pub async fn status(&self) -> Result<Status, ClientError> {
        self.json(&Ask::get("/v1/status")).await
    }

    /// What a ledger knows of a budget.
    ///
    /// # Errors
    /// When no operator answers, or none of its ledgers knows the budget.
    pub async fn budget(&self, name: &str) -> Result<Budget, ClientError> {
        self.json(&Ask::get(&format!("/v1/budgets/{}", part(name))))
            .await
    }

    /// State dump of a process.
    ///
    /// # Errors
    /// When no operator answers, or the process is unknown or does not answer.
    pub async fn dump(&self, process: &str) -> Result<Value, ClientError> {
        self.json(&Ask::get(&format!("/v1/processes/{}/dump", part(process))))
            .await
    }

    /// Sets the log level of a process.
    ///
    /// # Errors
    /// When no operator answers, or the process is unknown, does not answer or refuses the level.
    pub async fn log_level(&self, process: &str, level: &str) -> Result<Value, ClientError> {
        let path = format!("/v1/processes/{}/log-level", part(process));
        let ask = Ask {
            method: Method::PUT,
            body: Bytes::from(level.to_owned()),
            ..Ask::get(&path)
        };
        self.json(&ask).await
    }

    /// The log level of a process.
    ///
    /// # Errors
    /// When no operator answers, or the process is unknown or does not answer.
    pub async fn read_level(&self, process: &str) -> Result<Value, ClientError> {
        let path = format!("/v1/processes/{}/log-level", part(process));
        self.json(&Ask::get(&path)).await
    }

    async fn apply_at(
        &self,
        address: SocketAddr,
        id: &str,
        body: &Bytes,
        doubt: bool,
    ) -> Result<Applied, ClientError> {
        let mut headers = vec![(CHANGE_ID_HEADER, id)];
        if !doubt {
            headers.push((CHANGE_FIRST_HEADER, "true"));
        }
        let ask = Ask {
            method: Method::POST,
            path: "/v1/apply",
            headers,
            body: body.clone(),
        };
        let answer = self
            .http
            .fetch(&self.call(address, &ask), CALL_TIMEOUT)
            .await;
        match answer {
            Ok(answer) => parse(address, &answer),
            Err(cause @ HttpError::Unreachable(_)) => {
                Err(ClientError::Unreachable(Tries(vec![(address, cause)])))
            }
            Err(cause) => Err(ClientError::Lost { address, cause }),
        }
    }

    /// Asks the operators in turn until one answers; for calls that change nothing twice.
    async fn json<T: DeserializeOwned>(&self, ask: &Ask<'_>) -> Result<T, ClientError> {
        let mut tries = Vec::new();
        for address in self.order() {
            match self
                .http
                .fetch(&self.call(address, ask), CALL_TIMEOUT)
                .await
            {
                Ok(answer) => {
                    self.prefer(address);
                    return parse(address, &answer);
                }
                Err(error) => tries.push((address, error)),
            }
        }
        Err(ClientError::Unreachable(Tries(tries)))
    }

    fn call<'a>(&'a self, address: SocketAddr, ask: &Ask<'a>) -> Call<'a> {
        Call {
            method: ask.method.clone(),
            address,
            path: ask.path,
            token: Some(&self.settings.token),
            headers: ask.headers.clone(),
            body: ask.body.clone(),
        }
    }

    fn order(&self) -> Vec<SocketAddr> {
        let mut order = self.settings.operators.clone();
        let first = self.preferred.load(Ordering::Relaxed);
        let count = order.len();
        order.rotate_left(first.min(count));
        order
    }

    fn prefer(&self, address: SocketAddr) {
        let place = self
            .settings
            .operators
            .iter()
            .position(|known| *known == address);
        self.preferred.store(place.unwrap_or(0), Ordering::Relaxed);
    }
}

/// A text as one part of a path or query.
fn part(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, NON_ALPHANUMERIC)
}

/// What a failed apply leaves open.
enum Verdict {
    /// Decided; asking again would give the same.
    Final,
    /// This call appended nothing; another operator may do better.
    NotApplied,
    /// The set may have been appended.
    Doubtful,
}

fn verdict(error: &ClientError) -> Verdict {
    match error {
        ClientError::Unreachable(_) | ClientError::NotOperator(_) => Verdict::NotApplied,
        ClientError::Refused(problem) => match problem.applied {
            Some(Certainty::No) => Verdict::NotApplied,
            Some(Certainty::Unknown) => Verdict::Doubtful,
            None => Verdict::Final,
        },
        _ => Verdict::Doubtful,
    }
}

fn parse<T: DeserializeOwned>(address: SocketAddr, answer: &Answer) -> Result<T, ClientError> {
    if !answer.status.is_success() {
        return Err(refusal(address, answer));
    }
    let parsed = serde_json::from_slice(&answer.body);
    parsed.map_err(|error| ClientError::Protocol {
        address,
        detail: error.to_string(),
    })
}

fn refusal(address: SocketAddr, answer: &Answer) -> ClientError {
    match serde_json::from_slice::<Problem>(&answer.body) {
        Ok(problem) if problem.kind.starts_with(PROBLEM_URN) => {
            ClientError::Refused(Box::new(problem))
        }
        // Some other server, the admin address of a process for one.
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
