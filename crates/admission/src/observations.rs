//! What one router observes of the requests to a pool.

use std::collections::BTreeMap;

use swiftlink_types::{Micros, WorkspaceName};

use crate::load::{ClassLoad, PoolLoad};
use crate::rate::MICROS_PER_SEC;

/// Maximum number of workspaces whose arrivals are counted in one period.
const MAX_WORKSPACES: usize = 256;
/// Maximum number of workspaces of one priority in a [`PoolLoad`].
const MAX_LISTED: usize = 24;

/// Tokens added to each prompt when times are compared per token: the part of the time to the first
/// event that doesn't depend on the prompt.
const BASE_TOKENS: f64 = 500.0;
/// Quantile of the times that an idle server is assumed to take, and the step with which it is
/// tracked.
const IDLE_QUANTILE: f64 = 0.25;
const IDLE_STEP: f64 = 0.05;
/// Relative growth of the estimate in a second, at most, so that an overload of some minutes isn't
/// taken for the usual speed.
const IDLE_GROWTH: f64 = 0.005;
/// Number of samples until the estimate is used.
const MIN_IDLE_SAMPLES: u32 = 8;

/// Time to the first event at an idle server, estimated from all requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleTime {
    per_token: f64,
    samples: u32,
    learned_at: Micros,
}

impl IdleTime {
    /// Learns from the `time` to the first event of a request whose prompt has `tokens` to process.
    pub fn learn(&mut self, now: Micros, time: Micros, tokens: u64) {
        let seen = time as f64 / (tokens as f64 + BASE_TOKENS);
        let since = now.saturating_sub(self.learned_at) as f64 / MICROS_PER_SEC;
        self.learned_at = now;
        self.samples = self.samples.saturating_add(1);
        if self.samples <= MIN_IDLE_SAMPLES {
            let is_lower = self.samples == 1 || seen < self.per_token;
            self.per_token = if is_lower { seen } else { self.per_token };
        } else if seen < self.per_token {
            self.per_token *= 1.0 - IDLE_STEP * (1.0 - IDLE_QUANTILE);
        } else {
            self.per_token *= 1.0 + (IDLE_STEP * IDLE_QUANTILE).min(IDLE_GROWTH * since);
        }
    }

    /// Time until the first event at an idle server; `None` while it is unknown.
    #[must_use]
    pub fn expected(&self, tokens: u64) -> Option<Micros> {
        let time = self.per_token * (tokens as f64 + BASE_TOKENS);
        (self.samples >= MIN_IDLE_SAMPLES).then_some(time as Micros)
    }
}

/// A request that was sent to a server and has no first event yet.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    priority: u8,
    /// When an idle server would have answered.
    expected_at: Micros,
    /// When the latency target ends.
    target_at: Micros,
    /// Whether it was counted as late.
    is_late: bool,
}

/// Counts of the current period.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    arrivals: u64,
    refused: u64,
    late: u64,
    first_events: u64,
    wait: Micros,
}

/// Counts of the requests of one router to one pool.
///
/// Waits are counted as they pass and not when they end, so that the report of a second in which a
/// queue grows shows it although none of its requests is answered yet.
#[derive(Debug, Default)]
pub struct Observations {
    since: Micros,
    next_id: u64,
    unanswered: BTreeMap<u64, Unanswered>,
    classes: BTreeMap<u8, Counts>,
    workspaces: BTreeMap<(u8, WorkspaceName), u64>,
}

impl Observations {
    /// Counts a request that arrived.
    pub fn on_arrival(&mut self, priority: u8, workspace: Option<&WorkspaceName>) {
        self.counts(priority).arrivals += 1;
        let Some(workspace) = workspace else {
            return;
        };
        let key = (priority, workspace.clone());
        if self.workspaces.len() < MAX_WORKSPACES || self.workspaces.contains_key(&key) {
            *self.workspaces.entry(key).or_default() += 1;
        }
    }

    /// Counts a refusal for lack of capacity.
    pub fn on_refused(&mut self, priority: u8) {
        self.counts(priority).refused += 1;
    }

    /// Counts a request as sent to a server at `now`. An idle server would answer at `expected_at`;
    /// the answer is late after `target_at`. Returns an id for [`Self::on_answered`].
    pub fn on_sent(&mut self, priority: u8, expected_at: Micros, target_at: Micros) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let unanswered = Unanswered {
            priority,
            expected_at,
            target_at,
            is_late: false,
        };
        self.unanswered.insert(id, unanswered);
        id
    }

    /// Ends the wait of a sent request: its first event arrived, or none will.
    pub fn on_answered(&mut self, id: u64, now: Micros, has_event: bool) {
        let Some(mut unanswered) = self.unanswered.remove(&id) else {
            return;
        };
        let since = self.since;
        let counts = self.counts(unanswered.priority);
        counts.count_wait(&mut unanswered, since, now);
        counts.first_events += u64::from(has_event);
    }

    /// Number of sent requests without a first event.
    #[must_use]
    pub fn unanswered_len(&self) -> usize {
        self.unanswered.len()
    }

    /// Returns the load since the last call.
    pub fn take(&mut self, now: Micros) -> PoolLoad {
        let since = self.since;
        for unanswered in self.unanswered.values_mut() {
            let counts = self.classes.entry(unanswered.priority).or_default();
            counts.count_wait(unanswered, since, now);
        }
        let seconds = now.saturating_sub(since).max(1) as f64 / MICROS_PER_SEC;
        let mut load = PoolLoad {
            seconds,
            classes: BTreeMap::new(),
        };
        for (priority, counts) in std::mem::take(&mut self.classes) {
            load.classes.insert(priority, counts.per_second(seconds));
        }
        let mut workspaces: Vec<_> = std::mem::take(&mut self.workspaces).into_iter().collect();
        workspaces.sort_by_key(|(_, arrivals)| std::cmp::Reverse(*arrivals));
        for ((priority, workspace), arrivals) in workspaces {
            let listed = &mut load.classes.entry(priority).or_default().workspaces;
            if listed.len() < MAX_LISTED {
                listed.insert(workspace, arrivals as f64 / seconds);
            }
        }
        self.since = now;
        load
    }

    fn counts(&mut self, priority: u8) -> &mut Counts {
        self.classes.entry(priority).or_default()
    }
}

impl Counts {
    /// Adds the part of a wait that lies between `since` and `now`.
    fn count_wait(&mut self, unanswered: &mut Unanswered, since: Micros, now: Micros) {
        self.wait += now.saturating_sub(unanswered.expected_at.max(since));
        if now > unanswered.target_at && !unanswered.is_late {
            unanswered.is_late = true;
            self.late += 1;
        }
    }

    fn per_second(self, seconds: f64) -> ClassLoad {
        ClassLoad {
            arrivals: self.arrivals as f64 / seconds,
            refused: self.refused as f64 / seconds,
            late: self.late as f64 / seconds,
            first_events: self.first_events as f64 / seconds,
            wait: self.wait as f64 / MICROS_PER_SEC / seconds,
            workspaces: BTreeMap::new(),
        }
    }
}
