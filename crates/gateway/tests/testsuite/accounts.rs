//! How a router changes an account.

use std::collections::HashMap;

use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;
use prost::Message;
use swiftlink_gateway::quota::account::{
    EndedSpending, MAX_PREPAID, RouterState, adjust, close, decode, granted, remaining,
    spent_by_others,
};
use swiftlink_wire::rights::{Account, Holder};

fn router(vm: &str, process: u64) -> RouterState {
    RouterState {
        vm: vm.to_owned(),
        process,
        granted: 0,
        charged: 0,
        reserved: 0,
        rate: 0,
        need: 0,
        is_holder: true,
        sharers: 8,
        rank: None,
        largest: 0,
        ended: HashMap::new(),
        era: 0,
        is_frozen: false,
        must_write: false,
        steps_due: 0,
        may_go_back: true,
    }
}

/// What a process with caps of this era spent at most.
fn ended(max: u64) -> EndedSpending {
    EndedSpending {
        max,
        is_outdated: false,
    }
}

fn committed(account: &Account) -> u64 {
    let held: u64 = account.holders.iter().map(|holder| holder.granted).sum();
    account.closed + held
}

#[test]
fn first_routers_leave_a_share_for_later_ones() {
    let mut account = Account::default();
    for process in 1..=7 {
        let change = adjust(&account, 800_000, &router(&format!("vm{process}"), process));
        account = change.expect("a first claim").account;
    }
    let held = committed(&account);
    assert!(held > 100_000 && held <= 720_000, "{held}");
}

#[test]
fn waiting_request_gets_free_tokens_at_once() {
    let first = adjust(&Account::default(), 100_000, &router("a", 1)).expect("a claim");
    let mut waiting = router("b", 2);
    waiting.need = 60_000;
    let change = adjust(&first.account, 100_000, &waiting).expect("a claim");
    assert!(change.granted >= 60_000, "{}", change.granted);
}

#[test]
fn other_routers_return_what_a_waiting_request_lacks() {
    let mut holder = router("a", 1);
    let account = Account {
        closed: 0,
        holders: vec![
            Holder {
                vm: "a".to_owned(),
                process: 1,
                granted: 90_000,
                charged: 10_000,
                ..Holder::default()
            },
            Holder {
                vm: "b".to_owned(),
                process: 2,
                need: 50_000,
                ..Holder::default()
            },
        ],
        ..Account::default()
    };
    holder.granted = 90_000;
    holder.charged = 10_000;
    holder.reserved = 5_000;
    let change = adjust(&account, 100_000, &holder).expect("a return");
    assert_eq!(
        change.granted, 15_000,
        "reserved tokens stay, the others are returned"
    );
}

#[test]
fn new_process_closes_its_predecessor() {
    let first = adjust(&Account::default(), 100_000, &router("a", 1)).expect("a claim");
    let second = adjust(&first.account, 100_000, &router("a", 2)).expect("a claim");
    assert_eq!(second.account.closed, first.granted);
    assert_eq!(granted(&second.account, 1, 0), None);
    assert!(granted(&second.account, 2, 0).is_some());
}

#[test]
fn predecessor_counts_as_having_spent_what_its_cap_allowed() {
    let account = Account {
        closed: 7,
        holders: vec![Holder {
            vm: "a".to_owned(),
            process: 1,
            granted: 10_000,
            charged: 2_000,
            ..Holder::default()
        }],
        ..Account::default()
    };
    for (cap, closed) in [(3_000, 3_007), (1_000, 2_007), (90_000, 10_007)] {
        let mut own = router("a", 2);
        own.ended.insert(1, ended(cap));
        let change = adjust(&account, 100_000, &own).expect("a claim");
        assert_eq!(change.account.closed, closed);
    }
}

#[test]
fn stopped_router_leaves_only_what_it_spent() {
    let first = adjust(&Account::default(), 100_000, &router("a", 1)).expect("a claim");
    let mut own = router("a", 1);
    own.granted = first.granted;
    own.charged = 1_234;
    let account = close(&first.account, 100_000, &own);
    assert_eq!(account.closed, 1_234);
    assert!(account.holders.is_empty());
    assert_eq!(remaining(&account, 100_000), 98_766);
}

