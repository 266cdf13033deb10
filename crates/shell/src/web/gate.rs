//! Switch for accepting new connections.

use tokio::sync::watch;

/// Opens and closes a server to new connections while it runs.
///
/// While the gate is closed the port refuses connections, so that a client can connect to
/// another process before it has sent anything. Established connections stay open.
#[derive(Debug)]
pub struct Gate(watch::Sender<bool>);

impl Gate {
    /// Creates an open gate.
    pub(super) fn open() -> Self {
        Self(watch::Sender::new(true))
    }

    /// Opens or closes the gate.
    pub fn set(&self, is_open: bool) {
        self.0.send_replace(is_open);
    }

    /// Whether new connections are accepted.
    #[must_use]
    pub fn is_open(&self) -> bool {
        *self.0.borrow()
    }

    /// Resolves once the gate has the given state.
    pub(super) async fn until(&self, is_open: bool) {
        let mut changes = self.0.subscribe();
        // Fails only when the sender is dropped, and `self` holds it.
        let _changed = changes.wait_for(|now| *now == is_open).await;
    }
}
