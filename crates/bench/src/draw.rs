//! Random times and sizes from a seeded generator.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use swiftlink_types::Micros;

/// Microseconds in a second.
pub const SEC: Micros = 1_000_000;
/// Microseconds in a millisecond.
pub const MS: Micros = 1_000;

/// A generator for one part of a run: equal seeds and parts draw equal values.
#[must_use]
pub fn generator(seed: u64, part: u64) -> Pcg64Mcg {
    let wide = u128::from(seed) << 64 | u128::from(part.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    Pcg64Mcg::new(wide)
}

/// A value of the unit interval, 1 left out.
pub fn unit(rng: &mut impl Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// A whole value below `len`.
pub fn below(rng: &mut impl Rng, len: u64) -> u64 {
    ((u128::from(rng.next_u64()) * u128::from(len)) >> 64) as u64
}

/// Time to the next event of a Poisson process of `rate` a second.
pub fn gap(rng: &mut impl Rng, rate: f64) -> Micros {
    let wait = -(1.0 - unit(rng)).ln() / rate;
    (wait * SEC as f64) as Micros
}

/// A time around `mean` (µs): the product of it and a factor of mean 1, log-normal
/// with the given spread.
pub fn around(rng: &mut impl Rng, mean: f64, spread: f64) -> Micros {
    let radius = (-2.0 * (1.0 - unit(rng)).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * unit(rng)).cos();
    let factor = (spread * normal - spread * spread / 2.0).exp();
    (mean * factor).max(1.0) as Micros
}

/// An index drawn by weight.
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

/// A quantile of sorted times.
#[must_use]
pub fn quantile_of(sorted: &[Micros], quantile: f64) -> Micros {
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    let index = rank.clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied().unwrap_or(0)
}
