//! Read-only views of budgets and routers.

use std::sync::Arc;

use swiftlink_types::{DomainName, Incarnation, Tokens, WallMs};
use swiftlink_wire::link::BudgetView;

use crate::Fold;
use crate::budgets::Account;
use crate::router::{Phase, Router};

/// A retired incarnation whose unspent grants are quarantined.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RetiredRouter {
    /// VM and start time of the process.
    pub incarnation: Incarnation,
    /// Address that it listened on.
    pub address: Arc<str>,
    /// Unspent grants of all budgets of the stream (tokens).
    pub unspent: Tokens,
    /// Unspent grants by budget, sorted by name, without budgets that have none (tokens).
    pub held: Vec<(Arc<str>, Tokens)>,
}

/// An incarnation that may claim and charge.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ActiveRouter {
    /// VM and start time of the process.
    pub incarnation: Incarnation,
    /// Address that it listens on.
    pub address: Arc<str>,
    /// Its failure domain.
    pub domain: DomainName,
}

impl Fold {
    /// Totals of a budget; the caller fills in offset and age.
    ///
    /// `topped_up = charged + granted + quarantined + free`, where `granted` is the unspent
    /// grants of active incarnations and `quarantined` those of retired ones.
    #[must_use]
    pub fn view(&self, budget: &str) -> Option<BudgetView> {
        let id = self.budgets.find(budget)?;
        Some(self.view_of(id))
    }

    /// Totals of all budgets, sorted by name.
    #[must_use]
    pub fn views(&self) -> Vec<BudgetView> {
        let ids = self.budgets.sorted();
        ids.into_iter().map(|id| self.view_of(id)).collect()
    }

    fn view_of(&self, id: u32) -> BudgetView {
        let account = self.budgets.get(id);
        let quarantined = self.quarantined(account, id);
        BudgetView {
            name: self.budgets.name(id).to_string(),
            topped_up: account.topped_up,
            granted: account.held - quarantined,
            charged: account.charged,
            free: account.free(),
            quarantined,
            offset: 0,
            age_ms: 0,
            top_ups: account.top_ups.iter().map(|id| id.to_string()).collect(),
        }
    }

    fn quarantined(&self, account: &Account, budget: u32) -> Tokens {
        let mut sum = 0;
        for id in &account.claimants {
            let router = self.routers.get(*id);
            if router.phase != Phase::Retired {
                continue;
            }
            sum += router.grants.get(&budget).map_or(0, |grant| grant.held());
        }
        sum
    }

    /// Retired incarnations that aren't released yet, sorted by VM and epoch.
    #[must_use]
    pub fn retired(&self) -> Vec<RetiredRouter> {
        let routers = self.in_phase(Phase::Retired).into_iter();
        routers.map(|router| self.retired_router(router)).collect()
    }

    fn retired_router(&self, router: &Router) -> RetiredRouter {
        let mut held = Vec::new();
        for (budget, grant) in &router.grants {
            if grant.held() > 0 {
                held.push((Arc::clone(self.budgets.name(*budget)), grant.held()));
            }
        }
        held.sort_unstable();
        let unspent = held.iter().map(|(_, tokens)| *tokens);
        RetiredRouter {
            incarnation: router.identity(),
            address: Arc::clone(&router.address),
            unspent: unspent.fold(0, Tokens::saturating_add),
            held,
        }
    }

    /// Active incarnations, sorted by VM and epoch.
    #[must_use]
    pub fn active(&self) -> Vec<ActiveRouter> {
        let routers = self.in_phase(Phase::Active).into_iter();
        routers.map(active_router).collect()
    }

    /// Largest epoch that joined on `vm` at `address`, whatever its current phase. Of the
    /// incarnations that were released and dropped, only the newest are on record.
    #[must_use]
    pub fn newest_epoch(&self, vm: &str, address: &str) -> Option<u64> {
        self.routers.newest(vm, address)
    }

    fn in_phase(&self, phase: Phase) -> Vec<&Router> {
        let all = self.routers.iter().map(|(_, router)| router);
        let mut routers: Vec<&Router> = all.filter(|router| router.phase == phase).collect();
        routers.sort_unstable_by_key(|router| router.sort_key());
        routers
    }

    /// Whether the top-up `id` of a budget was counted.
    #[must_use]
    pub fn has_top_up(&self, budget: &str, id: &str) -> bool {
        let budget = self.budgets.find(budget);
        budget.is_some_and(|budget| self.budgets.get(budget).top_ups.contains(id))
    }

    /// Keys created before this time are evicted (ms since 1970).
    #[must_use]
    pub fn evicted_ms(&self) -> WallMs {
        self.evicted_before
    }
}

fn active_router(router: &Router) -> ActiveRouter {
    ActiveRouter {
        incarnation: router.identity(),
        address: Arc::clone(&router.address),
        domain: DomainName::from(&*router.domain),
    }
}
