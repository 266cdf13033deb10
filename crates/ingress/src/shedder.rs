//! Which requests a router with a busy link refuses before it reads their bodies.
//!
//! A fraction of the arriving bytes is refused, just as large as is needed to keep the link below
//! the utilization at which packets queue. It is taken from the workspaces that send most (max-min
//! fairness) and, within a workspace, from its least urgent requests.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};

/// Utilization that shedding keeps the link at. The rest is for what isn't counted: packet headers,
/// acknowledgements, and messages to other routers and the store.
const TARGET: f64 = 0.75;
/// Change of the shed fraction by one sample, for each unit of utilization beyond [`TARGET`]. The
/// utilization follows within two samples; half of that doesn't oscillate.
const GAIN: f64 = 0.5;
/// Largest fraction that is shed: the bodies of refused requests cross the link as well, so more
/// doesn't help, and none would be served.
const MAX_FRACTION: f64 = 0.9;
/// Weight of the last sample in the shares of the workspaces.
const EWMA_WEIGHT: f64 = 0.3;
/// Number of groups that workspaces are told apart in.
const GROUPS: usize = 64;
/// Number of priorities that are told apart; less urgent ones count as the last.
const PRIORITIES: usize = 10;

/// Decides which requests are refused from their heads.
#[derive(Debug)]
pub struct Shedder {
    /// Bytes that arrived since the last sample, by group and priority.
    arrived: Vec<AtomicU64>,
    /// Probabilities of refusal, by group and priority: bits of an `f32`.
    probabilities: Vec<AtomicU32>,
}

/// What [`Shedder::update`] keeps between samples.
#[derive(Debug)]
pub struct ShedderState {
    fraction: f64,
    /// Averaged bytes a sample, by group and priority.
    bytes: Vec<f64>,
}

impl Default for ShedderState {
    fn default() -> Self {
        Self {
            fraction: 0.0,
            bytes: vec![0.0; GROUPS * PRIORITIES],
        }
    }
}

impl ShedderState {
    /// Fraction of the arriving bytes that is refused.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        self.fraction
    }
}

impl Default for Shedder {
    fn default() -> Self {
        let cells = 0..GROUPS * PRIORITIES;
        Self {
            arrived: cells.clone().map(|_| AtomicU64::new(0)).collect(),
            probabilities: cells.map(|_| AtomicU32::new(0)).collect(),
        }
    }
}

impl Shedder {
    /// Counts a request of `bytes` by the hash of its workspace and its priority, and says whether
    /// it is refused. `draw` is random in [0, 1).
    #[must_use]
    pub fn sheds(&self, workspace: u64, priority: u8, bytes: u64, draw: f32) -> bool {
        let group = (workspace % GROUPS as u64) as usize;
        let cell = group * PRIORITIES + usize::from(priority).min(PRIORITIES - 1);
        self.arrived[cell].fetch_add(bytes, Relaxed);
        draw < f32::from_bits(self.probabilities[cell].load(Relaxed))
    }

    /// Adapts what is refused to the recent `utilization` of the link. Call it once a sample.
    pub fn update(&self, state: &mut ShedderState, utilization: f64) {
        for (cell, bytes) in state.bytes.iter_mut().enumerate() {
            let arrived = self.arrived[cell].swap(0, Relaxed) as f64;
            *bytes += EWMA_WEIGHT * (arrived - *bytes);
        }
        let change = GAIN * (utilization - TARGET);
        state.fraction = (state.fraction + change).clamp(0.0, MAX_FRACTION);
        for (cell, probability) in probabilities(&state.bytes, state.fraction)
            .into_iter()
            .enumerate()
        {
            self.probabilities[cell].store((probability as f32).to_bits(), Relaxed);
        }
    }
}

/// Probability of refusal for each group and priority, such that `fraction` of all bytes is refused.
fn probabilities(bytes: &[f64], fraction: f64) -> Vec<f64> {
    let mut all = vec![0.0; bytes.len()];
    let groups: Vec<f64> = bytes
        .chunks(PRIORITIES)
        .map(|cells| cells.iter().sum())
        .collect();
    let total: f64 = groups.iter().sum();
    if fraction <= 0.0 || total <= 0.0 {
        return all;
    }
    let allowed = max_min_share(&groups, total * (1.0 - fraction));
    for (group, sum) in groups.iter().enumerate() {
        let mut excess = (sum - allowed).max(0.0);
        // The least urgent priorities come last.
        for cell in (group * PRIORITIES..(group + 1) * PRIORITIES).rev() {
            let shed = excess.min(bytes[cell]);
            if bytes[cell] > 0.0 {
                all[cell] = shed / bytes[cell];
            }
            excess -= shed;
        }
    }
    all
}

/// The share up to which each group is served if all groups together get `capacity`: groups that
/// want less leave the rest to the others.
fn max_min_share(groups: &[f64], capacity: f64) -> f64 {
    let mut wanted: Vec<f64> = groups.iter().copied().filter(|sum| *sum > 0.0).collect();
    wanted.sort_by(f64::total_cmp);
    let mut left = capacity;
    let mut count = wanted.len();
    for sum in &wanted {
        let share = left / count as f64;
        if *sum >= share {
            return share;
        }
        left -= sum;
        count -= 1;
    }
    f64::INFINITY
}
