//! What a pool's servers take by their versions, and what is seen of them.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use swiftlink_rollout::{Key, Order, Part, Progress, Report, Roster, Stage, Tally, Terms};
use swiftlink_types::{Micros, ServerName, VersionName};

use crate::catalog::ServerEntry;
use crate::eligibility::Gate;

/// Answers that a request's own is counted with.
pub type Mark = Key;

/// The versions of one pool, as one router goes by them.
#[derive(Debug, Default)]
pub struct Lane {
    /// `None`: there are no roll-outs, and all versions are alike.
    terms: Option<Terms>,
    roster: Mutex<Roster>,
    tally: Mutex<Tally>,
    gates: Mutex<HashMap<VersionName, Arc<Gate>>>,
    /// Whether answers are counted; read for each request.
    is_counting: AtomicBool,
    /// Whether some requests are to be the trial's; read for each request.
    is_trying: AtomicBool,
}

impl Lane {
    /// Of a pool whose roll-outs keep `terms`.
    #[must_use]
    pub fn new(terms: Option<Terms>) -> Self {
        Self {
            terms,
            ..Self::default()
        }
    }

    /// What each of the pool's servers takes, as known at `stamp`; binds sends that wait at once.
    pub(crate) fn assign(&self, entries: &[&ServerEntry], stamp: u64) -> Vec<Part> {
        let Some(terms) = &self.terms else {
            return vec![Part::Plain; entries.len()];
        };
        let mut roster = self.roster();
        let versions: HashSet<VersionName> =
            entries.iter().map(|entry| entry.version.clone()).collect();
        roster.list(&versions, stamp);
        let of: HashMap<&VersionName, Part> = versions
            .iter()
            .map(|version| (version, roster.part(version)))
            .collect();
        let on_trial = entries
            .iter()
            .filter(|entry| of[&entry.version] == Part::Trial);
        let on_trial: Vec<ServerName> = on_trial.map(|entry| entry.start.name.clone()).collect();
        let few = roster.few(on_trial, terms);
        self.is_trying.store(!few.is_empty(), Relaxed);
        for (version, part) in &of {
            self.gate(version).set_closed(*part == Part::Held);
        }
        let parts = entries.iter().map(|entry| match of[&entry.version] {
            Part::Trial if !few.contains(&entry.start.name) => Part::Held,
            part => part,
        });
        parts.collect()
    }

    /// Whether a version's servers get requests.
    pub(crate) fn gate(&self, version: &VersionName) -> Arc<Gate> {
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(gates.entry(version.clone()).or_default())
    }

    /// Takes the order in force. Says whether it is another one.
    pub(crate) fn set_order(&self, order: Option<&Order>) -> bool {
        let mut roster = self.roster();
        if roster.order() == order {
            return false;
        }
        roster.set_order(order.cloned());
        self.note(&roster);
        *self.tally() = Tally::default();
        true
    }

    /// Takes how far an order has come. Says whether that is new.
    pub(crate) fn set_progress(&self, progress: &Progress) -> bool {
        let mut roster = self.roster();
        let is_new = roster.set_progress(progress.clone());
        self.note(&roster);
        is_new
    }

    /// All orders are known that were given up to `stamp`. Says whether that changes anything.
    pub(crate) fn confirm(&self, stamp: u64) -> bool {
        self.terms.is_some() && self.roster().confirm(stamp)
    }

    fn note(&self, roster: &Roster) {
        let is_running = self.terms.is_some() && roster.running().is_some();
        self.is_counting.store(is_running, Relaxed);
    }

    /// The order in force, and how far it has come.
    #[must_use]
    pub fn order(&self) -> Option<(Order, Stage, Option<Progress>)> {
        self.terms?;
        let roster = self.roster();
        let order = roster.order()?.clone();
        Some((order, roster.stage(), roster.progress().cloned()))
    }

    /// Whether a request is one of the trial's; `draw` is drawn evenly from 0 up to 1.
    #[must_use]
    pub fn is_canary(&self, draw: f64) -> bool {
        let Some(terms) = &self.terms else {
            return false;
        };
        self.is_trying.load(Relaxed) && draw < terms.trial()
    }

    /// What the answer of a server of `version` is counted with; `None` while nothing is.
    #[must_use]
    pub fn mark(&self, route: &Arc<str>, version: &VersionName) -> Option<Mark> {
        if !self.is_counting.load(Relaxed) {
            return None;
        }
        let roster = self.roster();
        let order = roster.running()?;
        Some(Mark {
            route: Arc::clone(route),
            is_new: order.version == *version,
        })
    }

    /// The first event of an answer came after `time`.
    pub fn on_first(&self, mark: &Mark, time: Micros) {
        self.tally().first(mark, time);
    }

    /// The events of an answer followed each other with such pauses.
    pub fn on_pause(&self, mark: &Mark, time: Micros) {
        self.tally().pause(mark, time);
    }

    /// A request was answered.
    pub fn on_done(&self, mark: &Mark, has_failed: bool) {
        self.tally().done(mark, has_failed);
    }

    /// All that was seen since the order.
    pub(crate) fn report(&self, old_running: u64) -> Report {
        Report {
            stage: self.roster().stage(),
            old_running,
            tally: self.tally().clone(),
        }
    }

    fn roster(&self) -> MutexGuard<'_, Roster> {
        // A roster is whole between any two calls.
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
