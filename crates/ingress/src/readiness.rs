//! Whether a router takes new callers.

use std::collections::VecDeque;
use std::time::Duration;

use crate::domain::DomainView;

/// How long a router with a full link takes no new callers, if it knows the other routers of its
/// failure domain. The balancer sends the callers of a workspace to the first ready router in an
/// order of its own. If that router were ready as soon as its link has calmed down, they would all
/// come back to it, and its link would be full again a second later while others stay idle.
const HOLD: Duration = Duration::from_secs(30);
/// Age at which a view of the failure domain is ignored.
const MAX_VIEW_AGE: Duration = Duration::from_secs(3);
/// Largest number of changes within [`CHANGE_WINDOW`]: each one moves callers.
const MAX_CHANGES: usize = 6;
/// Period in which changes are limited.
const CHANGE_WINDOW: Duration = Duration::from_secs(60);

/// State of a router's readiness, as far as its link decides it.
#[derive(Debug)]
pub struct Readiness {
    own: String,
    is_ready: bool,
    changed_at: Duration,
    /// Times of the last changes, the oldest first.
    changes: VecDeque<Duration>,
}

impl Readiness {
    /// A router on the VM `own` that takes new callers.
    #[must_use]
    pub fn new(own: &str) -> Self {
        Self {
            own: own.to_owned(),
            is_ready: true,
            changed_at: Duration::ZERO,
            changes: VecDeque::with_capacity(MAX_CHANGES),
        }
    }

    /// Whether the router takes new callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Decides at `now` whether the router takes new callers. `is_full` and `utilization` are those
    /// of its link, and `view` is what it knows of its failure domain. Returns whether that changes.
    pub fn update(
        &mut self,
        now: Duration,
        is_full: bool,
        utilization: f64,
        view: Option<&DomainView>,
    ) -> bool {
        let view = view.filter(|view| now.saturating_sub(view.at) <= MAX_VIEW_AGE);
        let wants_ready = if self.is_ready {
            !is_full || self.is_last(view)
        } else {
            !is_full && self.may_return(now, utilization, view)
        };
        if wants_ready == self.is_ready || !self.may_change(now) {
            return false;
        }
        self.is_ready = wants_ready;
        self.changed_at = now;
        self.changes.push_back(now);
        true
    }

    /// Whether the balancer would use all routers of the failure domain if this one were unready
    /// too: it does when fewer than half are ready.
    fn is_last(&self, view: Option<&DomainView>) -> bool {
        view.is_some_and(|view| !is_allowed(view.unready_besides(&self.own) + 1, view.routers))
    }

    fn may_return(&self, now: Duration, utilization: f64, view: Option<&DomainView>) -> bool {
        let Some(view) = view else {
            return true;
        };
        if now.saturating_sub(self.changed_at) >= HOLD {
            return true;
        }
        // Another router needs the place that this one takes among the unready ones.
        let unready = view.unready_besides(&self.own) + 1;
        !is_allowed(unready + 1, view.routers) && view.is_least_loaded(&self.own, utilization)
    }

    fn may_change(&mut self, now: Duration) -> bool {
        while let Some(oldest) = self.changes.front() {
            if now.saturating_sub(*oldest) < CHANGE_WINDOW {
                break;
            }
            self.changes.pop_front();
        }
        // The last change of a window makes the router ready, never unready.
        let limit = if self.is_ready {
            MAX_CHANGES - 1
        } else {
            MAX_CHANGES
        };
        self.changes.len() < limit
    }
}

/// Whether that many of `routers` may be unready at once.
fn is_allowed(unready: usize, routers: usize) -> bool {
    unready * 2 <= routers
}
