//! Client of the admin endpoints of the other processes.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Method;
use serde_json::Value;
use swiftlink_client::api::ProcessStatus;
use swiftlink_fetch::{Answer, Call, Http};

use crate::settings::Process;

/// Keys of the configuration version in the status of a process, in order of preference.
const VERSION_FIELDS: [&str; 2] = ["config_version", "version"];

/// The processes in the settings.
pub(crate) struct Fleet {
    http: Http,
    processes: Vec<Process>,
    timeout: Duration,
}

/// Error of a call to a process.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum FleetError {
    /// The process isn't in the settings.
    #[error("no process {0:?} in the operator's settings")]
    Unknown(String),
    /// The process can't be reached or did not respond in time.
    #[error("{0} does not answer: {1}")]
    Unreachable(String, String),
    /// The process responded with an error status.
    #[error("{0} answered with status {1}: {2}")]
    Refused(String, u16, String),
}

impl Fleet {
    pub(crate) fn new(processes: Vec<Process>, timeout: Duration) -> Self {
        Self {
            http: Http::open("swiftlink-operator"),
            processes,
            timeout,
        }
    }

    /// Queries the status of all processes concurrently.
    pub(crate) async fn status(&self) -> Vec<ProcessStatus> {
        join_all(
            self.processes
                .iter()
                .map(|process| self.process_status(process)),
        )
        .await
    }

    /// Fetches the state dump of a process.
    pub(crate) async fn dump(&self, name: &str) -> Result<Value, FleetError> {
        let process = self.find(name)?;
        let answer = self
            .request(process, &Call::get(process.admin, "/dump"))
            .await?;
        Ok(json(&answer.body))
    }

    /// Reads the log level of a process.
    pub(crate) async fn read_log_level(&self, name: &str) -> Result<Value, FleetError> {
        let process = self.find(name)?;
        let call = Call::get(process.admin, "/log-level");
        Ok(json(&self.request(process, &call).await?.body))
    }

    /// Sets the log level of a process.
    pub(crate) async fn set_log_level(
        &self,
        name: &str,
        level: Bytes,
    ) -> Result<Value, FleetError> {
        let process = self.find(name)?;
        let call = Call {
            method: Method::PUT,
            body: level,
            ..Call::get(process.admin, "/log-level")
        };
        let answer = self.request(process, &call).await?;
        Ok(json(&answer.body))
    }

    async fn process_status(&self, process: &Process) -> ProcessStatus {
        let mut status = ProcessStatus {
            name: process.name.clone(),
            role: process.role.clone(),
            admin: process.admin.to_string(),
            reachable: false,
            error: None,
            version: None,
            current: None,
            status: Value::Null,
        };
        match self
            .request(process, &Call::get(process.admin, "/status"))
            .await
        {
            Ok(answer) => {
                status.reachable = true;
                status.status = json(&answer.body);
                status.version = version(&status.status);
            }
            Err(FleetError::Unreachable(_name, detail)) => status.error = Some(detail),
            Err(error) => status.error = Some(error.to_string()),
        }
        status
    }

    fn find(&self, name: &str) -> Result<&Process, FleetError> {
        let found = self.processes.iter().find(|process| process.name == name);
        found.ok_or_else(|| FleetError::Unknown(name.to_owned()))
    }

    async fn request(&self, process: &Process, call: &Call<'_>) -> Result<Answer, FleetError> {
        let answer = self.http.fetch(call, self.timeout).await;
        let answer = answer
            .map_err(|error| FleetError::Unreachable(process.name.clone(), error.to_string()))?;
        if answer.status.is_success() {
            return Ok(answer);
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        Err(FleetError::Refused(
            process.name.clone(),
            answer.status.as_u16(),
            text,
        ))
    }
}

fn version(status: &Value) -> Option<u64> {
    VERSION_FIELDS
        .iter()
        .find_map(|field| status.get(field)?.as_u64())
}

fn json(body: &[u8]) -> Value {
    let text = || Value::String(String::from_utf8_lossy(body).into_owned());
    serde_json::from_slice(body).unwrap_or_else(|_error| text())
}
