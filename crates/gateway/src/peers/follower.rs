//! Applies updates of the members' feed and computes the upstreams and the placement of accounts.

use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;

use swiftlink_telemetry::event;
use tokio::time::Instant;

use super::{Peers, lock};
use crate::node::Node;
use crate::quarantine::gossip;
use crate::quota::holders::{Member, Placement};
use crate::watch::{self, FeedUpdate, Follow, PeerFeeds};

/// Applies updates of one partition of the members' feed.
#[derive(Debug)]
pub(crate) struct Follower {
    peers: Arc<Peers>,
    node: Arc<Node>,
    partition: u32,
}

impl Follow for Follower {
    fn take(&mut self, update: FeedUpdate) -> FeedUpdate {
        for change in &update.changes {
            let Some(value) = &change.value else {
                continue;
            };
            if change.key.starts_with(gossip::KEY_PREFIX) {
                gossip::receive_record(&self.node.quarantine, &change.key, value);
                continue;
            }
            self.peers.learn_member(&change.key, value);
            self.peers.is_placement_due.store(true, SeqCst);
        }
        if let Some(at) = update.as_of {
            lock(&self.peers.fetched_at).insert(self.partition, at);
        }
        self.publish();
        update
    }

    fn store_recovered(&mut self, _known: Option<Instant>) {}

    fn tick(&mut self) -> Vec<String> {
        // Pools that were added after the last member need the count too.
        self.publish();
        Vec::new()
    }
}

impl Follower {
    /// Creates a follower that passes the members in `peers`, and those of `partition`, on to
    /// `node`.
    pub(crate) fn new(peers: &Arc<Peers>, node: &Arc<Node>, partition: u32) -> Self {
        Self {
            peers: Arc::clone(peers),
            node: Arc::clone(node),
            partition,
        }
    }

    fn publish(&self) {
        let (peers, settings) = (&self.peers, &self.node.settings);
        let count = lock(&peers.members).len() + 1;
        self.node.pools.set_routers(count, settings);
        if peers.is_placement_due.swap(false, SeqCst) {
            if peers
                .partitions
                .first()
                .is_some_and(|partition| peers.is_complete(partition))
            {
                self.update_placement();
            } else {
                peers.is_placement_due.store(true, SeqCst);
            }
        }
        // Opened as soon as the secret is known, so that a request that needs a link doesn't wait.
        for vm in lock(&peers.holders).iter() {
            peers.link(vm);
        }
    }

    /// Computes the upstreams, and the account holders once all members are known.
    fn update_placement(&self) {
        let (peers, settings) = (&self.peers, &self.node.settings);
        let own = Member {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            cpu_millis: settings.cpu_millis,
        };
        let mut members = peers.members(own);
        members.sort_by(|one, other| one.vm.cmp(&other.vm));
        *lock(&peers.upstreams) = Some(watch::upstreams(&settings.vm, &members));
        if !peers.has_all_members() {
            peers.is_placement_due.store(true, SeqCst);
            return;
        }
        let mut placement_members = lock(&peers.placement_members);
        if *placement_members == members {
            return;
        }
        placement_members.clone_from(&members);
        let placement = Placement::new(settings.vm.clone(), members, Instant::now());
        let holders = placement.peer_holders();
        event!(
            info,
            "quota.placed",
            fleet = placement_members.len(),
            holders = holders.len(),
        );
        *lock(&peers.holders) = holders;
        self.node.quotas.set_placement(placement);
    }
}
