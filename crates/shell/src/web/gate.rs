//! Whether a server takes new connections.

use tokio::sync::watch;

/// Opens and closes a server to new connections while it runs.
///
/// While it is closed the port refuses them, so that a client can go elsewhere before it has
/// sent anything. Connections that are open stay.
#[derive(Debug)]
pub struct Gate(watch::Sender<bool>);

impl Gate {
    /// An open one.
    pub(super) fn open() -> Self {
        Self(watch::Sender::new(true))
    }

    /// Opens or closes it.
    pub fn set(&self, is_open: bool) {
        self.0.send_replace(is_open);
    }

    /// Whether new connections are taken.
    #[must_use]
    pub fn is_open(&self) -> bool {
        *self.0.borrow()
    }

    /// Resolves once it is open, or closed.
    pub(super) async fn until(&self, is_open: bool) {
        let mut changes = self.0.subscribe();
        // Fails only when the sender is gone, which `self` holds.
        let _changed = changes.wait_for(|now| *now == is_open).await;
    }
}
