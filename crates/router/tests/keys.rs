//! Request keys in use, and the floor that marks promise.

use proptest::prelude::*;
use swiftlink_router::keys::{KeyRefusal, Keys};
use swiftlink_types::{RequestKey, WorkspaceName};

const WINDOW: u64 = 600_000;
const NOW: u64 = 1_700_000_000_000;

fn workspace() -> WorkspaceName {
    WorkspaceName::from("notaries")
}

#[test]
fn a_key_in_flight_is_refused_until_its_request_ends() {
    let keys = Keys::new(WINDOW, 0);
    let key = RequestKey::generate(NOW);
    let first = keys.take(&workspace(), key, NOW, 0).expect("free");
    let second = keys.take(&workspace(), key, NOW, 0);
    assert_eq!(second.map(drop), Err(KeyRefusal::InUse));
    let other = keys.take(&WorkspaceName::from("hints"), key, NOW, 0);
    assert!(other.is_ok(), "keys of two workspaces are two keys");
    drop(first);
    assert!(keys.take(&workspace(), key, NOW, 0).is_ok());
}

#[test]
fn a_resumption_shares_the_key_of_a_run_in_flight() {
    let keys = Keys::new(WINDOW, 0);
    let key = RequestKey::generate(NOW);
    let run = keys.take(&workspace(), key, NOW, 0).expect("free");
    let resumed = keys.share(&workspace(), key, NOW, 0).expect("shared");
    assert_eq!(keys.in_flight(), 2);
    drop(resumed);
    assert_eq!(keys.in_flight(), 1);
    assert_eq!(
        keys.take(&workspace(), key, NOW, 0).map(drop),
        Err(KeyRefusal::InUse)
    );
    drop(run);
    assert_eq!(keys.in_flight(), 0);
}

#[test]
fn keys_too_old_or_too_new_are_refused() {
    let keys = Keys::new(WINDOW, 0);
    let take = |created, evicted| {
        let key = RequestKey::generate(created);
        keys.take(&workspace(), key, NOW, evicted).map(drop)
    };
    assert_eq!(take(NOW - WINDOW - 1, 0), Err(KeyRefusal::TooOld));
    assert_eq!(take(NOW - WINDOW, 0), Ok(()));
    assert_eq!(take(NOW - 10, NOW - 9), Err(KeyRefusal::TooOld));
    assert_eq!(take(NOW + 60_001, 0), Err(KeyRefusal::Future));
    assert_eq!(take(NOW + 60_000, 0), Ok(()));
}

#[test]
fn the_floor_waits_for_requests_in_flight_and_for_undecided_charges() {
    let keys = Keys::new(WINDOW, 0);
    let early = NOW - WINDOW;
    let key = RequestKey::generate(early);
    let run = keys.take(&workspace(), key, NOW, 0).expect("young enough");
    let later = NOW + 10 * WINDOW;
    assert_eq!(keys.raise_floor(later), early, "in flight");
    let hold = run.hold();
    drop(run);
    assert_eq!(keys.raise_floor(later), early, "its charge is not decided");
    drop(hold);
    assert!(keys.raise_floor(later) > early);
}

#[test]
fn a_clock_that_goes_back_does_not_lower_the_promised_floor() {
    let keys = Keys::new(WINDOW, 0);
    let promised = keys.raise_floor(NOW);
    let key = RequestKey::generate(promised - 1);
    let back = promised + 1_000;
    assert_eq!(
        keys.take(&workspace(), key, back, 0).map(drop),
        Err(KeyRefusal::TooOld)
    );
    assert_eq!(keys.raise_floor(back), promised);
}

proptest! {
    /// After any floor was promised, no key below it is accepted, and no key in use is
    /// below it.
    #[test]
    fn a_promised_floor_holds(steps in proptest::collection::vec((0_u64..3 * WINDOW, any::<bool>()), 1..40)) {
        let keys = Keys::new(WINDOW, 0);
        let mut promised = 0;
        let mut uses = Vec::new();
        for (shift, is_mark) in steps {
            let now = NOW + shift;
            if is_mark {
                promised = promised.max(keys.raise_floor(now));
                continue;
            }
            let key = RequestKey::generate(now - shift % WINDOW);
            if let Ok(taken) = keys.take(&workspace(), key, now, 0) {
                prop_assert!(key.created_ms() >= promised);
                uses.push(taken);
            }
        }
        for taken in &uses {
            prop_assert!(taken.key().created_ms() >= promised);
        }
    }
}
