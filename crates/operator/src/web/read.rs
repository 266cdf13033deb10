//! Reads: resources, status, budgets, dumps.

use std::sync::Arc;

use http::StatusCode;
use serde_json::Value;
use swiftlink_client::api::{Budget, Resource, ResourceList, Status};
use swiftlink_resource::{self as resource, Config, Kind};
use swiftlink_shell::web::{self, Incoming, Response};

use super::Interface;
use super::problem::Fault;
use crate::fleet::FleetError;
use crate::ledgers::Known;

/// Longest name of a log level (bytes).
const MAX_LEVEL: usize = 64;

impl Interface {
    pub(super) fn config(&self) -> Result<Arc<Config>, Fault> {
        self.board.config().ok_or_else(Fault::loading)
    }

    pub(super) fn list(&self, kind: &str) -> Result<Response, Fault> {
        let kind = parse_kind(kind)?;
        let config = self.config()?;
        let mut items = Vec::new();
        for (name, found) in config.list(kind) {
            items.push(shown(kind, name, found));
        }
        let list = ResourceList {
            version: config.version,
            items,
        };
        Ok(web::json(StatusCode::OK, &list))
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Result<Response, Fault> {
        let kind = parse_kind(kind)?;
        let config = self.config()?;
        let Some(found) = config.get(kind, name) else {
            return Err(Fault::not_found(&format!("no {kind} {name:?}")));
        };
        Ok(web::json(StatusCode::OK, &shown(kind, name, found)))
    }

    pub(super) async fn status(&self) -> Result<Response, Fault> {
        let fleet = Arc::clone(&self.fleet);
        let mut processes = self.detach(async move { fleet.status().await }).await?;
        let version = self.board.version();
        let known = processes.iter().filter_map(|process| process.version);
        let newest = known.max().unwrap_or(0).max(version);
        for process in &mut processes {
            process.current = process.version.map(|version| version == newest);
        }
        let status = Status {
            newest,
            version,
            age_ms: self.board.age_ms(),
            processes,
        };
        Ok(web::json(StatusCode::OK, &status))
    }

    pub(super) async fn budget(&self, name: &str) -> Result<Response, Fault> {
        let ledgers = Arc::clone(&self.ledgers);
        let asked = name.to_owned();
        let known = self
            .detach(async move { ledgers.budget(&asked).await })
            .await?;
        match known {
            Known::View(budget) => Ok(web::json(StatusCode::OK, &budget)),
            Known::Absent(ledger) => {
                let declared = self.config()?.get(Kind::Budget, name).is_some();
                if !declared {
                    return Err(Fault::not_found(&format!("no budget {name:?}")));
                }
                Ok(web::json(StatusCode::OK, &untouched(name, ledger)))
            }
            Known::Unreachable => Err(Fault::unreachable("no ledger answers")),
        }
    }

    pub(super) async fn dump(&self, name: &str) -> Result<Response, Fault> {
        let fleet = Arc::clone(&self.fleet);
        let name = name.to_owned();
        let dump = self.detach(async move { fleet.dump(&name).await }).await?;
        proxied(dump)
    }

    pub(super) async fn read_level(&self, name: &str) -> Result<Response, Fault> {
        let fleet = Arc::clone(&self.fleet);
        let name = name.to_owned();
        let level = self.detach(async move { fleet.read_level(&name).await });
        proxied(level.await?)
    }

    pub(super) async fn log_level(
        &self,
        name: &str,
        request: &mut Incoming,
    ) -> Result<Response, Fault> {
        let level = request.body(MAX_LEVEL).await.map_err(Fault::body)?;
        let fleet = Arc::clone(&self.fleet);
        let name = name.to_owned();
        let set = self.detach(async move { fleet.log_level(&name, level).await });
        proxied(set.await?)
    }
}

fn parse_kind(text: &str) -> Result<Kind, Fault> {
    let kind = text.parse();
    kind.map_err(|_error| {
        let known = Kind::ALL.map(Kind::as_str).join(", ");
        Fault::not_found(&format!("no kind {text:?}; known are {known}"))
    })
}

fn shown(kind: Kind, name: &str, found: &resource::Resource) -> Resource {
    Resource {
        kind: kind.as_str().to_owned(),
        name: name.to_owned(),
        version: found.version,
        spec: serde_json::from_str(&found.json).unwrap_or(Value::Null),
    }
}

/// A declared budget that no record has touched yet.
fn untouched(name: &str, ledger: String) -> Budget {
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

fn proxied(answer: Result<Value, FleetError>) -> Result<Response, Fault> {
    match answer {
        Ok(value) => Ok(web::json(StatusCode::OK, &value)),
        Err(error @ FleetError::Unknown(_)) => Err(Fault::not_found(&error.to_string())),
        Err(error @ FleetError::Refused(_, 400, _)) => {
            Err(Fault::malformed("body", &error.to_string()))
        }
        Err(error) => Err(Fault::unreachable(&error.to_string())),
    }
}
