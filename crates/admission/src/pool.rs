//! Admission to one pool: a router's own part, and the part of the router that aggregates.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use swiftlink_types::{Micros, WorkspaceName};

use crate::gate::{Decision, Gate, GateRequest, Verdict};
use crate::level::{LevelController, LevelPolicy};
use crate::load::{LoadReports, PoolLoad};
use crate::observations::{IdleTime, Observations};
use crate::shares::Shares;
use crate::sizer::micros;

/// Latency targets by priority.
pub type Targets = BTreeMap<u8, Duration>;

/// Age from which a summary no longer counts.
const MAX_SUMMARY_AGE: Duration = Duration::from_secs(3);
/// Report periods of a router after which a summary no longer counts, if that is longer.
const MAX_SUMMARY_PERIODS: f64 = 1.5;
/// Number of seconds whose own observations are considered together, if they have few requests.
const OWN_PERIODS: usize = 5;
/// Longest period whose observations count, in seconds.
const MAX_PERIOD: f64 = 2.0;
/// Shortest time between two steps of the aggregated level (µs).
const MIN_STEP: Micros = 450_000;

/// What all routers have seen of a pool, and what to admit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Number of routers that reported recently; 0 while the aggregator doesn't know enough.
    pub routers: usize,
    /// Sum of their loads.
    pub load: PoolLoad,
    /// Shares of the requests to admit.
    pub shares: Shares,
    /// Mean wait for a first event beyond what an idle server takes.
    pub wait: Duration,
}

/// Where the shares in force come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The router's own observations.
    Own,
    /// A summary of all routers' reports.
    Summary,
}

impl Source {
    /// Name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Summary => "summary",
        }
    }
}

/// The state of one router.
#[derive(Debug, Default)]
pub struct Admission {
    observations: Observations,
    idle: IdleTime,
    gate: Gate,
    own: LevelController,
    own_periods: VecDeque<PoolLoad>,
    last_period: Option<PoolLoad>,
    /// The last summary, and until when it counts.
    summary: Option<(Summary, Micros)>,
}

impl Admission {
    /// Counts a request that arrived.
    pub fn on_arrival(&mut self, now: Micros, priority: u8, workspace: Option<&WorkspaceName>) {
        self.observations.on_arrival(priority, workspace);
        self.gate.on_arrival(now, priority, workspace);
    }

