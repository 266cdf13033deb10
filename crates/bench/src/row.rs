//! Output rows, one measured value each.

use std::fmt;

/// One measured value.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The scenario: what runs under which load and faults.
    pub scenario: String,
    /// The policy under test.
    pub policy: String,
    /// Name of the metric, with the unit as its suffix.
    pub metric: &'static str,
    /// The value.
    pub value: f64,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            scenario,
            policy,
            metric,
            value,
        } = self;
        let value = Number(*value);
        write!(
            f,
            "scenario={scenario} policy={policy} metric={metric} value={value}"
        )
    }
}

/// Formats a value with a precision that depends on its magnitude.
#[derive(Clone, Copy, Debug)]
pub struct Number(pub f64);

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = self.0;
        let size = value.abs();
        if value.fract() == 0.0 || size >= 1_000.0 {
            write!(f, "{value:.0}")
        } else if size >= 10.0 {
            write!(f, "{value:.1}")
        } else if size >= 0.01 {
            write!(f, "{value:.3}")
        } else {
            write!(f, "{value:.6}")
        }
    }
}

/// Collects the rows of a run.
#[derive(Debug, Default)]
pub struct Rows {
    rows: Vec<Row>,
}

impl Rows {
    /// Creates an empty collection.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds one value.
    pub fn add(&mut self, scenario: &str, policy: &str, metric: &'static str, value: f64) {
        self.rows.push(Row {
            scenario: scenario.to_owned(),
            policy: policy.to_owned(),
            metric,
            value,
        });
    }

    /// Returns all rows, in the order of the run.
    #[must_use]
    pub fn all(&self) -> &[Row] {
        &self.rows
    }

    /// Returns the value of one metric.
    #[must_use]
    pub fn get(&self, scenario: &str, policy: &str, metric: &str) -> Option<f64> {
        let mut rows = self.rows.iter();
        let row = rows
            .find(|row| row.scenario == scenario && row.policy == policy && row.metric == metric)?;
        Some(row.value)
    }
}
