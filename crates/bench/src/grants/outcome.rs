//! What is counted in a run.

use swiftlink_types::{Micros, Tokens};

use super::setup::Setup;

/// Counts of one side of a cut.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Side {
    /// Requests that the all-seeing counter took.
    pub counter: u64,
    /// Requests taken.
    pub taken: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests refused while the budget had enough for them, all rests together.
    pub with_rest: u64,
    /// Of these, requests that the all-seeing counter took.
    pub false_refused: u64,
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Most tokens spent beyond what was paid in, at any moment.
    pub overspend: Tokens,
    /// Charges that the fold did not count.
    pub void: u64,
    /// Where nothing is cut.
    pub outside: Side,
    /// In the domain that is cut off, during the cut.
    pub inside: Side,
    /// Requests that were relayed.
    pub relayed: u64,
    /// Requests that came, counted or not.
    pub requests: u64,
    /// Claims and returns.
    pub moves: u64,
    /// Appends, with those of charges.
    pub appends: u64,
    /// Tokens held free at the holders, on average.
    pub held: f64,
    /// Of these behind the cut while it lasts, on average.
    pub held_cut: f64,
    /// Tokens left free at the holders at the end of what is counted.
    pub left: Tokens,
}

impl Side {
    fn add(&mut self, other: &Self) {
        self.counter += other.counter;
        self.taken += other.taken;
        self.refused += other.refused;
        self.with_rest += other.with_rest;
        self.false_refused += other.false_refused;
    }

    /// False refusals as a share of what the all-seeing counter took.
    #[must_use]
    pub fn false_share(&self) -> f64 {
        share(self.false_refused, self.counter)
    }

    /// Refusals with enough left in all rests together, as a share of the same.
    #[must_use]
    pub fn rest_share(&self) -> f64 {
        share(self.with_rest, self.counter)
    }

    /// What is missing against the all-seeing counter, as a share.
    #[must_use]
    pub fn missing_share(&self) -> f64 {
        share(self.counter.saturating_sub(self.taken), self.counter)
    }
}

impl Outcome {
    /// Adds the counts of another run; the most of what must be 0.
    pub(crate) fn add(&mut self, other: &Self) {
        self.overspend = self.overspend.max(other.overspend);
        self.void = self.void.max(other.void);
        self.outside.add(&other.outside);
        self.inside.add(&other.inside);
        self.relayed += other.relayed;
        self.requests += other.requests;
        self.moves += other.moves;
        self.appends += other.appends;
        self.held += other.held;
        self.held_cut += other.held_cut;
        self.left += other.left;
    }

    /// Makes means of the sums of `runs` runs; shares need none.
    pub(crate) fn divide(&mut self, runs: u64) {
        self.held /= runs as f64;
        self.held_cut /= runs as f64;
        self.left /= runs;
    }

    /// The side that a request belongs to.
    pub(crate) fn side(&mut self, setup: &Setup, holder: usize, at: Micros) -> &mut Side {
        if setup.is_cut(holder, at) {
            &mut self.inside
        } else {
            &mut self.outside
        }
    }
}

/// Mean of samples taken in even steps.
#[derive(Debug, Default)]
pub(crate) struct Average {
    sum: f64,
    count: u64,
}

impl Average {
    pub(crate) fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1;
    }

    pub(crate) fn get(&self) -> f64 {
        self.sum / self.count.max(1) as f64
    }
}

fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
