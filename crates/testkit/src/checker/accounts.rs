//! The log's view of a history: the folded budget streams and each effective charge.

use std::collections::BTreeMap;

use prost::Message as _;
use swiftlink_budget::Fold;
use swiftlink_log::{Fold as _, Step};
use swiftlink_types::{RequestKey, Tokens};
use swiftlink_wire::log::{Batch, Charge, ChargeFate, Charges, Fate, fate, record};

use super::history::LogStream;

/// One effective charge.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EffectiveCharge {
    /// Tokens of the request, as stated in the charge.
    pub tokens: Tokens,
    /// Budget tokens deducted.
    pub cost: Tokens,
}

/// Totals of one budget according to the log.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Balance {
    /// Sum of all top-ups.
    pub topped_up: Tokens,
    /// Sum of the effective charges' costs, computed here independently of the fold.
    pub charged: Tokens,
    /// Sum of all charges according to the fold.
    pub folded: Tokens,
}

/// Charges and budgets according to the log.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Accounts {
    /// Effective charges by workspace and request key.
    pub charges: BTreeMap<(String, String), Vec<EffectiveCharge>>,
    /// Budgets by name.
    pub budgets: BTreeMap<String, Balance>,
    /// Number of records that the fold could not decode.
    pub malformed: u64,
}

impl Accounts {
    /// Folds the streams from their first records.
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
                Step::Fate(batch) => self.add_charges(&record.data, &batch.fates),
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

    fn add_charges(&mut self, data: &[u8], fates: &[Fate]) {
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
            self.add_effective(charges, &fate.items);
        }
    }

    fn add_effective(&mut self, charges: &Charges, fates: &[i32]) {
        for (charge, fate) in charges.items.iter().zip(fates) {
            if *fate == i32::from(ChargeFate::Charged) {
                self.add_charge(charge);
            }
        }
    }

    fn add_charge(&mut self, charge: &Charge) {
        let key = RequestKey::from_bytes(&charge.key);
        let key = key.map_or_else(|_error| hex::encode(&charge.key), |key| key.to_string());
        let charged = EffectiveCharge {
            tokens: charge.tokens,
            cost: charge.cost,
        };
        let account = (charge.workspace.clone(), key);
        self.charges.entry(account).or_default().push(charged);
        let balance = self.budgets.entry(charge.budget.clone()).or_default();
        balance.charged += charge.cost;
    }
}
