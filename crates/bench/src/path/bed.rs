//! The processes that are measured.

use std::path::PathBuf;

use anyhow::Context;
use serde_json::json;
use swiftlink_testkit::fleet::{Fleet, MODEL, Plan, Tenant, change};

/// Name of the tenant that calls.
const TENANT: &str = "lannec";
/// Secret of its API key, as the testkit makes it.
pub const SECRET: &str = "sk-lannec";
/// More than a run can spend (tokens).
const PREPAID: u64 = 1 << 50;
/// Slots of the engine: never the bound of these figures.
const SLOTS: u32 = 1_024;
/// The stand-in looks through all streams that it keeps at each call, so it keeps
/// them no longer than a resumption would need here (ms).
const KEEP_MS: u64 = 300;

/// Starts `vms` VMs in three failure domains, one engine that answers as fast as it
/// can, and declares `more` workspaces that stay silent.
///
/// # Errors
/// When a process does not start.
pub async fn start(vms: usize, more: usize) -> anyhow::Result<Fleet> {
    let mut tenants = vec![Tenant::new(TENANT, PREPAID)];
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
    let faults = json!({ "slots": SLOTS, "keep_ms": KEEP_MS });
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
