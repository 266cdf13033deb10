//! Totals of each budget.

use std::collections::BTreeSet;
use std::sync::Arc;

use swiftlink_types::Tokens;

use crate::names::Names;
use crate::routers::RouterId;

/// Totals of one budget (tokens).
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    pub(crate) topped_up: Tokens,
    pub(crate) charged: Tokens,
    /// Held by active and retired incarnations together.
    pub(crate) held: Tokens,
    /// Identifiers of the top-ups counted.
    pub(crate) top_ups: BTreeSet<Arc<str>>,
    /// Incarnations that claimed on the budget and are not released.
    pub(crate) claimants: BTreeSet<RouterId>,
}

impl Account {
    /// What may still be granted.
    pub(crate) fn free(&self) -> Tokens {
        let used = self.charged.checked_add(self.held);
        let free = used.and_then(|used| self.topped_up.checked_sub(used));
        free.expect("grants come out of what is free, and charges out of grants")
    }
}

/// Every budget that a record named in a way that changed it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budgets {
    names: Names,
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

    /// Every budget's number, by name.
    pub(crate) fn sorted(&self) -> Vec<u32> {
        self.names.sorted()
    }
}