#[test]
fn unchanged_router_writes_nothing() {
    let first = adjust(&Account::default(), 100_000, &router("a", 1)).expect("a claim");
    let mut own = router("a", 1);
    own.granted = first.granted;
    assert_eq!(adjust(&first.account, 100_000, &own), None);
}

proptest! {
    /// No change commits more than was prepaid, apart from what is granted already, and none takes
    /// tokens from running requests.
    #[test]
    fn changes_never_commit_more_than_is_prepaid(
        closed in 0_u64..50_000,
        others in prop::collection::vec((0_u64..40_000, 0_u64..40_000, 0_u64..5_000, 0_u64..20_000), 0..6),
        mine in (0_u64..40_000, 0_u64..40_000, 0_u64..40_000, 0_u64..5_000, 0_u64..30_000),
        prepaid in 0_u64..300_000,
    ) {
        let mut account = Account { closed, ..Account::default() };
        for (index, (unspent, charged, rate, need)) in others.iter().enumerate() {
            account.holders.push(Holder {
                vm: format!("vm{index}"),
                process: index as u64,
                granted: unspent + charged,
                charged: *charged,
                rate: *rate,
                need: *need,
..Holder::default()
});
        }
        let (unspent, charged, reserved, rate, need) = mine;
        let mut own = router("me", 99);
        own.granted = unspent + charged;
        own.charged = charged;
        own.reserved = reserved.min(unspent);
        own.rate = rate;
        own.need = need;
        account.holders.push(Holder {
            vm: own.vm.clone(),
            process: own.process,
            granted: own.granted,
            ..Holder::default()
        });
        let before = committed(&account);
        if let Some(change) = adjust(&account, prepaid, &own) {
            prop_assert!(committed(&change.account) <= prepaid.max(before));
            prop_assert!(change.granted >= own.charged + own.reserved);
            prop_assert_eq!(granted(&change.account, own.process, 0), Some(change.granted));
        }
    }
}

/// An account with arbitrary numbers.
fn any_account() -> impl Strategy<Value = Account> {
    let number = || prop_oneof![any::<u64>(), 0..1_000_000_u64];
    let holder = (0..6_u64, number(), number(), number(), number());
    let holder = holder.prop_map(|(process, granted, charged, rate, need)| Holder {
        vm: format!("vm{process}"),
        process,
        granted,
        charged,
        rate,
        need,
        ..Holder::default()
    });
    let account = (number(), vec(holder, 0..5));
    account.prop_map(|(closed, holders)| Account {
        closed,
        holders,
        ..Account::default()
    })
}

/// Runs all computations that a router does with an account.
fn compute_all(account: &Account, prepaid: u64) {
    let mut own = router("vm1", 1);
    own.granted = 1_000;
    own.charged = 500;
    own.need = 2_000;
    let _left = remaining(account, prepaid);
    let _spent = spent_by_others(account, 1);
    let _change = adjust(account, prepaid, &own);
    let _closed = close(account, prepaid, &own);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]

    /// Overflowing sums of counts beyond any budget wrapped to small numbers, which granted tokens
    /// that nobody had prepaid.
    #[test]
    fn any_account_is_refused_or_computable(account in any_account(), prepaid in 0..=MAX_PREPAID) {
        let value = Bytes::from(account.encode_to_vec());
        if let Ok(account) = decode(value) {
            compute_all(&account, prepaid);
        }
    }

    #[test]
    fn decode_accepts_any_bytes(bytes in vec(any::<u8>(), 0..200)) {
        if let Ok(account) = decode(Bytes::from(bytes)) {
            compute_all(&account, 1_000_000);
        }
    }
}

#[test]
fn account_of_the_largest_budget_decodes() {
    let holder = |process| Holder {
        vm: format!("vm{process}"),
        process,
        granted: MAX_PREPAID / 2,
        charged: MAX_PREPAID / 2,
        rate: 1_000_000,
        need: 1_000_000,
        ..Holder::default()
    };
    let account = Account {
        closed: 0,
        holders: vec![holder(1), holder(2)],
        ..Account::default()
    };
    let read = decode(Bytes::from(account.encode_to_vec()));
    assert_eq!(read.expect("an account"), account);
}

