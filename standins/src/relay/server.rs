//! The relay's control interface.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context as _;
use async_trait::async_trait;
use http::{Response, StatusCode};
use swiftlink_shell::web::{Body, Incoming};

use super::forward::{Relay, RelayFault};
use crate::cli::{self, About, Args};
use crate::fault::{FaultControl, Switches};
use crate::host::{Host, Standin, refuse};

struct RelayServer {
    switches: Switches<RelayFault>,
    relay: Relay,
}

/// Runs `standin-relay`.
#[must_use]
pub fn main() -> ExitCode {
    let about = About {
        name: "standin-relay",
        about: "forwards TCP connections; listens for control calls on --listen",
        options: |options| {
            options.reqopt("", "forward", "address to accept connections on", "ADDR");
            options.reqopt("", "target", "address to forward to", "ADDR");
        },
    };
    cli::run(about, start)
}

async fn start(args: Args) -> anyhow::Result<Host> {
    let forward: SocketAddr = args.need("forward")?;
    let target: SocketAddr = args.need("target")?;
    let relay = Relay::bind(forward, target)
        .await
        .with_context(|| format!("can't listen on {forward}"))?;
    println!("forwarding={}", relay.address());
    let server = RelayServer {
        switches: Switches::new(RelayFault::default()),
        relay,
    };
    Host::bind(args.listen()?, 1, Arc::new(server), Vec::new())
}

#[async_trait(?Send)]
impl Standin for RelayServer {
    fn faults(&self) -> &dyn FaultControl {
        &self.switches
    }

    fn on_faults_changed(&self) {
        self.relay.set(self.switches.get());
    }

    async fn control(&self, _path: &str, _request: Incoming) -> Response<Body> {
        refuse(StatusCode::NOT_FOUND, "no such control")
    }

    async fn serve(&self, _request: Incoming) -> Response<Body> {
        refuse(StatusCode::NOT_FOUND, "no such path")
    }
}
