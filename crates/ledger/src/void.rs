//! Void charges: they came too late or exceeded the grant, so an answer was delivered that
//! nothing was paid for.

use swiftlink_types::{Incarnation, RequestKey, Tokens};
use swiftlink_wire::log::{Charge, ChargeFate, Fate, Record, fate, record};

/// A charge that was rejected although its key was never charged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoidCharge {
    /// Router that executed the request.
    pub router: Incarnation,
    /// Key of the request.
    pub key: String,
    /// Workspace of the request.
    pub workspace: String,
    /// Budget that should have been charged.
    pub budget: String,
    /// Cost that should have been charged (tokens).
    pub cost: Tokens,
    /// Reason why it wasn't charged.
    pub reason: ChargeFate,
}

/// Returns the void charges among `records`, whose `fates` are in the same order.
///
/// A second charge of a key isn't void: the first one has paid.
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
                    found.push(to_void_charge(&router, item, reason));
                }
                _ => continue,
            }
        }
    }
    found
}

fn to_void_charge(router: &Incarnation, item: &Charge, reason: ChargeFate) -> VoidCharge {
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

/// Name of a charge's fate in metrics and logs.
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
