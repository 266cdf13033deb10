//! Claims and returns of token grants.

use swiftlink_types::Tokens;
use swiftlink_wire::log as wire;
use wire::RejectReason;
use wire::fate::Kind as FateKind;

use crate::Fold;
use crate::fates::{applied, duplicate, malformed, rejected, unknown};
use crate::router::Router;
use crate::routers::RouterId;

/// Largest number of other holders that a claim's answer names.
const MAX_NAMED_HOLDERS: usize = 3;
/// Unless it needs more, a claim gets at most the free tokens divided by this and by
/// the number of claiming routers, so that several routers share the last tokens.
const SHARE_DIVISOR: Tokens = 2;

impl Fold {
    pub(crate) fn claim(&mut self, claim: &wire::Claim) -> FateKind {
        if claim.budget.is_empty() || claim.seq == 0 || claim.need > claim.want {
            return malformed();
        }
        let Some(id) = self.find_router(claim.incarnation.as_ref()) else {
            return unknown();
        };
        if !self.routers.get(id).is_active() {
            return rejected(RejectReason::Retired);
        }
        let budget = self.budgets.intern(&claim.budget);
        self.budgets.get_mut(budget).claimants.insert(id);
        let grant = self.routers.get_mut(id).grants.entry(budget).or_default();
        if claim.seq < grant.seq {
            return rejected(RejectReason::StaleSeq);
        }
        if claim.seq == grant.seq {
            let answer = grant.answer.clone().unwrap_or_default();
            return FateKind::Claim(answer);
        }
        let granted = self.grant(id, budget, claim);
        let answer = self.answer(id, budget, claim.seq, granted);
        if let Some(grant) = self.routers.get_mut(id).grants.get_mut(&budget) {
            grant.seq = claim.seq;
            grant.answer = Some(answer.clone());
        }
        FateKind::Claim(answer)
    }

    /// Moves free tokens of the budget to the incarnation; returns how many.
    fn grant(&mut self, id: RouterId, budget: u32, claim: &wire::Claim) -> Tokens {
        let free = self.budgets.get(budget).free();
        let sharers = self.sharers(budget).count() as Tokens;
        let grant = self.routers.get_mut(id).grants.entry(budget).or_default();
        // `granted` is a sum since the join and must not overflow.
        let headroom = Tokens::MAX - grant.granted;
        let amount = claim_amount(free, sharers, claim).min(headroom);
        if amount < claim.need {
            return 0;
        }
        let before = grant.held();
        grant.granted += amount;
        let gained = grant.held() - before;
        self.budgets.get_mut(budget).held += gained;
        amount
    }

    fn answer(&self, id: RouterId, budget: u32, seq: u64, granted: Tokens) -> wire::ClaimFate {
        let account = self.budgets.get(budget);
        let own = held(self.routers.get(id), budget);
        let sharers = self.sharers(budget).count();
        wire::ClaimFate {
            seq,
            granted,
            free: account.free(),
            elsewhere: account.held - own,
            holders: self.holders(id, budget),
            sharers: u32::try_from(sharers).unwrap_or(u32::MAX),
        }
    }

    /// Active incarnations that claimed tokens of the budget.
    fn sharers(&self, budget: u32) -> impl Iterator<Item = (RouterId, &Router)> {
        let ids = self.budgets.get(budget).claimants.iter();
        let known = ids.map(|id| (*id, self.routers.get(*id)));
        known.filter(|(_, router)| router.is_active())
    }

    /// The other active incarnations that hold the most tokens of the budget.
    fn holders(&self, id: RouterId, budget: u32) -> Vec<wire::Holder> {
        let others = self.sharers(budget).filter(|(other, _)| *other != id);
        let mut holders: Vec<(Tokens, &Router)> = others
            .map(|(_, router)| (held(router, budget), router))
            .collect();
        holders.retain(|(held, _)| *held > 0);
        holders.sort_unstable_by(|(held, router), (other_held, other)| {
            other_held
                .cmp(held)
                .then_with(|| router.sort_key().cmp(&other.sort_key()))
        });
        holders.truncate(MAX_NAMED_HOLDERS);
        holders
            .into_iter()
            .map(|(held, router)| to_holder(held, router))
            .collect()
    }

    pub(crate) fn give_back(&mut self, back: &wire::Return) -> FateKind {
        let Some(id) = self.find_router(back.incarnation.as_ref()) else {
            return unknown();
        };
        let router = self.routers.get_mut(id);
        if !router.is_active() {
            return rejected(RejectReason::Retired);
        }
        let budget = self.budgets.find(&back.budget);
        let grant = budget.and_then(|budget| router.grants.get_mut(&budget));
        let (Some(budget), Some(grant)) = (budget, grant) else {
            return rejected(RejectReason::Overdrawn);
        };
        if back.total <= grant.returned {
            return duplicate();
        }
        let before = grant.held();
        grant.returned = back.total;
        let freed = before - grant.held();
        self.budgets.get_mut(budget).held -= freed;
        applied()
    }
}

/// Tokens to grant: `want`, limited to the fair share but at least `need`. Zero if the
/// budget has fewer than `need` tokens free.
fn claim_amount(free: Tokens, sharers: Tokens, claim: &wire::Claim) -> Tokens {
    if free < claim.need {
        return 0;
    }
    let fair = free / (SHARE_DIVISOR * sharers.max(1));
    claim.want.min(claim.need.max(fair))
}

fn held(router: &Router, budget: u32) -> Tokens {
    router.grants.get(&budget).map_or(0, |grant| grant.held())
}

fn to_holder(held: Tokens, router: &Router) -> wire::Holder {
    wire::Holder {
        incarnation: Some(router.wire_identity()),
        address: router.address.to_string(),
        domain: router.domain.to_string(),
        held,
    }
}
