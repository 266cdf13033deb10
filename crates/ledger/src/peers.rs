//! Links to the other ledgers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_link::{Client, LinkError, Secret};
use swiftlink_settings::LinkPeer;
use swiftlink_types::Incarnation;
use swiftlink_wire::link::{GetPending, reply, request};

/// Prefix of a ledger's process name, in front of the name of its VM.
pub const NAME_PREFIX: &str = "ledger-";

/// Time limit for a peer's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Another ledger.
pub struct Peer {
    /// Name of the peer, as written in the settings.
    pub name: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: Arc<str>,
    /// Link to it.
    pub client: Arc<Client>,
}

/// All other ledgers in the settings.
#[derive(Debug, Default)]
pub struct Peers {
    list: Vec<Peer>,
}

impl Peers {
    /// Opens links to `peers` as process `name`; they connect in the background.
    #[must_use]
    pub fn open(peers: &[LinkPeer], name: &str, secret: &Secret) -> Self {
        let mut list = Vec::new();
        for peer in peers {
            list.push(Peer {
                name: Arc::from(peer.name.as_str()),
                address: peer.address,
                domain: Arc::from(peer.domain.as_str()),
                client: Client::spawn(peer.address, name, secret.clone()),
            });
        }
        Self { list }
    }

    /// The peers, in the order of the settings.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.list.iter()
    }

    /// The peer for `turn`, in round-robin order; `None` without peers.
    #[must_use]
    pub fn round_robin(&self, turn: usize) -> Option<&Peer> {
        let at = turn.checked_rem(self.list.len())?;
        self.list.get(at)
    }

    /// Closes the links.
    pub async fn stop(&self) {
        for peer in &self.list {
            peer.client.stop().await;
        }
    }
}

impl Peer {
    /// Name of the VM that the peer runs on. The settings name a ledger by its VM or by
    /// its process name, which is the VM's name prefixed with [`NAME_PREFIX`].
    #[must_use]
    pub fn vm(&self) -> &str {
        self.name.strip_prefix(NAME_PREFIX).unwrap_or(&self.name)
    }

    /// Number of charges of `incarnation` that the peer holds and hasn't folded yet.
    ///
    /// # Errors
    /// When the peer gives no valid answer in time.
    pub async fn pending(&self, incarnation: &Incarnation) -> Result<u64, LinkError> {
        let request = GetPending {
            incarnation: Some(incarnation.into()),
        };
        let kind = request::Kind::GetPending(request);
        match self.client.call(kind, CALL_TIMEOUT).await? {
            reply::Kind::Pending(pending) => Ok(pending.count),
            _ => Err(LinkError::Lost),
        }
    }
}

impl std::fmt::Debug for Peer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut out = f.debug_struct("Peer");
        out.field("name", &self.name);
        out.field("address", &self.address);
        out.finish_non_exhaustive()
    }
}