/// Guards against an entry of an ended process that is never closed. After a power loss of all VMs,
/// a router whose earlier process had spent all that it held had nothing to claim, and left the
/// account unchanged. The entry still showed a third of the budget as held, so 1,000 callers of one
/// workspace were told to retry instead of being told that the budget is spent.
#[test]
fn predecessor_is_closed_even_when_nothing_can_be_claimed() {
    let earlier = Holder {
        vm: "a".to_owned(),
        process: 1,
        granted: 100_000,
        charged: 60_000,
        rate: 10_000,
        need: 0,
        ..Holder::default()
    };
    let account = Account {
        closed: 0,
        holders: vec![earlier],
        ..Account::default()
    };
    let mut next = router("a", 2);
    next.ended.insert(1, ended(100_000));
    let change =
        adjust(&account, 100_000, &next).expect("a change that closes the earlier process");
    assert_eq!(change.closed.len(), 1);
    assert_eq!(change.granted, 0);
    assert_eq!(remaining(&change.account, 100_000), 0);
    assert!(
        adjust(&change.account, 100_000, &next).is_none(),
        "closed once"
    );
}

/// A budget far above the tokens that may be claimed at any mark.
const LARGE_BUDGET: u64 = 10_000_000;

/// The most of a large budget that can have been claimed after a copy with this account.
fn most_claimed(copy: &Account) -> u64 {
    LARGE_BUDGET - copy.withheld.iter().min().expect("what is withheld")
}

/// A change by one of three routers that spend of a large budget.
#[derive(Clone, Debug)]
struct Step {
    process: u64,
    /// Thousandths of the unspent tokens of the router that it spends before.
    spends: u64,
    need: u64,
    /// Steps that the time since the last change allows.
    steps_due: usize,
}

fn account_step() -> impl Strategy<Value = Step> {
    let need = prop_oneof![Just(0), 0..LARGE_BUDGET];
    (1..=3_u64, 0..=1_000_u64, need, 0..9_usize).prop_map(|(process, spends, need, steps_due)| {
        Step {
            process,
            spends,
            need,
            steps_due,
        }
    })
}

proptest! {
    /// Guards against tokens that are spent twice after the store went back to a copy: whatever
    /// routers claim in six steps after it stays within what the copy allows.
    #[test]
    fn claims_stay_within_what_an_earlier_account_allows(
        steps in vec(account_step(), 1..60),
    ) {
        let mut account = Account::default();
        let mut spent = [0_u64; 4];
        let mut copies: Vec<(Account, usize)> = Vec::new();
        for step in steps {
            let held = granted(&account, step.process, 0).unwrap_or(0);
            let charged = &mut spent[step.process as usize];
            *charged += (held - *charged) * step.spends / 1_000;
            let mut own = router(&format!("vm{}", step.process), step.process);
            own.granted = held;
            own.charged = *charged;
            own.rate = 1_000;
            own.need = step.need;
            own.steps_due = step.steps_due;
            let Some(change) = adjust(&account, LARGE_BUDGET, &own) else {
                continue;
            };
            account = change.account;
            for (_, steps) in &mut copies {
                *steps += own.steps_due;
            }
            copies.retain(|(_, steps)| *steps <= 6);
            for (copy, steps) in &copies {
                let most = most_claimed(copy);
                prop_assert!(committed(&account) <= most, "{steps} steps after {copy:?}");
            }
            copies.push((account.clone(), 0));
        }
    }
}

/// Guards against a budget that is never spent to its end.
#[test]
fn a_budget_is_claimed_to_its_end_step_by_step() {
    let mut account = Account::default();
    let mut own = router("a", 1);
    own.sharers = 1;
    own.need = 100_000;
    own.steps_due = 1;
    for _ in 0..80 {
        if let Some(change) = adjust(&account, LARGE_BUDGET, &own) {
            account = change.account;
            own.granted = change.granted;
        }
        own.charged = own.granted;
    }
    assert_eq!(own.charged, LARGE_BUDGET);
}

