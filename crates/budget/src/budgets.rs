//! Token totals of each budget.

use std::collections::BTreeSet;
use std::sync::Arc;

use swiftlink_types::Tokens;

use crate::interner::NameInterner;
use crate::routers::RouterId;

/// Totals of one budget (tokens).
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    pub(crate) topped_up: Tokens,
    pub(crate) charged: Tokens,
    /// Unspent grants of active and retired incarnations together.
    pub(crate) held: Tokens,
    /// Identifiers of the top-ups that were counted.
    pub(crate) top_ups: BTreeSet<Arc<str>>,
    /// Incarnations that claimed tokens of the budget and are not released.
    pub(crate) claimants: BTreeSet<RouterId>,
}

impl Account {
    /// Tokens that may still be granted.
    pub(crate) fn free(&self) -> Tokens {
        let used = self.charged.checked_add(self.held);
        let free = used.and_then(|used| self.topped_up.checked_sub(used));
        free.expect("grants are taken from free tokens, and charges from grants")
    }
}

/// Every budget that was topped up or claimed, by interned name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budgets {
    names: NameInterner,
    accounts: Vec<Account>,
}

impl Budgets {
    pub(crate) fn find(&self, name: &str) -> Option<u32> {
        self.names.find(name)
    }

    pub(crate) fn intern(&mut self, name: &str) -> u32 {
        let id = self.names.intern(name);
        if id as usize == self.accounts.len() {
            self.accounts.push(Account::default());
        }
        id
    }

    pub(crate) fn name(&self, id: u32) -> &Arc<str> {
        self.names.name(id)
    }

    pub(crate) fn get(&self, id: u32) -> &Account {
        &self.accounts[id as usize]
    }

    pub(crate) fn get_mut(&mut self, id: u32) -> &mut Account {
        &mut self.accounts[id as usize]
    }

    /// Ids of all budgets, sorted by name.
    pub(crate) fn sorted(&self) -> Vec<u32> {
        self.names.sorted()
    }
}
