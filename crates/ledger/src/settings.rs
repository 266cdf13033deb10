//! Settings of the ledger daemon.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use swiftlink_settings::{CheckError, Common, LinkPeer, Settings, check_peers};

/// Settings of `swiftlink-ledger`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerSettings {
    /// Settings of every daemon.
    #[serde(flatten)]
    pub common: Common,
    /// Address for links from routers and other ledgers.
    pub listen: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's VM list; without it, no router is retired because its VM
    /// left the list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vms: Option<SocketAddr>,
    /// The other ledgers; `name` is the name of the ledger's VM.
    #[serde(default)]
    pub peers: Vec<LinkPeer>,
    /// Number of budget streams; must be the same in every process.
    #[serde(default = "defaults::shards")]
    pub shards: u32,
    /// Shortest time between two appends to one stream (ms).
    #[serde(default = "defaults::batch_ms")]
    pub batch_ms: u64,
    /// Long-term limit of appends per second over all streams.
    #[serde(default = "defaults::append_rate")]
    pub append_rate: u32,
    /// Appends that may go at once after an idle period.
    #[serde(default = "defaults::append_burst")]
    pub append_burst: u32,
    /// Time after which an append or a read without an answer fails (ms).
    #[serde(default = "defaults::log_timeout_ms")]
    pub log_timeout_ms: u64,
    /// How long one read of the log waits for a record (ms).
    #[serde(default = "defaults::poll_ms")]
    pub poll_ms: u64,
    /// Number of records after which a new snapshot is written.
    #[serde(default = "defaults::snapshot_every")]
    pub snapshot_every: u64,
    /// Age after which a new snapshot is written in any case (s); must be well below the
    /// log's retention time.
    #[serde(default = "defaults::snapshot_secs")]
    pub snapshot_secs: u64,
    /// Largest total size of the records that wait for the log, per stream (bytes).
    #[serde(default = "defaults::queue_bytes")]
    pub queue_bytes: usize,
    /// Largest total size of the records kept for followers, per stream (bytes).
    #[serde(default = "defaults::tail_bytes")]
    pub tail_bytes: usize,
    /// Number of successive reads of the VM list without a VM after which the VM is gone.
    #[serde(default = "defaults::vm_reads")]
    pub vm_reads: u32,
    /// Longest time that a shutdown spends on appending or handing over queued records (ms).
    #[serde(default = "defaults::stop_ms")]
    pub stop_ms: u64,
}

impl Settings for LedgerSettings {
    fn common(&self) -> &Common {
        &self.common
    }

    fn check(&self) -> Result<(), CheckError> {
        check_peers("peers", &self.peers)?;
        let positive = [
            ("shards", u64::from(self.shards)),
            ("append_rate", u64::from(self.append_rate)),
            ("append_burst", u64::from(self.append_burst)),
            ("log_timeout_ms", self.log_timeout_ms),
            ("poll_ms", self.poll_ms),
            ("snapshot_every", self.snapshot_every),
            ("snapshot_secs", self.snapshot_secs),
            ("vm_reads", u64::from(self.vm_reads)),
        ];
        for (key, value) in positive {
            if value == 0 {
                return Err(CheckError::new(key, "must be at least 1"));
            }
        }
        for (key, value) in [
            ("queue_bytes", self.queue_bytes),
            ("tail_bytes", self.tail_bytes),
        ] {
            if value < MIN_BUFFER_BYTES {
                let detail = format!("must be at least {MIN_BUFFER_BYTES}");
                return Err(CheckError::new(key, detail));
            }
        }
        Ok(())
    }
}

/// Smallest size of a buffer in bytes: enough for a few batches or snapshot chunks.
const MIN_BUFFER_BYTES: usize = 1024 * 1024;

mod defaults {
    pub(super) fn shards() -> u32 {
        4
    }
    pub(super) fn batch_ms() -> u64 {
        5
    }
    pub(super) fn append_rate() -> u32 {
        50
    }
    pub(super) fn append_burst() -> u32 {
        50
    }
    pub(super) fn log_timeout_ms() -> u64 {
        2_000
    }
    pub(super) fn poll_ms() -> u64 {
        1_000
    }
    pub(super) fn snapshot_every() -> u64 {
        10_000
    }
    pub(super) fn snapshot_secs() -> u64 {
        300
    }
    pub(super) fn queue_bytes() -> usize {
        8 * 1024 * 1024
    }
    pub(super) fn tail_bytes() -> usize {
        16 * 1024 * 1024
    }
    pub(super) fn vm_reads() -> u32 {
        3
    }
    pub(super) fn stop_ms() -> u64 {
        5_000
    }
}
