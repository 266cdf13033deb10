//! Tests of the registration of a router.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_types::{DomainName, VmName};
use swiftlink_wire::rights::Member;
use tokio::time::sleep;

use super::{Peers, register};
use crate::clock::SystemClock;
use crate::store::{Feed, MemStore, Store, StoreFault};

/// Guards against a router that no other router learns of: it registered right before an outage that
/// ended with a copy of the store from before, and took the outage for proof that it is in the copy.
#[tokio::test(start_paused = true)]
async fn a_registration_before_a_long_outage_is_written_again() {
    let store = Arc::new(MemStore::new());
    let (vm, domain) = (VmName::from("vm-1"), DomainName::from("a"));
    let clock = Arc::new(SystemClock::open());
    let peers = Arc::new(Peers::new(vm.clone(), domain, clock, Arc::default()));
    let copy = store.copy();
    let shared = Arc::clone(&store) as Arc<dyn Store>;
    let task = tokio::spawn(register(shared, peers, 0, vm, Member::default()));
    let member = || store.get(Feed::Members(0), "vm-1");
    sleep(Duration::from_secs(5)).await;
    assert!(member().is_some(), "not registered");
    store.set_fault(StoreFault::Unavailable);
    sleep(Duration::from_secs(90)).await;
    store.restore(&copy);
    store.set_fault(StoreFault::None);
    sleep(Duration::from_secs(5)).await;
    assert!(member().is_some(), "not registered again");
    sleep(Duration::from_secs(120)).await;
    assert!(
        task.is_finished(),
        "the registration is in all later copies"
    );
}
