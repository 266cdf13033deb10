//! The VM list's HTTP interface and fault switches.

use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use anyhow::Context as _;
use async_trait::async_trait;
use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use swiftlink_shell::web::{Body, Incoming};

use super::state::{LaggedList, Vm, VmState};
use crate::cli::{self, About, Args};
use crate::fault::{BaseFault, Fault, FaultControl, Switches};
use crate::host::{BODY_LIMIT, Host, Standin, json_answer, refuse};

/// Fault switches of the VM list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct VmsFault {
    /// Switches that every stand-in has.
    #[serde(flatten)]
    pub base: BaseFault,
    /// Delay between a change of the list and its publication, in ms.
    pub lag_ms: u64,
}

impl Fault for VmsFault {
    fn base(&self) -> BaseFault {
        self.base.clone()
    }
}

/// Request body that replaces the list.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SetVms {
    vms: Vec<Vm>,
}

struct VmsServer {
    list: Mutex<LaggedList>,
    switches: Switches<VmsFault>,
    start: Instant,
}

/// Runs `standin-vms`.
#[must_use]
pub fn main() -> ExitCode {
    let about = About {
        name: "standin-vms",
        about: "stands in for the platform's VM list",
        options: |options| {
            options.optmulti("", "vm", "a live VM at the start", "NAME:DOMAIN");
            options.optopt("", "lag-ms", "delay before a changed list is shown", "MS");
            options.optopt("", "seed", "seed of the faults' draws", "N");
        },
    };
    cli::run(about, start)
}

async fn start(args: Args) -> anyhow::Result<Host> {
    let mut vms = Vec::new();
    for text in args.all("vm") {
        let (name, domain) = text.split_once(':').context("--vm: not NAME:DOMAIN")?;
        vms.push(Vm {
            name: name.to_owned(),
            domain: domain.to_owned(),
            state: VmState::Live,
        });
    }
    let fault = VmsFault {
        lag_ms: args.get("lag-ms", 0)?,
        ..VmsFault::default()
    };
    let server = VmsServer {
        list: Mutex::new(LaggedList::new(vms)),
        switches: Switches::new(fault),
        start: Instant::now(),
    };
    args.host(Arc::new(server), Vec::new())
}

impl VmsServer {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    async fn set(&self, mut request: Incoming) -> Response<Body> {
        let Ok(body) = request.body(BODY_LIMIT).await else {
            return refuse(StatusCode::BAD_REQUEST, "the body can't be read");
        };
        let set: SetVms = match serde_json::from_slice(&body) {
            Ok(set) => set,
            Err(error) => return refuse(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let mut list = self.list.lock().expect("no holder panics");
        let version = list.set(self.now_ms(), set.vms);
        json_answer(StatusCode::OK, &json!({ "version": version }))
    }
}

#[async_trait(?Send)]
impl Standin for VmsServer {
    fn faults(&self) -> &dyn FaultControl {
        &self.switches
    }

    async fn control(&self, path: &str, request: Incoming) -> Response<Body> {
        if path == "vms" && *request.method() == Method::POST {
            return self.set(request).await;
        }
        refuse(StatusCode::NOT_FOUND, "no such control")
    }

    async fn serve(&self, request: Incoming) -> Response<Body> {
        if request.uri().path() != "/vms" || *request.method() != Method::GET {
            return refuse(StatusCode::NOT_FOUND, "no such path");
        }
        let lag_ms = self.switches.get().lag_ms;
        let mut list = self.list.lock().expect("no holder panics");
        json_answer(StatusCode::OK, list.published(self.now_ms(), lag_ms))
    }
}
