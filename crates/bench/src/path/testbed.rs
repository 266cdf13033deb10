//! Test bed: starts the processes to measure.

use std::path::PathBuf;

use anyhow::Context;
use serde_json::json;
use swiftlink_testkit::fleet::{Fleet, MODEL, Plan, Tenant, change};

/// Name of the calling workspace.
const WORKSPACE: &str = "lannec";
/// Secret of its API key, as the testkit generates it.
pub const SECRET: &str = "sk-lannec";
/// A top-up that no run can exhaust (tokens).
const PREPAID: u64 = 1 << 50;
/// Slots of the engine, enough that they never limit the results.
const SLOTS: u32 = 1_024;
/// Retention of streams (ms). The stand-in scans all retained streams at each call, so
/// it retains them only as long as a resumption needs here.
const STREAM_RETENTION_MS: u64 = 300;

/// Starts `vms` VMs in three failure domains and one engine that answers without
/// delay, and declares `more` idle workspaces.
///
/// # Errors
/// Fails when a process does not start.
pub async fn start(vms: usize, more: usize) -> anyhow::Result<Fleet> {
    let mut tenants = vec![Tenant::new(WORKSPACE, PREPAID)];
    for at in 0..more {
        tenants.push(Tenant::new(&format!("silent-{at}"), 0));
    }
    let settings = json!({ "log_level": "info" });
    let plan = Plan::new(binaries()?)
        .vms(vms, 3)
        .engines(1)
        .services(0)
        .tenants(tenants)
        .router(settings.clone())
        .ledger(settings.clone())
        .operator(settings);
    let fleet = plan.start().await?;
    let engine = &fleet.engines[0];
    let faults = json!({ "slots": SLOTS, "keep_ms": STREAM_RETENTION_MS });
    engine.set(faults).await?;
    let spec = json!({
        "pool": MODEL, "address": engine.address(), "domain": "domain-0", "slots": SLOTS,
    });
    let version = fleet
        .api
        .apply(vec![change("server", engine.process.name(), spec)]);
    fleet.wait_for_version(version.await?).await?;
    Ok(fleet)
}

fn binaries() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe().context("the path of this program")?;
    let dir = own.parent().context("this program lies in a directory")?;
    Ok(dir.to_owned())
}
