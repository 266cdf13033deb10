//! Slowness of a server relative to its pool.

use swiftlink_types::Micros;

/// Half-life of the slowness without new samples (µs).
const HALF_LIFE: f64 = 20e6;
/// Limits of one sample.
const SAMPLE_RANGE: (f64, f64) = (0.3, 50.0);
/// Weights of samples that are faster and slower than the average. A wait in the server's own queue
/// looks like slowness, so it takes several slow answers to raise the average.
const EWMA_WEIGHTS: (f64, f64) = (0.4, 0.15);
/// Ratio below which servers count as equally fast.
const MIN_RATIO: f64 = 1.5;
/// Natural logarithm of [`MIN_RATIO`], rounded down.
const MIN_RATIO_LN: f64 = 0.405;

/// Average ratio of the observed times to those expected of the pool. Decays without samples, so
/// that a server that was slow is tried again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Slowness {
    /// Logarithm of the ratio at `at`.
    log_ratio: f64,
    at: Micros,
}

impl Slowness {
    /// Learns from the ratio of an observed time to the expected one.
    pub(crate) fn learn(&mut self, now: Micros, ratio: f64) {
        let old = self.decayed(now);
        let seen = ratio.clamp(SAMPLE_RANGE.0, SAMPLE_RANGE.1).ln();
        let weight = if seen < old {
            EWMA_WEIGHTS.0
        } else {
            EWMA_WEIGHTS.1
        };
        self.log_ratio = old + weight * (seen - old);
        self.at = now;
    }

    /// How many times slower the server is; 1 when not much.
    pub(crate) fn get(&self, now: Micros) -> f64 {
        // Decay only lowers the ratio; this early return covers most servers.
        if self.log_ratio < MIN_RATIO_LN {
            return 1.0;
        }
        let ratio = self.decayed(now).exp();
        if ratio < MIN_RATIO { 1.0 } else { ratio }
    }

    fn decayed(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.log_ratio * (-age / HALF_LIFE).exp2()
    }
}
