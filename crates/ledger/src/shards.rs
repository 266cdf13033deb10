//! The budget streams that this ledger serves.

use std::sync::Arc;

use swiftlink_budget::{Fold, shard_of};
use swiftlink_types::{Incarnation, RequestKey, Tokens};
use swiftlink_wire::link::BudgetView;
use swiftlink_wire::log::{Record, record};

use crate::appender::{AppendCounters, Outbox};
use crate::stream::Stream;

/// One budget stream: its folded state and the records to append.
#[derive(Debug)]
pub struct Shard {
    /// The folded stream.
    pub stream: Arc<Stream<Fold>>,
    /// Records that wait for the log.
    pub outbox: Arc<Outbox>,
    /// Counters of its appends.
    pub appends: Arc<AppendCounters>,
}

/// All budget streams, by shard number.
#[derive(Debug)]
pub struct Shards {
    list: Vec<Shard>,
}

/// Reason why submitted records are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// There is no record, or one without a kind.
    #[error("a record is missing")]
    MissingRecord,
    /// A record names a budget of another stream.
    #[error("a record names a budget of another stream; is `shards` the same everywhere?")]
    WrongStream,
    /// Only ledgers write top-ups, retirements, releases and snapshots.
    #[error("the kind of record is not for submitting")]
    ReservedKind,
}

impl Shards {
    /// Creates the collection from the streams of shards 0, 1, and so on.
    #[must_use]
    pub fn new(list: Vec<Shard>) -> Self {
        Self { list }
    }

    /// All shards, in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = &Shard> {
        self.list.iter()
    }

    /// Number and shard of the stream `name`.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<(u32, &Shard)> {
        let mut numbered = (0..).zip(&self.list);
        numbered.find(|(_, shard)| shard.stream.name().as_str() == name)
    }

    /// The shard that holds `budget`.
    #[must_use]
    pub fn for_budget(&self, budget: &str) -> Option<&Shard> {
        let shard = shard_of(budget, self.count());
        self.list.get(shard as usize)
    }

    /// Number of shards.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.list.len()).expect("the number of shards is a u32 setting")
    }

    /// Number of charges of `incarnation` that this ledger holds and hasn't folded yet.
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
            let shard = self.for_budget(name)?;
            shard.view(name)
        });
        found.collect()
    }

    /// Checks that `records` may be submitted to shard `shard`.
    ///
    /// # Errors
    /// The reason why the first unsuitable record is refused.
    pub fn check(&self, shard: u32, records: &[Record]) -> Result<(), SubmitError> {
        if records.is_empty() {
            return Err(SubmitError::MissingRecord);
        }
        for record in records {
            let kind = record.kind.as_ref().ok_or(SubmitError::MissingRecord)?;
            self.check_kind(shard, kind)?;
        }
        Ok(())
    }

    fn check_kind(&self, shard: u32, kind: &record::Kind) -> Result<(), SubmitError> {
        use record::Kind;

        match kind {
            Kind::TopUp(_) | Kind::Retire(_) | Kind::Release(_) | Kind::Snapshot(_) => {
                Err(SubmitError::ReservedKind)
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

    fn check_budget(&self, shard: u32, budget: &str) -> Result<(), SubmitError> {
        if shard_of(budget, self.count()) == shard {
            return Ok(());
        }
        Err(SubmitError::WrongStream)
    }
}

impl Shard {
    /// If `records` consist of a single charge, the cost that its key was charged before.
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
        let with_age = views.into_iter().map(|view| self.with_age(view));
        with_age.collect()
    }

    fn view(&self, budget: &str) -> Option<BudgetView> {
        let view = {
            let state = self.stream.state();
            state.get()?.view(budget)?
        };
        Some(self.with_age(view))
    }

    fn with_age(&self, mut view: BudgetView) -> BudgetView {
        view.offset = self.stream.state().applied().saturating_sub(1);
        view.age_ms = self.stream.age_ms();
        view
    }
}
