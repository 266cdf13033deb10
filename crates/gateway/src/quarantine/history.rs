//! Decides which requests, and which parts of prompts, crash servers, from the servers that crashed
//! while running them.
//!
//! When a server crashes, each request running on it may be the cause, and all but one are
//! innocent. A query of death is common to the crashes of all servers that ran it. So a request
//! is held after [`CRASHES_TO_HOLD`] crashes without a better explanation, that is, another request
//! on the same server that is held already and was in as many crashes. A request that completed on
//! any server is cleared of all earlier crashes.
//!
//! The cause may also be a part that the prompts of several requests share. A part is treated like a
//! request: it is in the crash of each server that was running a request with it, and a completed
//! request clears all its parts. So parts that sound requests share too, such as the first part of all
//! prompts of a route, are cleared again and again. Where a request and a part explain the same
//! crashes, the request is held, as it affects fewer callers. Parts that can't be told apart, since
//! they came together at each crash, keep only requests away that have all of them.
//!
//! An innocent request may be in three crashes before the cause of each has reached its own third.
//! It is released once all its crashes have a better explanation, but only once: another crash
//! without one holds it again.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use swiftlink_types::ServerInstance;

use super::record::{Clearance, HeldRequest, HoldChanges, Millis, ServerCrash};
use crate::fingerprint::Fingerprint;

/// Number of crashes after which a request is held. Two may be chance: a request that is retried
/// after a crash can meet a second one, for instance when a rack fails or during a release.
pub const CRASHES_TO_HOLD: usize = 3;
/// Crashes within this window may have one cause, such as a rack failure, while many copies of a
/// request are running, so they count once. Crash times are those of the first router that noticed,
/// so the window has to cover the delay of a busy router, not of the slowest one.
pub const SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(100);
/// Duration of a request's first hold, from its last crash. Each later crash doubles it.
pub const INITIAL_HOLD: Duration = Duration::from_secs(600);
/// Maximum duration of a hold before the request is tried again.
pub const MAX_HOLD: Duration = Duration::from_secs(3_600);
/// How long a crash counts.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of crashes kept; the oldest ones are evicted.
pub const MAX_CRASHES: usize = 128;
/// Maximum number of requests and parts kept per crash: those of 64 requests with eight parts each. A
/// server runs fewer at a time.
pub const MAX_FINGERPRINTS: usize = 576;
/// Maximum number of requests held at a time.
pub const MAX_HELD: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Hold {
    until: Millis,
    duration: Duration,
    /// Time of the last crash attributed to the request.
    last_crash: Millis,
    /// Whether the request was released before, since other requests explained its crashes.
    was_released: bool,
}

impl Hold {
    /// When the hold is forgotten. Until then a request that was held before is held again after a
    /// single crash.
    fn forget_at(&self) -> Millis {
        self.until + millis(self.duration)
    }
}

/// Known crashes of servers and the requests held because of them.
#[derive(Debug, Default)]
pub struct CrashHistory {
    /// Additional duration of holds on this router.
    stagger: Duration,
    crashes: HashMap<ServerInstance, ServerCrash>,
    /// Number of crashes that each request was in.
    crash_counts: HashMap<Fingerprint, usize>,
    held: HashMap<Fingerprint, Hold>,
    /// Last completion of requests that had been in a crash.
    cleared: HashMap<Fingerprint, Millis>,
}

impl CrashHistory {
    /// Creates an empty history that holds requests for `stagger` longer than others do. When a
    /// hold expires, one router tries the request, and the others learn of the outcome before they
    /// do.
    #[must_use]
    pub fn with_stagger(stagger: Duration) -> Self {
        Self {
            stagger,
            ..Self::default()
        }
    }

