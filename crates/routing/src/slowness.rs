//! How much slower a server is than its pool.

use swiftlink_types::Micros;

/// Half-life of a slowness that no request confirms (µs).
const HALF: f64 = 20e6;
/// Limits of one sample.
const RANGE: (f64, f64) = (0.3, 50.0);
/// Weight of a sample that shows a server faster, and one that shows it slower. A wait
/// in the server's own queue looks like slowness, so it takes a run of slow answers.
const GAIN: (f64, f64) = (0.4, 0.15);
/// Slowness below which servers count as alike.
const LEAST: f64 = 1.5;
/// Its logarithm, rounded down.
const LEAST_LN: f64 = 0.405;

/// Average ratio of the times seen to those that the pool would have shown; forgets
/// without samples, so that a server that was slow once is tried again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Slowness {
    /// Logarithm of the ratio at `at`.
    value: f64,
    at: Micros,
}

impl Slowness {
    /// Takes the ratio of a time seen to the one expected.
    pub(crate) fn learn(&mut self, now: Micros, ratio: f64) {
        let old = self.decayed(now);
        let seen = ratio.clamp(RANGE.0, RANGE.1).ln();
        let gain = if seen < old { GAIN.0 } else { GAIN.1 };
        self.value = old + gain * (seen - old);
        self.at = now;
    }

    /// How many times slower; 1 when not much.
    pub(crate) fn get(&self, now: Micros) -> f64 {
        // The decay only lowers it: most servers end here.
        if self.value < LEAST_LN {
            return 1.0;
        }
        let ratio = self.decayed(now).exp();
        if ratio < LEAST { 1.0 } else { ratio }
    }

    fn decayed(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.value * (-age / HALF).exp2()
    }
}
