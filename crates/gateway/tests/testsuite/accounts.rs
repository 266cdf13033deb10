//! How a router changes an account.

use std::collections::HashMap;

use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;
use prost::Message;
use swiftlink_gateway::quota::account::{
    MAX_PREPAID, Stake, adjust, close, decode, granted, rest, spent_by_others,
};
use swiftlink_wire::rights::{Account, Holder};

fn stake(vm: &str, process: u64) -> Stake {
    Stake {
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
    }
}

fn committed(account: &Account) -> u64 {
    let held: u64 = account.holders.iter().map(|holder| holder.granted).sum();
    account.closed + held
}

#[test]
fn the_first_routers_get_a_part_and_leave_the_rest() {
    let mut account = Account::default();
    for process in 1..=7 {
        let change = adjust(&account, 800_000, &stake(&format!("vm{process}"), process));
        account = change.expect("a first claim").account;
    }
    let held = committed(&account);
    assert!(held > 100_000 && held <= 720_000, "{held}");
}

#[test]
fn a_request_that_waits_gets_what_is_free_at_once() {
    let first = adjust(&Account::default(), 100_000, &stake("a", 1)).expect("a claim");
    let mut needy = stake("b", 2);
    needy.need = 60_000;
    let change = adjust(&first.account, 100_000, &needy).expect("a claim");
    assert!(change.granted >= 60_000, "{}", change.granted);
}

#[test]
fn others_give_back_what_a_waiting_request_lacks() {
    let mut holder = stake("a", 1);
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
    };
    holder.granted = 90_000;
    holder.charged = 10_000;
    holder.reserved = 5_000;
    let change = adjust(&account, 100_000, &holder).expect("a return");
    assert_eq!(
        change.granted, 15_000,
        "what runs stays, the rest goes back"
    );
}

#[test]
fn a_younger_process_closes_what_its_predecessor_held() {
    let first = adjust(&Account::default(), 100_000, &stake("a", 1)).expect("a claim");
    let second = adjust(&first.account, 100_000, &stake("a", 2)).expect("a claim");
    assert_eq!(second.account.closed, first.granted);
    assert_eq!(granted(&second.account, 1), None);
    assert!(granted(&second.account, 2).is_some());
}

#[test]
fn of_what_a_predecessor_held_only_what_its_cap_allowed_is_closed() {
    let account = Account {
        closed: 7,
        holders: vec![Holder {
            vm: "a".to_owned(),
            process: 1,
            granted: 10_000,
            charged: 2_000,
            ..Holder::default()
        }],
    };
    for (cap, closed) in [(3_000, 3_007), (1_000, 2_007), (90_000, 10_007)] {
        let mut me = stake("a", 2);
        me.ended.insert(1, cap);
        let change = adjust(&account, 100_000, &me).expect("a claim");
        assert_eq!(change.account.closed, closed);
    }
}

#[test]
fn a_stop_leaves_only_what_was_spent() {
    let first = adjust(&Account::default(), 100_000, &stake("a", 1)).expect("a claim");
    let mut me = stake("a", 1);
    me.granted = first.granted;
    me.charged = 1_234;
    let account = close(&first.account, &me);
    assert_eq!(account.closed, 1_234);
    assert!(account.holders.is_empty());
    assert_eq!(rest(&account, 100_000), 98_766);
}

#[test]
fn a_quiet_round_writes_nothing() {
    let first = adjust(&Account::default(), 100_000, &stake("a", 1)).expect("a claim");
    let mut me = stake("a", 1);
    me.granted = first.granted;
    assert_eq!(adjust(&first.account, 100_000, &me), None);
}

