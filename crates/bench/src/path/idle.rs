//! Idle cost of the daemons: control traffic, processor time, memory.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::process::{self, Counts};
use super::{sockets, testbed, usage};
use crate::row::Rows;

/// Fleet sizes (VMs).
const VMS: [usize; 3] = [3, 6, 9];
/// Numbers of additional workspaces, each with its own budget
/// and key.
const WORKSPACES: [usize; 3] = [0, 1_000, 4_000];
/// Settling time for start-up traffic.
const SETTLE: Duration = Duration::from_secs(3);
/// Reported roles.
const ROLES: [&str; 3] = ["router", "ledger", "operator"];

/// Measures fleets of several sizes, and of several numbers of resources.
///
/// # Errors
/// Fails when a process does not start.
pub async fn measure(quick: bool, rows: &mut Rows) -> anyhow::Result<()> {
    let time = Duration::from_secs(if quick { 2 } else { 10 });
    for vms in VMS {
        let name = format!("idle-vms-{vms}");
        fleet(&name, vms, 0, time, rows).await?;
    }
    for more in &WORKSPACES[1..] {
        let name = format!("idle-workspaces-{more}");
        fleet(&name, VMS[0], *more, time, rows).await?;
    }
    Ok(())
}

async fn fleet(
    name: &str,
    vms: usize,
    more: usize,
    time: Duration,
    rows: &mut Rows,
) -> anyhow::Result<()> {
    let fleet = testbed::start(vms, more).await?;
    sleep(SETTLE).await;
    let roles = process::children();
    let before: BTreeMap<u32, Counts> = all(&roles);
    let sent = sockets::sent();
    let start = Instant::now();
    sleep(time).await;
    let took = start.elapsed().as_secs_f64();
    let sent = sockets::between(&sent, &sockets::sent());
    let after = all(&roles);
    drop(fleet);
    rows.add(name, "machine", "load_average", usage::load_average());
    for role in ROLES {
        let pids: Vec<u32> = roles
            .iter()
            .filter(|(_pid, found)| *found == role)
            .map(|(pid, _found)| *pid)
            .collect();
        let count = pids.len().max(1) as f64;
        let mut cpu = 0.0;
        let mut memory = 0.0;
        let mut bytes = 0.0;
        for pid in &pids {
            cpu += (after[pid].cpu_ns - before[pid].cpu_ns) as f64;
            memory += after[pid].memory as f64;
            bytes += sent.get(pid).copied().unwrap_or(0) as f64;
        }
        rows.add(name, role, "core_percent", cpu / 1e7 / took / count);
        rows.add(name, role, "memory_mb", memory / 1e6 / count);
        rows.add(name, role, "sent_bytes_per_s", bytes / took / count);
    }
    Ok(())
}

fn all(roles: &BTreeMap<u32, String>) -> BTreeMap<u32, Counts> {
    let mut counts = BTreeMap::new();
    for pid in roles.keys() {
        counts.insert(*pid, process::counts(*pid));
    }
    counts
}
