//! The links between the processes of a fleet, each through a relay of its own,
//! so that a test can cut or freeze any of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use anyhow::Context as _;
use swiftlink_standins::relay::{Relay, RelayFault};

use crate::port;

/// All relays by the names of the two ends.
#[derive(Debug, Default)]
pub struct Net {
    relays: BTreeMap<(String, String), Relay>,
    direct: bool,
}

impl Net {
    /// A net with relays, or one whose links are all direct and can't be cut.
    #[must_use]
    pub fn new(relayed: bool) -> Self {
        Self {
            relays: BTreeMap::new(),
            direct: !relayed,
        }
    }

    /// The address at which `from` reaches `to`, which listens on `target`.
    ///
    /// # Errors
    /// When no relay can be started.
    pub async fn link(
        &mut self,
        from: &str,
        to: &str,
        target: SocketAddr,
    ) -> anyhow::Result<SocketAddr> {
        if self.direct {
            return Ok(target);
        }
        let relay = Relay::bind(port::any(), target).await;
        let relay = relay.with_context(|| format!("can't relay {from} to {to}"))?;
        let address = relay.address();
        self.relays.insert((from.to_owned(), to.to_owned()), relay);
        Ok(address)
    }

    /// Turns the switches of the link from `from` to `to`; false when there is none.
    pub fn set(&self, from: &str, to: &str, fault: RelayFault) -> bool {
        let relay = self.relays.get(&(from.to_owned(), to.to_owned()));
        relay.map(|relay| relay.set(fault)).is_some()
    }

    /// Turns the switches of all links for whose ends `chosen` holds, and counts them.
    pub fn set_where(&self, fault: RelayFault, chosen: impl Fn(&str, &str) -> bool) -> usize {
        let mut count = 0;
        for ((from, to), relay) in &self.relays {
            if !chosen(from, to) {
                continue;
            }
            relay.set(fault);
            count += 1;
        }
        count
    }

    /// Cuts all links of the process `name`, and counts them.
    pub fn cut(&self, name: &str) -> usize {
        let fault = RelayFault {
            cut: true,
            freeze: false,
        };
        self.set_where(fault, |from, to| from == name || to == name)
    }

    /// Cuts all links for whose ends `chosen` holds, and counts them.
    pub fn cut_where(&self, chosen: impl Fn(&str, &str) -> bool) -> usize {
        let fault = RelayFault {
            cut: true,
            freeze: false,
        };
        self.set_where(fault, chosen)
    }

    /// Mends all links.
    pub fn mend(&self) {
        self.set_where(RelayFault::default(), |_from, _to| true);
    }
}