proptest! {
    /// No change commits more than was prepaid, but for what is out already, and none
    /// takes rights away from requests that run.
    #[test]
    fn a_change_never_commits_more_than_is_prepaid(
        closed in 0_u64..50_000,
        others in prop::collection::vec((0_u64..40_000, 0_u64..40_000, 0_u64..5_000, 0_u64..20_000), 0..6),
        mine in (0_u64..40_000, 0_u64..40_000, 0_u64..40_000, 0_u64..5_000, 0_u64..30_000),
        prepaid in 0_u64..300_000,
    ) {
        let mut account = Account { closed, holders: Vec::new() };
        for (index, (unspent, charged, rate, need)) in others.iter().enumerate() {
            account.holders.push(Holder {
                vm: format!("vm{index}"),
                process: index as u64,
                granted: unspent + charged,
                charged: *charged,
                rate: *rate,
                need: *need,
            });
        }
        let (unspent, charged, reserved, rate, need) = mine;
        let mut me = stake("me", 99);
        me.granted = unspent + charged;
        me.charged = charged;
        me.reserved = reserved.min(unspent);
        me.rate = rate;
        me.need = need;
        account.holders.push(Holder {
            vm: me.vm.clone(),
            process: me.process,
            granted: me.granted,
            ..Holder::default()
        });
        let before = committed(&account);
        if let Some(change) = adjust(&account, prepaid, &me) {
            prop_assert!(committed(&change.account) <= prepaid.max(before));
            prop_assert!(change.granted >= me.charged + me.reserved);
            prop_assert_eq!(granted(&change.account, me.process), Some(change.granted));
        }
    }
}

/// An account with any figures.
fn any_account() -> impl Strategy<Value = Account> {
    let figure = || prop_oneof![any::<u64>(), 0..1_000_000_u64];
    let holder = (0..6_u64, figure(), figure(), figure(), figure());
    let holder = holder.prop_map(|(process, granted, charged, rate, need)| Holder {
        vm: format!("vm{process}"),
        process,
        granted,
        charged,
        rate,
        need,
    });
    let account = (figure(), vec(holder, 0..5));
    account.prop_map(|(closed, holders)| Account { closed, holders })
}

/// Works out all that a router does with an account.
fn work_out(account: &Account, prepaid: u64) {
    let mut own = stake("vm1", 1);
    own.granted = 1_000;
    own.charged = 500;
    own.need = 2_000;
    let _left = rest(account, prepaid);
    let _spent = spent_by_others(account, 1);
    let _change = adjust(account, prepaid, &own);
    let _closed = close(account, &own);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]

    /// Sums of figures beyond any budget came to little where they didn't fit, and so to rights
    /// that nobody had prepaid.
    #[test]
    fn any_account_is_refused_or_can_be_worked_out(account in any_account(), prepaid in 0..=MAX_PREPAID) {
        let value = Bytes::from(account.encode_to_vec());
        if let Ok(account) = decode(value) {
            work_out(&account, prepaid);
        }
    }

    #[test]
    fn any_bytes_are_an_account_or_an_error(bytes in vec(any::<u8>(), 0..200)) {
        if let Ok(account) = decode(Bytes::from(bytes)) {
            work_out(&account, 1_000_000);
        }
    }
}

#[test]
fn an_account_of_the_largest_budget_can_be_read() {
    let holder = |process| Holder {
        vm: format!("vm{process}"),
        process,
        granted: MAX_PREPAID / 2,
        charged: MAX_PREPAID / 2,
        rate: 1_000_000,
        need: 1_000_000,
    };
    let account = Account {
        closed: 0,
        holders: vec![holder(1), holder(2)],
    };
    let read = decode(Bytes::from(account.encode_to_vec()));
    assert_eq!(read.expect("an account"), account);
}

/// After a loss of power of all VMs a router found that its earlier process had spent all that it
/// held, so there was nothing to claim, and it left the account as it was. There that process still
/// held a third of the budget: 1,000 callers of one workspace were told to come back, for others
/// would hold rights, in place of being told once that the budget is spent.
#[test]
fn an_earlier_process_that_spent_all_is_closed_also_where_nothing_can_be_claimed() {
    let earlier = Holder {
        vm: "a".to_owned(),
        process: 1,
        granted: 100_000,
        charged: 60_000,
        rate: 10_000,
        need: 0,
    };
    let account = Account {
        closed: 0,
        holders: vec![earlier],
    };
    let mut next = stake("a", 2);
    next.ended.insert(1, 100_000);
    let change = adjust(&account, 100_000, &next).expect("the earlier process is closed");
    assert_eq!(change.closed.len(), 1);
    assert_eq!(change.granted, 0);
    assert_eq!(rest(&change.account, 100_000), 0);
    assert!(adjust(&change.account, 100_000, &next).is_none(), "once");
}
