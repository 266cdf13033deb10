//! Handler of `POST /v1/apply`.

use std::sync::Arc;

use http::StatusCode;
use swiftlink_client::api::{ApplyRequest, CHANGE_FIRST_HEADER, CHANGE_ID_HEADER, Certainty};
use swiftlink_resource::Kind;
use swiftlink_shell::web::{self, Incoming, Response};
use uuid::Uuid;

use super::Interface;
use super::problem::ApiError;
use crate::applier::{Outcome, Submission};

/// Maximum size of the body (bytes).
const MAX_BODY_BYTES: usize = 4 << 20;
/// Maximum length of a change id (bytes).
const MAX_ID_BYTES: usize = 128;
/// Field reported when the body isn't valid JSON.
const BODY_FIELD: &str = "body";

impl Interface {
    pub(super) async fn apply(&self, request: &mut Incoming) -> Result<Response, ApiError> {
        let (id, is_first_use) = change_id(request)?;
        let body = request.body(MAX_BODY_BYTES).await.map_err(ApiError::body)?;
        let submission = Submission {
            request: parse(&body)?,
            id: id.clone(),
            is_first_use,
        };
        let applier = Arc::clone(&self.applier);
        let outcome = self
            .detach(async move { applier.apply(&submission).await })
            .await;
        // A task that ended early may have appended the set.
        let outcome = outcome.unwrap_or_else(|_error| Outcome::interrupted());
        to_response(&id, outcome)
    }
}

/// Returns the id of the set and whether the id is used for the first time.
fn change_id(request: &Incoming) -> Result<(String, bool), ApiError> {
    let headers = request.headers();
    if !headers.contains_key(CHANGE_ID_HEADER) {
        return Ok((Uuid::now_v7().to_string(), true));
    }
    let id = request.header(CHANGE_ID_HEADER).unwrap_or_default();
    if id.is_empty() || id.len() > MAX_ID_BYTES {
        let detail = format!("must be 1 to {MAX_ID_BYTES} visible characters");
        return Err(ApiError::malformed(CHANGE_ID_HEADER, &detail));
    }
    let is_first_use = request.header(CHANGE_FIRST_HEADER) == Some("true");
    Ok((id.to_owned(), is_first_use))
}

fn parse(body: &[u8]) -> Result<ApplyRequest, ApiError> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    let request: Result<ApplyRequest, _> = serde_path_to_error::deserialize(&mut reader);
    let request = request.map_err(|error| {
        let detail = error.inner().to_string();
        ApiError::malformed(&error_field(&error.path().to_string(), &detail), &detail)
    })?;
    reader
        .end()
        .map_err(|error| ApiError::malformed(BODY_FIELD, &error.to_string()))?;
    if request.changes.is_empty() {
        return Err(ApiError::malformed("changes", "must not be empty"));
    }
    for (index, change) in request.changes.iter().enumerate() {
        if change.kind.parse::<Kind>().is_err() {
            let field = format!("changes[{index}].kind");
            let known = Kind::ALL.map(Kind::as_str).join(", ");
            let detail = format!("{:?} is no kind; known are {known}", change.kind);
            return Err(ApiError::malformed(&field, &detail));
        }
        if !change.delete && change.spec.is_none() {
            let field = format!("changes[{index}].spec");
            return Err(ApiError::malformed(&field, "is missing"));
        }
    }
    Ok(request)
}

/// Returns the invalid field. The path doesn't include a missing field, so its name is taken
/// from the message.
fn error_field(path: &str, detail: &str) -> String {
    let missing = detail.strip_prefix("missing field `");
    let missing = missing.and_then(|rest| rest.split('`').next());
    match (path, missing) {
        (".", None) => BODY_FIELD.to_owned(),
        (".", Some(name)) => name.to_owned(),
        (path, None) => path.to_owned(),
        (path, Some(name)) => format!("{path}.{name}"),
    }
}

fn to_response(id: &str, outcome: Outcome) -> Result<Response, ApiError> {
    match outcome {
        Outcome::Accepted(applied) => Ok(web::json(StatusCode::OK, &applied)),
        Outcome::Rejected(rejects) => Err(ApiError::rejected(id, &rejects)),
        Outcome::NotApplied { detail, retry } => {
            Err(ApiError::undecided(id, Certainty::No, &detail, retry))
        }
        Outcome::Unknown { detail, retry } => {
            Err(ApiError::undecided(id, Certainty::Unknown, &detail, retry))
        }
    }
}
