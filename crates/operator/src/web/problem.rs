//! Error responses (RFC 9457).

use std::time::Duration;

use http::header::{CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, StatusCode};
use swiftlink_client::api::{CHANGE_ID_HEADER, Certainty, PROBLEM_TYPE, Problem, RejectedChange};
use swiftlink_resource::{Reject, RejectReason};
use swiftlink_shell::web::{Body, BodyError, Response};

/// Error response to a request.
#[derive(Debug)]
pub(super) struct ApiError(Box<Problem>);

impl ApiError {
    pub(super) fn new(status: StatusCode, slug: &str, title: &str, detail: &str) -> Self {
        Self(Box::new(Problem {
            kind: format!("urn:swiftlink:problem:{slug}"),
            title: title.to_owned(),
            status: status.as_u16(),
            detail: detail.to_owned(),
            field: None,
            rejects: Vec::new(),
            applied: None,
            change_id: None,
            retry_ms: None,
        }))
    }

    pub(super) fn unauthenticated() -> Self {
        let detail = "send the operators' token as `Authorization: Bearer TOKEN`";
        let title = "The operators' token is missing or wrong";
        Self::new(StatusCode::UNAUTHORIZED, "unauthenticated", title, detail)
    }

    pub(super) fn malformed(field: &str, detail: &str) -> Self {
        let title = "The request is malformed";
        let mut error = Self::new(StatusCode::BAD_REQUEST, "malformed", title, detail);
        error.0.field = Some(field.to_owned());
        error
    }

    pub(super) fn body(error: BodyError) -> Self {
        let title = "The request body can't be read";
        Self::new(error.status(), "body", title, &error.to_string())
    }

    pub(super) fn not_found(detail: &str) -> Self {
        Self::new(
            StatusCode::NOT_FOUND,
            "not-found",
            "There is no such thing",
            detail,
        )
    }

    pub(super) fn no_path(path: &str) -> Self {
        Self::not_found(&format!("no path {path:?} in the resource interface"))
    }

    pub(super) fn method() -> Self {
        let title = "The path has other methods";
        let detail = "see the list of paths in the operators' guide";
        Self::new(StatusCode::METHOD_NOT_ALLOWED, "method", title, detail)
    }

    pub(super) fn loading() -> Self {
        let title = "The operator does not know the configuration yet";
        let detail = "it was not read to its end since the start; the log may be out";
        let error = Self::new(StatusCode::SERVICE_UNAVAILABLE, "loading", title, detail);
        error.with_retry(Duration::from_secs(1))
    }

    pub(super) fn stopping() -> Self {
        let title = "The operator is stopping";
        let detail = "ask another operator";
        Self::new(StatusCode::SERVICE_UNAVAILABLE, "stopping", title, detail)
    }

    pub(super) fn gone(oldest: u64) -> Self {
        let title = "Events from that version on are no longer kept";
        let detail = format!("a watch can begin from version {oldest}; list the resources first");
        Self::new(StatusCode::GONE, "gone", title, &detail)
    }

    pub(super) fn unreachable(detail: &str) -> Self {
        let title = "A process does not answer";
        Self::new(StatusCode::BAD_GATEWAY, "unreachable", title, detail)
    }

    pub(super) fn rejected(id: &str, rejects: &[Reject]) -> Self {
        let rejects: Vec<_> = rejects.iter().map(to_rejected_change).collect();
        let mut detail = String::new();
        for reject in &rejects {
            if !detail.is_empty() {
                detail.push_str("; ");
            }
            detail.push_str(&format!(
                "{}/{}: {}",
                reject.kind, reject.name, reject.detail
            ));
        }
        let title = "The change was rejected as a whole";
        let mut error = Self::new(StatusCode::CONFLICT, "rejected", title, &detail);
        error.0.rejects = rejects;
        error.0.change_id = Some(id.to_owned());
        error
    }

    pub(super) fn undecided(id: &str, applied: Certainty, detail: &str, retry: Duration) -> Self {
        let title = match applied {
            Certainty::No => "The change was not applied",
            Certainty::Unknown => "It is not known whether the change was applied",
        };
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let mut error = Self::new(status, "undecided", title, detail).with_retry(retry);
        error.0.applied = Some(applied);
        error.0.change_id = Some(id.to_owned());
        error
    }

    fn with_retry(mut self, after: Duration) -> Self {
        self.0.retry_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    pub(super) fn response(self) -> Response {
        let content = serde_json::to_vec(&self.0).expect("a problem is plain data");
        let mut response = Response::new(Body::full(content));
        let status = StatusCode::from_u16(self.0.status);
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
        if self.0.status == StatusCode::UNAUTHORIZED.as_u16() {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(ms) = self.0.retry_ms {
            headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000).max(1)));
        }
        if let Some(id) = self.0.change_id
            && let Ok(value) = HeaderValue::from_str(&id)
        {
            headers.insert(CHANGE_ID_HEADER, value);
        }
        response
    }
}

fn to_rejected_change(reject: &Reject) -> RejectedChange {
    let mut current = None;
    let (reason, detail) = match &reject.reason {
        RejectReason::Conflict { current: version } => {
            current = Some(*version);
            let detail = match version {
                0 => "it does not exist".to_owned(),
                version => format!("it is at version {version} now"),
            };
            ("conflict", detail)
        }
        RejectReason::Invalid { field, detail } => ("invalid", format!("{field}: {detail}")),
        RejectReason::Missing { kind, name } => (
            "missing",
            format!("needs {kind}/{name}, which does not exist"),
        ),
        RejectReason::InUse { by } => ("in-use", format!("{by} needs it")),
        RejectReason::Immutable => {
            let detail = "resources of this kind can't be changed or deleted";
            ("immutable", detail.to_owned())
        }
    };
    RejectedChange {
        kind: reject.kind.clone(),
        name: reject.name.clone(),
        reason: reason.to_owned(),
        detail,
        current,
    }
}
