//! A queue in front of its slots, and callers that honor the retry-after time.

use std::time::Duration;

use rand_pcg::Pcg64Mcg;
use swiftlink_admission::{ClassSpec, Entry, Queue, QueuePolicy};
use swiftlink_types::{ClassName, Micros, Refusal};

use super::setup::{CLASSES, SERVICE, SLOTS, Setup};
use crate::agenda::Agenda;
use crate::draw::{SEC, generator, log_normal, poisson_gap, uniform};
use crate::row::Rows;

/// Spread of the service times.
const SPREAD: f64 = 0.4;
/// Interval between checks for expired entries.
const EXPIRY_INTERVAL: Micros = SEC / 10;
/// Maximum jitter that callers add to the retry-after time.
const MAX_RETRY_JITTER: Micros = SEC / 2;
/// Simulated loads, as multiples of the capacity.
const LOADS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];

/// Counts of one priority class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassOutcome {
    /// First attempts of requests.
    pub offered: u64,
    /// Answers within the deadline.
    pub in_time: u64,
    /// Latencies from the arrival of the admitted attempt to the answer (µs).
    pub times: Vec<Micros>,
    /// Attempts refused on arrival.
    pub refused: u64,
    /// Wait times of entries admitted to the queue and dropped later (µs).
    pub expired: Vec<Micros>,
    /// Attempts made after a retry-after time.
    pub retries: u64,
    /// Of these, admitted.
    pub retries_admitted: u64,
    /// Of the admitted ones, dropped later.
    pub retries_expired: u64,
    /// Retry-after times of the refusals (µs).
    pub retry_after: Vec<Micros>,
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Counts of each class, highest priority first.
    pub classes: Vec<ClassOutcome>,
    /// Length of the counted window (s).
    pub secs: f64,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Retry {
        class: usize,
        key: u64,
    },
    Done {
        class: usize,
        since: Micros,
        start: Micros,
        due: Micros,
    },
    Expire,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    class: usize,
    since: Micros,
    is_retry: bool,
}

/// A simulation of the queue.
#[derive(Debug)]
pub struct Simulation<'a> {
    setup: &'a Setup,
    queue: Queue<Waiting>,
    agenda: Agenda<Event>,
    demand: Pcg64Mcg,
    times: Pcg64Mcg,
    next_key: u64,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation with the real queue.
    #[must_use]
    pub fn new(setup: &'a Setup, seed: u64) -> Self {
        let mut queue = Queue::new(QueuePolicy::default(), SLOTS);
        for class in CLASSES {
            let spec = ClassSpec {
                weight: class.weight,
                ..ClassSpec::default()
            };
            if setup.classes {
                queue.set_class(&ClassName::from(class.name), spec);
            }
        }
        let counted = (setup.length - setup.warm_up) as f64 / SEC as f64;
        Self {
            setup,
            queue,
            agenda: Agenda::new(),
            demand: generator(seed, 1),
            times: generator(seed, 2),
            next_key: 0,
            outcome: Outcome {
                classes: vec![ClassOutcome::default(); CLASSES.len()],
                secs: counted,
            },
        }
    }

    /// Runs the simulation to its end.
    #[must_use]
    pub fn run(mut self) -> Outcome {
        self.agenda.schedule(0, Event::Expire);
        for class in 0..CLASSES.len() {
            self.arrive_next(0, class);
        }
        while let Some((now, event)) = self.agenda.pop() {
            if now >= self.setup.length {
                break;
            }
            match event {
                Event::Arrive(class) => self.arrive(now, class),
                Event::Retry { class, key } => self.push(now, class, key, true),
                Event::Done {
                    class,
                    since,
                    start,
                    due,
                } => self.done(now, class, since, start, due),
                Event::Expire => {
                    self.agenda.schedule(now + EXPIRY_INTERVAL, Event::Expire);
                    self.expire(now);
                }
            }
            self.dispatch(now);
        }
        for class in &mut self.outcome.classes {
            class.times.sort_unstable();
            class.expired.sort_unstable();
            class.retry_after.sort_unstable();
        }
        self.outcome
    }

    fn counts(&self, now: Micros) -> bool {
        now >= self.setup.warm_up
    }

    fn arrive_next(&mut self, now: Micros, class: usize) {
        let rate = Setup::capacity() * self.setup.load * CLASSES[class].share;
        let wait = poisson_gap(&mut self.demand, rate);
        self.agenda.schedule(now + wait, Event::Arrive(class));
    }

    fn arrive(&mut self, now: Micros, class: usize) {
        self.arrive_next(now, class);
        if self.counts(now) {
            self.outcome.classes[class].offered += 1;
        }
        self.next_key += 1;
        self.push(now, class, self.next_key, false);
    }

    fn push(&mut self, now: Micros, class: usize, key: u64, is_retry: bool) {
        let name = if self.setup.classes {
            CLASSES[class].name
        } else {
            "all"
        };
        let entry = Entry {
            class: ClassName::from(name),
            key,
            deadline: now + self.setup.deadline,
            service_time: None,
            payload: Waiting {
                class,
                since: now,
                is_retry,
            },
        };
        let pushed = self.queue.push(entry, now);
        let counts = self.counts(now);
        let served = &mut self.outcome.classes[class];
        if counts && is_retry {
            served.retries += 1;
            served.retries_admitted += u64::from(pushed.is_ok());
        }
        let Err(refusal) = pushed else {
            return;
        };
        if counts {
            served.refused += 1;
        }
        self.schedule_retry(now, class, key, &refusal);
    }

    /// Schedules the caller's retry after the retry-after time, rounded up to whole
    /// seconds as in the header.
    fn schedule_retry(&mut self, now: Micros, class: usize, key: u64, refusal: &Refusal) {
        let retry_after = refusal.retry_after.unwrap_or(Duration::from_secs(1));
        let secs = retry_after.as_micros().div_ceil(u128::from(SEC)) as u64;
        if self.counts(now) {
            self.outcome.classes[class].retry_after.push(secs * SEC);
        }
        let jitter = uniform(&mut self.demand, MAX_RETRY_JITTER);
        let retry = Event::Retry { class, key };
        self.agenda.schedule(now + secs * SEC + jitter, retry);
    }

    fn expire(&mut self, now: Micros) {
        for given in self.queue.take_expired(now) {
            let waiting = given.entry.payload;
            let counts = self.counts(now);
            let served = &mut self.outcome.classes[waiting.class];
            if counts {
                served.expired.push(now - waiting.since);
                served.retries_expired += u64::from(waiting.is_retry);
            }
            self.schedule_retry(now, waiting.class, given.entry.key, &given.refusal);
        }
    }

    fn dispatch(&mut self, now: Micros) {
        while let Some((_ticket, entry)) = self.queue.pop(now) {
            let time = log_normal(&mut self.times, SERVICE, SPREAD);
            let done = Event::Done {
                class: entry.payload.class,
                since: entry.payload.since,
                start: now,
                due: entry.deadline,
            };
            self.agenda.schedule(now + time, done);
        }
        self.expire(now);
    }

    fn done(&mut self, now: Micros, class: usize, since: Micros, start: Micros, due: Micros) {
        self.queue.on_done(now, now - start);
        if !self.counts(now) {
            return;
        }
        let served = &mut self.outcome.classes[class];
        served.in_time += u64::from(now <= due);
        served.times.push(now - since);
    }
}

