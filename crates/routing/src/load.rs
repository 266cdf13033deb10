//! Load of a server: own requests in flight and its delayed reports.

use std::collections::VecDeque;
use std::time::Duration;

use swiftlink_types::Micros;

/// A server's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests queued at the server.
    pub waiting: u32,
    /// Concurrency limit of the server; 0 when it doesn't say.
    pub slots: u32,
    /// How long work takes at the server at this moment, in percent of the usual time; `None`
    /// when it doesn't say, which counts as 100.
    pub pace: Option<u32>,
    /// Whether the server is draining.
    pub draining: bool,
    /// Age of the report on arrival.
    pub age: Duration,
}

/// Interval between two recorded counts of own requests (µs).
const HISTORY_STEP: Micros = 200_000;
/// Recorded counts: reports up to about six seconds old can be matched.
const HISTORY_LEN: usize = 32;
/// Time constant for the average of the other routers' requests (µs). Reports are delayed, and all
/// routers act on the same ones: if each followed every report at once, their choices would
/// oscillate together, so only lasting load counts.
const TIME_CONSTANT: f64 = 10e6;
/// Age at which a report starts to fade (µs).
const FRESH_AGE: Micros = 10_000_000;

/// Age up to which a report is taken to show the load now (µs). A server that is taken for full gets
/// no requests, so it sends no further report.
const RECENT_AGE: Micros = 250_000;

/// Half-life of what a report says about the present pace (µs): it changes many times a second.
const PACE_HALF_LIFE: f64 = 300_000.0;
/// Age at which the pace counts no more (µs).
const MAX_PACE_AGE: Micros = 1_500_000;
/// Paces that count as usual (percent): the pace varies, and each change could move a prefix.
const USUAL_PACE: std::ops::RangeInclusive<u32> = 80..=125;
/// Limits of the factor.
const PACE_RANGE: (f64, f64) = (0.5, 10.0);

/// Load of one server as one router knows it.
#[derive(Clone, Debug, Default)]
pub struct Load {
    in_flight: u32,
    /// Own requests in flight at past times, oldest first.
    history: VecDeque<(Micros, u32)>,
    report: Option<LoadReport>,
    /// When the last report was made: its arrival less its age.
    made_at: Micros,
    /// Requests of other routers, averaged over the reports.
    others: f64,
}

impl Load {
    /// Own requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The last report.
    #[must_use]
    pub fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Running and queued requests in the last report.
    #[must_use]
    pub fn reported(&self) -> u32 {
        self.report
            .map_or(0, |report| report.running.saturating_add(report.waiting))
    }

    /// When the last report was made.
    #[must_use]
    pub fn made_at(&self) -> Micros {
        self.made_at
    }

    /// How many times longer than usual work takes at this moment, by the last report; approaches 1
    /// within about a second.
    #[must_use]
    pub fn transient_factor(&self, now: Micros) -> f64 {
        let Some(pace) = self.report.and_then(|report| report.pace) else {
            return 1.0;
        };
        let age = now.saturating_sub(self.made_at);
        if USUAL_PACE.contains(&pace) || age >= MAX_PACE_AGE {
            return 1.0;
        }
        let factor = (f64::from(pace) / 100.0).clamp(PACE_RANGE.0, PACE_RANGE.1);
        1.0 + (factor - 1.0) * (-(age as f64) / PACE_HALF_LIFE).exp2()
    }

    /// Other routers' requests at the server, averaged over the reports; fades while none arrive.
    #[must_use]
    pub fn others(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.made_at);
        let fade = if age <= FRESH_AGE {
            1.0
        } else {
            FRESH_AGE as f64 / age as f64
        };
        self.others * fade
    }

    /// Estimated requests at the server: own requests now and the average of the others'.
    #[must_use]
    pub fn estimate(&self, now: Micros) -> f64 {
        f64::from(self.in_flight) + self.others(now)
    }

    /// Requests at the server: those of its last report and the own ones since, or only the own ones
    /// once the report is old.
    #[must_use]
    pub fn latest(&self, now: Micros) -> u32 {
        if self.report.is_none() || now.saturating_sub(self.made_at) > RECENT_AGE {
            return self.in_flight;
        }
        let before = self.in_flight_at(self.made_at);
        let others = self.reported().saturating_sub(before);
        others.saturating_add(self.in_flight)
    }

    pub(crate) fn on_sent(&mut self, now: Micros) {
        self.record(now);
        self.in_flight += 1;
    }

    pub(crate) fn on_done(&mut self, now: Micros) {
        self.record(now);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Applies a report that arrived at `now`. A report older than the last one is dropped.
    ///
    /// Returns the own and the other routers' requests that it shows.
    pub(crate) fn on_report(&mut self, now: Micros, report: LoadReport) -> Option<(f64, f64)> {
        let age = report.age.as_micros() as Micros;
        let made_at = now.saturating_sub(age);
        if self.report.is_some() && made_at < self.made_at {
            return None;
        }
        let step = made_at.saturating_sub(self.made_at) as f64;
        let weight = match self.report {
            Some(_) => 1.0 - (-step / TIME_CONSTANT).exp(),
            None => 1.0,
        };
        self.made_at = made_at;
        self.report = Some(report);
        let own = f64::from(self.in_flight_at(made_at));
        let others = (f64::from(self.reported()) - own).max(0.0);
        self.others += weight * (others - self.others);
        Some((own, others))
    }

    /// Records the count that was valid until `now`.
    fn record(&mut self, now: Micros) {
        let is_due = self
            .history
            .back()
            .is_none_or(|(time, _)| now >= *time + HISTORY_STEP);
        if !is_due {
            return;
        }
        if self.history.len() == HISTORY_LEN {
            self.history.pop_front();
        }
        self.history.push_back((now, self.in_flight));
    }

    /// Own requests in flight at `time`.
    fn in_flight_at(&self, time: Micros) -> u32 {
        let later = self.history.iter().find(|(at, _)| *at >= time);
        later.map_or(self.in_flight, |(_, count)| *count)
    }
}
