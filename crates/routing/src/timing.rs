//! Server speed estimated from streams: the gaps between events, and how long prefill stalls them.
//!
//! An engine prefills long prompts in chunks between the tokens of its running streams. An event
//! that holds several tokens waits for several chunks, so the prefill of consecutive prompts
//! stretches the gaps of all streams beside them, up to a length that the engine's chunk size and
//! speed determine. This length, for a server of ordinary speed, is estimated as the *stall* of the
//! pool.

use swiftlink_types::Micros;

/// Gaps between the events of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamGaps {
    /// The 12.5th percentile of the gaps. Prefill affects only some of the gaps, so this shows the
    /// server's own speed.
    pub gap: Micros,
    /// The longest gap.
    pub longest: Micros,
}

/// Minimum weight of a sample in a server's speed; the first ones have equal weight. It is low
/// since speeds change rarely, and routers that disagree on them prefill the same shared prompt
/// parts at several servers.
const MIN_WEIGHT: f64 = 0.05;
/// Samples before the speed counts: a single one is off by a tenth or more.
const MIN_STREAMS: u32 = 4;
/// Fraction of the streams whose longest gap is below the stall.
const STALL_QUANTILE: f64 = 0.9;
/// Relative change of the stall by one stream, at most.
const STALL_STEP: f64 = 0.05;

/// Speed of one server, by the gaps of its streams.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventGap {
    /// Averaged logarithm of the gap between two events (µs).
    log_gap: f64,
    /// Number of samples.
    streams: u32,
}

impl EventGap {
    /// Gap between two events (µs), after enough samples.
    pub(crate) fn gap(&self) -> Option<f64> {
        (self.streams >= MIN_STREAMS).then(|| self.log_gap.exp())
    }

    pub(crate) fn learn(&mut self, gap: Micros) {
        self.streams = self.streams.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.streams));
        self.log_gap += weight * ((gap.max(1) as f64).ln() - self.log_gap);
    }
}

/// Quantile of the samples to estimate; the larger ones include a wait too.
const PREFILL_QUANTILE: f64 = 0.25;
/// Relative change of the estimate by one sample, at most.
const PREFILL_STEP: f64 = 0.05;

/// Prefill time per token at a server of ordinary speed (µs): a low quantile, tracked in
/// multiplicative steps.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PrefillTime(f64);

impl PrefillTime {
    pub(crate) fn get(self) -> f64 {
        self.0
    }

    /// Learns from the `time` until an answer began, with `tokens` to prefill, at a server
    /// `gap_ratio` times slower than others.
    pub(crate) fn learn(&mut self, time: Micros, tokens: u64, gap_ratio: f64) {
        let seen = time as f64 / tokens.max(1) as f64 / gap_ratio;
        if self.0 == 0.0 {
            self.0 = seen;
        } else if seen < self.0 {
            self.0 *= 1.0 - PREFILL_STEP * (1.0 - PREFILL_QUANTILE);
        } else {
            self.0 *= 1.0 + PREFILL_STEP * PREFILL_QUANTILE;
        }
    }
}

/// Longest gap that prefill causes at a server of ordinary speed (µs): a high quantile, tracked in
/// multiplicative steps.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PrefillStall(f64);

impl PrefillStall {
    pub(crate) fn get(self) -> f64 {
        self.0
    }

    /// Learns from the longest gap of a stream, at a server `gap_ratio` times slower than others.
    pub(crate) fn learn(&mut self, longest: Micros, gap_ratio: f64) {
        let gap = longest as f64 / gap_ratio;
        if self.0 == 0.0 {
            self.0 = gap;
        } else if gap > self.0 {
            self.0 *= 1.0 + STALL_STEP * STALL_QUANTILE;
        } else {
            self.0 *= 1.0 - STALL_STEP * (1.0 - STALL_QUANTILE);
        }
    }
}