    /// Adds what a router saw of a crash.
    pub fn on_crash(&mut self, now: Millis, report: &ServerCrash) -> HoldChanges {
        self.prune(now);
        if now.saturating_sub(report.at) > millis(CRASH_RETENTION) {
            return HoldChanges::default();
        }
        let added = self.merge(report);
        self.evict_crashes();
        let mut held = self.extend_holds(now, &added);
        let mut suspects = added;
        suspects.retain(|fingerprint| !self.held.contains_key(fingerprint));
        // Those with the most crashes first, since they may explain the crashes of the others.
        loop {
            let most_crashed = self.most_crashed(&suspects);
            if most_crashed.is_empty() {
                break;
            }
            suspects.retain(|suspect| !most_crashed.contains(suspect));
            held.extend(
                most_crashed
                    .iter()
                    .map(|fingerprint| self.hold(*fingerprint, INITIAL_HOLD)),
            );
        }
        for request in &mut held {
            request.companions = self.companions(&request.fingerprint);
        }
        let released = self.release_explained(now);
        HoldChanges { held, released }
    }

    /// Clears a request that completed at `at`.
    pub fn on_completed(&mut self, fingerprint: Fingerprint, at: Millis) -> Clearance {
        let is_known = self.crash_counts.contains_key(&fingerprint);
        if !is_known && !self.held.contains_key(&fingerprint) {
            return Clearance::Nothing;
        }
        let mut cleared = Clearance::Nothing;
        for crash in self.crashes.values_mut() {
            if crash.at <= at && crash.fingerprints.remove(&fingerprint) {
                cleared = Clearance::Crashes;
                decrement(&mut self.crash_counts, &fingerprint);
            }
        }
        if self
            .held
            .get(&fingerprint)
            .is_some_and(|hold| hold.last_crash <= at)
        {
            self.held.remove(&fingerprint);
            cleared = Clearance::Hold;
        }
        if cleared != Clearance::Nothing {
            let last = self.cleared.entry(fingerprint).or_default();
            *last = at.max(*last);
        }
        cleared
    }

    /// Remaining time of a request's hold; `None` if it isn't held.
    #[must_use]
    pub fn remaining_hold(&self, fingerprint: &Fingerprint, now: Millis) -> Option<Duration> {
        let until = self.held.get(fingerprint)?.until + millis(self.stagger);
        let left = until.checked_sub(now)?;
        (left > 0).then(|| Duration::from_millis(left))
    }

    /// Remaining time for which a prompt with these parts is held; `None` if it isn't.
    #[must_use]
    pub fn remaining_part_hold(&self, parts: &[Fingerprint], now: Millis) -> Option<Duration> {
        let holds = parts.iter().filter_map(|part| {
            let remaining = self.remaining_hold(part, now)?;
            let companions = self.companions(part);
            let has_all = companions.iter().all(|other| parts.contains(other));
            has_all.then_some(remaining)
        });
        holds.max()
    }

    /// Held parts that were in all crashes of this part.
    fn companions(&self, part: &Fingerprint) -> Vec<Fingerprint> {
        if !part.is_part() || self.crash_count(part) == 0 {
            return Vec::new();
        }
        let others = self
            .held
            .keys()
            .filter(|other| other.is_part() && *other != part);
        let companions = others.filter(|other| {
            let mut crashes = self.crashes.values();
            crashes.all(|crash| {
                !crash.fingerprints.contains(part) || crash.fingerprints.contains(other)
            })
        });
        companions.copied().collect()
    }

    /// Number of held requests, including those whose hold expired but isn't forgotten yet.
    #[must_use]
    pub fn held_len(&self) -> usize {
        self.held.len()
    }

    /// Number of known crashes.
    #[must_use]
    pub fn crashes_len(&self) -> usize {
        self.crashes.len()
    }

