//! History of the request keys that a router has dispatched.

use std::sync::Arc;

use proptest::prelude::*;
use swiftlink_router::history::{CompletedRun, KeyStatus, RunHistory};
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

fn completed(charged: u64) -> CompletedRun {
    CompletedRun {
        server: Some(ServerName::from("annals-1")),
        stream: Some("s-1".to_owned()),
        charged,
    }
}

#[test]
fn a_complete_run_is_recorded_with_its_charge() {
    let (keys, history) = (Keys::new(WINDOW, 0), RunHistory::new(100));
    let key = new_key(&keys);
    assert_eq!(history.status(&key, 7), KeyStatus::Runnable);
    let mut run = history.begin(&key, 7);
    assert!(!history.knows(key.workspace(), key.key()), "not dispatched");
    run.dispatch();
    assert_eq!(
        history.status(&key, 7),
        KeyStatus::Runnable,
        "still running"
    );
    assert!(history.knows(key.workspace(), key.key()));
    run.complete(completed(12));
    assert_eq!(history.status(&key, 7), KeyStatus::Complete(completed(12)));
    assert_eq!(history.status(&key, 8), KeyStatus::Reused);
    history.note_void(key.workspace(), key.key());
    run.complete(completed(13));
    assert_eq!(
        history.status(&key, 7),
        KeyStatus::Complete(completed(12)),
        "the first result stands"
    );
}

#[test]
fn a_recalled_dispatch_is_removed_but_an_earlier_one_stays() {
    let (keys, history) = (Keys::new(WINDOW, 0), RunHistory::new(100));
    let key = new_key(&keys);
    let mut run = history.begin(&key, 7);
    run.dispatch();
    run.recall();
    assert!(!history.knows(key.workspace(), key.key()));
    run.dispatch();
    let mut second = history.begin(&key, 7);
    second.dispatch();
    second.recall();
    assert!(
        history.knows(key.workspace(), key.key()),
        "the first may have run"
    );
}

#[test]
fn a_key_charged_by_another_run_does_not_run() {
    let (keys, history) = (Keys::new(WINDOW, 0), RunHistory::new(100));
    let (own, foreign) = (new_key(&keys), new_key(&keys));
    history.begin(&own, 7).dispatch();
    history.note_void(own.workspace(), own.key());
    assert_eq!(history.status(&own, 7), KeyStatus::Charged);
    assert_eq!(history.status(&own, 8), KeyStatus::Reused);
    history.note_void(foreign.workspace(), foreign.key());
    assert_eq!(history.status(&foreign, 8), KeyStatus::Charged);
}

#[test]
fn keys_older_than_the_floor_are_removed() {
    let (keys, history) = (Keys::new(WINDOW, 0), RunHistory::new(100));
    let old = key_of(&keys, RequestKey::generate(NOW - 100));
    let new = new_key(&keys);
    history.begin(&old, 1).dispatch();
    history.begin(&new, 1).dispatch();
    history.forget(NOW - 50);
    assert!(!history.knows(old.workspace(), old.key()));
    assert!(history.knows(new.workspace(), new.key()));
}

proptest! {
    /// The history stays within its bound for any number of keys, and a key that was just
    /// dispatched is in it.
    #[test]
    fn the_history_is_bounded(limit in 1_usize..64, count in 1_usize..400, recalled in any::<u64>()) {
        let (keys, history) = (Keys::new(WINDOW, 0), RunHistory::new(limit));
        for number in 0..count {
            let key = new_key(&keys);
            let mut run = history.begin(&key, 1);
            run.dispatch();
            prop_assert!(history.knows(key.workspace(), key.key()));
            if recalled >> (number % 64) & 1 == 1 {
                run.recall();
                prop_assert!(!history.knows(key.workspace(), key.key()));
            }
            // Each of the 16 shards rounds its limit up.
            prop_assert!(history.len() < limit + 16);
        }
    }
}
