//! The routers that record the origins of streams.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use async_trait::async_trait;
use swiftlink_link::LinkError;
use swiftlink_types::{DomainName, PoolName, VmName};
use swiftlink_wire::link::{reply, request};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Peers, lock};
use crate::origins::{Recorders, StreamKey};
use crate::watch::PeerFeeds;

/// Maximum number of routers that record streams: each router has links to all of them.
pub const MAX_KEEPERS: usize = 32;

/// The order in which routers record a stream, by rendezvous hashing; it starts with one router of
/// each failure domain.
#[must_use]
pub fn record_ranking(members: Vec<(VmName, DomainName)>, key: &StreamKey) -> Vec<VmName> {
    let seed = key.workspace ^ key.id as u64 ^ (key.id >> 64) as u64;
    let mut members = members;
    keep_keepers(&mut members);
    members.sort_by_cached_key(|(vm, _)| Reverse(xxh3_64_with_seed(vm.as_str().as_bytes(), seed)));
    let mut domains = HashSet::new();
    let (first, rest): (Vec<_>, Vec<_>) = members
        .into_iter()
        .partition(|(_, domain)| domains.insert(domain.clone()));
    first.into_iter().chain(rest).map(|(vm, _)| vm).collect()
}

/// The `members` that come before `own` in the order in which they write the record of a pool's
/// versions, by rendezvous hashing.
#[must_use]
pub fn writers_before(
    members: Vec<(VmName, DomainName)>,
    own: &VmName,
    pool: &PoolName,
) -> Vec<VmName> {
    let seed = xxh3_64(pool.as_str().as_bytes());
    let weight = |vm: &VmName| xxh3_64_with_seed(vm.as_str().as_bytes(), seed);
    let limit = weight(own);
    let vms = members.into_iter().map(|(vm, _)| vm);
    let mut before: Vec<VmName> = vms.filter(|vm| weight(vm) > limit).collect();
    before.sort_by_cached_key(|vm| Reverse(weight(vm)));
    before
}

/// Removes all but the routers that record streams.
fn keep_keepers(members: &mut Vec<(VmName, DomainName)>) {
    if members.len() > MAX_KEEPERS {
        members.sort_by_cached_key(|(vm, _)| xxh3_64(vm.as_str().as_bytes()));
        members.truncate(MAX_KEEPERS);
    }
}

impl Peers {
    /// All routers and their failure domains.
    fn all_domains(&self) -> Vec<(VmName, DomainName)> {
        let members = lock(&self.members);
        let others = members.values();
        let others = others.map(|(member, _)| (member.vm.clone(), member.domain.clone()));
        others
            .chain([(self.vm.clone(), self.domain.clone())])
            .collect()
    }
}

#[async_trait]
impl Recorders for Peers {
    fn recorders(&self, key: &StreamKey) -> Vec<VmName> {
        let mut ranking = record_ranking(self.all_domains(), key);
        ranking.retain(|vm| *vm != self.vm);
        ranking
    }

    fn is_recorder(&self) -> bool {
        let mut members = self.all_domains();
        keep_keepers(&mut members);
        members.iter().any(|(vm, _)| *vm == self.vm)
    }

    fn writers_before(&self, pool: &PoolName) -> Option<Vec<VmName>> {
        if !self.has_all_members() {
            return None;
        }
        Some(writers_before(self.all_domains(), &self.vm, pool))
    }

    async fn call(
        &self,
        vm: &VmName,
        kind: request::Kind,
        time: Duration,
    ) -> Result<reply::Kind, LinkError> {
        self.connect_and_call(vm, kind, time).await
    }
}
