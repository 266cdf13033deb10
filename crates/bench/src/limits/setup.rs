//! Inputs of a run.

use swiftlink_types::Micros;

use crate::draw::SEC;

/// Total slots of the runners.
pub const SLOTS: usize = 32;
/// Mean service time of a request (µs).
pub const SERVICE: f64 = 600_000.0;

/// A priority class and its demand.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Name in the output rows.
    pub name: &'static str,
    /// Scheduling weight.
    pub weight: u32,
    /// Share of the demand.
    pub share: f64,
}

/// The classes, highest first.
pub const CLASSES: [Class; 3] = [
    Class {
        name: "high",
        weight: 100,
        share: 0.1,
    },
    Class {
        name: "middle",
        weight: 10,
        share: 0.4,
    },
    Class {
        name: "low",
        weight: 1,
        share: 0.5,
    },
];

/// Demand of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Demand, as a multiple of what the slots serve.
    pub load: f64,
    /// Whether the queue distinguishes the classes.
    pub classes: bool,
    /// Deadline of a request, from its arrival.
    pub deadline: Micros,
    /// Length of the run.
    pub length: Micros,
    /// Warm-up at the start of the run, which is not counted.
    pub warm_up: Micros,
}

impl Setup {
    /// Creates the setup of a run at `load`.
    #[must_use]
    pub fn at(load: f64, classes: bool, quick: bool) -> Self {
        Self {
            load,
            classes,
            deadline: 10 * SEC,
            length: if quick { 90 } else { 330 } * SEC,
            warm_up: 30 * SEC,
        }
    }

    /// Requests a second that the slots serve.
    #[must_use]
    pub fn capacity() -> f64 {
        SLOTS as f64 * SEC as f64 / SERVICE
    }
}
