//! The network links between the processes of a fleet. Each one passes through its own
//! relay, so that a test can cut or freeze it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use anyhow::Context as _;
use swiftlink_standins::relay::{Relay, RelayFault};

use crate::port;

/// All relays, by the names of the two connected processes.
#[derive(Debug, Default)]
pub struct Net {
    relays: BTreeMap<(String, String), Relay>,
    is_direct: bool,
}

impl Net {
    /// Creates a network with relays, or one with direct links, which can't be cut.
    #[must_use]
    pub fn new(relayed: bool) -> Self {
        Self {
            relays: BTreeMap::new(),
            is_direct: !relayed,
        }
    }

    /// Returns the address by which `from` reaches `to`, which listens on `target`.
    ///
    /// # Errors
    /// When the relay can't be started.
    pub async fn link(
        &mut self,
        from: &str,
        to: &str,
        target: SocketAddr,
    ) -> anyhow::Result<SocketAddr> {
        if self.is_direct {
            return Ok(target);
        }
        let relay = Relay::bind(port::any(), target).await;
        let relay = relay.with_context(|| format!("can't relay {from} to {to}"))?;
        let address = relay.address();
        self.relays.insert((from.to_owned(), to.to_owned()), relay);
        Ok(address)
    }

    /// Sets the faults of the link from `from` to `to`. Returns false if there is none.
    pub fn set(&self, from: &str, to: &str, fault: RelayFault) -> bool {
        let relay = self.relays.get(&(from.to_owned(), to.to_owned()));
        relay.map(|relay| relay.set(fault)).is_some()
    }

    /// Sets the faults of all links that `selects` accepts by the names of the two processes.
    /// Returns their number.
    pub fn set_where(&self, fault: RelayFault, selects: impl Fn(&str, &str) -> bool) -> usize {
        let mut count = 0;
        for ((from, to), relay) in &self.relays {
            if !selects(from, to) {
                continue;
            }
            relay.set(fault);
            count += 1;
        }
        count
    }

    /// Cuts all links of the process `name`, and returns their number.
    pub fn cut(&self, name: &str) -> usize {
        let fault = RelayFault {
            cut: true,
            freeze: false,
        };
        self.set_where(fault, |from, to| from == name || to == name)
    }

    /// Cuts all links that `selects` accepts by the names of the two processes, and returns
    /// their number.
    pub fn cut_where(&self, selects: impl Fn(&str, &str) -> bool) -> usize {
        let fault = RelayFault {
            cut: true,
            freeze: false,
        };
        self.set_where(fault, selects)
    }

    /// Removes the faults of all links.
    pub fn heal(&self) {
        self.set_where(RelayFault::default(), |_from, _to| true);
    }
}
