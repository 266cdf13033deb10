//! What a run is given.

use swiftlink_types::Micros;

use crate::draw::SEC;

/// Slots at the runners.
pub const SLOTS: usize = 32;
/// Mean time of a request (µs).
pub const SERVICE: f64 = 600_000.0;

/// A priority class and its demand.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Its weight.
    pub weight: u32,
    /// Its part of the demand.
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
    /// Whether the classes are told apart.
    pub classes: bool,
    /// Time that a caller gives a request.
    pub deadline: Micros,
    /// Length of the run.
    pub length: Micros,
    /// Its first part that is not counted.
    pub warm_up: Micros,
}

impl Setup {
    /// A run at `load`.
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
