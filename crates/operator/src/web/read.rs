//! Handlers of resources, status, budgets, dumps and log levels.

use std::sync::Arc;

use http::StatusCode;
use serde_json::Value;
use swiftlink_client::api::{Budget, Resource, ResourceList, Status};
use swiftlink_resource::{self as resource, Config, Kind};
use swiftlink_shell::web::{self, Incoming, Response};

use super::Interface;
use super::problem::ApiError;
use crate::fleet::FleetError;
use crate::ledgers::BudgetLookup;

/// Maximum length of the name of a log level (bytes).
const MAX_LEVEL_BYTES: usize = 64;

impl Interface {
    pub(super) fn config(&self) -> Result<Arc<Config>, ApiError> {
        self.state.config().ok_or_else(ApiError::loading)
    }

    pub(super) fn list(&self, kind: &str) -> Result<Response, ApiError> {
        let kind = parse_kind(kind)?;
        let config = self.config()?;
        let mut items = Vec::new();
        for (name, found) in config.list(kind) {
            items.push(to_api(kind, name, found));
        }
        let list = ResourceList {
            version: config.version,
            items,
        };
        Ok(web::json(StatusCode::OK, &list))
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Result<Response, ApiError> {
        let kind = parse_kind(kind)?;
        let config = self.config()?;
        let Some(found) = config.get(kind, name) else {
            return Err(ApiError::not_found(&format!("no {kind} {name:?}")));
        };
        Ok(web::json(StatusCode::OK, &to_api(kind, name, found)))
    }

    pub(super) async fn status(&self) -> Result<Response, ApiError> {
        let fleet = Arc::clone(&self.fleet);
        let mut processes = self.detach(async move { fleet.status().await }).await?;
        let version = self.state.version();
        let known = processes.iter().filter_map(|process| process.version);
        let newest = known.max().unwrap_or(0).max(version);
        for process in &mut processes {
            process.current = process.version.map(|version| version == newest);
        }
        let status = Status {
            newest,
            version,
            age_ms: self.state.age_ms(),
            processes,
        };
        Ok(web::json(StatusCode::OK, &status))
    }

    pub(super) async fn budget(&self, name: &str) -> Result<Response, ApiError> {
        let ledgers = Arc::clone(&self.ledgers);
        let queried = name.to_owned();
        let lookup = self
            .detach(async move { ledgers.budget(&queried).await })
            .await?;
        match lookup {
            BudgetLookup::Found(budget) => Ok(web::json(StatusCode::OK, &budget)),
            BudgetLookup::Unknown(ledger) => {
                let declared = self.config()?.get(Kind::Budget, name).is_some();
                if !declared {
                    return Err(ApiError::not_found(&format!("no budget {name:?}")));
                }
                Ok(web::json(StatusCode::OK, &empty_budget(name, ledger)))
            }
            BudgetLookup::Unreachable => Err(ApiError::unreachable("no ledger answers")),
        }
    }

    pub(super) async fn dump(&self, name: &str) -> Result<Response, ApiError> {
        let fleet = Arc::clone(&self.fleet);
        let name = name.to_owned();
        let dump = self.detach(async move { fleet.dump(&name).await }).await?;
        proxy_response(dump)
    }

    pub(super) async fn read_log_level(&self, name: &str) -> Result<Response, ApiError> {
        let fleet = Arc::clone(&self.fleet);
        let name = name.to_owned();
        let level = self.detach(async move { fleet.read_log_level(&name).await });
        proxy_response(level.await?)
    }

    pub(super) async fn set_log_level(
        &self,
        name: &str,
        request: &mut Incoming,
    ) -> Result<Response, ApiError> {
        let level = request
            .body(MAX_LEVEL_BYTES)
            .await
            .map_err(ApiError::body)?;
        let fleet = Arc::clone(&self.fleet);
        let name = name.to_owned();
        let set = self.detach(async move { fleet.set_log_level(&name, level).await });
        proxy_response(set.await?)
    }
}

fn parse_kind(text: &str) -> Result<Kind, ApiError> {
    let kind = text.parse();
    kind.map_err(|_error| {
        let known = Kind::ALL.map(Kind::as_str).join(", ");
        ApiError::not_found(&format!("no kind {text:?}; known are {known}"))
    })
}

fn to_api(kind: Kind, name: &str, found: &resource::Resource) -> Resource {
    Resource {
        kind: kind.as_str().to_owned(),
        name: name.to_owned(),
        version: found.version,
        spec: serde_json::from_str(&found.json).unwrap_or(Value::Null),
    }
}

/// A declared budget without any records yet.
fn empty_budget(name: &str, ledger: String) -> Budget {
    Budget {
        name: name.to_owned(),
        ledger,
        topped_up: 0,
        granted: 0,
        charged: 0,
        free: 0,
        quarantined: 0,
        offset: 0,
        age_ms: 0,
        top_ups: Vec::new(),
    }
}

fn proxy_response(answer: Result<Value, FleetError>) -> Result<Response, ApiError> {
    match answer {
        Ok(value) => Ok(web::json(StatusCode::OK, &value)),
        Err(error @ FleetError::Unknown(_)) => Err(ApiError::not_found(&error.to_string())),
        Err(error @ FleetError::Refused(_, 400, _)) => {
            Err(ApiError::malformed("body", &error.to_string()))
        }
        Err(error) => Err(ApiError::unreachable(&error.to_string())),
    }
}