    /// Whether all requests are admitted.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.gate.is_open()
    }

    /// Decides about a request that arrived.
    pub fn decide(&mut self, now: Micros, request: &GateRequest<'_>) -> Decision {
        let decision = self.gate.decide(now, request);
        if let Decision::Refuse(_) = decision {
            self.observations.on_refused(request.priority);
        }
        decision
    }

    /// Counts the refusal of a request that waited.
    pub fn on_refused(&mut self, priority: u8) {
        self.observations.on_refused(priority);
    }

    /// Returns the requests whose wait has ended.
    pub fn poll(&mut self, now: Micros) -> Vec<(u64, Verdict)> {
        self.gate.poll(now)
    }

    /// Removes a waiting request whose caller has left.
    pub fn cancel(&mut self, id: u64) {
        self.gate.cancel(id);
    }

    /// When [`Self::poll`] will next return something, as far as is known.
    #[must_use]
    pub fn next_event(&self) -> Option<Micros> {
        self.gate.next_event()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting_len(&self) -> usize {
        self.gate.waiting_len()
    }

    /// Time to the first event at an idle server of a prompt with `tokens` to process; 0 while it is
    /// unknown.
    #[must_use]
    pub fn idle_time(&self, tokens: u64) -> Micros {
        self.idle.expected(tokens).unwrap_or(0)
    }

    /// Counts a request as sent. Its first event is late after `target_at`. Returns an id for
    /// [`Self::on_first_event`] and [`Self::on_ended`].
    pub fn on_sent(&mut self, now: Micros, priority: u8, tokens: u64, target_at: Micros) -> u64 {
        // While nothing is known of the servers, no wait is counted.
        let expected_at = self
            .idle
            .expected(tokens)
            .map_or(Micros::MAX, |idle| now + idle);
        self.observations.on_sent(priority, expected_at, target_at)
    }

    /// Handles the first event of a sent request, `time` after it was sent.
    pub fn on_first_event(&mut self, id: u64, now: Micros, time: Micros, tokens: u64) {
        self.idle.learn(now, time, tokens);
        self.observations.on_answered(id, now, true);
    }

    /// Handles the end of a sent request that had no first event.
    pub fn on_ended(&mut self, id: u64, now: Micros) {
        self.observations.on_answered(id, now, false);
    }

    /// Ends a period of about a second. Returns the waiting requests that are admitted now since no
    /// share is restricted any more.
    pub fn end_period(&mut self, now: Micros, targets: &Targets) -> Vec<u64> {
        let load = self.observations.take(now);
        if load.seconds > MAX_PERIOD {
            // Of a process that stalled: requests seem to have waited in that time.
            self.last_period = None;
            return self.apply(now);
        }
        if self.own_periods.len() == OWN_PERIODS {
            self.own_periods.pop_front();
        }
        self.own_periods.push_back(load.clone());
        self.last_period = Some(load);
        let recent = self.recent();
        self.own.step(now, &recent, targets);
        self.apply(now)
    }

    /// The load of the last period; `None` if there was no request. A router that reports less often
    /// leaves out the periods before: the reports of a part of the routers are enough for an
    /// aggregator, which needs recent ones.
    #[must_use]
    pub fn report(&self) -> Option<PoolLoad> {
        let load = self.last_period.as_ref()?;
        (!load.classes.is_empty()).then(|| load.clone())
    }

    /// Applies a summary that arrived at `now`, at a router that reports once per `period`. Returns
    /// the waiting requests that are admitted now.
    pub fn on_summary(&mut self, now: Micros, summary: Summary, period: Duration) -> Vec<u64> {
        if summary.routers == 0 {
            return Vec::new();
        }
        let age = MAX_SUMMARY_AGE.max(period.mul_f64(MAX_SUMMARY_PERIODS));
        self.summary = Some((summary, now + micros(age)));
        self.apply(now)
    }

    /// The shares in force, the mean wait, and where they come from.
    #[must_use]
    pub fn in_force(&self, now: Micros) -> (&Shares, Duration, Source) {
        match &self.summary {
            Some((summary, until)) if now <= *until => {
                (&summary.shares, summary.wait, Source::Summary)
            }
            _ => (self.own.shares(), self.own.wait(), Source::Own),
        }
    }

    /// The latest own observations: as few seconds as have enough requests.
    fn recent(&self) -> PoolLoad {
        let min_samples = LevelPolicy::default().min_samples;
        let mut samples = 0.0;
        let newest_first = self.own_periods.iter().rev();
        let recent = newest_first.take_while(|period| {
            let is_needed = samples < min_samples;
            samples += period.samples();
            is_needed
        });
        PoolLoad::mean(recent)
    }

    fn apply(&mut self, now: Micros) -> Vec<u64> {
        let (shares, wait, _) = self.in_force(now);
        let (shares, wait) = (shares.clone(), wait);
        self.gate.set_shares(now, &shares, wait)
    }
}

/// The state of a router that aggregates the reports on a pool.
#[derive(Debug, Default)]
pub struct PoolAggregate {
    reports: LoadReports,
    controller: LevelController,
    stepped_at: Option<Micros>,
    /// When the first report arrived.
    first_at: Micros,
}

impl PoolAggregate {
    /// Records a router's report, and returns the summary for it.
    pub fn on_report(
        &mut self,
        process: u64,
        now: Micros,
        load: PoolLoad,
        targets: &Targets,
    ) -> Summary {
        self.reports.insert(process, now, load);
        let (routers, load) = self.reports.total(now);
        // The first reports of a new aggregator are those of a few routers.
        if self.stepped_at.is_none() {
            self.first_at = now;
        }
        let last = *self.stepped_at.get_or_insert(now);
        if now.saturating_sub(last) >= MIN_STEP {
            self.stepped_at = Some(now);
            self.controller.step(now, &load, targets);
        }
        let has_stepped = self.stepped_at.is_some_and(|at| at > self.first_at);
        Summary {
            routers: if has_stepped { routers } else { 0 },
            load,
            shares: self.controller.shares().clone(),
            wait: self.controller.wait(),
        }
    }
}
