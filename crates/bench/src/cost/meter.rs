//! Timing, allocation counts and linear fits.

use std::alloc::System;
use std::hint::black_box;
use std::time::Instant;

use stats_alloc::StatsAlloc;

/// The system allocator with counters.
pub type Allocator = StatsAlloc<System>;

/// The counting allocator, which the program installs as its global allocator.
pub use stats_alloc::INSTRUMENTED_SYSTEM as COUNTING;

/// Rounds, of which the median is reported.
const ROUNDS: usize = 5;

/// Cost of one operation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    pub(super) nanos: f64,
    pub(super) allocations: Option<f64>,
}

/// Measures the median cost of `act` over several rounds of `count` calls.
pub(super) fn cost<T>(count: usize, mut act: impl FnMut() -> T) -> Cost {
    for _ in 0..count / 4 {
        black_box(act());
    }
    let mut times = Vec::with_capacity(ROUNDS);
    let before = COUNTING.stats().allocations;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        for _ in 0..count {
            black_box(act());
        }
        times.push(start.elapsed().as_nanos() as f64 / count as f64);
    }
    let made = COUNTING.stats().allocations - before;
    times.sort_by(f64::total_cmp);
    let is_counted = COUNTING.stats().allocations > 0;
    Cost {
        nanos: times[ROUNDS / 2],
        allocations: is_counted.then_some(made as f64 / (ROUNDS * count) as f64),
    }
}

/// Returns the time of one call (s) and its result.
pub(super) fn timed<T>(act: impl FnOnce() -> T) -> (f64, T) {
    let start = Instant::now();
    let result = act();
    (start.elapsed().as_secs_f64(), result)
}

/// Bytes in use on the heap; `None` without the counting allocator.
pub(super) fn heap_in_use() -> Option<f64> {
    let stats = COUNTING.stats();
    if stats.allocations == 0 {
        return None;
    }
    let grown = stats.bytes_allocated as f64 + stats.bytes_reallocated as f64;
    Some(grown - stats.bytes_deallocated as f64)
}

/// Returns the heap bytes that the result of `make` occupies, and the result.
pub(super) fn held<T>(make: impl FnOnce() -> T) -> (Option<f64>, T) {
    let before = heap_in_use();
    let made = make();
    let bytes = heap_in_use()
        .zip(before)
        .map(|(after, before)| after - before);
    (bytes, made)
}

/// Fits a line to the points; returns its slope and its intercept.
pub(super) fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let mut over = 0.0;
    let mut under = 0.0;
    for (x, y) in points {
        over += (x - mean_x) * (y - mean_y);
        under += (x - mean_x).powi(2);
    }
    let slope = over / under;
    (slope, mean_y - slope * mean_x)
}
