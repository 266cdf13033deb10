//! Random times and sizes from a seeded generator.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use swiftlink_types::Micros;

/// Microseconds in a second.
pub const SEC: Micros = 1_000_000;
/// Microseconds in a millisecond.
pub const MS: Micros = 1_000;

/// Creates the generator for one part of a run; equal seeds and parts give equal values.
#[must_use]
pub fn generator(seed: u64, part: u64) -> Pcg64Mcg {
    let wide = u128::from(seed) << 64 | u128::from(part.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    Pcg64Mcg::new(wide)
}

/// Draws a value from the half-open unit interval `[0, 1)`.
pub fn unit(rng: &mut impl Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Draws an integer below `len`.
pub fn uniform(rng: &mut impl Rng, len: u64) -> u64 {
    ((u128::from(rng.next_u64()) * u128::from(len)) >> 64) as u64
}

/// Draws the time to the next event of a Poisson process with `rate` events a second.
pub fn poisson_gap(rng: &mut impl Rng, rate: f64) -> Micros {
    let wait = -(1.0 - unit(rng)).ln() / rate;
    (wait * SEC as f64) as Micros
}

/// Draws a time: `mean` (µs) multiplied by a log-normal factor of mean 1 with
/// the given spread.
pub fn log_normal(rng: &mut impl Rng, mean: f64, spread: f64) -> Micros {
    let radius = (-2.0 * (1.0 - unit(rng)).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * unit(rng)).cos();
    let factor = (spread * normal - spread * spread / 2.0).exp();
    (mean * factor).max(1.0) as Micros
}

/// Draws an index with probability proportional to its weight.
pub fn weighted(rng: &mut impl Rng, weights: &[f64]) -> usize {
    let total: f64 = weights.iter().sum();
    let mut left = unit(rng) * total;
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

/// Returns a quantile of sorted times.
#[must_use]
pub fn quantile_of(sorted: &[Micros], quantile: f64) -> Micros {
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    let index = rank.clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied().unwrap_or(0)
}
