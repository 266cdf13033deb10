//! Processor time and memory of the fleet's processes, from procfs.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

/// Resource usage of one process since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Processor time of its live threads (ns).
    pub cpu_ns: u64,
    /// Resident memory (bytes).
    pub memory: u64,
}

/// Role of each child of this process, by pid: `router`, `ledger`, `operator`, `log`...
#[must_use]
pub fn children() -> BTreeMap<u32, String> {
    let mut children = BTreeMap::new();
    let Ok(entries) = fs::read_dir("/proc") else {
        return children;
    };
    for entry in entries.flatten() {
        let Ok(pid) = entry.file_name().to_string_lossy().parse() else {
            continue;
        };
        if field(&entry.path(), "PPid:") != Some(u64::from(std::process::id())) {
            continue;
        }
        let Ok(exe) = fs::read_link(entry.path().join("exe")) else {
            continue;
        };
        let name = exe.file_name().unwrap_or_default().to_string_lossy();
        let role = name.rsplit('-').next().unwrap_or_default();
        children.insert(pid, role.to_owned());
    }
    children
}

/// Reads the current resource usage of a process.
#[must_use]
pub fn counts(pid: u32) -> Counts {
    let dir = format!("/proc/{pid}");
    let dir = Path::new(&dir);
    let mut cpu_ns = 0;
    if let Ok(tasks) = fs::read_dir(dir.join("task")) {
        for task in tasks.flatten() {
            cpu_ns += on_cpu(&task.path());
        }
    }
    Counts {
        cpu_ns,
        memory: field(dir, "VmRSS:").unwrap_or(0) * 1_024,
    }
}

fn on_cpu(task: &Path) -> u64 {
    let text = fs::read_to_string(task.join("schedstat")).unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|word| word.parse().ok()).unwrap_or(0)
}

/// Reads a number from the file `status` of a process's directory.
fn field(dir: &Path, name: &str) -> Option<u64> {
    let text = fs::read_to_string(dir.join("status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}
