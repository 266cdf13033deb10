//! The age of the published configuration.

use std::time::Duration;

use swiftlink_router::config::ConfigView;
use swiftlink_router::fleet::Pools;
use swiftlink_router::freshness::{Freshness, Trust};
use swiftlink_router::pings;
use swiftlink_types::DomainName;

const STALE: Duration = Duration::from_secs(5);

/// A router that starts during an outage reads a configuration that its ledger confirmed
/// long before the start. Its age must include that time.
#[test]
fn the_age_includes_time_before_the_start() {
    let pools = Pools::new(DomainName::from("rennes-a"), 4, 0);
    let view = ConfigView::new(pools, Freshness::new(pings::rule(STALE), 1));
    assert_eq!(view.trust(), Trust::None);
    let age = 10 * STALE;
    view.confirm(age);
    assert!(view.age() >= Some(age), "{:?}", view.age());
    assert!(view.is_stale());
    assert_eq!(view.trust(), Trust::Stale);
    view.confirm(Duration::ZERO);
    assert!(!view.is_stale());
}
