//! Whether a router takes new connections, and what it therefore tells the balancer.

use std::time::Duration;

use crate::domain::DomainView;
use crate::headroom::Headroom;
use crate::readiness::Readiness;

/// How long a router that takes no connection goes on to report that it is ready: the interval of
/// the balancer's health checks. Shorter bursts are over before the balancer would act.
const MAX_BLOCKED: Duration = Duration::from_secs(1);
/// How long connections have to be possible again before the router reports that it is ready.
const RECOVERY: Duration = Duration::from_secs(2);

/// What happened to new connections since the last sample, and the link's traffic.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Bytes that the link carried, of the busier direction.
    pub bytes: u64,
    /// Number of connections that were taken.
    pub taken: u64,
    /// Number of connections that were rejected or couldn't be accepted.
    pub rejected: u64,
    /// Whether the port is open and connections are accepted from it.
    pub is_accepting: bool,
    /// Whether another connection may be opened, in place of an idle one if need be.
    pub has_room: bool,
}

/// The one decision on new connections. The port follows [`Availability::is_open`] and the health
/// check [`Availability::is_ready`]; a router that reports ready takes connections, or did so within
/// the last second.
#[derive(Debug)]
pub struct Availability {
    /// `None` if the link's rate isn't known.
    headroom: Option<Headroom>,
    readiness: Readiness,
    /// Since when no connection could be taken.
    blocked_since: Option<Duration>,
    /// Since when connections can be taken.
    open_since: Duration,
    /// Whether the router isn't ready since it took no connection for [`MAX_BLOCKED`].
    is_blocked: bool,
}

impl Availability {
    /// A router on the VM `own` that takes connections, with a link of `rate` bytes a second each
    /// way if that is known.
    #[must_use]
    pub fn new(own: &str, rate: Option<u64>) -> Self {
        Self {
            headroom: rate.map(Headroom::new),
            readiness: Readiness::new(own),
            blocked_since: None,
            open_since: Duration::ZERO,
            is_blocked: false,
        }
    }

    /// Adds the sample that ends at `now`; returns whether that changes the port or the readiness.
    /// `view` is what the router knows of its failure domain.
    pub fn record(&mut self, now: Duration, sample: &Sample, view: Option<&DomainView>) -> bool {
        let before = (self.is_open(), self.is_full(), self.is_ready());
        if let Some(headroom) = &mut self.headroom {
            headroom.record(sample.bytes);
        }
        let (is_full, utilization) = (self.is_full(), self.utilization());
        self.readiness.update(now, is_full, utilization, view);
        self.update_blocked(now, sample);
        (self.is_open(), self.is_full(), self.is_ready()) != before
    }

    /// Whether the port should be open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.headroom.as_ref().is_some_and(Headroom::is_overloaded)
    }

    /// Whether the balancer should send new connections.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready() && !self.is_blocked
    }

    /// Whether the link is full.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.headroom.as_ref().is_some_and(Headroom::is_full)
    }

    /// Whether no connection could be taken for so long that the router isn't ready.
    #[must_use]
    pub fn is_blocked(&self) -> bool {
        self.is_blocked
    }

    /// Fraction of the link's rate that was used in the last second; 0 if the rate isn't known.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        self.headroom.as_ref().map_or(0.0, Headroom::utilization)
    }

    fn update_blocked(&mut self, now: Duration, sample: &Sample) {
        let is_closed = !self.is_open() || !sample.is_accepting;
        if sample.taken == 0 && (is_closed || sample.rejected > 0) {
            let since = *self.blocked_since.get_or_insert(now);
            self.is_blocked |= now.saturating_sub(since) >= MAX_BLOCKED;
            return;
        }
        if sample.taken == 0 && !sample.has_room {
            // Nobody tried, and nobody would have been taken.
            return;
        }
        if self.blocked_since.take().is_some() {
            self.open_since = now;
        }
        self.is_blocked &= now.saturating_sub(self.open_since) < RECOVERY;
    }
}
