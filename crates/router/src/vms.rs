//! Reads of the platform's VM list and of the backend servers' load reports.

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

/// Longest body of a report (bytes).
const BODY_MAX: usize = 4 << 20;
/// Longest time for each step of reading a report: connection, head and body.
const READ_TIME: Duration = Duration::from_secs(1);
/// Longest time for reading the VM list.
const LIST_TIME: Duration = Duration::from_secs(3);
/// What the router calls itself at the VM list.
const AGENT: &str = "swiftlink-router";
/// Path of a model engine's load report.
const MODEL_LOAD: &str = "/load";

/// Reads the VM list at `address` every `period` until `stop`.
pub async fn follow_list(
    address: SocketAddr,
    period: Duration,
    pools: Arc<Pools>,
    stop: CancellationToken,
) {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let http = Http::open(AGENT);
    let mut is_out = false;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let Ok(list) = VmList::<Vm>::read(&http, address, LIST_TIME).await else {
            if !is_out {
                event!(warn, "vms.unreachable", address = address);
            }
            is_out = true;
            continue;
        };
        is_out = false;
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

/// Reads the load of all backend servers in use every `period` until `stop`.
pub async fn follow_load(
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
                reads.push(report(Arc::clone(&pool), idx, address, path));
            }
        }
        tokio::select! {
            () = stop.cancelled() => return,
            _ = join_all(reads) => {}
        }
    }
}

async fn report(pool: Arc<Pool>, idx: ServerIdx, address: SocketAddr, path: &str) {
    let Some(load) = read::<engine::LoadReport>(address, path).await else {
        return;
    };
    let report = LoadReport {
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        draining: load.draining,
        age: Duration::from_millis(load.age_ms),
    };
    pool.on_report(idx, report);
}

/// Reads a JSON document; `None` when it can't be had.
async fn read<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let options = SendOptions {
        connect: READ_TIME,
        head: READ_TIME,
        fresh: false,
    };
    let request = engine::plain(address, Method::GET, path, bytes::Bytes::new());
    let answer = send(address, request, options).await.ok()?;
    if answer.response.status() != StatusCode::OK {
        return None;
    }
    let (response, mut lease) = answer.split();
    let body = Limited::new(response.into_body(), BODY_MAX).collect();
    let whole = timeout(READ_TIME, body).await.ok()?.ok()?.to_bytes();
    lease.recycle();
    serde_json::from_slice(&whole).ok()
}
