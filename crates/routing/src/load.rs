//! What a server has to do: own requests in flight and its lagging reports.

use std::collections::VecDeque;
use std::time::Duration;

use swiftlink_types::Micros;

/// A server's report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the server.
    pub waiting: u32,
    /// Requests that it can run at once; 0: not told.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Age of the report when it arrived.
    pub age: Duration,
}

/// Step between two remembered counts of own requests.
const STEP: Micros = 200_000;
/// Counts remembered: reports up to about six seconds old can be matched.
const KEPT: usize = 32;
/// Time over which the others' requests are averaged. Reports lag, and other routers
/// act on the same ones: following each at once makes all of them swing together, so
/// only what lasts counts.
const AVERAGE: f64 = 10e6;
/// From this age on a report fades.
const FRESH: Micros = 10_000_000;

/// Load of one server as one router knows it.
#[derive(Clone, Debug, Default)]
pub struct Load {
    in_flight: u32,
    /// Own requests in flight at past times, oldest first.
    history: VecDeque<(Micros, u32)>,
    report: Option<LoadReport>,
    made_at: Micros,
    /// Requests of others, averaged over the reports.
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

    /// Running and waiting requests, as last reported.
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

    /// Others' requests at the server, averaged over the reports; fades without them.
    #[must_use]
    pub fn others(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.made_at);
        let fade = if age <= FRESH {
            1.0
        } else {
            FRESH as f64 / age as f64
        };
        self.others * fade
    }

    /// Estimated requests at the server: own now, and those of others on average.
    #[must_use]
    pub fn estimate(&self, now: Micros) -> f64 {
        f64::from(self.in_flight) + self.others(now)
    }

    pub(crate) fn on_sent(&mut self, now: Micros) {
        self.remember(now);
        self.in_flight += 1;
    }

    pub(crate) fn on_done(&mut self, now: Micros) {
        self.remember(now);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes a report that arrived at `now`; one older than the last is dropped.
    ///
    /// Answers the own and the others' requests that it shows.
    pub(crate) fn on_report(&mut self, now: Micros, report: LoadReport) -> Option<(f64, f64)> {
        let age = report.age.as_micros() as Micros;
        let made_at = now.saturating_sub(age);
        if self.report.is_some() && made_at < self.made_at {
            return None;
        }
        let step = made_at.saturating_sub(self.made_at) as f64;
        let gain = match self.report {
            Some(_) => 1.0 - (-step / AVERAGE).exp(),
            None => 1.0,
        };
        self.made_at = made_at;
        self.report = Some(report);
        let own = f64::from(self.own_at(made_at));
        let others = (f64::from(self.reported()) - own).max(0.0);
        self.others += gain * (others - self.others);
        Some((own, others))
    }

    /// Remembers the count in force until `now`.
    fn remember(&mut self, now: Micros) {
        let is_due = self
            .history
            .back()
            .is_none_or(|(time, _)| now >= *time + STEP);
        if !is_due {
            return;
        }
        if self.history.len() == KEPT {
            self.history.pop_front();
        }
        self.history.push_back((now, self.in_flight));
    }

    /// Own requests in flight at `time`.
    fn own_at(&self, time: Micros) -> u32 {
        let later = self.history.iter().find(|(at, _)| *at >= time);
        later.map_or(self.in_flight, |(_, count)| *count)
    }
}
