//! Which routers hold the account of a workspace. No I/O.
//!
//! In a small fleet each router holds a share of each account and serves most requests from it
//! without a message. In a large one such shares would be smaller than a request: there a few
//! routers hold an account, and the others reserve tokens with them for each request.

use std::collections::HashSet;

use swiftlink_types::{DomainName, VmName, WorkspaceName};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Largest fleet whose routers all hold shares of all accounts. With sixteen shares, a share still
/// covers seconds of a workspace's use; claims of more routers take the store seconds when a fleet
/// starts.
const MAX_SMALL_FLEET: usize = 16;
/// Minimum number of routers that an account of a small fleet is meant to be shared between, also
/// if the fleet has fewer, so that the first routers don't take everything while others still join.
const MIN_SHARERS: usize = 8;
/// Routers that hold an account in a large fleet. A loss of one, or of its failure domain, leaves
/// two; with more of them, the last tokens of a budget are spread over more places.
const HOLDERS: usize = 3;
/// Maximum number of routers of a large fleet that hold accounts. Each other router keeps a
/// connection to each of them, so the number of connections grows with the fleet's size and not its
/// square.
const MAX_CANDIDATES: usize = 24;
/// A candidate should have at least the processor time of the strongest VM divided by this, since
/// holders serve the callers of all other routers.
const STRONG_DIVISOR: u32 = 2;
/// Minimum number of candidates of a large fleet, whatever their processor time.
const MIN_CANDIDATES: usize = 6;

/// A router, from its entry in the members' feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The router's VM.
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
    /// When the router starts to hold quota that no request asked for; `None` until members are
    /// known.
    hold_from: Option<Instant>,
}

impl Placement {
    /// The placement before members are known: quota is claimed where a request needs it.
    #[must_use]
    pub fn unknown(own: VmName) -> Self {
        Self {
            own,
            fleet: 0,
            candidates: Vec::new(),
            hold_from: None,
        }
    }

    /// The placement in a fleet of `members`, which include the router on `own`. At `hold_from` the
    /// router starts to hold quota that no request asked for: when a fleet first starts, members
    /// may still join.
    #[must_use]
    pub fn new(own: VmName, members: Vec<Member>, hold_from: Instant) -> Self {
        let fleet = members.len();
        let candidates = if fleet <= MAX_SMALL_FLEET {
            members
        } else {
            choose_candidates(members)
        };
        Self {
            own,
            fleet,
            candidates,
            hold_from: Some(hold_from),
        }
    }

    /// Whether this router should hold a share of the account even while it doesn't use it.
    #[must_use]
    pub fn is_holder(&self, workspace: &WorkspaceName) -> bool {
        if self.hold_from.is_none_or(|from| Instant::now() < from) {
            return false;
        }
        self.is_placed(workspace)
    }

    /// Whether the account is placed on this router.
    #[must_use]
    pub fn is_placed(&self, workspace: &WorkspaceName) -> bool {
        self.rank(workspace).is_none_or(|rank| rank < HOLDERS)
    }

    /// Number of routers that the account is meant to be shared between.
    #[must_use]
    pub fn sharers(&self) -> usize {
        if self.is_small() {
            self.fleet.max(MIN_SHARERS)
        } else {
            HOLDERS
        }
    }

    /// Position of this router among the holders of the account; the number of holders if it isn't
    /// one. `None` in a small fleet, where all routers have equal shares.
    #[must_use]
    pub fn rank(&self, workspace: &WorkspaceName) -> Option<usize> {
        if self.is_small() {
            return None;
        }
        let order = self.order(workspace);
        let place = order.into_iter().position(|vm| *vm == self.own);
        Some(place.unwrap_or(HOLDERS).min(HOLDERS))
    }

    /// Other routers that this one may reserve tokens with, in the order in which it asks them.
    /// Each `turn` begins with the next holder, so that holders are used equally even where one
    /// router has most of a workspace's callers.
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

    /// Other routers that may hold accounts; a router of a large fleet keeps links to them. Empty
    /// in a small fleet.
    #[must_use]
    pub fn peer_holders(&self) -> Vec<VmName> {
        if self.is_small() {
            return Vec::new();
        }
        let vms = self.candidates.iter().map(|member| member.vm.clone());
        vms.filter(|vm| *vm != self.own).collect()
    }

    /// The first `count` routers in the rendezvous order of the key `name`; this router may be one
    /// of them.
    #[must_use]
    pub fn top_ranked(&self, name: &str, count: usize) -> Vec<VmName> {
        let order = self.order(&WorkspaceName::from(name));
        order.into_iter().take(count).cloned().collect()
    }

    /// Whether all routers hold shares of all accounts.
    fn is_small(&self) -> bool {
        self.fleet <= MAX_SMALL_FLEET
    }

    /// Candidates by weighted rendezvous hashing, so that a change of the members moves few
    /// accounts. The holders are in different failure domains where there are enough.
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

/// The members of a large fleet that may hold accounts: those with most processor time, in an
/// order that is the same on every router.
fn choose_candidates(mut members: Vec<Member>) -> Vec<Member> {
    members.sort_by_key(|member| {
        let cpu_millis = std::cmp::Reverse(member.cpu_millis);
        (cpu_millis, hash("", &member.vm), member.vm.clone())
    });
    let strongest = members.first().map_or(0, |member| member.cpu_millis);
    let strong = members
        .iter()
        .filter(|member| member.cpu_millis * STRONG_DIVISOR >= strongest);
    let count = strong.count().clamp(MIN_CANDIDATES, MAX_CANDIDATES);
    members.truncate(count);
    members
}

/// Score of a member for a workspace; the lowest is first. A member is first for a fraction of the
/// workspaces in proportion to its processor time.
fn score(workspace: &WorkspaceName, member: &Member) -> f64 {
    let drawn = (hash(workspace.as_str(), &member.vm) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -drawn.ln() / f64::from(member.cpu_millis.max(1))
}

fn hash(text: &str, vm: &VmName) -> u64 {
    let seed = xxh3_64_with_seed(text.as_bytes(), 0);
    xxh3_64_with_seed(vm.as_str().as_bytes(), seed)
}
