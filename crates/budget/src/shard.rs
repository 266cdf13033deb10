//! Mapping of budgets to the streams of the log.

use swiftlink_types::StreamName;
use xxhash_rust::xxh3::xxh3_64;

/// Name of the stream of declared resources.
pub const CONFIG_STREAM: &str = "config";

/// Shard that holds a budget, out of `shards` (0 counts as 1).
///
/// The mapping is part of the log's format: it must not change while streams are in use.
#[must_use]
pub fn shard_of(budget: &str, shards: u32) -> u32 {
    let hash = xxh3_64(budget.as_bytes());
    let shard = hash % u64::from(shards.max(1));
    u32::try_from(shard).expect("a remainder is below its 32-bit divisor")
}

/// Stream that holds the records of a shard.
#[must_use]
pub fn stream_of(shard: u32) -> StreamName {
    StreamName::from(format!("budget-{shard}"))
}
