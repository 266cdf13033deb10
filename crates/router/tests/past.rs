//! What a router remembers of the keys that it has dispatched.

use std::sync::Arc;

use proptest::prelude::*;
use swiftlink_router::history::{Past, RunHistory, WholeRun};
use swiftlink_router::keys::{KeyUse, Keys};
use swiftlink_types::{RequestKey, ServerName, WorkspaceName};

const NOW: u64 = 1_700_000_000_000;
const WINDOW: u64 = 600_000;

fn new_key(keys: &Arc<Keys>) -> KeyUse {
    key_of(keys, RequestKey::generate(NOW))
}

fn key_of(keys: &Arc<Keys>, key: RequestKey) -> KeyUse {
    let workspace = WorkspaceName::from("registry");
    keys.take(&workspace, key, NOW, 0).expect("a new key")
}

fn whole(charged: u64) -> WholeRun {
    WholeRun {
        server: Some(ServerName::from("annals-1")),
        stream: Some("s-1".to_owned()),
        charged,
    }
}

#[test]
fn a_whole_run_is_remembered_with_its_charge() {
    let (keys, past) = (Keys::new(WINDOW, 0), RunHistory::new(100));
    let key = new_key(&keys);
    assert_eq!(past.look(&key, 7), Past::Open);
    let mut run = past.begin(&key, 7);
    assert!(!past.knows(key.workspace(), key.key()), "not dispatched");
    run.dispatch();
    assert_eq!(past.look(&key, 7), Past::Open, "its end is not known");
    assert!(past.knows(key.workspace(), key.key()));
    run.whole(whole(12));
    assert_eq!(past.look(&key, 7), Past::Whole(whole(12)));
    assert_eq!(past.look(&key, 8), Past::Reused);
    past.note_void(key.workspace(), key.key());
    run.whole(whole(13));
    assert_eq!(past.look(&key, 7), Past::Whole(whole(12)), "as told first");
}

#[test]
fn a_recalled_dispatch_leaves_no_trace_but_an_earlier_one_does() {
    let (keys, past) = (Keys::new(WINDOW, 0), RunHistory::new(100));
    let key = new_key(&keys);
    let mut run = past.begin(&key, 7);
    run.dispatch();
    run.recall();
    assert!(!past.knows(key.workspace(), key.key()));
    run.dispatch();
    let mut second = past.begin(&key, 7);
    second.dispatch();
    second.recall();
    assert!(
        past.knows(key.workspace(), key.key()),
        "the first may have run"
    );
}

#[test]
fn a_key_that_was_charged_elsewhere_is_not_run() {
    let (keys, past) = (Keys::new(WINDOW, 0), RunHistory::new(100));
    let (cut, foreign) = (new_key(&keys), new_key(&keys));
    past.begin(&cut, 7).dispatch();
    past.note_void(cut.workspace(), cut.key());
    assert_eq!(past.look(&cut, 7), Past::Charged);
    assert_eq!(past.look(&cut, 8), Past::Reused);
    past.note_void(foreign.workspace(), foreign.key());
    assert_eq!(past.look(&foreign, 8), Past::Charged);
}

#[test]
fn keys_older_than_the_floor_are_forgotten() {
    let (keys, past) = (Keys::new(WINDOW, 0), RunHistory::new(100));
    let old = key_of(&keys, RequestKey::generate(NOW - 100));
    let new = new_key(&keys);
    past.begin(&old, 1).dispatch();
    past.begin(&new, 1).dispatch();
    past.forget(NOW - 50);
    assert!(!past.knows(old.workspace(), old.key()));
    assert!(past.knows(new.workspace(), new.key()));
}

proptest! {
    /// However many keys come, the memory stays within its bound, and a key just
    /// dispatched is known.
    #[test]
    fn memory_is_bounded(limit in 1_usize..64, count in 1_usize..400, recalled in any::<u64>()) {
        let (keys, past) = (Keys::new(WINDOW, 0), RunHistory::new(limit));
        for number in 0..count {
            let key = new_key(&keys);
            let mut run = past.begin(&key, 1);
            run.dispatch();
            prop_assert!(past.knows(key.workspace(), key.key()));
            if recalled >> (number % 64) & 1 == 1 {
                run.recall();
                prop_assert!(!past.knows(key.workspace(), key.key()));
            }
            // Each of the 16 parts rounds its share up.
            prop_assert!(past.len() < limit + 16);
        }
    }
}
