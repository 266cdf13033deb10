//! Which routers hold the account of a workspace. No I/O.
//!
//! In a small fleet each router holds a part of each account and serves most requests from it
//! without a message. In a large one such parts would be smaller than a request: there a few
//! routers hold an account, and the others reserve with them for each request.

use std::collections::HashSet;

use swiftlink_types::{DomainName, VmName, WorkspaceName};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Largest fleet whose routers all hold parts of all accounts. With sixteen parts a part is
/// still worth seconds of a workspace's use; claims of more routers take the store seconds
/// at a start.
const SMALL_FLEET: usize = 16;
/// Routers that an account of a small fleet is shared between at least, until they show: the
/// first ones must not take all.
const SMALL_SHARERS: usize = 8;
/// Routers that hold an account in a large fleet. Each loss of one, or of a failure domain,
/// leaves two that serve on; with more of them the last tokens of a budget lie in more places.
const HOLDERS: usize = 3;
/// Routers of a large fleet that hold accounts at all: each other router keeps a connection to
/// each of them, so the connections of a fleet grow with its size and not with its square.
const CANDIDATES: usize = 24;
/// Holders should have at least this part of the processor time of the strongest VM: they
/// answer for the callers of all others.
const STRONG_PART: u32 = 2;
/// Candidates that a large fleet needs at least, however strong they are.
const CANDIDATES_LEAST: usize = 6;

/// A router as its entry among the members tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its VM.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Processor time of the VM, in thousandths of a core; at least 1.
    pub cpu_millis: u32,
}

/// Where accounts are held, as one router sees it.
#[derive(Clone, Debug)]
pub struct Placement {
    own: VmName,
    fleet: usize,
    /// Members that may hold accounts.
    candidates: Vec<Member>,
    /// From when on rights are held that nobody asked for; `None` until members are known.
    from: Option<Instant>,
}

impl Placement {
    /// Nothing is known of the members: rights are claimed where a request needs them.
    #[must_use]
    pub fn unknown(own: VmName) -> Self {
        Self {
            own,
            fleet: 0,
            candidates: Vec::new(),
            from: None,
        }
    }

    /// The placement in a fleet of `members`, the router on `own` among them. It holds rights
    /// that nobody asked for `from` then on: more members may show at a fleet's first start.
    #[must_use]
    pub fn new(own: VmName, members: Vec<Member>, from: Instant) -> Self {
        let fleet = members.len();
        let candidates = if fleet <= SMALL_FLEET {
            members
        } else {
            choose(members)
        };
        Self {
            own,
            fleet,
            candidates,
            from: Some(from),
        }
    }

    /// Whether this router should hold a part of the account, also while it doesn't use it.
    #[must_use]
    pub fn is_holder(&self, workspace: &WorkspaceName) -> bool {
        if self.from.is_none_or(|from| Instant::now() < from) {
            return false;
        }
        self.is_placed(workspace)
    }

    /// Whether the account is placed on this router.
    #[must_use]
    pub fn is_placed(&self, workspace: &WorkspaceName) -> bool {
        self.rank(workspace).is_none_or(|rank| rank < HOLDERS)
    }

    /// Routers that the account is meant to be shared between.
    #[must_use]
    pub fn sharers(&self) -> usize {
        if self.is_small() {
            self.fleet.max(SMALL_SHARERS)
        } else {
            HOLDERS
        }
    }

    /// Place of this router among those that the account is placed on; the number of them for
    /// one that isn't. `None` in a small fleet, whose routers are alike.
    #[must_use]
    pub fn rank(&self, workspace: &WorkspaceName) -> Option<usize> {
        if self.is_small() {
            return None;
        }
        let order = self.order(workspace);
        let place = order.into_iter().position(|vm| *vm == self.own);
        Some(place.unwrap_or(HOLDERS).min(HOLDERS))
    }

    /// Other routers that this one may reserve with, in the order in which it asks them. Each
    /// `turn` begins with another one of the holders, so that they are used alike also where
    /// one router has most of a workspace's callers.
    #[must_use]
    pub fn reserve_order(&self, workspace: &WorkspaceName, turn: u64) -> Vec<VmName> {
        let mut order = self.order(workspace);
        let holders = order.len().min(HOLDERS);
        if holders > 0 {
            order[..holders].rotate_left((turn % holders as u64) as usize);
        }
        let others = order.into_iter().filter(|vm| **vm != self.own);
        others.cloned().collect()
    }

    /// Other routers that hold accounts, which a router of a large fleet keeps links to.
    #[must_use]
    pub fn peer_holders(&self) -> Vec<VmName> {
        if self.is_small() {
            return Vec::new();
        }
        let vms = self.candidates.iter().map(|member| member.vm.clone());
        vms.filter(|vm| *vm != self.own).collect()
    }

    /// The first `count` routers for what is called `name`, this one among them if it is one.
    #[must_use]
    pub fn top_ranked(&self, name: &str, count: usize) -> Vec<VmName> {
        let order = self.order(&WorkspaceName::from(name));
        order.into_iter().take(count).cloned().collect()
    }

    /// Whether all routers hold parts of all accounts.
    fn is_small(&self) -> bool {
        self.fleet <= SMALL_FLEET
    }

    /// Candidates by weighted rendezvous, so that a change of the members moves few accounts;
    /// the first ones are of different failure domains where there are enough.
    fn order(&self, workspace: &WorkspaceName) -> Vec<&VmName> {
        let mut scored: Vec<(f64, &Member)> = Vec::with_capacity(self.candidates.len());
        for member in &self.candidates {
            scored.push((score(workspace, member), member));
        }
        scored.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        let mut domains = HashSet::new();
        let mut first = Vec::with_capacity(scored.len());
        let mut rest = Vec::new();
        for (_, member) in scored {
            if first.len() < HOLDERS && domains.insert(&member.domain) {
                first.push(&member.vm);
            } else {
                rest.push(&member.vm);
            }
        }
        first.extend(rest);
        first
    }
}

/// The members of a large fleet that may hold accounts: strong ones, the same ones whoever
/// chooses.
fn choose(mut members: Vec<Member>) -> Vec<Member> {
    members.sort_by_key(|member| {
        let strength = std::cmp::Reverse(member.cpu_millis);
        (strength, hash("", &member.vm), member.vm.clone())
    });
    let strongest = members.first().map_or(0, |member| member.cpu_millis);
    let strong = members
        .iter()
        .filter(|member| member.cpu_millis * STRONG_PART >= strongest);
    let count = strong.count().clamp(CANDIDATES_LEAST, CANDIDATES);
    members.truncate(count);
    members
}

/// Score of a member for a workspace; the lowest one is first. A member is first for a part of
/// the workspaces that is in proportion to its strength.
fn score(workspace: &WorkspaceName, member: &Member) -> f64 {
    let drawn = (hash(workspace.as_str(), &member.vm) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -drawn.ln() / f64::from(member.cpu_millis.max(1))
}

fn hash(text: &str, vm: &VmName) -> u64 {
    let seed = xxh3_64_with_seed(text.as_bytes(), 0);
    xxh3_64_with_seed(vm.as_str().as_bytes(), seed)
}
