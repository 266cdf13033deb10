//! `POST /v1/apply`

use std::sync::Arc;

use http::StatusCode;
use swiftlink_client::api::{ApplyRequest, CHANGE_FIRST_HEADER, CHANGE_ID_HEADER, Certainty};
use swiftlink_resource::Kind;
use swiftlink_shell::web::{self, Incoming, Response};
use uuid::Uuid;

use super::Interface;
use super::problem::Fault;
use crate::applier::{Order, Outcome};

/// Largest body of an apply (bytes).
const MAX_BODY: usize = 4 << 20;
/// Longest change id (bytes).
const MAX_ID: usize = 128;
/// Field at fault when the body is no JSON.
const BODY: &str = "body";

impl Interface {
    pub(super) async fn apply(&self, request: &mut Incoming) -> Result<Response, Fault> {
        let (id, first) = change_id(request)?;
        let body = request.body(MAX_BODY).await.map_err(Fault::body)?;
        let order = Order {
            request: parse(&body)?,
            id: id.clone(),
            first,
        };
        let applier = Arc::clone(&self.applier);
        let outcome = self
            .detach(async move { applier.apply(&order).await })
            .await;
        // What ended early may have appended the set.
        let outcome = outcome.unwrap_or_else(|_fault| Outcome::stopped());
        answer(&id, outcome)
    }
}

/// The set's id, and whether it certainly was not used before.
fn change_id(request: &Incoming) -> Result<(String, bool), Fault> {
    let headers = request.headers();
    if !headers.contains_key(CHANGE_ID_HEADER) {
        return Ok((Uuid::now_v7().to_string(), true));
    }
    let id = request.header(CHANGE_ID_HEADER).unwrap_or_default();
    if id.is_empty() || id.len() > MAX_ID {
        let detail = format!("must be 1 to {MAX_ID} visible characters");
        return Err(Fault::malformed(CHANGE_ID_HEADER, &detail));
    }
    let first = request.header(CHANGE_FIRST_HEADER) == Some("true");
    Ok((id.to_owned(), first))
}

fn parse(body: &[u8]) -> Result<ApplyRequest, Fault> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    let request: Result<ApplyRequest, _> = serde_path_to_error::deserialize(&mut reader);
    let request = request.map_err(|error| {
        let detail = error.inner().to_string();
        Fault::malformed(&field(&error.path().to_string(), &detail), &detail)
    })?;
    reader
        .end()
        .map_err(|error| Fault::malformed(BODY, &error.to_string()))?;
    if request.changes.is_empty() {
        return Err(Fault::malformed("changes", "must not be empty"));
    }
    for (index, change) in request.changes.iter().enumerate() {
        if change.kind.parse::<Kind>().is_err() {
            let field = format!("changes[{index}].kind");
            let known = Kind::ALL.map(Kind::as_str).join(", ");
            let detail = format!("{:?} is no kind; known are {known}", change.kind);
            return Err(Fault::malformed(&field, &detail));
        }
        if !change.delete && change.spec.is_none() {
            let field = format!("changes[{index}].spec");
            return Err(Fault::malformed(&field, "is missing"));
        }
    }
    Ok(request)
}

/// The field at fault: a missing one is named in the message only.
fn field(path: &str, detail: &str) -> String {
    let missing = detail.strip_prefix("missing field `");
    let missing = missing.and_then(|rest| rest.split('`').next());
    match (path, missing) {
        (".", None) => BODY.to_owned(),
        (".", Some(name)) => name.to_owned(),
        (path, None) => path.to_owned(),
        (path, Some(name)) => format!("{path}.{name}"),
    }
}

fn answer(id: &str, outcome: Outcome) -> Result<Response, Fault> {
    match outcome {
        Outcome::Accepted(applied) => Ok(web::json(StatusCode::OK, &applied)),
        Outcome::Rejected(rejects) => Err(Fault::rejected(id, &rejects)),
        Outcome::NotApplied { detail, retry } => {
            Err(Fault::undecided(id, Certainty::No, &detail, retry))
        }
        Outcome::Unknown { detail, retry } => {
            Err(Fault::undecided(id, Certainty::Unknown, &detail, retry))
        }
    }
}
