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
pub struct Rule {
    /// Age over which a configuration is stale by itself.
    pub stale: Micros,
    /// Time for which a ledger's answer speaks, from the moment it was asked.
    pub pong: Micros,
    /// Age of a ledger's last contact from which on the log is out for it, and by which
    /// its last contact may be newer than what is folded here.
    pub out: Micros,
}

/// A ledger's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pong {
    /// When it was asked.
    pub asked: Micros,
    /// When its answer came.
    pub got: Micros,
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
    LogOut,
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
            Self::LogOut => "log-out",
            Self::Stale => "stale",
        }
    }
}

/// What one ledger has said.
#[derive(Debug, Clone, Copy, Default)]
struct Voice {
    /// When its newest answer was asked for, if that says that the log is out.
    out: Option<Micros>,
    /// When the newest answer was asked for.
    asked: Micros,
    /// Its latest contact with the log that was ever told.
    contact: Option<Micros>,
}

/// What is known about the age of the configuration.
#[derive(Debug, Clone)]
pub struct Freshness {
    rule: Rule,
    known: Option<Micros>,
    voices: Vec<Voice>,
}

impl Freshness {
    /// Nothing is known yet, of any of `ledgers` ledgers.
    #[must_use]
    pub fn new(rule: Rule, ledgers: usize) -> Self {
        Self {
            rule,
            known: None,
            voices: vec![Voice::default(); ledgers],
        }
    }

    /// The configuration folded here was the newest at `known`.
    pub fn page(&mut self, known: Micros) {
        self.known = self.known.max(Some(known));
    }

    /// Ledger number `ledger` has answered. Answers to older questions are passed over.
    pub fn pong(&mut self, ledger: usize, pong: Pong) {
        let Some(voice) = self.voices.get_mut(ledger) else {
            return;
        };
        if pong.asked < voice.asked {
            return;
        }
        voice.asked = pong.asked;
        // A ledger that had no contact since its start may have known more before.
        voice.out = match pong.log_age {
            Some(age) if age >= self.rule.out => Some(pong.asked),
            _ => None,
        };
        if let Some(age) = pong.log_age {
            let contact = pong.got.saturating_sub(age);
            voice.contact = voice.contact.max(Some(contact));
        }
    }

    /// Moment of which the configuration is known to be the newest.
    #[must_use]
    pub fn known(&self) -> Option<Micros> {
        self.known
    }

    /// Last moment at which the configuration may be taken for the newest, as far as
    /// is known now.
    #[must_use]
    pub fn until(&self) -> Option<Micros> {
        let own = self.known?.saturating_add(self.rule.stale);
        Some(own.max(self.out_until().unwrap_or(0)))
    }

    /// How far the configuration can be trusted at `now`.
    #[must_use]
    pub fn judge(&self, now: Micros) -> Trust {
        let Some(known) = self.known else {
            return Trust::None;
        };
        // Told apart from the age at which it counts as stale, so that an outage shows early.
        if self.out_until().is_some_and(|until| now <= until) {
            return Trust::LogOut;
        }
        if now <= known.saturating_add(self.rule.stale) {
            return Trust::Current;
        }
        Trust::Stale
    }

    /// Last moment of the outage that all ledgers tell of; `None` when they don't.
    fn out_until(&self) -> Option<Micros> {
        let known = self.known?;
        let mut asked = None;
        for voice in &self.voices {
            let out = voice.out?;
            // It heard from the log after the last that was folded here: a change that
            // it knows of may be missing.
            if voice.contact? > known.saturating_add(self.rule.out) {
                return None;
            }
            asked = Some(asked.unwrap_or(out).min(out));
        }
        Some(asked?.saturating_add(self.rule.pong))
    }
}
