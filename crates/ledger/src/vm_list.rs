//! Polls the platform's list of VMs.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::{Context, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use swiftlink_telemetry::event;
use tokio_util::sync::CancellationToken;

use crate::clock::lock;
use crate::vms::{VmList, VmWatch};

/// Pause between two reads.
const POLL: Duration = Duration::from_secs(1);
/// Time after which a read counts as unanswered.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Most bytes of an answer.
const MAX_ANSWER: usize = 4 * 1024 * 1024;

/// What the VM list said so far, shared between tasks.
#[derive(Debug)]
pub struct Vms(Mutex<VmWatch>);

impl Vms {
    /// Nothing was read yet; a VM is gone after `reads` answers without it.
    #[must_use]
    pub fn new(reads: u32) -> Arc<Self> {
        Arc::new(Self(Mutex::new(VmWatch::new(reads))))
    }

    /// Takes an answer of the list; returns whether it was believed.
    pub fn read(&self, list: &VmList) -> bool {
        lock(&self.0).read(list)
    }

    /// Whether `vm` was listed once and is gone now.
    #[must_use]
    pub fn is_gone(&self, vm: &str) -> bool {
        lock(&self.0).is_gone(vm)
    }

    /// Whether the newest answers leave out `vm`, whether or not it was listed before.
    #[must_use]
    pub fn is_absent(&self, vm: &str) -> bool {
        lock(&self.0).is_absent(vm)
    }

    /// Whether any VM is gone.
    #[must_use]
    pub fn any_gone(&self) -> bool {
        lock(&self.0).gone().next().is_some()
    }

    /// Newest version of the list, and the VMs that are gone.
    #[must_use]
    pub fn summary(&self) -> (u64, Vec<String>) {
        let watch = lock(&self.0);
        let mut gone: Vec<String> = watch.gone().map(str::to_owned).collect();
        gone.sort();
        (watch.version(), gone)
    }
}

/// The task that polls the list.
pub struct Poller {
    uri: String,
    agent: Arc<str>,
    client: Client<HttpConnector, Empty<Bytes>>,
    vms: Arc<Vms>,
}

impl Poller {
    /// Polls the list at `address` under the name `agent`.
    #[must_use]
    pub fn new(address: SocketAddr, agent: Arc<str>, vms: Arc<Vms>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(TIMEOUT));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self {
            uri: format!("http://{address}/vms"),
            agent,
            client,
            vms,
        }
    }

    /// Polls until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let _stopped = stop.run_until_cancelled(self.poll()).await;
    }

    async fn poll(&self) {
        let mut reached = true;
        loop {
            let answer = self.read().await;
            if let Err(error) = &answer
                && reached
            {
                event!(warn, "vms.out_of_reach", error = format!("{error:#}"));
            }
            reached = answer.is_ok();
            if let Ok(list) = answer {
                self.vms.read(&list);
            }
            tokio::time::sleep(POLL).await;
        }
    }

    async fn read(&self) -> anyhow::Result<VmList> {
        let exchange = tokio::time::timeout(TIMEOUT, self.exchange());
        let body = exchange.await.context("no answer in time")??;
        serde_json::from_slice(&body).context("the answer is no list of VMs")
    }

    async fn exchange(&self) -> anyhow::Result<Bytes> {
        let request = Request::get(&self.uri)
            .header(header::USER_AGENT, &*self.agent)
            .body(Empty::new())?;
        let response = self.client.request(request).await?;
        let status = response.status();
        ensure!(status.is_success(), "the VM list answered {status}");
        let body = Limited::new(response.into_body(), MAX_ANSWER)
            .collect()
            .await;
        let body = body.map_err(anyhow::Error::from_boxed)?;
        Ok(body.to_bytes())
    }
}

impl fmt::Debug for Poller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Poller")
            .field("uri", &self.uri)
            .finish_non_exhaustive()
    }
}
