//! Exponentially weighted averages over uneven time steps.

use std::time::Duration;

use swiftlink_types::Micros;

/// Microseconds in a second, for rates.
pub(crate) const MICROS_PER_SEC: f64 = 1e6;

/// An amount per second, averaged with weights that fall off by e each horizon.
#[derive(Clone, Copy, Debug)]
pub struct Ewma {
    horizon: f64,
    rate: f64,
    since: Option<Micros>,
    start: Option<Micros>,
}

impl Ewma {
    /// An average over about `horizon`, empty.
    #[must_use]
    pub fn new(horizon: Duration) -> Self {
        Self {
            horizon: horizon.as_secs_f64().max(1e-3),
            rate: 0.0,
            since: None,
            start: None,
        }
    }

    /// Adds `amount` seen since the last call.
    pub fn add(&mut self, now: Micros, amount: f64) {
        let start = *self.start.get_or_insert(now);
        let Some(since) = self.since.replace(now) else {
            self.rate = amount / self.horizon;
            return;
        };
        let step = now.saturating_sub(since) as f64 / MICROS_PER_SEC;
        self.rate = self.rate * (-step / self.horizon).exp() + amount / self.horizon;
        debug_assert!(start <= now || step == 0.0, "time goes forward");
    }

    /// Amount per second at `now`; a young average is not held down by the time
    /// before its start.
    #[must_use]
    pub fn per_sec(&self, now: Micros) -> f64 {
        let (Some(start), Some(since)) = (self.start, self.since) else {
            return 0.0;
        };
        let step = now.saturating_sub(since) as f64 / MICROS_PER_SEC;
        let age = now.saturating_sub(start) as f64 / MICROS_PER_SEC;
        let seen = 1.0 - (-(age.max(0.25 * self.horizon)) / self.horizon).exp();
        self.rate * (-step / self.horizon).exp() / seen
    }
}

/// A running mean with the weight `gain` for each new value.
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
