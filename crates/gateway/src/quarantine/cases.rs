//! Which requests are held back, by the servers that ended while they worked on them.
//!
//! When a server ends, each request that it was working on may be the cause, and all but one are
//! innocent. A request that ends each server that runs it is the one that they have in common.
//! So a request is held after [`ENDS`] ends, of which none has a better explanation: an end with a
//! request in it that is held already is that one's. A request that ran well somewhere is cleared
//! of all ends before.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use swiftlink_types::{Start, VmName};

use crate::fingerprint::Fingerprint;

/// Ends of servers that show that a request causes them. Two may be chance: a request that is
/// sent again after an end can meet a second one, of a rack or in a release.
pub const ENDS: usize = 3;
/// Servers that end within so short a time may have one cause, such as a rack, while many copies
/// of a request are under way. Routers notice an end up to two tenths of a second late.
pub const ONE_MOMENT: Duration = Duration::from_millis(250);
/// How long a request is held the first time. Each end after that doubles it.
pub const HOLD: Duration = Duration::from_secs(120);
/// The longest time that one is held without being tried.
pub const HOLD_MAX: Duration = Duration::from_secs(3_600);
/// How long an end counts.
const MEMORY: Duration = Duration::from_secs(600);
/// Ends that are remembered, the newest ones.
pub const ENDS_MAX: usize = 128;
/// Requests that are remembered of an end; a server works on fewer at a time.
pub const PRINTS_MAX: usize = 128;
/// Requests that may be held at a time.
pub const HELD_MAX: usize = 1_024;

/// Time of the VM's steady clock in milliseconds.
type Millis = u64;

/// A server that ended, and what it was working on, as far as some routers saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEnd {
    /// The server.
    pub start: Start,
    /// When it ended.
    pub at: Millis,
    /// Requests that it was working on.
    pub prints: HashSet<Fingerprint>,
    /// VMs whose routers saw it.
    pub seen_by: BTreeSet<VmName>,
}

/// A request that is held from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Which one.
    pub print: Fingerprint,
    /// For how long.
    pub term: Duration,
    /// The ends that are put down to it.
    pub ends: Vec<ServerEnd>,
}

impl Held {
    /// The ends, with this request alone.
    #[must_use]
    pub fn proofs(&self) -> Vec<ServerEnd> {
        let proofs = self.ends.iter().map(|end| ServerEnd {
            prints: HashSet::from([self.print]),
            ..end.clone()
        });
        proofs.collect()
    }
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    until: Millis,
    term: Duration,
    /// The newest end that is put down to it.
    end_at: Millis,
}

impl Hold {
    /// When it is forgotten: a request that was held once isn't trusted for a second time
    /// before.
    fn forget_at(&self) -> Millis {
        self.until + millis(self.term)
    }
}

/// What is known of servers' ends.
#[derive(Debug, Default)]
pub struct Cases {
    ends: HashMap<Start, ServerEnd>,
    /// Ends that each request of them was in.
    met: HashMap<Fingerprint, usize>,
    held: HashMap<Fingerprint, Hold>,
    /// When requests under which servers had ended ran well.
    cleared: HashMap<Fingerprint, Millis>,
}

impl Cases {
    /// Takes what a router saw of a server's end. Gives the requests that are held from now on.
    pub fn on_end(&mut self, now: Millis, seen: &ServerEnd) -> Vec<Held> {
        self.prune(now);
        if now.saturating_sub(seen.at) > millis(MEMORY) {
            return Vec::new();
        }
        let fresh = self.note(seen);
        self.make_room();
        let again = self.hold_again(now, &fresh);
        let mut suspects = fresh;
        suspects.retain(|print| !self.held.contains_key(print));
        let mut held: Vec<Held> = again;
        // Those with most ends first: they may explain the ends of the others.
        loop {
            let worst = self.worst(&suspects);
            if worst.is_empty() {
                return held;
            }
            suspects.retain(|suspect| !worst.contains(suspect));
            held.extend(worst.iter().map(|print| self.hold(now, *print, HOLD)));
        }
    }

    /// A request ran to a good end at `at`. Says whether servers had ended under it.
    pub fn on_served(&mut self, print: Fingerprint, at: Millis) -> bool {
        let mut was_suspect = false;
        for end in self.ends.values_mut() {
            if end.at <= at && end.prints.remove(&print) {
                was_suspect = true;
                unmeet(&mut self.met, &print);
            }
        }
        if self.held.get(&print).is_some_and(|hold| hold.end_at <= at) {
            self.held.remove(&print);
            was_suspect = true;
        }
        if was_suspect {
            let last = self.cleared.entry(print).or_default();
            *last = at.max(*last);
        }
        was_suspect
    }

    /// How much longer a request is held; `None` where it isn't.
    #[must_use]
    pub fn rest(&self, print: &Fingerprint, now: Millis) -> Option<Duration> {
        let left = self.held.get(print)?.until.checked_sub(now)?;
        (left > 0).then(|| Duration::from_millis(left))
    }

    /// Requests that are held, also those whose time is over and that aren't trusted yet.
    #[must_use]
    pub fn held_len(&self) -> usize {
        self.held.len()
    }

