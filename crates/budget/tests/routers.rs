//! Simulates routers that follow the protocol, over a log that reorders and repeats
//! their records: every request is billed exactly once and all unspent tokens become
//! free again.

mod common;

use common::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::Config;
use swiftlink_budget::Fold;
use swiftlink_log::Fold as _;
use swiftlink_wire::log as wire;
use wire::ChargeFate;
use wire::fate::Kind as FateKind;
use wire::record::Kind;

const TOPPED_UP: u64 = 500;
const VMS: [&str; 3] = ["v0", "v1", "v2"];

#[derive(Clone, Debug)]
enum Action {
    Claim { at: usize, need: u64, want: u64 },
    Run { at: usize, cost: u64 },
    GiveBack { at: usize, amount: u64 },
    Mark { at: usize },
    Restart { at: usize },
    Deliver(Index),
    Copy(Index),
    Reload,
}

fn action() -> impl Strategy<Value = Action> {
    let at = || 0..VMS.len();
    prop_oneof![
        4 => (at(), 0..30_u64, 0..90_u64)
            .prop_map(|(at, need, more)| Action::Claim { at, need, want: need + more }),
        8 => (at(), 1..12_u64).prop_map(|(at, cost)| Action::Run { at, cost }),
        2 => (at(), 1..40_u64).prop_map(|(at, amount)| Action::GiveBack { at, amount }),
        2 => at().prop_map(|at| Action::Mark { at }),
        1 => at().prop_map(|at| Action::Restart { at }),
        9 => any::<Index>().prop_map(Action::Deliver),
        3 => any::<Index>().prop_map(Action::Copy),
        1 => Just(Action::Reload),
    ]
}

#[derive(Default)]
struct Router {
    epoch: u64,
    seq: u64,
    claiming: bool,
    granted: u64,
    spent: u64,
    returned: u64,
    serial: u64,
}

impl Router {
    fn unspent(&self) -> u64 {
        self.granted - self.spent - self.returned
    }
}

struct Simulation {
    fold: Fold,
    checker: Checker,
    routers: [Router; 3],
    /// Records sent to the log and not delivered yet.
    sent: Vec<Kind>,
    delivered: Vec<Kind>,
    now: u64,
    billed: u64,
}

type Outcome = Result<(), TestCaseError>;

impl Simulation {
    fn start() -> Result<Self, TestCaseError> {
        let mut simulation = Self {
            fold: Fold::empty(),
            checker: Checker::default(),
            routers: Default::default(),
            sent: Vec::new(),
            delivered: Vec::new(),
            now: 1,
            billed: 0,
        };
        simulation.deliver(top_up("b", "t", TOPPED_UP))?;
        for at in 0..VMS.len() {
            simulation.restart(at)?;
        }
        Ok(simulation)
    }

    fn action(&mut self, action: &Action) -> Outcome {
        self.now += 1;
        match action {
            Action::Claim { at, need, want } => self.claim(*at, *need, *want),
            Action::Run { at, cost } => self.run(*at, *cost),
            Action::GiveBack { at, amount } => self.give_back(*at, *amount),
            Action::Mark { at } => self.mark(*at),
            Action::Restart { at } => self.restart(*at)?,
            Action::Deliver(index) if !self.sent.is_empty() => {
                let kind = self.sent.swap_remove(index.index(self.sent.len()));
                self.deliver(kind)?;
            }
            Action::Copy(index) => {
                let kind = self.delivered[index.index(self.delivered.len())].clone();
                let before = self.fold.encode();
                apply(&mut self.fold, &kind);
                prop_assert!(self.fold.encode() == before, "a copy of {kind:?} counted");
            }
            Action::Reload => self.fold = reload(&self.fold),
            Action::Deliver(_) => {}
        }
        Ok(())
    }

    fn claim(&mut self, at: usize, need: u64, want: u64) {
        let router = &mut self.routers[at];
        if router.claiming {
            return;
        }
        router.claiming = true;
        router.seq += 1;
        self.sent
            .push(claim(VMS[at], router.epoch, "b", router.seq, need, want));
    }

    fn run(&mut self, at: usize, cost: u64) {
        let router = &mut self.routers[at];
        if router.unspent() < cost {
            return;
        }
        router.spent += cost;
        router.serial += 1;
        self.billed += cost;
        let items = vec![item(key(self.now, 0), "b", cost, router.serial)];
        self.sent.push(charges(VMS[at], router.epoch, items));
    }

