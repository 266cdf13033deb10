//! Ports for the processes of a test, from a range outside the system's ephemeral ports,
//! so that a restarted process can bind its old port again.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port of the range; the ephemeral ports start above its end.
const FIRST: u32 = 12_000;
/// Number of ports in the range.
const COUNT: u32 = 20_000;
/// Distance between the first ports of two test processes with adjacent pids.
const STRIDE: u32 = 331;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address that nothing listens on, each one once per process.
///
/// # Panics
/// When no port of the whole range is free.
#[must_use]
pub fn reserve() -> SocketAddr {
    let start = std::process::id().wrapping_mul(STRIDE);
    for _try in 0..COUNT {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let place = start.wrapping_add(step) % COUNT;
        let port = u16::try_from(FIRST + place).expect("the range ends below 65536");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port from {FIRST} on");
}

/// Returns the loopback address with a port that the system chooses.
#[must_use]
pub fn any() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
