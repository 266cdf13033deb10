//! The books of all workspaces.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use swiftlink_types::WorkspaceName;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use super::book::{LocalQuota, Wakers};
use super::holders::Placement;
use crate::clock::Clock;
use crate::model::Config;

/// Partitions that accounts are spread over. All accounts of a partition are read and
/// written in one call, so few partitions mean few calls; more of them mean that appends
/// of different routers meet less often.
const PARTS: u32 = 12;

/// All books of a router.
#[derive(Debug)]
pub struct QuotaTable {
    books: ArcSwap<HashMap<WorkspaceName, Arc<LocalQuota>>>,
    /// By partition of the accounts: wakes its claim task.
    wanted: Vec<Arc<Notify>>,
    /// Wakes the task that stores caps.
    uncapped: Arc<Notify>,
    /// Partitions that a feed may have.
    feed_parts: u32,
    /// Partitions of the members' feed that routers are in.
    member_parts: Vec<u32>,
    placement: ArcSwap<Placement>,
    clock: Arc<dyn Clock>,
}

impl QuotaTable {
    /// No books; accounts are held as `placement` says, and feeds have `parts` partitions.
    #[must_use]
    pub fn new(placement: Placement, parts: u32, clock: Arc<dyn Clock>) -> Self {
        let wanted = (0..parts.clamp(1, PARTS)).map(|_| Arc::new(Notify::new()));
        Self {
            books: ArcSwap::default(),
            wanted: wanted.collect(),
            uncapped: Arc::default(),
            feed_parts: parts.max(1),
            member_parts: vec![0],
            placement: ArcSwap::from_pointee(placement),
            clock,
        }
    }

    /// Partition that holds the account of a workspace.
    #[must_use]
    pub fn part(&self, workspace: &WorkspaceName) -> u32 {
        let hash = xxh3_64(workspace.as_str().as_bytes());
        (hash % self.wanted.len() as u64) as u32
    }

    /// Takes the workspaces of a configuration. QuotaTable of workspaces that are gone stay:
    /// what was spent on them may have to be told.
    pub fn set_config(&self, config: &Config) {
        let mut books = HashMap::clone(&self.books.load());
        for (name, workspace) in &config.workspaces {
            let Some(prepaid) = workspace.prepaid else {
                books.remove(name);
                continue;
            };
            let book = books.entry(name.clone()).or_insert_with(|| {
                let clock = Arc::clone(&self.clock);
                Arc::new(LocalQuota::new(name.clone(), self.wakers(name), clock))
            });
            book.set_prepaid(prepaid);
        }
        self.books.store(Arc::new(books));
        for wanted in &self.wanted {
            wanted.notify_one();
        }
    }

    /// The book of a workspace; `None` when it may spend as much as it likes.
    #[must_use]
    pub fn get(&self, workspace: &WorkspaceName) -> Option<Arc<LocalQuota>> {
        self.books.load().get(workspace).cloned()
    }

    /// QuotaTable whose accounts are in `part`.
    #[must_use]
    pub fn in_part(&self, part: u32) -> Vec<Arc<LocalQuota>> {
        let books = self.books.load();
        let books = books
            .values()
            .filter(|book| self.part(&book.workspace) == part);
        books.cloned().collect()
    }

    fn wakers(&self, workspace: &WorkspaceName) -> Wakers {
        Wakers {
            claim: self.wanted(self.part(workspace)),
            cap: self.uncapped(),
        }
    }

    pub(super) fn uncapped(&self) -> Arc<Notify> {
        Arc::clone(&self.uncapped)
    }

    /// Where the time comes from.
    #[must_use]
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// Which routers hold accounts.
    #[must_use]
    pub fn placement(&self) -> Arc<Placement> {
        self.placement.load_full()
    }

    /// Takes what is known of the members now.
    pub fn set_placement(&self, placement: Placement) {
        self.placement.store(Arc::new(placement));
        for wanted in &self.wanted {
            wanted.notify_one();
        }
    }

    /// The same, where the members are in these partitions of their feed.
    #[must_use]
    pub fn with_members(mut self, parts: Vec<u32>) -> Self {
        self.member_parts = parts;
        self
    }

    /// Partitions of the members' feed that routers are in.
    pub(super) fn member_parts(&self) -> Vec<u32> {
        self.member_parts.clone()
    }

    /// Partitions that a feed may have.
    pub(super) fn feed_parts(&self) -> u32 {
        self.feed_parts
    }

    pub(super) fn wanted(&self, part: u32) -> Arc<Notify> {
        Arc::clone(&self.wanted[part as usize])
    }

    /// All books.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<LocalQuota>> {
        self.books.load().values().cloned().collect()
    }

    /// Number of partitions that accounts are spread over.
    #[must_use]
    pub fn parts(&self) -> u32 {
        self.wanted.len() as u32
    }
}
