//! Detects conflicts with the caller's own change: if the response to a change was lost, a
//! repetition is rejected as if somebody else had made the change.

use serde::de::DeserializeOwned;
use serde_json::Value;
use swiftlink_resource::{Budget, Class, Key, Kind, Pool, Retirement, Server, TopUp, Workspace};

use crate::api::{Applied, AppliedChange, ApplyRequest, Resource};
use crate::{ClientError, Operator};

/// HTTP status of a missing resource.
const NOT_FOUND: u16 = 404;

impl Operator {
    /// Returns the current versions of the resources in `request` if all of them already have
    /// the requested state, else `None`.
    ///
    /// # Errors
    /// Fails if a resource can't be read.
    pub async fn already_applied(
        &self,
        request: &ApplyRequest,
    ) -> Result<Option<Applied>, ClientError> {
        let mut results = Vec::new();
        for change in &request.changes {
            let current = match self.get(&change.kind, &change.name).await {
                Ok(resource) => Some(resource),
                Err(ClientError::Refused(problem)) if problem.status == NOT_FOUND => None,
                Err(error) => return Err(error),
            };
            let spec = change.spec.as_ref().filter(|_spec| !change.delete);
            if !has_state(&change.kind, spec, current.as_ref()) {
                return Ok(None);
            }
            results.push(AppliedChange {
                kind: change.kind.clone(),
                name: change.name.clone(),
                version: current.map_or(0, |resource| resource.version),
                effective: None,
            });
        }
        let version = results.iter().map(|result| result.version).max();
        Ok(Some(Applied {
            id: String::new(),
            version: version.unwrap_or(0),
            results,
        }))
    }
}

fn has_state(kind: &str, requested: Option<&Value>, current: Option<&Resource>) -> bool {
    match (requested, current) {
        (None, None) => true,
        (Some(requested), Some(current)) => specs_equal(kind, requested, &current.spec),
        _ => false,
    }
}

/// Returns whether two specifications of a kind are equal once defaults are filled in.
#[must_use]
pub fn specs_equal(kind: &str, one: &Value, other: &Value) -> bool {
    let Ok(kind) = kind.parse::<Kind>() else {
        return false;
    };
    match kind {
        Kind::Workspace => parsed_equal::<Workspace>(one, other),
        Kind::Budget => parsed_equal::<Budget>(one, other),
        Kind::TopUp => parsed_equal::<TopUp>(one, other),
        Kind::Class => parsed_equal::<Class>(one, other),
        Kind::Pool => parsed_equal::<Pool>(one, other),
        Kind::Server => parsed_equal::<Server>(one, other),
        Kind::Key => parsed_equal::<Key>(one, other),
        Kind::Retirement => parsed_equal::<Retirement>(one, other),
    }
}

fn parsed_equal<T: DeserializeOwned + PartialEq>(one: &Value, other: &Value) -> bool {
    let parse = |value: &Value| serde_json::from_value::<T>(value.clone()).ok();
    let one = parse(one);
    one.is_some() && one == parse(other)
}
