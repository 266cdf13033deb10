//! The request queue of a pool.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_admission::ClassSpec;
use swiftlink_router::queue::{Arrival, PoolQueue};
use swiftlink_types::{ClassName, Outcome, PoolName, Refusal, RefusalKind};

fn arrival() -> Arrival {
    Arrival {
        class: ClassName::from("standard"),
        spec: ClassSpec::default(),
        key: 0,
        left: Duration::from_secs(3_600),
    }
}

fn assert_no_server(refusal: &Refusal) {
    assert_eq!(refusal.kind, RefusalKind::NoServer);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert!(refusal.retry_after.is_some());
}

/// Waiting requests must not be held until their deadline, an hour away, once no server is left.
#[tokio::test]
async fn waiting_requests_are_refused_at_once_when_the_last_server_leaves() {
    let queue = PoolQueue::new(PoolName::from("annals"));
    queue.set_slots(1);
    let slot = queue.acquire(arrival()).await.expect("a slot");
    let waiting = tokio::spawn({
        let queue = Arc::clone(&queue);
        async move { queue.acquire(arrival()).await }
    });
    while queue.depth().0 == 0 {
        tokio::task::yield_now().await;
    }
    queue.set_slots(0);
    let result = waiting.await.expect("it ends");
    assert_no_server(&result.expect_err("nothing serves it"));
    let late = queue.acquire(arrival()).await;
    assert_no_server(&late.expect_err("nothing serves it"));
    drop(slot);
    queue.set_slots(1);
    assert!(queue.acquire(arrival()).await.is_ok());
}
