//! Builders of records, and a checker that models the fold's rules independently.
#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

pub mod histories;

use std::collections::{BTreeMap, BTreeSet};

use prost::Message;
use swiftlink_budget::Fold;
use swiftlink_log::{Fold as _, Step};
use swiftlink_wire::log as wire;
use wire::fate::Kind as FateKind;
use wire::record::Kind;

pub type RouterIdentity = (String, u64);

/// A request key and its workspace.
pub type KeyId = (Vec<u8>, String);

pub fn inc(vm: &str, epoch: u64) -> Option<wire::Incarnation> {
    let vm = vm.to_owned();
    Some(wire::Incarnation { vm, epoch })
}

/// A UUIDv7 with the given creation time and last byte.
pub fn key(ms: u64, tail: u8) -> Vec<u8> {
    let mut bytes = [0; 16];
    bytes[..6].copy_from_slice(&ms.to_be_bytes()[2..]);
    bytes[6] = 0x70;
    bytes[8] = 0x80;
    bytes[15] = tail;
    bytes.to_vec()
}

pub fn top_up(budget: &str, id: &str, amount: u64) -> Kind {
    let (budget, id) = (budget.to_owned(), id.to_owned());
    Kind::TopUp(wire::TopUp { budget, id, amount })
}

pub fn join(vm: &str, epoch: u64, address: &str, floor_ms: u64) -> Kind {
    Kind::Join(wire::Join {
        incarnation: inc(vm, epoch),
        address: address.to_owned(),
        domain: "d".to_owned(),
        floor_ms,
    })
}

pub fn retire(vm: &str, epoch: u64) -> Kind {
    let incarnation = inc(vm, epoch);
    Kind::Retire(wire::Retire { incarnation })
}

pub fn release(vm: &str, epoch: u64) -> Kind {
    let incarnation = inc(vm, epoch);
    Kind::Release(wire::Release { incarnation })
}

pub fn claim(vm: &str, epoch: u64, budget: &str, seq: u64, need: u64, want: u64) -> Kind {
    Kind::Claim(wire::Claim {
        incarnation: inc(vm, epoch),
        budget: budget.to_owned(),
        seq,
        need,
        want,
    })
}

pub fn give_back(vm: &str, epoch: u64, budget: &str, total: u64) -> Kind {
    Kind::GiveBack(wire::Return {
        incarnation: inc(vm, epoch),
        budget: budget.to_owned(),
        total,
    })
}

pub fn item(key: Vec<u8>, budget: &str, cost: u64, serial: u64) -> wire::Charge {
    wire::Charge {
        key,
        workspace: "w".to_owned(),
        budget: budget.to_owned(),
        tokens: cost,
        cost,
        serial,
    }
}

pub fn charges(vm: &str, epoch: u64, items: Vec<wire::Charge>) -> Kind {
    let incarnation = inc(vm, epoch);
    Kind::Charges(wire::Charges { incarnation, items })
}

pub fn intent(vm: &str, epoch: u64, key: Vec<u8>) -> Kind {
    Kind::Intent(wire::Intent {
        incarnation: inc(vm, epoch),
        key,
        workspace: "w".to_owned(),
        budget: "b".to_owned(),
    })
}

pub fn abandon(vm: &str, epoch: u64, key: Vec<u8>) -> Kind {
    Kind::Abandon(wire::Abandon {
        incarnation: inc(vm, epoch),
        key,
        workspace: "w".to_owned(),
        budget: "b".to_owned(),
    })
}

/// Changes the workspace of a record.
pub fn of_workspace(workspace: &str, mut kind: Kind) -> Kind {
    let workspace = workspace.to_owned();
    match &mut kind {
        Kind::Charges(charges) => {
            for item in &mut charges.items {
                item.workspace.clone_from(&workspace);
            }
        }
        Kind::Intent(intent) => intent.workspace = workspace,
        Kind::Abandon(abandon) => abandon.workspace = workspace,
        _ => {}
    }
    kind
}

pub fn mark(vm: &str, epoch: u64, floor_ms: u64) -> Kind {
    let incarnation = inc(vm, epoch);
    Kind::Mark(wire::Mark {
        incarnation,
        floor_ms,
    })
}

pub fn batch(kinds: &[Kind]) -> Vec<u8> {
    let records = kinds.iter().map(|kind| wire::Record {
        kind: Some(kind.clone()),
    });
    let batch = wire::Batch {
        writer: "ledger".to_owned(),
        records: records.collect(),
        ..Default::default()
    };
    batch.encode_to_vec()
}

pub fn apply(fold: &mut Fold, kind: &Kind) -> FateKind {
    match fold.apply(0, &batch(std::slice::from_ref(kind))) {
        Step::Fate(mut fate) => fate.fates.remove(0).kind.expect("every fate has a kind"),
        other => panic!("not decided: {other:?}"),
    }
}

pub fn state(fold: &Fold) -> wire::BudgetState {
    wire::BudgetState::decode(&*fold.encode()).expect("the state decodes")
}

pub fn reload(fold: &Fold) -> Fold {
    Fold::decode(&fold.encode()).expect("the state decodes")
}

/// Tracks records and fates, and checks the fold's state after each record.
#[derive(Default)]
pub struct Checker {
    topped_up: BTreeMap<String, u64>,
    charged: BTreeMap<String, u64>,
    /// Keys charged and not yet evicted.
    charged_keys: BTreeSet<KeyId>,
    winner: BTreeMap<KeyId, RouterIdentity>,
    abandoned: BTreeSet<(KeyId, RouterIdentity)>,
    phase: BTreeMap<RouterIdentity, i32>,
    evicted_before: u64,
}

