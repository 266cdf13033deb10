//! How long a server whose entry may have lapsed in an outage of the store has to write it again.

use std::time::Duration;

use tokio::time::Instant;

/// Time within which the entry of a server that lapsed must be written again after the store
/// recovers. Servers are required to do so within about two seconds, and a server that really left
/// must get no work after two.
pub(super) const RETURN_GRACE: Duration = Duration::from_secs(2);
/// Heartbeats that an outage must be longer than for an entry to lapse in it: the store removes an
/// entry after three without one, and the last one came up to one before the outage.
const MISSED_HEARTBEATS: u32 = 2;
/// Time from the choice of a server until the request reaches it.
const SEND_TIME: Duration = Duration::from_millis(500);

/// Until when entries that are missing as the store answers again may be written again; `None` if
/// none can have lapsed. `known` is the last moment at which the store had nothing newer than what
/// this router knows: an entry that its server removed was removed after it, and the server must get
/// no request later than `drain` after that.
pub(super) fn return_by(
    now: Instant,
    known: Option<Instant>,
    heartbeat: Duration,
    drain: Duration,
) -> Option<Instant> {
    let latest = now + RETURN_GRACE;
    let Some(known) = known else {
        return Some(latest);
    };
    if now.saturating_duration_since(known) < heartbeat * MISSED_HEARTBEATS {
        return None;
    }
    if known + drain <= now {
        return Some(latest);
    }
    Some((known + drain).checked_sub(SEND_TIME)?.min(latest))
}
