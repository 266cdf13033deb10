//! Results of a run.

use swiftlink_types::Micros;

use crate::draw::quantile_of;

/// Counts and times of a run, without its warm-up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Times to first token (µs); sorted at the end of the run.
    pub first_token_times: Vec<Micros>,
    /// Requests that arrived.
    pub requests: u64,
    /// Attempts made for them.
    pub attempts: u64,
    /// Attempts sent to a faulty runner.
    pub faulty_attempts: u64,
    /// Requests that ended with an error.
    pub failed: u64,
    /// Answered requests whose prefix was cached.
    pub hits: u64,
}

impl Outcome {
    /// Returns a quantile of the times to first token, in ms.
    #[must_use]
    pub fn first_ms(&self, quantile: f64) -> f64 {
        quantile_of(&self.first_token_times, quantile) as f64 / 1_000.0
    }

    /// Returns a count per 100 requests.
    #[must_use]
    pub fn percent(&self, count: u64) -> f64 {
        100.0 * count as f64 / self.requests.max(1) as f64
    }
}
