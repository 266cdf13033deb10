//! Measured service rate, and wait estimates from it.

use std::time::Duration;

use swiftlink_types::Micros;

use crate::rate::{MICROS_PER_SEC, Mean};

/// Weight of a new service time in the mean.
const SERVICE_GAIN: f64 = 1.0 / 32.0;
/// Weight of a new ratio of actual to predicted wait.
const BIAS_GAIN: f64 = 1.0 / 16.0;
/// Bounds of the correction, so that a few outliers don't stop admission.
const BIAS_RANGE: (f64, f64) = (0.5, 4.0);

/// Service rate of a number of slots, from measured service times.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRate {
    initial_time: Micros,
    mean_time: Mean,
}

impl ServiceRate {
    /// A rate that assumes the service time `initial` until one is measured.
    #[must_use]
    pub fn new(initial: Duration) -> Self {
        Self {
            initial_time: initial.as_micros().max(1) as Micros,
            mean_time: Mean::new(SERVICE_GAIN),
        }
    }

    /// Takes the service time of one request.
    pub fn add(&mut self, time: Micros) {
        self.mean_time.add(time.max(1) as f64);
    }

    /// Replaces the mean service time.
    pub fn set(&mut self, time: Micros) {
        self.mean_time = Mean::new(SERVICE_GAIN);
        self.add(time);
    }

    /// Mean service time.
    #[must_use]
    pub fn time(&self) -> Micros {
        self.mean_time
            .get()
            .map_or(self.initial_time, |time| time as Micros)
    }

    /// Requests per second that `slots` serve.
    #[must_use]
    pub fn per_sec(&self, slots: usize) -> f64 {
        slots.max(1) as f64 * MICROS_PER_SEC / self.time().max(1) as f64
    }
}

/// Predicts the waits of one class, corrected by the waits that were measured.
#[derive(Clone, Copy, Debug)]
pub struct WaitPredictor {
    /// Mean ratio of the actual to the predicted wait.
    bias: Mean,
}

impl Default for WaitPredictor {
    fn default() -> Self {
        Self {
            bias: Mean::new(BIAS_GAIN),
        }
    }
}

impl WaitPredictor {
    /// Takes a predicted wait and the actual one.
    pub fn learn(&mut self, predicted: Micros, actual: Micros) {
        if predicted == 0 {
            return;
        }
        let ratio = actual as f64 / predicted as f64;
        self.bias.add(ratio.clamp(BIAS_RANGE.0, BIAS_RANGE.1));
    }

    /// The predicted wait until `places` entries have been served at `rate` per second.
    #[must_use]
    pub fn wait(&self, places: f64, rate: f64) -> Micros {
        let bias = self.bias.get().unwrap_or(1.0);
        (places / rate.max(1e-3) * bias * MICROS_PER_SEC) as Micros
    }
}
