//! What this router lets in over its VM's network link, by the decisions of [`swiftlink_ingress`].
//!
//! - `connections` counts new connections and their bytes, and logs connections that weren't taken.
//! - `counters` are the metrics of both.
//! - `decision` is the last decision on new callers, which expires.
//! - `port` is the callers' port, and reads what passes it.
//! - `watch` samples the traffic and new connections, and sets whether the router takes new callers.
//! - `reports` exchanges reports on the links with the other routers of the failure domain.

mod connections;
mod counters;
mod decision;
mod port;
mod reports;
mod watch;

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use swiftlink_ingress::DomainView;
use tokio::time::Instant;

pub(crate) use connections::count_connections;
pub(crate) use counters::PortCounters;
pub use decision::CallerDecision;
pub(crate) use decision::MAX_AGE;
pub(crate) use port::Port;
pub(crate) use reports::{DomainReports, exchange};
pub(crate) use watch::{LinkState, watch_port};

/// State of the router's link that requests and background tasks share.
#[derive(Debug)]
pub struct Ingress {
    /// Bytes a second that the link carries each way, if that is known.
    rate: Option<u64>,
    /// The failure domain, as the last summary shows it.
    view: ArcSwapOption<DomainView>,
    start: Instant,
}

impl Ingress {
    /// The state of an idle link that carries `rate` bytes a second each way, if that is known.
    #[must_use]
    pub fn new(rate: Option<u64>) -> Arc<Self> {
        Arc::new(Self {
            rate,
            view: ArcSwapOption::empty(),
            start: Instant::now(),
        })
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
