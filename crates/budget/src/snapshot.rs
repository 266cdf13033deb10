//! Snapshot encoding of the fold's state. Equal states have equal encodings.

use std::collections::HashMap;
use std::sync::Arc;

use anyhow::{Context, ensure};
use prost::Message;
use swiftlink_types::RequestKey;
use swiftlink_wire::log as wire;
use wire::RouterPhase;

use crate::Fold;
use crate::router::{Grant, Phase, Router};
use crate::routers::RouterId;
use crate::serials::Serials;

pub(crate) fn encode(fold: &Fold) -> Vec<u8> {
    let state = wire::BudgetState {
        budgets: budget_entries(fold),
        routers: router_entries(fold),
        keys: key_entries(fold),
        evicted_ms: fold.evicted_before,
    };
    state.encode_to_vec()
}

fn budget_entries(fold: &Fold) -> Vec<wire::BudgetEntry> {
    let mut entries = Vec::new();
    for id in fold.budgets.sorted() {
        let account = fold.budgets.get(id);
        entries.push(wire::BudgetEntry {
            name: fold.budgets.name(id).to_string(),
            topped_up: account.topped_up,
            charged: account.charged,
            top_ups: account.top_ups.iter().map(|id| id.to_string()).collect(),
        });
    }
    entries
}

fn router_entries(fold: &Fold) -> Vec<wire::RouterEntry> {
    let mut entries = Vec::new();
    for (_, router) in fold.routers.iter() {
        entries.push(wire::RouterEntry {
            incarnation: Some(router.wire_identity()),
            address: router.address.to_string(),
            domain: router.domain.to_string(),
            phase: phase_to_wire(router.phase).into(),
            floor_ms: router.floor,
            grants: grant_entries(fold, router),
            serials_from: router.serials.watermark(),
            serials: router.serials.above(),
        });
    }
    // A released entry that no key refers to represents a dropped incarnation.
    for (vm, address, epoch) in fold.routers.dropped() {
        let vm = vm.to_string();
        entries.push(wire::RouterEntry {
            incarnation: Some(wire::Incarnation { vm, epoch }),
            address: address.to_string(),
            phase: RouterPhase::Released.into(),
            ..Default::default()
        });
    }
    entries.sort_unstable_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    entries
}

fn sort_key(entry: &wire::RouterEntry) -> (Option<&str>, u64, &str) {
    let inc = entry.incarnation.as_ref();
    let vm = inc.map(|inc| inc.vm.as_str());
    (vm, inc.map_or(0, |inc| inc.epoch), &entry.address)
}

fn grant_entries(fold: &Fold, router: &Router) -> Vec<wire::GrantEntry> {
    let mut entries = Vec::new();
    for (budget, grant) in &router.grants {
        entries.push(wire::GrantEntry {
            budget: fold.budgets.name(*budget).to_string(),
            granted: grant.granted,
            returned: grant.returned,
            charged: grant.charged,
            claim_seq: grant.seq,
            last_claim: grant.answer.clone(),
        });
    }
    entries.sort_unstable_by(|a, b| a.budget.cmp(&b.budget));
    entries
}

/// One entry per key for its owner, and one per incarnation that abandoned the key.
/// Entries of the latter kind have neither an intent nor a cost.
fn key_entries(fold: &Fold) -> Vec<wire::KeyEntry> {
    let mut entries = Vec::new();
    for (key, workspace, state) in fold.keys.sorted() {
        let entry = |owner: RouterId| wire::KeyEntry {
            key: key.as_bytes().to_vec(),
            workspace: workspace.to_owned(),
            cost: None,
            owner: Some(fold.routers.get(owner).wire_identity()),
            intent: false,
        };
        if let Some(owner) = state.owner {
            entries.push(wire::KeyEntry {
                cost: state.cost,
                intent: state.has_intent,
                ..entry(owner)
            });
        }
        let mut abandoned = state.abandoned.clone();
        abandoned.sort_unstable_by_key(|id| fold.routers.get(*id).sort_key());
        entries.extend(abandoned.into_iter().map(entry));
    }
    entries
}

