//! What a router knows of the other routers in its failure domain.

use std::sync::Arc;
use std::time::Duration;

/// A router as its last report shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterLoad {
    /// VM of the router.
    pub vm: Arc<str>,
    /// Fraction of the link's rate that was used in the last second.
    pub utilization: f64,
    /// Whether it takes new callers.
    pub is_ready: bool,
}

/// The busy and unready routers of a failure domain. Idle ones send no reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DomainView {
    /// Number of routers in the failure domain, this one included.
    pub routers: usize,
    /// Routers that reported recently.
    pub loads: Vec<RouterLoad>,
    /// When the reports were received, on this router's monotonic clock.
    pub at: Duration,
}

impl DomainView {
    /// Number of routers besides `own` that take no new callers.
    #[must_use]
    pub fn unready_besides(&self, own: &str) -> usize {
        let others = self.loads.iter().filter(|load| &*load.vm != own);
        others.filter(|load| !load.is_ready).count()
    }

    /// Whether `own` uses less of its link than each other router that takes no new callers.
    #[must_use]
    pub fn is_least_loaded(&self, own: &str, utilization: f64) -> bool {
        let others = self.loads.iter().filter(|load| &*load.vm != own);
        let mut unready = others.filter(|load| !load.is_ready);
        unready.all(|load| (utilization, own) < (load.utilization, &*load.vm))
    }
}