    /// Whether no crash and no hold is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.held.is_empty()
    }

    /// The crashes that requests are held for, with only these requests.
    #[must_use]
    pub fn evidence(&self) -> Vec<ServerCrash> {
        let evidence = self.crashes.values().filter_map(|crash| {
            let mut filtered = crash.clone();
            filtered
                .fingerprints
                .retain(|fingerprint| self.held.contains_key(fingerprint));
            (!filtered.fingerprints.is_empty()).then_some(filtered)
        });
        evidence.collect()
    }

    /// Merges a crash into the known ones. Returns the requests that are new to it.
    fn merge(&mut self, report: &ServerCrash) -> Vec<Fingerprint> {
        let cleared = &self.cleared;
        let is_cleared = |fingerprint| cleared.get(fingerprint).is_some_and(|at| *at >= report.at);
        let crash = self
            .crashes
            .entry(report.instance.clone())
            .or_insert(ServerCrash {
                instance: report.instance.clone(),
                at: report.at,
                fingerprints: HashSet::new(),
                seen_by: BTreeSet::new(),
            });
        crash.seen_by.extend(report.seen_by.iter().cloned());
        let mut added = Vec::new();
        for fingerprint in &report.fingerprints {
            if crash.fingerprints.len() >= MAX_FINGERPRINTS {
                break;
            }
            if !is_cleared(fingerprint) && crash.fingerprints.insert(*fingerprint) {
                *self.crash_counts.entry(*fingerprint).or_default() += 1;
                added.push(*fingerprint);
            }
        }
        added
    }

    /// Extends the holds of requests that were held before.
    fn extend_holds(&mut self, now: Millis, fingerprints: &[Fingerprint]) -> Vec<HeldRequest> {
        let mut extended = Vec::new();
        for fingerprint in fingerprints {
            let Some(hold) = self.held.get(fingerprint).copied() else {
                continue;
            };
            // Crashes during a hold come from attempts started before it.
            if now < hold.until || self.count_unexplained(fingerprint) == 0 {
                continue;
            }
            extended.push(self.hold(*fingerprint, (hold.duration * 2).min(MAX_HOLD)));
        }
        extended
    }

    /// Holds a request for `duration` from its last crash. All routers count from there, so the
    /// times at which they release it differ only by their staggers, no matter when they learned of
    /// it.
    fn hold(&mut self, fingerprint: Fingerprint, duration: Duration) -> HeldRequest {
        let crashes = self
            .crashes
            .values()
            .filter(|crash| crash.fingerprints.contains(&fingerprint));
        let crashes: Vec<ServerCrash> = crashes.cloned().collect();
        let last_crash = crashes.iter().map(|crash| crash.at).max().unwrap_or(0);
        let before = self.held.get(&fingerprint);
        let hold = Hold {
            until: last_crash + millis(duration),
            duration,
            last_crash,
            was_released: before.is_some_and(|hold| hold.was_released),
        };
        self.held.insert(fingerprint, hold);
        self.evict_hold();
        HeldRequest {
            fingerprint,
            companions: Vec::new(),
            duration,
            crashes,
        }
    }

    /// Releases requests whose crashes are now explained by others.
    fn release_explained(&mut self, now: Millis) -> Vec<Fingerprint> {
        let holds = self.held.iter();
        let active = holds.filter(|(_, hold)| now < hold.until && !hold.was_released);
        let fingerprints = active.map(|(fingerprint, _)| *fingerprint);
        let released: Vec<Fingerprint> = fingerprints
            .filter(|fingerprint| self.is_explained(fingerprint))
            .collect();
        for fingerprint in &released {
            if let Some(hold) = self.held.get_mut(fingerprint) {
                hold.until = now;
                hold.was_released = true;
            }
        }
        released
    }

    /// Whether each crash with this held request also has another held request that was in more
    /// crashes.
    fn is_explained(&self, fingerprint: &Fingerprint) -> bool {
        let count = self.crash_count(fingerprint);
        if count < CRASHES_TO_HOLD {
            // The crashes it was held for are forgotten.
            return false;
        }
        let mut crashes = self
            .crashes
            .values()
            .filter(|crash| crash.fingerprints.contains(fingerprint));
        crashes.all(|crash| self.is_explained_in(crash, fingerprint, count + 1))
    }

    /// Whether another request in `crash` is held and was in at least `count` crashes.
    fn is_explained_in(
        &self,
        crash: &ServerCrash,
        fingerprint: &Fingerprint,
        count: usize,
    ) -> bool {
        let others = crash
            .fingerprints
            .iter()
            .filter(|other| *other != fingerprint);
        let mut held = others.filter(|other| self.held.contains_key(other));
        held.any(|other| self.crash_count(other) >= count)
    }

    /// The suspects with the most crashes, if these suffice for a hold. Requests that always ran on the
    /// same servers can't be told apart, nor can parts; requests go before parts.
    fn most_crashed(&self, suspects: &[Fingerprint]) -> Vec<Fingerprint> {
        let candidates = suspects
            .iter()
            .filter(|fingerprint| self.crash_count(fingerprint) >= CRASHES_TO_HOLD);
        let counted =
            candidates.map(|fingerprint| (self.count_unexplained(fingerprint), *fingerprint));
        let counted: Vec<(usize, Fingerprint)> = counted.collect();
        let most = counted.iter().map(|(count, _)| *count).max().unwrap_or(0);
        if most < CRASHES_TO_HOLD {
            return Vec::new();
        }
        let most_crashed = counted.into_iter().filter(|(count, _)| *count == most);
        let mut most_crashed: Vec<Fingerprint> =
            most_crashed.map(|(_, fingerprint)| fingerprint).collect();
        if most_crashed
            .iter()
            .any(|fingerprint| !fingerprint.is_part())
        {
            most_crashed.retain(|fingerprint| !fingerprint.is_part());
        }
        most_crashed
    }

    /// Number of crashes with the request.
    fn crash_count(&self, fingerprint: &Fingerprint) -> usize {
        self.crash_counts.get(fingerprint).copied().unwrap_or(0)
    }

    /// Number of crashes with the request that no held request explains. Simultaneous crashes count
    /// once.
    fn count_unexplained(&self, fingerprint: &Fingerprint) -> usize {
        let count = self.crash_count(fingerprint);
        let crashes = self
            .crashes
            .values()
            .filter(|crash| crash.fingerprints.contains(fingerprint));
        let is_unexplained =
            |crash: &&ServerCrash| !self.is_explained_in(crash, fingerprint, count);
        let mut times: Vec<Millis> = crashes
            .filter(is_unexplained)
            .map(|crash| crash.at)
            .collect();
        times.sort_unstable();
        let mut count = 0;
        let mut counted = None;
        for at in times {
            if counted.is_some_and(|last| at - last <= millis(SIMULTANEOUS_WINDOW)) {
                continue;
            }
            counted = Some(at);
            count += 1;
        }
        count
    }

    fn prune(&mut self, now: Millis) {
        let oldest = now.saturating_sub(millis(CRASH_RETENTION));
        let old = self.crashes.extract_if(|_, crash| crash.at < oldest);
        for (_, crash) in old {
            remove_counts(&mut self.crash_counts, &crash);
        }
        self.cleared.retain(|_, at| *at >= oldest);
        self.held.retain(|_, hold| now < hold.forget_at());
    }

    fn evict_crashes(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.values().min_by_key(|crash| crash.at);
            let Some(instance) = oldest.map(|crash| crash.instance.clone()) else {
                return;
            };
            if let Some(crash) = self.crashes.remove(&instance) {
                remove_counts(&mut self.crash_counts, &crash);
            }
        }
    }

    fn evict_hold(&mut self) {
        if self.held.len() <= MAX_HELD {
            return;
        }
        let shortest = self.held.iter().min_by_key(|(_, hold)| hold.forget_at());
        if let Some(fingerprint) = shortest.map(|(fingerprint, _)| *fingerprint) {
            self.held.remove(&fingerprint);
        }
    }
}

/// Removes a crash from the counts of its requests.
fn remove_counts(crash_counts: &mut HashMap<Fingerprint, usize>, crash: &ServerCrash) {
    for fingerprint in &crash.fingerprints {
        decrement(crash_counts, fingerprint);
    }
}

fn decrement(crash_counts: &mut HashMap<Fingerprint, usize>, fingerprint: &Fingerprint) {
    let Some(count) = crash_counts.get_mut(fingerprint) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        crash_counts.remove(fingerprint);
    }
}

fn millis(time: Duration) -> Millis {
    time.as_millis() as Millis
}