/// Guards against claims that the store lost with the changes after a copy. Router 2 may have
/// claimed more since the copy and hasn't written its entry yet, so that may not be granted again.
#[test]
fn claims_that_the_store_may_have_lost_are_not_granted_again() {
    let first = adjust(&Account::default(), LARGE_BUDGET, &router("a", 1)).expect("a claim");
    let copy = adjust(&first.account, LARGE_BUDGET, &router("b", 2)).expect("a claim");
    let limit = most_claimed(&copy.account);
    let mut next = router("a", 1);
    next.granted = first.granted;
    next.need = LARGE_BUDGET;
    next.era = 1;
    next.steps_due = 1;
    let mut account = copy.account;
    for _ in 0..9 {
        if let Some(change) = adjust(&account, LARGE_BUDGET, &next) {
            account = change.account;
            next.granted = change.granted;
        }
        next.charged = next.granted;
    }
    let most_of_other = limit - first.granted;
    assert!(
        next.granted + most_of_other <= LARGE_BUDGET,
        "{}",
        next.granted
    );
    // Once router 2 has written what it holds, the rest is free.
    let mut other = router("b", 2);
    other.granted = copy.granted;
    other.era = 1;
    account = adjust(&account, LARGE_BUDGET, &other)
        .expect("its entry")
        .account;
    let before = next.granted;
    for _ in 0..9 {
        if let Some(change) = adjust(&account, LARGE_BUDGET, &next) {
            account = change.account;
            next.granted = change.granted;
        }
        next.charged = next.granted;
    }
    assert!(next.granted > before, "{before}");
}

/// Guards against a process whose last cap and last claims are lost with the store's last seconds:
/// its successor counts the most that all routers may have claimed by then.
#[test]
fn successor_counts_what_the_store_may_have_lost() {
    let first = adjust(&Account::default(), LARGE_BUDGET, &router("a", 1)).expect("a claim");
    let limit = most_claimed(&first.account);
    let mut next = router("a", 2);
    next.era = 1;
    let outdated = EndedSpending {
        max: 5,
        is_outdated: true,
    };
    next.ended.insert(1, outdated);
    let change = adjust(&first.account, LARGE_BUDGET, &next).expect("a change");
    assert_eq!(change.account.closed, limit);
    // A process that stored a cap after the store went back has spent no more than that allows.
    next.ended.insert(1, ended(5));
    let change = adjust(&first.account, LARGE_BUDGET, &next).expect("a change");
    assert_eq!(change.account.closed, 5);
}

/// A router of a build that withholds nothing drops what it doesn't know when it writes an account.
fn written_by_older_build(account: &Account) -> Account {
    Account {
        withheld: Vec::new(),
        unconfirmed: 0,
        ..account.clone()
    }
}

/// Guards against tokens that are granted twice in a fleet of two builds: an account of the older one
/// doesn't bound what was claimed after a copy of it, so nothing more is granted until each holder
/// has written its entry again.
#[test]
fn an_account_of_an_older_build_bounds_no_lost_claims() {
    let first = adjust(&Account::default(), LARGE_BUDGET, &router("a", 1)).expect("a claim");
    let second = adjust(&first.account, LARGE_BUDGET, &router("b", 2)).expect("a claim");
    let account = written_by_older_build(&second.account);
    // Without a copy in between, the limit applies again with the next change.
    let mut own = router("a", 1);
    own.granted = first.granted;
    own.need = LARGE_BUDGET;
    let change = adjust(&account, LARGE_BUDGET, &own).expect("a claim");
    assert_eq!(change.account.withheld, second.account.withheld);
    assert!(committed(&change.account) <= most_claimed(&change.account));
    own.era = 1;
    let change = adjust(&account, LARGE_BUDGET, &own).expect("its entry");
    assert_eq!(change.granted, first.granted);
    let mut next = router("b", 3);
    next.era = 1;
    let change = adjust(&change.account, LARGE_BUDGET, &next).expect("a change");
    assert_eq!(change.account.closed, LARGE_BUDGET - first.granted);
}
