//! Polls the platform's VM list and the backend servers' load reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::de::DeserializeOwned;
use swiftlink_fetch::{Http, Vm, VmList, VmState};
use swiftlink_routing::{ListedVm, LoadReport, ServerIdx};
use swiftlink_telemetry::event;
use swiftlink_types::VmName;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use crate::engine;
use crate::fleet::{Pool, Pools};
use swiftlink_gateway::upstream::{SendOptions, send};

/// Largest body of a load report (bytes).
const MAX_BODY_BYTES: usize = 4 << 20;
/// Timeout of each step of reading a load report: connection, head and body.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of reading the VM list.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// User agent for requests to the VM list.
const USER_AGENT: &str = "swiftlink-router";
/// Path of a model engine's load report.
const MODEL_LOAD: &str = "/load";

/// Polls the VM list at `address` every `period` until `stop`.
pub async fn poll_list(
    address: SocketAddr,
    period: Duration,
    pools: Arc<Pools>,
    stop: CancellationToken,
) {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let http = Http::open(USER_AGENT);
    let mut is_unreachable = false;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let Ok(list) = VmList::<Vm>::read(&http, address, LIST_TIMEOUT).await else {
            if !is_unreachable {
                event!(warn, "vms.unreachable", address = address);
            }
            is_unreachable = true;
            continue;
        };
        is_unreachable = false;
        let mut listed = Vec::with_capacity(list.vms.len());
        for vm in list.vms {
            listed.push(ListedVm {
                name: VmName::from(vm.name),
                leaving: vm.state == VmState::Leaving,
            });
        }
        for pool in pools.all() {
            pool.set_vm_list(&listed);
        }
    }
}

/// Polls the load of all backend servers in use every `period` until `stop`.
pub async fn poll_load(
    period: Duration,
    service_path: Arc<str>,
    pools: Arc<Pools>,
    stop: CancellationToken,
) {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let mut reads = Vec::new();
        for pool in pools.all() {
            let path = if pool.is_model() {
                MODEL_LOAD
            } else {
                &service_path
            };
            if path.is_empty() {
                continue;
            }
            for (idx, address) in pool.polled() {
                reads.push(read_report(Arc::clone(&pool), idx, address, path));
            }
        }
        tokio::select! {
            () = stop.cancelled() => return,
            _ = join_all(reads) => {}
        }
    }
}

async fn read_report(pool: Arc<Pool>, idx: ServerIdx, address: SocketAddr, path: &str) {
    let Some(load) = read::<engine::LoadReport>(address, path).await else {
        return;
    };
    let report = LoadReport {
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        pace: None,
        draining: load.draining,
        age: Duration::from_millis(load.age_ms),
    };
    pool.on_report(idx, report);
}

/// Reads a JSON document; `None` on any failure.
async fn read<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let options = SendOptions {
        connect: READ_TIMEOUT,
        response: READ_TIMEOUT,
        fresh: false,
        may_abort: false,
    };
    let request = engine::plain(address, Method::GET, path, bytes::Bytes::new());
    let answer = send(address, request, options).await.ok()?;
    if answer.response.status() != StatusCode::OK {
        return None;
    }
    let (response, mut lease) = answer.split();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect();
    let bytes = timeout(READ_TIMEOUT, body).await.ok()?.ok()?.to_bytes();
    lease.recycle();
    serde_json::from_slice(&bytes).ok()
}
