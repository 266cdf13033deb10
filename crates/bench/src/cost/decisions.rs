//! Cost of one admission and one routing decision at full scale.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand_pcg::Pcg64Mcg;
use swiftlink_admission::{
    ClassSpec, DemandSizer, Entry, Grant, Queue, QueuePolicy, SizerPolicy, Sizing, Waiting,
};
use swiftlink_routing::{
    ExpectedWait, Fleet, FleetPolicy, LoadReport, PickArgs, Policy, ServerSpec, TwoChoices,
};
use swiftlink_types::{
    BudgetName, ClassName, DomainName, Micros, ServerInstance, ServerName, WorkspaceName,
};

use super::meter::{Cost, cost};
use crate::draw::{generator, uniform};
use crate::row::Rows;

/// Size of the full-scale deployment.
const BUDGETS: usize = 11_000;
const WORKSPACES: usize = 26_000;
const RUNNERS: usize = 600;
/// Runners in a router's subset, by default.
const SUBSET: usize = 32;
/// Calls per round.
const CALLS: usize = 200_000;

pub(super) fn run(seed: u64, quick: bool, rows: &mut Rows) {
    let calls = if quick { CALLS / 100 } else { CALLS };
    write("cost-admission", "grant", admission(seed, calls), rows);
    write("cost-admission", "queue-idle", queue(0, calls), rows);
    write("cost-admission", "queue-200-wait", queue(200, calls), rows);
    write("cost-admission", "sizer-tick", sizer(calls), rows);
    for (name, subset) in [("600", 0), ("subset-32", SUBSET)] {
        let scenario = format!("cost-routing-{name}");
        let ours = Box::new(ExpectedWait::default());
        write(&scenario, "ours", routing(seed, calls, subset, ours), rows);
        let two = Box::new(TwoChoices);
        write(
            &scenario,
            "two-choices",
            routing(seed, calls, subset, two),
            rows,
        );
    }
}

pub(super) fn write(scenario: &str, policy: &str, cost: Cost, rows: &mut Rows) {
    rows.add(scenario, policy, "time_ns", cost.nanos);
    if let Some(allocations) = cost.allocations {
        rows.add(scenario, policy, "allocations", allocations);
    }
}

/// Measures the lookup of a workspace's budget, the reservation and the settlement.
fn admission(seed: u64, calls: usize) -> Cost {
    let budgets: Vec<BudgetName> = (0..BUDGETS).map(|n| format!("budget-{n}").into()).collect();
    let grants: HashMap<BudgetName, Arc<Grant>> = budgets
        .iter()
        .map(|name| {
            let grant = Grant::new();
            grant.credit(u64::MAX / 4);
            (name.clone(), Arc::new(grant))
        })
        .collect();
    let names: Vec<WorkspaceName> = (0..WORKSPACES)
        .map(|n| format!("workspace-{n}").into())
        .collect();
    let owners: HashMap<WorkspaceName, BudgetName> = names
        .iter()
        .enumerate()
        .map(|(index, name)| (name.clone(), budgets[index % BUDGETS].clone()))
        .collect();
    let mut rng = generator(seed, 1);
    cost(calls, || {
        let name = &names[uniform(&mut rng, WORKSPACES as u64) as usize];
        let grant = &grants[&owners[name]];
        let held = grant.hold(700).expect("the grant is large");
        held.settle(500)
    })
}

/// Measures the passage of one entry through the queue while `waiting` others wait.
fn queue(waiting: usize, calls: usize) -> Cost {
    const SERVICE: Micros = 600_000;
    let classes: Vec<ClassName> = (0..3).map(|n| format!("class-{n}").into()).collect();
    let policy = QueuePolicy {
        max_wait: Duration::from_secs(3_600),
        ..QueuePolicy::default()
    };
    let mut queue = Queue::new(policy, 32);
    for (index, class) in classes.iter().enumerate() {
        let spec = ClassSpec {
            weight: 10_u32.pow(index as u32),
            limit: 4_096,
        };
        queue.set_class(class, spec);
    }
    let mut now = 0;
    let mut next = 0;
    let mut entry = |now: Micros| {
        next += 1;
        Entry {
            class: classes[next % classes.len()].clone(),
            key: next as u64,
            deadline: now + 3_600_000_000,
            service_time: None,
            payload: (),
        }
    };
    if waiting > 0 {
        for _ in 0..32 + waiting {
            let _ = queue.push(entry(now), now);
        }
        while queue.pop(now).is_some() {}
    }
    cost(calls, || {
        now += 10;
        let pushed = queue.push(entry(now), now);
        if waiting > 0 {
            queue.on_done(now, SERVICE);
        }
        let popped = queue.pop(now);
        if waiting == 0 {
            queue.on_done(now, SERVICE);
        }
        (pushed.is_ok(), popped.is_some())
    })
}

/// Measures one evaluation by a sizer, which runs twice a second per budget in use.
fn sizer(calls: usize) -> Cost {
    let mut sizer = DemandSizer::new(SizerPolicy::default());
    let grant = Arc::new(Grant::new());
    grant.credit(u64::MAX / 4);
    let mut now = 0;
    cost(calls, || {
        now += 500_000;
        grant.hold(700).expect("the grant is large").settle(500);
        sizer.observe(now, grant.demand());
        sizer.claim(now, grant.available(), Waiting::default())
    })
}

fn routing(seed: u64, calls: usize, subset: usize, policy: Box<dyn Policy>) -> Cost {
    let domain = |index: usize| DomainName::from(format!("domain-{}", index % 6));
    let mut settings = FleetPolicy::new(domain(0));
    settings.subset = subset;
    settings.seed = seed;
    let specs: Vec<ServerSpec> = (0..RUNNERS)
        .map(|index| ServerSpec {
            instance: ServerInstance::from(ServerName::from(format!("runner-{index}"))),
            domain: domain(index),
            vm: None,
            slots: 16,
            drain: false,
            version: None,
            is_excluded: false,
            is_canary: false,
            cold_until: 0,
        })
        .collect();
    let mut fleet = Fleet::new(settings, policy);
    fleet.set_config(&specs);
    let mut rng: Pcg64Mcg = generator(seed, 2);
    for (idx, _) in fleet.members() {
        let report = LoadReport {
            running: uniform(&mut rng, 16) as u32,
            slots: 16,
            ..LoadReport::default()
        };
        fleet.on_report(idx, 1_000, report);
    }
    let mut now = 2_000;
    cost(calls, || {
        now += 250;
        let pick = PickArgs {
            now,
            prefix: 1 + uniform(&mut rng, 200),
            is_canary: false,
            may_probe: true,
            ..PickArgs::default()
        };
        let sent = fleet
            .send(&pick, &mut rng)
            .expect("every runner is eligible");
        fleet.on_abandoned(sent, now);
    })
}
