//! The budget streams that this ledger serves.

use std::sync::Arc;

use swiftlink_budget::{Fold, shard_of};
use swiftlink_types::{Incarnation, RequestKey, Tokens};
use swiftlink_wire::link::BudgetView;
use swiftlink_wire::log::{Record, record};

use crate::appender::{Appends, Outbox};
use crate::stream::Stream;

/// One budget stream: its folded state and what is to be appended.
#[derive(Debug)]
pub struct Shard {
    /// The folded stream.
    pub stream: Arc<Stream<Fold>>,
    /// Records that wait for the log.
    pub outbox: Arc<Outbox>,
    /// Counts of its appends.
    pub appends: Arc<Appends>,
}

/// All budget streams, by shard number.
#[derive(Debug)]
pub struct Shards {
    list: Vec<Shard>,
}

/// Why records can't be appended to a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unfit {
    /// No record, or one without a kind.
    #[error("a record is missing")]
    Missing,
    /// A record names a budget of another stream.
    #[error("a record names a budget of another stream; is `shards` the same everywhere?")]
    Elsewhere,
    /// Top-ups, retirements, releases and snapshots are the ledgers' own to write.
    #[error("the kind of record is not for submitting")]
    Reserved,
}

impl Shards {
    /// Wraps the streams of shards 0, 1, and so on.
    #[must_use]
    pub fn new(list: Vec<Shard>) -> Self {
        Self { list }
    }

    /// All shards in order.
    pub fn iter(&self) -> impl Iterator<Item = &Shard> {
        self.list.iter()
    }

    /// The shard with the stream `name`, and its number.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<(u32, &Shard)> {
        let mut numbered = (0..).zip(&self.list);
        numbered.find(|(_, shard)| shard.stream.name().as_str() == name)
    }

    /// The shard that holds `budget`.
    #[must_use]
    pub fn of_budget(&self, budget: &str) -> Option<&Shard> {
        let shard = shard_of(budget, self.count());
        self.list.get(shard as usize)
    }

    /// Number of shards.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.list.len()).expect("the number of shards is a u32 setting")
    }

    /// Charges of `incarnation` that no fold here has shown yet.
    #[must_use]
    pub fn pending(&self, incarnation: &Incarnation) -> u64 {
        let counts = self
            .list
            .iter()
            .map(|shard| shard.outbox.pending(incarnation));
        counts.sum()
    }

    /// Views of the budgets in `names`, or of all budgets if there are none.
    #[must_use]
    pub fn views(&self, names: &[String]) -> Vec<BudgetView> {
        if names.is_empty() {
            return self.list.iter().flat_map(Shard::views).collect();
        }
        let found = names.iter().filter_map(|name| {
            let shard = self.of_budget(name)?;
            shard.view(name)
        });
        found.collect()
    }

    /// Checks that `records` may be submitted to shard `shard`.
    ///
    /// # Errors
    /// Why they may not.
    pub fn check(&self, shard: u32, records: &[Record]) -> Result<(), Unfit> {
        if records.is_empty() {
            return Err(Unfit::Missing);
        }
        for record in records {
            let kind = record.kind.as_ref().ok_or(Unfit::Missing)?;
            self.check_kind(shard, kind)?;
        }
        Ok(())
    }

    fn check_kind(&self, shard: u32, kind: &record::Kind) -> Result<(), Unfit> {
        use record::Kind;

        match kind {
            Kind::TopUp(_) | Kind::Retire(_) | Kind::Release(_) | Kind::Snapshot(_) => {
                Err(Unfit::Reserved)
            }
            Kind::Join(_) | Kind::Mark(_) => Ok(()),
            Kind::Claim(claim) => self.check_budget(shard, &claim.budget),
            Kind::GiveBack(back) => self.check_budget(shard, &back.budget),
            Kind::Intent(intent) => self.check_budget(shard, &intent.budget),
            Kind::Abandon(abandon) => self.check_budget(shard, &abandon.budget),
            Kind::Charges(charges) => {
                let mut items = charges.items.iter();
                items.try_for_each(|item| self.check_budget(shard, &item.budget))
            }
        }
    }

    fn check_budget(&self, shard: u32, budget: &str) -> Result<(), Unfit> {
        if shard_of(budget, self.count()) == shard {
            return Ok(());
        }
        Err(Unfit::Elsewhere)
    }
}

impl Shard {
    /// What the key of a single charge was charged before.
    #[must_use]
    pub fn charged(&self, records: &[Record]) -> Option<Tokens> {
        let [record] = records else {
            return None;
        };
        let Some(record::Kind::Charges(charges)) = &record.kind else {
            return None;
        };
        let [charge] = charges.items.as_slice() else {
            return None;
        };
        let key = RequestKey::from_bytes(&charge.key).ok()?;
        let state = self.stream.state();
        state.get()?.charged(&charge.workspace, key)
    }

    fn views(&self) -> Vec<BudgetView> {
        let views = {
            let state = self.stream.state();
            state.get().map(Fold::views).unwrap_or_default()
        };
        let dated = views.into_iter().map(|view| self.dated(view));
        dated.collect()
    }

    fn view(&self, budget: &str) -> Option<BudgetView> {
        let view = {
            let state = self.stream.state();
            state.get()?.view(budget)?
        };
        Some(self.dated(view))
    }

    fn dated(&self, mut view: BudgetView) -> BudgetView {
        view.offset = self.stream.state().applied().saturating_sub(1);
        view.age_ms = self.stream.age_ms();
        view
    }
}
