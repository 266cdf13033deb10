//! Determines how long the configuration may be treated as the newest one.
//!
//! The configuration changes only through the log, by an operator that has read the
//! change back from it. Operators run on the VMs of the ledgers. The configuration is
//! therefore the newest one for a limited time after a ledger knew the log's end, and
//! for as long as *every* ledger reports that it can't reach the log either. A single
//! ledger that can't be reached may be on the other side of a partition, where changes
//! continue.
//!
//! This module does no I/O and reads no clock: times are arguments.

use swiftlink_types::Micros;

/// Time limits for trusting the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessPolicy {
    /// Maximum age of a configuration without reports of an outage of the log.
    pub max_age: Micros,
    /// Time for which a ledger's answer is valid, counted from sending the ping.
    pub pong_validity: Micros,
    /// Age of a ledger's last contact with the log from which on the log counts as
    /// unavailable to it. Also the time by which its last contact may be newer than the
    /// records applied here.
    pub outage_age: Micros,
}

/// A ledger's answer to a ping.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pong {
    /// When the ping was sent.
    pub sent_at: Micros,
    /// When the answer was received.
    pub received_at: Micros,
    /// Age of the ledger's last contact with the log; `None` when it had none since its
    /// start.
    pub log_age: Option<Micros>,
}

/// How far the configuration can be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trust {
    /// No configuration was ever known to be the newest.
    None,
    /// Some ledger knew recently that there is no newer one.
    Current,
    /// The log is unavailable to every ledger, so nothing can have been changed.
    LogUnavailable,
    /// A newer one may exist.
    Stale,
}

impl Trust {
    /// Its name in the state of a router.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Current => "current",
            Self::LogUnavailable => "log-out",
            Self::Stale => "stale",
        }
    }
}

/// Latest reports of one ledger.
#[derive(Debug, Clone, Copy, Default)]
struct LedgerReport {
    /// When the ping of its newest answer was sent, if that answer reports an outage of
    /// the log.
    outage_sent_at: Option<Micros>,
    /// When the ping of its newest answer was sent.
    sent_at: Micros,
    /// Its latest contact with the log in any answer.
    last_contact: Option<Micros>,
}

/// Tracks until when the configuration may be trusted.
#[derive(Debug, Clone)]
pub struct Freshness {
    policy: FreshnessPolicy,
    confirmed_at: Option<Micros>,
    reports: Vec<LedgerReport>,
}

impl Freshness {
    /// Creates a tracker of `ledgers` ledgers that have not reported yet.
    #[must_use]
    pub fn new(policy: FreshnessPolicy, ledgers: usize) -> Self {
        Self {
            policy,
            confirmed_at: None,
            reports: vec![LedgerReport::default(); ledgers],
        }
    }

    /// Records that the configuration applied here was the newest at `known`.
    pub fn on_page(&mut self, known: Micros) {
        self.confirmed_at = self.confirmed_at.max(Some(known));
    }

    /// Records an answer of the ledger with index `ledger`. Answers to earlier pings than
    /// the last recorded one are ignored.
    pub fn on_pong(&mut self, ledger: usize, pong: Pong) {
        let Some(report) = self.reports.get_mut(ledger) else {
            return;
        };
        if pong.sent_at < report.sent_at {
            return;
        }
        report.sent_at = pong.sent_at;
        // A ledger without contact since its start may have known newer records before.
        report.outage_sent_at = match pong.log_age {
            Some(age) if age >= self.policy.outage_age => Some(pong.sent_at),
            _ => None,
        };
        if let Some(age) = pong.log_age {
            let contact = pong.received_at.saturating_sub(age);
            report.last_contact = report.last_contact.max(Some(contact));
        }
    }

    /// Latest time at which the configuration was known to be the newest.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Micros> {
        self.confirmed_at
    }

    /// Time until which the configuration may be treated as the newest, as far as is
    /// known now.
    #[must_use]
    pub fn trusted_until(&self) -> Option<Micros> {
        let own = self.confirmed_at?.saturating_add(self.policy.max_age);
        Some(own.max(self.outage_until().unwrap_or(0)))
    }

    /// How far the configuration can be trusted at `now`.
    #[must_use]
    pub fn trust_at(&self, now: Micros) -> Trust {
        let Some(known) = self.confirmed_at else {
            return Trust::None;
        };
        // Checked before the age, so that an outage is reported before the configuration
        // would be stale.
        if self.outage_until().is_some_and(|until| now <= until) {
            return Trust::LogUnavailable;
        }
        if now <= known.saturating_add(self.policy.max_age) {
            return Trust::Current;
        }
        Trust::Stale
    }

    /// Time until which the outage reported by all ledgers lasts; `None` unless all of
    /// them report one.
    fn outage_until(&self) -> Option<Micros> {
        let known = self.confirmed_at?;
        let mut earliest = None;
        for report in &self.reports {
            let out = report.outage_sent_at?;
            // Its last contact with the log is newer than the records applied here, so a
            // change that it knows of may be missing.
            if report.last_contact? > known.saturating_add(self.policy.outage_age) {
                return None;
            }
            earliest = Some(earliest.unwrap_or(out).min(out));
        }
        Some(earliest?.saturating_add(self.policy.pong_validity))
    }
}
