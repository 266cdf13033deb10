//! Charges that came too late: an answer was delivered, and nothing was paid for it.

use swiftlink_types::{Incarnation, RequestKey, Tokens};
use swiftlink_wire::log::{Charge, ChargeFate, Fate, Record, fate, record};

/// A charge that counts for nothing though its key was never charged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoidCharge {
    /// The router that ran the request.
    pub router: Incarnation,
    /// Key of the request.
    pub key: String,
    /// Workspace that asked.
    pub workspace: String,
    /// Budget that should have paid.
    pub budget: String,
    /// What it should have paid (tokens).
    pub cost: Tokens,
    /// Why it did not.
    pub reason: ChargeFate,
}

/// The void charges among `records`, whose `fates` are in the same order.
///
/// A second charge of a key is none: the first has paid.
#[must_use]
pub fn void_charges(records: &[Record], fates: &[Fate]) -> Vec<VoidCharge> {
    let mut found = Vec::new();
    for (record, fate) in records.iter().zip(fates) {
        let (Some(record::Kind::Charges(charges)), Some(fate::Kind::Charges(fate))) =
            (&record.kind, &fate.kind)
        else {
            continue;
        };
        let Some(router) = charges.incarnation.as_ref().map(Incarnation::from) else {
            continue;
        };
        for (item, reason) in charges.items.iter().zip(fate.items.iter().copied()) {
            match ChargeFate::try_from(reason) {
                Ok(reason @ (ChargeFate::VoidReleased | ChargeFate::Overdrawn)) => {
                    found.push(void(&router, item, reason));
                }
                _ => continue,
            }
        }
    }
    found
}

fn void(router: &Incarnation, item: &Charge, reason: ChargeFate) -> VoidCharge {
    let key = RequestKey::from_bytes(&item.key);
    VoidCharge {
        router: router.clone(),
        key: key.map_or_else(|_malformed| String::new(), |key| key.to_string()),
        workspace: item.workspace.clone(),
        budget: item.budget.clone(),
        cost: item.cost,
        reason,
    }
}

/// How metrics and the log name what became of a charge.
#[must_use]
pub fn fate_name(fate: i32) -> &'static str {
    match ChargeFate::try_from(fate) {
        Ok(ChargeFate::Charged) => "charged",
        Ok(ChargeFate::Duplicate) => "duplicate",
        Ok(ChargeFate::VoidKey) => "void_key",
        Ok(ChargeFate::VoidReleased) => "void_released",
        Ok(ChargeFate::Overdrawn) => "overdrawn",
        Ok(ChargeFate::Unspecified) | Err(_) => "unknown",
    }
}