    /// Whether no end is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.held.is_empty()
    }

    /// The ends that requests are held for, with these requests alone.
    #[must_use]
    pub fn proofs(&self) -> Vec<ServerEnd> {
        let proofs = self.ends.values().filter_map(|end| {
            let mut proof = end.clone();
            proof.prints.retain(|print| self.held.contains_key(print));
            (!proof.prints.is_empty()).then_some(proof)
        });
        proofs.collect()
    }

    /// Adds what is new of an end, and gives the requests that weren't known of it.
    fn note(&mut self, seen: &ServerEnd) -> Vec<Fingerprint> {
        let cleared = &self.cleared;
        let is_cleared = |print| cleared.get(print).is_some_and(|at| *at >= seen.at);
        let end = self.ends.entry(seen.start.clone()).or_insert(ServerEnd {
            start: seen.start.clone(),
            at: seen.at,
            prints: HashSet::new(),
            seen_by: BTreeSet::new(),
        });
        end.seen_by.extend(seen.seen_by.iter().cloned());
        let mut fresh = Vec::new();
        for print in &seen.prints {
            if end.prints.len() >= PRINTS_MAX {
                break;
            }
            if !is_cleared(print) && end.prints.insert(*print) {
                *self.met.entry(*print).or_default() += 1;
                fresh.push(*print);
            }
        }
        fresh
    }

    /// Holds those for longer that were held before.
    fn hold_again(&mut self, now: Millis, prints: &[Fingerprint]) -> Vec<Held> {
        let mut again = Vec::new();
        for print in prints {
            let Some(hold) = self.held.get(print).copied() else {
                continue;
            };
            // Ends that come while it is held are of sends from before.
            if now < hold.until {
                continue;
            }
            again.push(self.hold(now, *print, (hold.term * 2).min(HOLD_MAX)));
        }
        again
    }

    fn hold(&mut self, now: Millis, print: Fingerprint, term: Duration) -> Held {
        let hold = Hold {
            until: now + millis(term),
            term,
            end_at: now,
        };
        self.held.insert(print, hold);
        self.drop_shortest_hold();
        let ends = self.ends.values().filter(|end| end.prints.contains(&print));
        let ends = ends.cloned().collect();
        Held { print, term, ends }
    }

    /// Of `suspects` those under which most servers ended, if they are enough. Nothing tells
    /// requests apart that were on the same servers each time.
    fn worst(&self, suspects: &[Fingerprint]) -> Vec<Fingerprint> {
        let met = suspects.iter().filter(|print| self.met(print) >= ENDS);
        let counted = met.map(|print| (self.unexplained(print), *print));
        let counted: Vec<(usize, Fingerprint)> = counted.collect();
        let most = counted.iter().map(|(count, _)| *count).max().unwrap_or(0);
        if most < ENDS {
            return Vec::new();
        }
        let worst = counted.into_iter().filter(|(count, _)| *count == most);
        worst.map(|(_, print)| print).collect()
    }

    /// Ends with the request.
    fn met(&self, print: &Fingerprint) -> usize {
        self.met.get(print).copied().unwrap_or(0)
    }

    /// Ends with the request that no held one explains, those of one moment counted once.
    fn unexplained(&self, print: &Fingerprint) -> usize {
        let ends = self.ends.values().filter(|end| end.prints.contains(print));
        let is_open = |end: &&ServerEnd| !end.prints.iter().any(|one| self.held.contains_key(one));
        let mut times: Vec<Millis> = ends.filter(is_open).map(|end| end.at).collect();
        times.sort_unstable();
        let mut count = 0;
        let mut counted = None;
        for at in times {
            if counted.is_some_and(|last| at - last <= millis(ONE_MOMENT)) {
                continue;
            }
            counted = Some(at);
            count += 1;
        }
        count
    }

    fn prune(&mut self, now: Millis) {
        let oldest = now.saturating_sub(millis(MEMORY));
        let old = self.ends.extract_if(|_, end| end.at < oldest);
        for (_, end) in old {
            forget(&mut self.met, &end);
        }
        self.cleared.retain(|_, at| *at >= oldest);
        self.held.retain(|_, hold| now < hold.forget_at());
    }

    fn make_room(&mut self) {
        while self.ends.len() > ENDS_MAX {
            let oldest = self.ends.values().min_by_key(|end| end.at);
            let Some(start) = oldest.map(|end| end.start.clone()) else {
                return;
            };
            if let Some(end) = self.ends.remove(&start) {
                forget(&mut self.met, &end);
            }
        }
    }

    fn drop_shortest_hold(&mut self) {
        if self.held.len() <= HELD_MAX {
            return;
        }
        let shortest = self.held.iter().min_by_key(|(_, hold)| hold.forget_at());
        if let Some(print) = shortest.map(|(print, _)| *print) {
            self.held.remove(&print);
        }
    }
}

/// Takes an end away from what its requests have met.
fn forget(met: &mut HashMap<Fingerprint, usize>, end: &ServerEnd) {
    for print in &end.prints {
        unmeet(met, print);
    }
}

fn unmeet(met: &mut HashMap<Fingerprint, usize>, print: &Fingerprint) {
    let Some(count) = met.get_mut(print) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        met.remove(print);
    }
}

fn millis(time: Duration) -> Millis {
    time.as_millis() as Millis
}