    fn give_back(&mut self, at: usize, amount: u64) {
        let router = &mut self.routers[at];
        if router.unspent() < amount {
            return;
        }
        router.returned += amount;
        self.sent
            .push(give_back(VMS[at], router.epoch, "b", router.returned));
    }

    /// Sends a mark at the oldest key whose charge isn't on the log yet.
    fn mark(&mut self, at: usize) {
        let epoch = self.routers[at].epoch;
        let unsettled = self.sent.iter().filter_map(|kind| match kind {
            Kind::Charges(charges) if charges.incarnation == inc(VMS[at], epoch) => {
                (1..=self.now).find(|ms| charges.items[0].key == key(*ms, 0))
            }
            _ => None,
        });
        let floor = unsettled.min().unwrap_or(self.now);
        self.sent.push(mark(VMS[at], epoch, floor));
    }

    /// Starts a successor at the same address, which charges no key created before.
    fn restart(&mut self, at: usize) -> Outcome {
        let epoch = self.routers[at].epoch + 1;
        self.routers[at] = Router {
            epoch,
            ..Router::default()
        };
        self.deliver(join(VMS[at], epoch, "a", self.now))?;
        self.release_settled()
    }

    /// Releases the retired routers that have no undelivered charge.
    fn release_settled(&mut self) -> Outcome {
        for router in self.fold.retired() {
            let (vm, epoch) = (router.incarnation.vm.as_str(), router.incarnation.epoch);
            let owner = inc(vm, epoch);
            let unsettled =
                |kind: &Kind| matches!(kind, Kind::Charges(c) if c.incarnation == owner);
            if !self.sent.iter().any(unsettled) {
                self.deliver(release(vm, epoch))?;
            }
        }
        Ok(())
    }

    fn deliver(&mut self, kind: Kind) -> Outcome {
        let fate = apply(&mut self.fold, &kind);
        self.checker
            .observe(&kind, &fate, &self.fold)
            .map_err(TestCaseError::fail)?;
        match (&kind, &fate) {
            (Kind::Charges(_), FateKind::Charges(fate)) => {
                prop_assert_eq!(fate.items().next(), Some(ChargeFate::Charged));
            }
            (Kind::Claim(claim), fate) => self.receive_claim_fate(claim, fate),
            (Kind::GiveBack(_) | Kind::Mark(_), FateKind::Rejected(no)) => {
                let gone = [
                    wire::RejectReason::Retired,
                    wire::RejectReason::UnknownIncarnation,
                ];
                prop_assert!(gone.contains(&no.reason()), "{kind:?}: {no:?}");
            }
            (_, FateKind::Rejected(no)) => prop_assert!(false, "{kind:?}: {no:?}"),
            _ => {}
        }
        self.delivered.push(kind);
        Ok(())
    }

    fn receive_claim_fate(&mut self, claim: &wire::Claim, fate: &FateKind) {
        let at = VMS
            .iter()
            .position(|vm| claim.incarnation == inc(vm, self.epoch_of(vm)));
        let (Some(at), FateKind::Claim(fate)) = (at, fate) else {
            return;
        };
        self.routers[at].claiming = false;
        self.routers[at].granted += fate.granted;
    }

    fn epoch_of(&self, vm: &str) -> u64 {
        let at = VMS
            .iter()
            .position(|known| *known == vm)
            .expect("one of three");
        self.routers[at].epoch
    }

    /// Delivers all records, then retires and releases all routers.
    fn finish(&mut self) -> Outcome {
        for kind in std::mem::take(&mut self.sent) {
            self.deliver(kind)?;
        }
        for vm in VMS {
            self.deliver(retire(vm, self.epoch_of(vm)))?;
        }
        self.release_settled()?;
        let view = self.fold.view("b").expect("topped up");
        prop_assert_eq!(view.charged, self.billed);
        prop_assert_eq!(view.free, TOPPED_UP - self.billed);
        Ok(())
    }
}

proptest! {
    #![proptest_config(Config::with_cases(512))]

    #[test]
    fn every_request_is_billed_once_and_unspent_tokens_become_free(actions in vec(action(), 1..150)) {
        let mut simulation = Simulation::start()?;
        for action in &actions {
            simulation.action(action)?;
        }
        simulation.finish()?;
    }
}