/// Runs all loads with and without classes.
pub(super) fn run(seed: u64, quick: bool, rows: &mut Rows) {
    let run_all = |classes| {
        LOADS.map(|load| {
            let setup = Setup::at(load, classes, quick);
            Simulation::new(&setup, seed).run()
        })
    };
    let policies = [("one-class", run_all(false)), ("classes", run_all(true))];
    for (index, load) in LOADS.iter().enumerate() {
        for (policy, runs) in &policies {
            let peak = runs.iter().map(Outcome::goodput).fold(0.0, f64::max);
            let scenario = format!("overload-{load}x");
            write(&scenario, policy, &runs[index], &runs[0], peak, rows);
        }
    }
}

impl Outcome {
    /// Answers within the deadline, per second.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        let in_time: u64 = self.classes.iter().map(|class| class.in_time).sum();
        in_time as f64 / self.secs
    }
}

fn write(
    scenario: &str,
    policy: &str,
    outcome: &Outcome,
    unloaded: &Outcome,
    peak: f64,
    rows: &mut Rows,
) {
    let mut add = |metric, value| rows.add(scenario, policy, metric, value);
    let [high, middle, low] = &outcome.classes[..] else {
        return;
    };
    let p99 = |class: &ClassOutcome| quantile(&class.times, 0.99) / 1_000.0;
    add("goodput_per_s", outcome.goodput());
    add("goodput_of_peak_pct", 100.0 * outcome.goodput() / peak);
    add("high_p99_ms", p99(high));
    add(
        "high_p99_of_unloaded",
        p99(high) / p99(&unloaded.classes[0]),
    );
    for (metric, class) in [
        ("high_good_pct", high),
        ("middle_good_pct", middle),
        ("low_good_pct", low),
    ] {
        add(
            metric,
            100.0 * class.in_time as f64 / class.offered.max(1) as f64,
        );
    }
    let sum = |count: fn(&ClassOutcome) -> u64| outcome.classes.iter().map(count).sum::<u64>();
    let retries = sum(|class| class.retries);
    if retries == 0 {
        return;
    }
    let kept = sum(|class| class.retries_admitted) - sum(|class| class.retries_expired);
    add("returns", retries as f64);
    add("returns_taken_pct", 100.0 * kept as f64 / retries as f64);
    for (metric, class) in [
        ("high_returns_taken_pct", high),
        ("middle_returns_taken_pct", middle),
        ("low_returns_taken_pct", low),
    ] {
        if class.retries > 0 {
            let kept = class.retries_admitted - class.retries_expired;
            add(metric, 100.0 * kept as f64 / class.retries as f64);
        }
    }
    let given = sum(|class| class.expired.len() as u64);
    let refused = sum(|class| class.refused);
    add(
        "refused_at_once_pct",
        100.0 * refused as f64 / (refused + given).max(1) as f64,
    );
    let mut waits: Vec<Micros> = Vec::new();
    for class in &outcome.classes {
        waits.extend(&class.expired);
        waits.extend(std::iter::repeat_n(0, class.refused as usize));
    }
    waits.sort_unstable();
    add("refusal_wait_p99_ms", quantile(&waits, 0.99) / 1_000.0);
    add(
        "low_told_p99_s",
        quantile(&low.retry_after, 0.99) / SEC as f64,
    );
}

fn quantile(sorted: &[Micros], quantile: f64) -> f64 {
    crate::draw::quantile_of(sorted, quantile) as f64
}
