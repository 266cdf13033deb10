//! Outlier ejection of failing servers, and the probe that readmits them.

use std::time::Duration;

use swiftlink_types::Micros;

/// How a dispatch to a server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ErrorKind {
    /// The connection was refused or reset at once: nothing was sent.
    Connect,
    /// The connect timed out: nothing was sent.
    Unreachable,
    /// Another server has taken over its address and executed nothing: the intended server is gone.
    Misdirected,
    /// The server answered with an error status.
    Status,
    /// No first token in time.
    Timeout,
    /// The answer was cut off or malformed.
    Broken,
}

impl ErrorKind {
    /// Name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Unreachable => "unreachable",
            Self::Misdirected => "misdirected",
            Self::Status => "status",
            Self::Timeout => "timeout",
            Self::Broken => "broken",
        }
    }

    /// Whether the server is absent from its address. Overload causes none of these errors.
    #[must_use]
    pub fn is_absent(self) -> bool {
        match self {
            Self::Connect | Self::Unreachable | Self::Misdirected => true,
            Self::Status | Self::Timeout | Self::Broken => false,
        }
    }
}

/// Settings of [`Health`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthPolicy {
    /// Whether servers are ejected at all.
    pub is_enabled: bool,
    /// Consecutive errors that eject a server; a failed connect counts as this many.
    pub error_streak: u32,
    /// Share of errors that ejects a server without a streak.
    pub error_share: f64,
    /// Largest share of the servers that may be ejected for errors other than failed connects: an
    /// overload must not take out the whole pool.
    pub max_ejected: f64,
    /// First ejection time; doubles with each failed probe.
    pub base_ejection: Duration,
    /// Longest ejection time.
    pub max_ejection: Duration,
}

impl Default for HealthPolicy {
    fn default() -> Self {
        Self {
            is_enabled: true,
            error_streak: 3,
            error_share: 0.5,
            max_ejected: 0.7,
            base_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
        }
    }
}

impl HealthPolicy {
    /// Disables ejection, as a baseline without health checks does.
    #[must_use]
    pub fn off() -> Self {
        Self {
            is_enabled: false,
            ..Self::default()
        }
    }
}

/// Weight of a new result in the share of errors.
const EWMA_WEIGHT: f64 = 0.1;
/// Results before the share of errors counts.
const MIN_RESULTS: u32 = 10;

/// Circuit breaker of one server: error streak and ejection.
///
/// An ejected server gets nothing until its ejection time is over, then one probe at a time. A
/// successful probe readmits it; a failed one ejects it for twice as long. A server that fails fast
/// looks idle, so selection by requests in flight alone would send it everything; here it costs the
/// first streak and an occasional probe.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    streak: u32,
    error_share: f64,
    results: u32,
    /// End of the ejection; the first probe after it decides.
    until: Option<Micros>,
    /// Length of the current ejection.
    ejection_time: Micros,
    is_probing: bool,
    /// Whether the last ejection was for a connection that was refused at once.
    was_refused: bool,
    /// Ejections since the last lasting recovery.
    ejections: u32,
}

impl Health {
    /// Whether the server takes work, that is, isn't ejected.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.until.is_none()
    }

    /// Whether an ejected server is due for a probe.
    #[must_use]
    pub fn wants_probe(&self, now: Micros) -> bool {
        !self.is_probing && self.until.is_some_and(|until| now >= until)
    }

    /// Whether it is ejected for a refused connection, so that another attempt costs no time.
    #[must_use]
    pub fn is_refusing(&self) -> bool {
        self.until.is_some() && self.was_refused
    }

    /// When the server may be probed, if it is ejected.
    #[must_use]
    pub fn ejected_until(&self) -> Option<Micros> {
        self.until
    }

    /// Share of errors among recent results.
    #[must_use]
    pub fn error_share(&self) -> f64 {
        self.error_share
    }

    /// Ejections since the server's last lasting recovery.
    #[must_use]
    pub fn ejections(&self) -> u32 {
        self.ejections
    }

    pub(crate) fn on_sent(&mut self) {
        if self.until.is_some() {
            self.is_probing = true;
        }
    }

    /// The dispatch ended without a result that reflects on the server's health.
    pub(crate) fn on_abandoned(&mut self) {
        self.is_probing = false;
    }

    /// The errors so far were not the server's.
    pub(crate) fn readmit(&mut self) {
        *self = Self::default();
    }

    pub(crate) fn on_success(&mut self) {
        self.error_share *= 1.0 - EWMA_WEIGHT;
        self.results = self.results.saturating_add(1);
        self.streak = 0;
        if self.until.take().is_some() {
            // Errors from before the ejection don't count after a recovery.
            self.error_share = 0.0;
            self.results = 0;
        }
        self.is_probing = false;
        if self.results > 4 * MIN_RESULTS {
            self.ejections = 0;
            self.ejection_time = 0;
        }
    }

    pub(crate) fn on_error(
        &mut self,
        now: Micros,
        kind: ErrorKind,
        policy: &HealthPolicy,
        may_eject: bool,
    ) {
        self.error_share += EWMA_WEIGHT * (1.0 - self.error_share);
        self.results = self.results.saturating_add(1);
        let step = if kind.is_absent() {
            policy.error_streak
        } else {
            1
        };
        self.streak = self.streak.saturating_add(step);
        let was_probe = std::mem::take(&mut self.is_probing);
        let is_failing = self.results >= MIN_RESULTS && self.error_share > policy.error_share;
        let is_ejected = self.until.is_some();
        // Errors of requests sent before the ejection don't prolong it.
        let ejects = if is_ejected {
            was_probe
        } else {
            may_eject && (self.streak >= policy.error_streak || is_failing)
        };
        if policy.is_enabled && ejects {
            self.was_refused = kind == ErrorKind::Connect;
            self.eject(now, kind, policy);
        }
    }

    fn eject(&mut self, now: Micros, kind: ErrorKind, policy: &HealthPolicy) {
        let base = policy.base_ejection.as_micros() as Micros;
        let max = base.max(policy.max_ejection.as_micros() as Micros);
        // A server whose address belongs to another one is gone from there, and its next instance
        // has an entry of its own with fresh state. Routers that are cut off from the directory
        // would go on probing such servers with callers' requests: with 295 routers, 814 of 1,397
        // misdirected attempts within twelve seconds were such probes.
        let min = if kind == ErrorKind::Misdirected {
            max
        } else {
            base
        };
        self.ejection_time = (self.ejection_time * 2).clamp(min, max);
        self.until = Some(now + self.ejection_time);
        self.ejections = self.ejections.saturating_add(1);
        self.streak = 0;
    }
}
