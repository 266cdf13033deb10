//! Whether a refused change is what is in force anyway: the caller's own change,
//! whose answer was lost, looks like someone else's.

use serde::de::DeserializeOwned;
use serde_json::Value;
use swiftlink_resource::{Budget, Class, Key, Kind, Pool, Retirement, Server, TopUp, Workspace};

use crate::api::{Applied, AppliedChange, ApplyRequest, Resource};
use crate::{ClientError, Operator};

/// HTTP status of a resource that does not exist.
const NOT_FOUND: u16 = 404;

impl Operator {
    /// The resources of `request` as they are, if all of them are as it asks.
    ///
    /// # Errors
    /// When no operator answers.
    pub async fn in_force(&self, request: &ApplyRequest) -> Result<Option<Applied>, ClientError> {
        let mut results = Vec::new();
        for change in &request.changes {
            let current = match self.get(&change.kind, &change.name).await {
                Ok(resource) => Some(resource),
                Err(ClientError::Refused(problem)) if problem.status == NOT_FOUND => None,
                Err(error) => return Err(error),
            };
            let spec = change.spec.as_ref().filter(|_spec| !change.delete);
            if !is_same(&change.kind, spec, current.as_ref()) {
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

fn is_same(kind: &str, asked: Option<&Value>, current: Option<&Resource>) -> bool {
    match (asked, current) {
        (None, None) => true,
        (Some(asked), Some(current)) => same_spec(kind, asked, &current.spec),
        _ => false,
    }
}

/// Whether two specifications of a kind say the same, defaults filled in.
#[must_use]
pub fn same_spec(kind: &str, one: &Value, other: &Value) -> bool {
    let Ok(kind) = kind.parse::<Kind>() else {
        return false;
    };
    match kind {
        Kind::Workspace => same::<Workspace>(one, other),
        Kind::Budget => same::<Budget>(one, other),
        Kind::TopUp => same::<TopUp>(one, other),
        Kind::Class => same::<Class>(one, other),
        Kind::Pool => same::<Pool>(one, other),
        Kind::Server => same::<Server>(one, other),
        Kind::Key => same::<Key>(one, other),
        Kind::Retirement => same::<Retirement>(one, other),
    }
}

fn same<T: DeserializeOwned + PartialEq>(one: &Value, other: &Value) -> bool {
    let parse = |value: &Value| serde_json::from_value::<T>(value.clone()).ok();
    let one = parse(one);
    one.is_some() && one == parse(other)
}