macro_rules! check {
    ($truth:expr, $($message:tt)+) => {
        if !$truth {
            return Err(format!($($message)+));
        }
    };
}

fn identity(inc: &Option<wire::Incarnation>) -> RouterIdentity {
    let inc = inc.clone().unwrap_or_default();
    (inc.vm, inc.epoch)
}

fn held(grant: &wire::GrantEntry) -> u64 {
    let left = grant.granted.saturating_sub(grant.charged);
    left.saturating_sub(grant.returned)
}

impl Checker {
    pub fn observe(&mut self, kind: &Kind, fate: &FateKind, fold: &Fold) -> Result<(), String> {
        match (kind, fate) {
            (Kind::TopUp(top_up), FateKind::Applied(_)) => {
                *self.topped_up.entry(top_up.budget.clone()).or_default() += top_up.amount;
            }
            (Kind::Charges(charges), FateKind::Charges(fate)) => {
                self.observe_charges(charges, fate)?
            }
            (Kind::Intent(intent), FateKind::Intent(fate)) if fate.won => {
                let owner = identity(&intent.incarnation);
                let id = (intent.key.clone(), intent.workspace.clone());
                let first = self.winner.entry(id.clone()).or_insert(owner.clone());
                check!(*first == owner, "two winners of one key");
                check!(!self.charged_keys.contains(&id), "a charged key was won");
                let is_abandoned = self.abandoned.contains(&(id, owner));
                check!(!is_abandoned, "an intent won after its abandonment");
            }
            (Kind::Abandon(abandon), FateKind::Applied(_)) => {
                let owner = identity(&abandon.incarnation);
                let id = (abandon.key.clone(), abandon.workspace.clone());
                if self.winner.get(&id) == Some(&owner) {
                    self.winner.remove(&id);
                }
                self.abandoned.insert((id, owner));
            }
            (Kind::Retire(retire), FateKind::Applied(_)) => {
                let phase = wire::RouterPhase::Retired.into();
                self.phase.insert(identity(&retire.incarnation), phase);
            }
            (Kind::Release(release), FateKind::Applied(_)) => {
                let phase = wire::RouterPhase::Released.into();
                self.phase.insert(identity(&release.incarnation), phase);
            }
            _ => {}
        }
        self.check_state(fold)
    }

    fn observe_charges(
        &mut self,
        charges: &wire::Charges,
        fate: &wire::ChargesFate,
    ) -> Result<(), String> {
        for (item, fate) in charges.items.iter().zip(fate.items()) {
            if fate != wire::ChargeFate::Charged {
                continue;
            }
            *self.charged.entry(item.budget.clone()).or_default() += item.cost;
            if item.key >= key(self.evicted_before, 0) {
                check!(
                    self.charged_keys
                        .insert((item.key.clone(), item.workspace.clone())),
                    "a key was charged twice"
                );
            }
        }
        Ok(())
    }

    /// Checks the fold's state against the records and fates observed so far.
    pub fn check_state(&mut self, fold: &Fold) -> Result<(), String> {
        check!(
            fold.evicted_ms() >= self.evicted_before,
            "the eviction time went backwards"
        );
        self.evicted_before = fold.evicted_ms();
        let oldest = key(self.evicted_before, 0);
        self.charged_keys.retain(|(key, _)| *key >= oldest);
        self.winner.retain(|(key, _), _| *key >= oldest);
        let state = state(fold);
        for budget in &state.budgets {
            self.check_budget(fold, &state, budget)?;
        }
        for router in &state.routers {
            let now = self.phase.entry(identity(&router.incarnation)).or_default();
            check!(router.phase >= *now, "a router's phase went backwards");
            *now = router.phase;
        }
        Ok(())
    }

    fn check_budget(
        &self,
        fold: &Fold,
        state: &wire::BudgetState,
        budget: &wire::BudgetEntry,
    ) -> Result<(), String> {
        let name = &budget.name;
        let mut sums = [0_u128; 4];
        for router in &state.routers {
            for grant in router.grants.iter().filter(|grant| grant.budget == *name) {
                sums[router.phase as usize] += u128::from(held(grant));
            }
        }
        let view = fold.view(name).ok_or("a budget has no view")?;
        let [_, active, retired, released] = sums;
        check!(released == 0, "a released router holds tokens");
        check!(
            u128::from(view.granted) == active,
            "view of granted is wrong"
        );
        check!(
            u128::from(view.quarantined) == retired,
            "view of quarantined is wrong"
        );
        let sum = u128::from(budget.charged) + active + retired + u128::from(view.free);
        check!(
            sum == u128::from(budget.topped_up),
            "{name}: the sum {sum} differs from the top-ups"
        );
        check!(budget.charged <= budget.topped_up, "{name} is overspent");
        let paid_in = self.topped_up.get(name).copied().unwrap_or(0);
        check!(
            budget.topped_up == paid_in,
            "{name}: a top-up counted twice or not at all"
        );
        let billed = self.charged.get(name).copied().unwrap_or(0);
        check!(
            budget.charged == billed,
            "{name}: charged {}, billed {billed}",
            budget.charged
        );
        Ok(())
    }
}