pub(crate) fn decode(data: &[u8]) -> anyhow::Result<Fold> {
    let state = wire::BudgetState::decode(data).context("cannot decode the budget snapshot")?;
    let mut fold = Fold {
        evicted_before: state.evicted_ms,
        ..Fold::default()
    };
    for entry in &state.budgets {
        let budget = fold.budgets.intern(&entry.name);
        let account = fold.budgets.get_mut(budget);
        account.topped_up = entry.topped_up;
        account.charged = entry.charged;
        account.top_ups = entry
            .top_ups
            .iter()
            .map(|id| Arc::from(id.as_str()))
            .collect();
    }
    for entry in state.routers {
        restore_router(&mut fold, entry)?;
    }
    for entry in &state.keys {
        restore_key(&mut fold, entry)?;
    }
    check_balances(&fold)?;
    let ids: Vec<RouterId> = fold.routers.iter().map(|(id, _)| id).collect();
    for id in ids {
        fold.routers.forget_if_unused(id);
    }
    Ok(fold)
}

fn restore_router(fold: &mut Fold, entry: wire::RouterEntry) -> anyhow::Result<()> {
    let phase = phase_from_wire(entry.phase())?;
    let inc = entry.incarnation.context("router without incarnation")?;
    ensure!(
        fold.routers.find(&inc.vm, inc.epoch).is_none(),
        "router listed twice"
    );
    let id = fold.routers.add(Router {
        vm: Arc::from(inc.vm),
        epoch: inc.epoch,
        address: Arc::from(entry.address),
        domain: Arc::from(entry.domain),
        phase,
        floor: entry.floor_ms,
        grants: HashMap::new(),
        serials: Serials::restore(entry.serials_from, &entry.serials),
        key_refs: 0,
    });
    for entry in entry.grants {
        let budget = fold.budgets.intern(&entry.budget);
        let grant = Grant {
            granted: entry.granted,
            returned: entry.returned,
            charged: entry.charged,
            seq: entry.claim_seq,
            answer: entry.last_claim,
        };
        let account = fold.budgets.get_mut(budget);
        let held = account.held.checked_add(grant.held());
        account.held = held.context("the grants of a budget overflow")?;
        account.claimants.insert(id);
        fold.routers.get_mut(id).grants.insert(budget, grant);
    }
    Ok(())
}

fn restore_key(fold: &mut Fold, entry: &wire::KeyEntry) -> anyhow::Result<()> {
    let key = RequestKey::from_bytes(&entry.key).context("invalid request key")?;
    let id = fold
        .find_router(entry.owner.as_ref())
        .context("request key of an unknown router")?;
    let state = fold.keys.entry(&entry.workspace, key);
    if entry.intent || entry.cost.is_some() {
        ensure!(state.owner.is_none(), "request key with two owners");
        state.owner = Some(id);
        state.has_intent = entry.intent;
        state.cost = entry.cost;
    } else {
        state.abandoned.push(id);
    }
    fold.routers.get_mut(id).key_refs += 1;
    Ok(())
}

/// Fails if a budget has more tokens charged and held than were topped up.
fn check_balances(fold: &Fold) -> anyhow::Result<()> {
    for id in fold.budgets.sorted() {
        let account = fold.budgets.get(id);
        let used = account.charged.checked_add(account.held);
        let name = fold.budgets.name(id);
        ensure!(
            used <= Some(account.topped_up) && used.is_some(),
            "budget {name} is overspent"
        );
    }
    Ok(())
}

fn phase_to_wire(phase: Phase) -> RouterPhase {
    match phase {
        Phase::Active => RouterPhase::Active,
        Phase::Retired => RouterPhase::Retired,
        Phase::Released => RouterPhase::Released,
    }
}

fn phase_from_wire(phase: RouterPhase) -> anyhow::Result<Phase> {
    Ok(match phase {
        RouterPhase::Active => Phase::Active,
        RouterPhase::Retired => Phase::Retired,
        RouterPhase::Released => Phase::Released,
        RouterPhase::Unspecified => anyhow::bail!("router without a phase"),
    })
}
