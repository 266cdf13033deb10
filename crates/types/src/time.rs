//! Time as the decisions see it: plain numbers passed in by the caller.

use std::time::{SystemTime, UNIX_EPOCH};

/// Monotonic time in microseconds from an arbitrary start.
pub type Micros = u64;

/// Wall clock in milliseconds since 1970.
pub type WallMs = u64;

/// Microseconds in a millisecond.
pub const MICROS_PER_MS: Micros = 1_000;

/// The wall clock now; for the I/O layers only, decisions take time as an argument.
#[must_use]
pub fn wall_ms() -> WallMs {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallMs::try_from(since.as_millis()).unwrap_or(WallMs::MAX)
}
