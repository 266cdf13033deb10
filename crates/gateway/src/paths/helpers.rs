//! Opens tunnels through other routers.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use swiftlink_link::{Tunnel, TunnelError};
use swiftlink_types::VmName;
use swiftlink_wire::link::TunnelState;
use tokio::time::{Instant, sleep, timeout_at};

use super::{HelperBook, ServerId, Tunnels};
use crate::clock::steady_millis;

/// Delay before the next router is asked while one hasn't replied. A tunnel takes a few
/// milliseconds.
const ASK_DELAY: Duration = Duration::from_millis(40);
/// After this many routers couldn't connect to a server and didn't know that their paths are cut, the
/// server itself is taken to be down. Several, since a cut may affect most routers at one moment.
const MAX_UNREACHABLE: usize = 4;

/// Why no other router opened a tunnel to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTunnel {
    /// There are no other routers.
    Alone,
    /// Routers whose paths to other servers are up can't connect to this one.
    Unreachable,
    /// The routers that were asked can't tell: their own paths are cut, or they didn't answer.
    Unknown,
}

/// Opens tunnels through the routers that can, and remembers which ones can.
#[derive(Debug, Default)]
pub struct Helpers {
    /// Set once the other routers are known.
    tunnels: OnceLock<Arc<dyn Tunnels>>,
    book: Mutex<HelperBook>,
}

impl Helpers {
    /// Chooses among the routers of `tunnels` from now on; there are none before. Set at most once.
    pub fn set_tunnels(&self, tunnels: Arc<dyn Tunnels>) {
        let _again = self.tunnels.set(tunnels);
    }

    /// Opens a tunnel to a server through one of the other routers within `time`.
    ///
    /// # Errors
    /// Why none of them could.
    pub async fn open(&self, target: &ServerId, time: Duration) -> Result<Tunnel, NoTunnel> {
        let end = Instant::now() + time;
        let mut order = self.order().into_iter();
        let mut asked = FuturesUnordered::new();
        let mut unreachable = 0;
        if order.len() == 0 {
            return Err(NoTunnel::Alone);
        }
        loop {
            if unreachable >= MAX_UNREACHABLE {
                return Err(NoTunnel::Unreachable);
            }
            if let Some(vm) = order.next() {
                asked.push(self.ask(vm, target, end));
            }
            if asked.is_empty() {
                return Err(if unreachable > 0 {
                    NoTunnel::Unreachable
                } else {
                    NoTunnel::Unknown
                });
            }
            let replied = tokio::select! {
                replied = asked.next() => replied,
                () = sleep(ASK_DELAY), if order.len() > 0 => continue,
            };
            match replied {
                Some(Ok(tunnel)) => return Ok(tunnel),
                Some(Err(TunnelState::Unreachable)) => unreachable += 1,
                Some(Err(_)) | None => {}
            }
        }
    }

    /// Asks a router for a tunnel and remembers how that went.
    async fn ask(
        &self,
        vm: VmName,
        target: &ServerId,
        end: Instant,
    ) -> Result<Tunnel, TunnelState> {
        let tunnels = self.tunnels.get().ok_or(TunnelState::Unspecified)?;
        let time = end.saturating_duration_since(Instant::now());
        let opened = timeout_at(end, tunnels.open(&vm, target, time)).await;
        let mut book = self.lock();
        let now = steady_millis();
        match opened {
            Ok(Ok(tunnel)) => {
                book.on_helped(&vm, tunnel.tunnels());
                Ok(tunnel)
            }
            // Says something about the server and nothing about the router.
            Ok(Err(TunnelError::Refused {
                state: state @ (TunnelState::Unreachable | TunnelState::Closed),
                ..
            })) => Err(state),
            Ok(Err(TunnelError::Refused { state, .. })) => {
                book.on_failed(&vm, now);
                Err(state)
            }
            Ok(Err(TunnelError::Down(_))) | Err(_) => {
                book.on_failed(&vm, now);
                Err(TunnelState::Unspecified)
            }
        }
    }

    fn order(&self) -> Vec<VmName> {
        let Some(tunnels) = self.tunnels.get() else {
            return Vec::new();
        };
        let (near, far) = tunnels.candidates();
        let now = steady_millis();
        self.lock().order(near, far, now, &mut rand::rng())
    }

    fn lock(&self) -> MutexGuard<'_, HelperBook> {
        // The maps are consistent between any two calls.
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
