//! For how long the configuration may be taken for the newest one.
//!
//! A configuration changes only through the log, by an operator that has read the
//! change back from it. Operators run on the VMs of the ledgers. So the configuration
//! is the newest one for a while after a ledger knew the log's end, and it stays so
//! while *every* ledger says that the log is out for it too. One ledger that can't be
//! asked may stand on the far side of a partition, where changes go on.
//!
//! Decisions only: times come in as arguments.

use swiftlink_types::Micros;

/// The times of the rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessPolicy {
    /// Age over which a configuration is stale by itself.
    pub max_age: Micros,
    /// Time for which a ledger's answer speaks, from the moment it was asked.
    pub pong_validity: Micros,
    /// Age of a ledger's last contact from which on the log is out for it, and by which
    /// its last contact may be newer than what is folded here.
    pub outage_age: Micros,
}

/// A ledger's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pong {
    /// When it was asked.
    pub sent_at: Micros,
    /// When its answer came.
    pub received_at: Micros,
    /// Age of its last contact with the log; `None` when it had none since its start.
    pub log_age: Option<Micros>,
}

/// How far the configuration can be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trust {
    /// None was ever known to be the newest.
    None,
    /// Some ledger knew lately that there is no newer one.
    Current,
    /// The log is out for every ledger, so nothing can have been changed.
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

/// What one ledger has said.
#[derive(Debug, Clone, Copy, Default)]
struct LedgerReport {
    /// When its newest answer was asked for, if that says that the log is out.
    outage_sent_at: Option<Micros>,
    /// When the newest answer was asked for.
    sent_at: Micros,
    /// Its latest contact with the log that was ever told.
    last_contact: Option<Micros>,
}

/// What is known about the age of the configuration.
#[derive(Debug, Clone)]
pub struct Freshness {
    policy: FreshnessPolicy,
    confirmed_at: Option<Micros>,
    reports: Vec<LedgerReport>,
}

impl Freshness {
    /// Nothing is known yet, of any of `ledgers` ledgers.
    #[must_use]
    pub fn new(policy: FreshnessPolicy, ledgers: usize) -> Self {
        Self {
            policy,
            confirmed_at: None,
            reports: vec![LedgerReport::default(); ledgers],
        }
    }

    /// The configuration folded here was the newest at `known`.
    pub fn on_page(&mut self, known: Micros) {
        self.confirmed_at = self.confirmed_at.max(Some(known));
    }

    /// Ledger number `ledger` has answered. Answers to older questions are passed over.
    pub fn on_pong(&mut self, ledger: usize, pong: Pong) {
        let Some(report) = self.reports.get_mut(ledger) else {
            return;
        };
        if pong.sent_at < report.sent_at {
            return;
        }
        report.sent_at = pong.sent_at;
        // A ledger that had no contact since its start may have known more before.
        report.outage_sent_at = match pong.log_age {
            Some(age) if age >= self.policy.outage_age => Some(pong.sent_at),
            _ => None,
        };
        if let Some(age) = pong.log_age {
            let contact = pong.received_at.saturating_sub(age);
            report.last_contact = report.last_contact.max(Some(contact));
        }
    }

    /// Moment of which the configuration is known to be the newest.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Micros> {
        self.confirmed_at
    }

    /// Last moment at which the configuration may be taken for the newest, as far as
    /// is known now.
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
        // Told apart from the age at which it counts as stale, so that an outage shows early.
        if self.outage_until().is_some_and(|until| now <= until) {
            return Trust::LogUnavailable;
        }
        if now <= known.saturating_add(self.policy.max_age) {
            return Trust::Current;
        }
        Trust::Stale
    }

    /// Last moment of the outage that all ledgers tell of; `None` when they don't.
    fn outage_until(&self) -> Option<Micros> {
        let known = self.confirmed_at?;
        let mut asked = None;
        for report in &self.reports {
            let out = report.outage_sent_at?;
            // It heard from the log after the last that was folded here: a change that
            // it knows of may be missing.
            if report.last_contact? > known.saturating_add(self.policy.outage_age) {
                return None;
            }
            asked = Some(asked.unwrap_or(out).min(out));
        }
        Some(asked?.saturating_add(self.policy.pong_validity))
    }
}
