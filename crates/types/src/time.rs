//! Time types. Decision logic doesn't read clocks: its callers pass the time as a number.

use std::time::{SystemTime, UNIX_EPOCH};

/// Monotonic time in microseconds since an arbitrary origin.
pub type Micros = u64;

/// Wall-clock time in milliseconds since 1970.
pub type WallMs = u64;

/// Microseconds in a millisecond.
pub const MICROS_PER_MS: Micros = 1_000;

/// Current wall-clock time. For the I/O layers only: decision logic takes the time as an argument.
#[must_use]
pub fn wall_ms() -> WallMs {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallMs::try_from(since.as_millis()).unwrap_or(WallMs::MAX)
}
