//! The log's side: the fold of the budget streams and each effective charge.

use std::collections::BTreeMap;

use prost::Message as _;
use swiftlink_budget::Fold;
use swiftlink_log::{Fold as _, Step};
use swiftlink_types::{RequestKey, Tokens};
use swiftlink_wire::log::{Batch, Charge, ChargeFate, Charges, Fate, fate, record};

use super::history::LogStream;

/// One effective charge.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Charged {
    /// Tokens run, as the charge says.
    pub tokens: Tokens,
    /// Budget tokens drawn.
    pub cost: Tokens,
}

/// One budget as the log decides it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Balance {
    /// Sum of all top-ups.
    pub topped_up: Tokens,
    /// Sum of the effective charges' costs, added up here and not by the fold.
    pub charged: Tokens,
    /// Sum of all charges as the fold has it.
    pub folded: Tokens,
}

/// What the log says.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Accounts {
    /// Effective charges by workspace and request key.
    pub charges: BTreeMap<(String, String), Vec<Charged>>,
    /// Budgets by name.
    pub budgets: BTreeMap<String, Balance>,
    /// Records that the fold could not read.
    pub malformed: u64,
}

impl Accounts {
    /// Folds the streams from their first records on.
    #[must_use]
    pub fn fold(streams: &[LogStream]) -> Self {
        let mut accounts = Self::default();
        for stream in streams {
            accounts.add(stream);
        }
        accounts
    }

    fn add(&mut self, stream: &LogStream) {
        let mut fold = Fold::empty();
        for record in &stream.records {
            match fold.apply(record.offset, &record.data) {
                Step::Fate(batch) => self.take(&record.data, &batch.fates),
                Step::Snapshot(_chunk) => {}
                Step::Malformed => self.malformed += 1,
            }
        }
        for view in fold.views() {
            let balance = self.budgets.entry(view.name).or_default();
            balance.topped_up += view.topped_up;
            balance.folded += view.charged;
        }
    }

    fn take(&mut self, data: &[u8], fates: &[Fate]) {
        let Ok(batch) = Batch::decode(data) else {
            return;
        };
        for (record, fate) in batch.records.iter().zip(fates) {
            let Some(record::Kind::Charges(charges)) = &record.kind else {
                continue;
            };
            let Some(fate::Kind::Charges(fate)) = &fate.kind else {
                continue;
            };
            self.take_charges(charges, &fate.items);
        }
    }

    fn take_charges(&mut self, charges: &Charges, fates: &[i32]) {
        for (charge, fate) in charges.items.iter().zip(fates) {
            if *fate == i32::from(ChargeFate::Charged) {
                self.take_charge(charge);
            }
        }
    }

    fn take_charge(&mut self, charge: &Charge) {
        let key = RequestKey::from_bytes(&charge.key);
        let key = key.map_or_else(|_error| hex::encode(&charge.key), |key| key.to_string());
        let charged = Charged {
            tokens: charge.tokens,
            cost: charge.cost,
        };
        let place = (charge.workspace.clone(), key);
        self.charges.entry(place).or_default().push(charged);
        let balance = self.budgets.entry(charge.budget.clone()).or_default();
        balance.charged += charge.cost;
    }
}
