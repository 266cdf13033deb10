//! Results of a run.

use swiftlink_types::{Micros, Tokens};

use super::setup::Setup;

/// Request counts on one side of a network partition.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Side {
    /// Requests that the global counter admitted.
    pub counter: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests refused while the whole budget had enough unreserved tokens for them.
    pub funded_refused: u64,
    /// Of these, the ones that the global counter admitted.
    pub false_refused: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Maximum over time of the tokens spent beyond the top-ups.
    pub overspend: Tokens,
    /// Charges that the fold did not apply.
    pub void_charges: u64,
    /// Counts outside the partition.
    pub outside: Side,
    /// Counts in the partitioned domain, during the partition.
    pub inside: Side,
    /// Requests that were relayed.
    pub relayed: u64,
    /// Requests that arrived, counted or not.
    pub requests: u64,
    /// Number of claims and returns.
    pub transfers: u64,
    /// Number of appends, including those of charges.
    pub appends: u64,
    /// Mean of the unreserved tokens at the holders.
    pub held: f64,
    /// Mean of the unreserved tokens in the partitioned domain, during the partition.
    pub held_partitioned: f64,
    /// Unreserved tokens at the holders at the end of the counted window.
    pub left: Tokens,
}

impl Side {
    fn add(&mut self, other: &Self) {
        self.counter += other.counter;
        self.admitted += other.admitted;
        self.refused += other.refused;
        self.funded_refused += other.funded_refused;
        self.false_refused += other.false_refused;
    }

    /// False refusals as a share of the requests that the global counter admitted.
    #[must_use]
    pub fn false_share(&self) -> f64 {
        share(self.false_refused, self.counter)
    }

    /// Refusals while the whole budget had enough tokens, as a share of the same.
    #[must_use]
    pub fn funded_share(&self) -> f64 {
        share(self.funded_refused, self.counter)
    }

    /// Shortfall of admitted requests against the global counter, as a share.
    #[must_use]
    pub fn missing_share(&self) -> f64 {
        share(self.counter.saturating_sub(self.admitted), self.counter)
    }
}

impl Outcome {
    /// Adds the counts of another run; values that must be 0 take the maximum.
    pub(crate) fn add(&mut self, other: &Self) {
        self.overspend = self.overspend.max(other.overspend);
        self.void_charges = self.void_charges.max(other.void_charges);
        self.outside.add(&other.outside);
        self.inside.add(&other.inside);
        self.relayed += other.relayed;
        self.requests += other.requests;
        self.transfers += other.transfers;
        self.appends += other.appends;
        self.held += other.held;
        self.held_partitioned += other.held_partitioned;
        self.left += other.left;
    }

    /// Turns sums over `runs` runs into means; shares are independent of the number of runs.
    pub(crate) fn divide(&mut self, runs: u64) {
        self.held /= runs as f64;
        self.held_partitioned /= runs as f64;
        self.left /= runs;
    }

    /// Returns the side of the partition that a request belongs to.
    pub(crate) fn side(&mut self, setup: &Setup, holder: usize, at: Micros) -> &mut Side {
        if setup.is_partitioned(holder, at) {
            &mut self.inside
        } else {
            &mut self.outside
        }
    }
}

/// Mean of samples taken at equal intervals.
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
