//! Takes news of the members, and works out what follows from who they are.

use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;

use swiftlink_telemetry::event;
use tokio::time::Instant;

use super::{Peers, lock};
use crate::node::Node;
use crate::quarantine::gossip;
use crate::rights::holders::{Member, Placement};
use crate::watch::{self, Follow, News, Others};

/// Takes news of a partition of the members' feed.
#[derive(Debug)]
pub(crate) struct Follower {
    peers: Arc<Peers>,
    node: Arc<Node>,
    part: u32,
}

impl Follow for Follower {
    fn take(&mut self, news: News) -> News {
        for change in &news.changes {
            let Some(value) = &change.value else {
                continue;
            };
            if change.key.starts_with(gossip::KEY_PREFIX) {
                gossip::receive_record(&self.node.quarantine, &change.key, value);
                continue;
            }
            self.peers.learn(&change.key, value);
            self.peers.is_due.store(true, SeqCst);
        }
        if let Some(at) = news.as_of {
            lock(&self.peers.known).insert(self.part, at);
        }
        self.tell();
        news
    }

    fn regained(&mut self) {}

    fn tick(&mut self) -> Vec<String> {
        // Pools that were declared since the last member came need it too.
        self.tell();
        Vec::new()
    }
}

impl Follower {
    /// Tells `node` of the members that `peers` knows, those of `part` among them.
    pub(crate) fn new(peers: &Arc<Peers>, node: &Arc<Node>, part: u32) -> Self {
        Self {
            peers: Arc::clone(peers),
            node: Arc::clone(node),
            part,
        }
    }

    fn tell(&self) {
        let (peers, settings) = (&self.peers, &self.node.settings);
        let count = lock(&peers.members).len() + 1;
        self.node.pools.set_routers(count, settings);
        if peers.is_due.swap(false, SeqCst) {
            if peers.parts.first().is_some_and(|part| peers.is_known(part)) {
                self.place();
            } else {
                peers.is_due.store(true, SeqCst);
            }
        }
        // Opened now, and once the secret is known: a request that needs one doesn't wait.
        for vm in lock(&peers.holders).iter() {
            peers.link(vm);
        }
    }

    /// Works out whom to follow by, and who holds accounts where all members are known.
    fn place(&self) {
        let (peers, settings) = (&self.peers, &self.node.settings);
        let own = Member {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            strength: settings.strength,
        };
        let mut members = peers.members(own);
        members.sort_by(|one, other| one.vm.cmp(&other.vm));
        *lock(&peers.tree) = Some(watch::upstreams(&settings.vm, &members));
        if !peers.is_settled() {
            peers.is_due.store(true, SeqCst);
            return;
        }
        let mut placed = lock(&peers.placed);
        if *placed == members {
            return;
        }
        placed.clone_from(&members);
        let placement = Placement::new(settings.vm.clone(), members, Instant::now());
        let holders = placement.linked();
        event!(
            info,
            "rights.placed",
            fleet = placed.len(),
            holders = holders.len(),
        );
        *lock(&peers.holders) = holders;
        self.node.books.set_placement(placement);
    }
}
