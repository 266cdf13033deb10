//! Exponentially weighted averages over uneven time steps.

use std::time::Duration;

use swiftlink_types::Micros;

/// Microseconds in a second, for rates.
pub(crate) const MICROS_PER_SEC: f64 = 1e6;

/// An amount per second, averaged with weights that fall by a factor of e per horizon.
#[derive(Clone, Copy, Debug)]
pub struct Ewma {
    horizon: f64,
    rate: f64,
    last_update: Option<Micros>,
    started: Option<Micros>,
}

impl Ewma {
    /// An empty average over about `horizon`.
    #[must_use]
    pub fn new(horizon: Duration) -> Self {
        Self {
            horizon: horizon.as_secs_f64().max(1e-3),
            rate: 0.0,
            last_update: None,
            started: None,
        }
    }

    /// Adds `amount`, the amount since the last call.
    pub fn add(&mut self, now: Micros, amount: f64) {
        let started = *self.started.get_or_insert(now);
        let Some(last_update) = self.last_update.replace(now) else {
            self.rate = amount / self.horizon;
            return;
        };
        let step = now.saturating_sub(last_update) as f64 / MICROS_PER_SEC;
        self.rate = self.rate * (-step / self.horizon).exp() + amount / self.horizon;
        debug_assert!(started <= now || step == 0.0, "time goes forward");
    }

    /// Amount per second at `now`, corrected for the time before the first sample, which would
    /// otherwise lower a young average.
    #[must_use]
    pub fn per_sec(&self, now: Micros) -> f64 {
        let (Some(started), Some(last_update)) = (self.started, self.last_update) else {
            return 0.0;
        };
        let step = now.saturating_sub(last_update) as f64 / MICROS_PER_SEC;
        let age = now.saturating_sub(started) as f64 / MICROS_PER_SEC;
        let coverage = 1.0 - (-(age.max(0.25 * self.horizon)) / self.horizon).exp();
        self.rate * (-step / self.horizon).exp() / coverage
    }
}

/// An exponentially weighted mean that gives each new value the weight `gain`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mean {
    gain: f64,
    value: Option<f64>,
}

impl Mean {
    pub(crate) fn new(gain: f64) -> Self {
        Self { gain, value: None }
    }

    pub(crate) fn add(&mut self, value: f64) {
        let old = self.value.unwrap_or(value);
        self.value = Some(old + self.gain * (value - old));
    }

    pub(crate) fn get(&self) -> Option<f64> {
        self.value
    }
}
