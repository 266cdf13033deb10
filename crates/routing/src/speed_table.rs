//! Speeds of a pool's servers, merged from the samples of all routers.
//!
//! A [`SpeedTable`] is kept by the router that aggregates a pool's reports. A server's time per
//! prompt token is estimated twice, and the lower estimate counts:
//!
//! - a low quantile of the samples, which leaves out waits behind other prompts, and slowness that
//!   passes within seconds;
//! - the time in which the server processed the tokens of all samples. A server whose prompts always
//!   wait is busy all the time, so this is its speed; otherwise a busy server would look slow.

use std::collections::{BTreeMap, VecDeque};

use swiftlink_types::{Micros, ServerInstance};

use crate::speed::{is_ordinary, quantize};

/// Sums over the requests of one router to one server instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSample {
    /// The server instance.
    pub server: ServerInstance,
    /// Prompt tokens processed.
    pub work: u64,
    /// Time that they took; 0 when their number is too uncertain to judge the speed by.
    pub time: Micros,
    /// Number of requests; 0 when their time isn't given.
    pub count: u32,
}

/// Speed of one server instance, as all routers are told it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSpeed {
    /// The server instance.
    pub server: ServerInstance,
    /// Time per prompt token relative to the pool's median, in thousandths.
    pub ratio_milli: u32,
    /// Share of the pool's prefixes relative to that of an ordinary server, in thousandths; 0 to
    /// derive it from the ratio.
    pub share_milli: u32,
    /// Number of requests that the ratio is based on.
    pub samples: u32,
}

/// How far a receiver has been told the speeds.
#[derive(Clone, Copy, Debug)]
struct Receiver {
    /// Number of the last change that it was told.
    version: u64,
    /// When it was last told all speeds from the beginning.
    restarted_at: Micros,
}

/// Half-life of a sample's weight (µs).
const HALF_LIFE: f64 = 30e6;
/// Age at which samples and silent servers are dropped (µs).
const MAX_AGE: Micros = 180_000_000;
/// Samples kept for each server, and for all together. They must cover about a minute: a busy server
/// may have had a queue for half of that.
const MAX_SAMPLES: usize = 256;
const MAX_ALL_SAMPLES: usize = 250_000;
/// Minimum samples of a server for which there is room in a very large pool.
const MIN_ROOM: usize = 32;
/// Quantile of the times per token. At a utilization of 0.9, a tenth of the prompts meet no other.
const QUANTILE: f64 = 0.1;
/// Weighted requests before a speed counts.
const MIN_SAMPLES: f64 = 12.0;
/// Servers with a known speed before there is a median to compare with.
const MIN_SERVERS: usize = 3;
/// Time between two estimates (µs).
const UPDATE_INTERVAL: Micros = 2_000_000;
/// Time for which a change has to be seen before it is told (µs): servers that are slow for seconds
/// stay the homes of their prefixes.
const PERSISTENCE: Micros = 30_000_000;
/// Relative change of a speed that is told.
const MIN_CHANGE: f64 = 0.05;
/// Time after which a receiver is told all speeds again, since a summary may be lost (µs).
const REPEAT_INTERVAL: Micros = 120_000_000;
/// Speeds in one summary: about 4 KB.
const MAX_CHANGES: usize = 100;

/// Minimum time over which the servers' work is compared (µs), and minimum requests of a server on
/// average. The counts of shorter windows vary by more than a tenth.
const WINDOW: Micros = 30_000_000;
const WINDOW_SAMPLES: u64 = 64;
/// Servers whose first sample comes later than this after the start of a window aren't measured by
/// it (µs).
const WINDOW_GRACE: Micros = 3_000_000;
/// Fraction of an imbalance that one window corrects.
const SHARE_GAIN: f64 = 0.6;
/// Imbalance that isn't corrected.
const SHARE_TOLERANCE: f64 = 0.02;
/// Time for which shares are told after the last difference in speed (µs), so that a speed at the
/// limit doesn't move prefixes to and fro.
const DIFFERENCE_TIME: Micros = 300_000_000;
/// Work relative to the mean below which a server's share isn't corrected: such a server is cold,
/// draining or backed off, and would get too much afterwards.
const MIN_RELATIVE_WORK: f64 = 0.5;
/// Weight of an estimate in the average ratio, by which the servers' work is compared.
const RATIO_WEIGHT: f64 = 0.1;
/// Bounds of the correction to a server's share.
const SHARE_RANGE: (f64, f64) = (0.5, 2.0);
/// Relative change of a share that is told.
const MIN_SHARE_CHANGE: f64 = 0.02;
/// Steps of a share: prefixes move only when it changes by one.
const SHARE_STEPS: f64 = 32.0;

/// Merges samples into speeds; see the module.
#[derive(Debug, Default)]
pub struct SpeedTable {
    servers: BTreeMap<ServerInstance, Entry>,
    /// Number of the last change.
    version: u64,
    receivers: BTreeMap<u64, Receiver>,
    updated_at: Micros,
    window_start: Option<Micros>,
    /// Until when shares are told.
    differs_until: Micros,
}

#[derive(Debug)]
struct Entry {
    samples: VecDeque<Point>,
    created_at: Micros,
    seen_at: Micros,
    /// Work and requests in the current window.
    work: u64,
    requests: u64,
    /// Tokens per µs in the last two whole windows, newest first; 0 if the server wasn't there for
    /// all of it.
    rates: [f64; 2],
    /// Correction to the share that follows from the speed.
    correction: f64,
    /// Averaged logarithm of the estimated ratio.
    log_ratio: Option<f64>,
    told: Option<Told>,
    /// Since when the estimate differs from what was told.
    differs_since: Option<Micros>,
}

/// Time per token (µs) of a router's requests.
#[derive(Clone, Copy, Debug)]
struct Point {
    at: Micros,
    per_token: f32,
    count: u32,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    ratio: f64,
    /// 0 when it follows from the ratio.
    share: f64,
    samples: u32,
    /// Number of the change; each has its own.
    version: u64,
}

impl Entry {
    fn new(now: Micros) -> Self {
        Self {
            samples: VecDeque::new(),
            created_at: now,
            seen_at: now,
            work: 0,
            requests: 0,
            rates: [0.0; 2],
            correction: 1.0,
            log_ratio: None,
            told: None,
            differs_since: None,
        }
    }

    /// Estimated time per token (µs), and the weighted number of requests, if there are enough.
    fn estimate(&self, now: Micros) -> Option<(f64, f64)> {
        // The larger of two rates: counts vary, and a speed mustn't be taken for too low.
        let rate = self.rates[0].max(self.rates[1]);
        if rate <= 0.0 {
            return None;
        }
        let weigh = |point: &Point| {
            let age = now.saturating_sub(point.at) as f64;
            f64::from(point.count) * (-age / HALF_LIFE).exp2()
        };
        let mut points: Vec<(f64, f64)> = self
            .samples
            .iter()
            .map(|point| (f64::from(point.per_token), weigh(point)))
            .collect();
        let total: f64 = points.iter().map(|(_, weight)| weight).sum();
        if total < MIN_SAMPLES {
            return None;
        }
        points.sort_unstable_by(|one, two| one.0.total_cmp(&two.0));
        let mut below = 0.0;
        let reached = points.iter().find(|(_, weight)| {
            below += weight;
            below >= total * QUANTILE
        });
        reached.map(|(per_token, _)| (per_token.min(1.0 / rate), total))
    }
}

impl SpeedTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a router's sample that arrived at `now`. One without work is ignored.
    pub fn add(&mut self, now: Micros, sample: &ServerSample) {
        if sample.work == 0 {
            return;
        }
        self.window_start.get_or_insert(now);
        let room = (MAX_ALL_SAMPLES / self.servers.len().max(1)).clamp(MIN_ROOM, MAX_SAMPLES);
        let entry = self.servers.get_mut(&sample.server);
        let entry = match entry {
            Some(entry) => entry,
            None => self
                .servers
                .entry(sample.server.clone())
                .or_insert_with(|| Entry::new(now)),
        };
        entry.seen_at = now;
        entry.work = entry.work.saturating_add(sample.work);
        entry.requests += u64::from(sample.count.max(1));
        if sample.time == 0 || sample.count == 0 {
            return;
        }
        while entry.samples.len() >= room {
            entry.samples.pop_front();
        }
        entry.samples.push_back(Point {
            at: now,
            per_token: (sample.time as f64 / sample.work as f64) as f32,
            count: sample.count,
        });
    }

    /// Estimates the speeds anew, every two seconds at most. Returns how many changes there
    /// are to tell.
    pub fn update(&mut self, now: Micros) -> usize {
        if now < self.updated_at + UPDATE_INTERVAL {
            return 0;
        }
        self.updated_at = now;
        self.forget(now);
        let is_window_over = self.close_window(now);
        let mut known: Vec<(&mut Entry, f64, f64)> = Vec::with_capacity(self.servers.len());
        for entry in self.servers.values_mut() {
            if let Some((per_token, samples)) = entry.estimate(now) {
                known.push((entry, per_token, samples));
            }
        }
        if known.len() < MIN_SERVERS {
            return 0;
        }
        known.sort_unstable_by(|one, two| one.1.total_cmp(&two.1));
        let median = known[known.len() / 2].1;
        let before = self.version;
        for (entry, per_token, samples) in &mut known {
            entry.average_ratio(*per_token / median);
            if entry.tell_ratio(now, *per_token / median, *samples) {
                entry.set_version(&mut self.version);
            }
        }
        // Without shares that routers follow, corrections would add up without effect.
        let had_differences = now < self.differs_until;
        if is_window_over && had_differences {
            correct_shares(known.iter_mut().map(|(entry, ..)| &mut **entry).collect());
        }
        if self.servers.values().any(Entry::differs) {
            self.differs_until = now + DIFFERENCE_TIME;
        }
        let has_differences = now < self.differs_until;
        for entry in self.servers.values_mut() {
            if !has_differences {
                entry.correction = 1.0;
            }
            if entry.tell_share(has_differences) {
                entry.set_version(&mut self.version);
            }
        }
        (self.version - before) as usize
    }

    /// The speeds that a receiver, the process of a router, hasn't been told yet; all of them again
    /// every two minutes. A hundred at most, the rest follow in the next call.
    pub fn changes(&mut self, receiver: u64, now: Micros) -> Vec<ServerSpeed> {
        let restarted = Receiver {
            version: 0,
            restarted_at: now,
        };
        let receiver = self.receivers.entry(receiver).or_insert(restarted);
        if now >= receiver.restarted_at + REPEAT_INTERVAL {
            *receiver = restarted;
        }
        if receiver.version == self.version {
            return Vec::new();
        }
        let mut new: Vec<(&ServerInstance, &Told)> = Vec::new();
        for (server, entry) in &self.servers {
            let told = entry.told.as_ref();
            if let Some(told) = told.filter(|told| told.version > receiver.version) {
                new.push((server, told));
            }
        }
        new.sort_unstable_by_key(|(_, told)| told.version);
        new.truncate(MAX_CHANGES);
        if let Some((_, last)) = new.last() {
            receiver.version = last.version;
        }
        let speeds = new.into_iter().map(|(server, told)| ServerSpeed {
            server: server.clone(),
            ratio_milli: milli(told.ratio),
            share_milli: milli(told.share),
            samples: told.samples,
        });
        speeds.collect()
    }

    /// Begins a new window if the current one is long enough. Returns whether it did.
    fn close_window(&mut self, now: Micros) -> bool {
        let Some(start) = self.window_start else {
            return false;
        };
        let requests: u64 = self.servers.values().map(|entry| entry.requests).sum();
        if now < start + WINDOW || requests < WINDOW_SAMPLES * self.servers.len() as u64 {
            return false;
        }
        for entry in self.servers.values_mut() {
            let is_whole = entry.created_at <= start + WINDOW_GRACE;
            let rate = if is_whole {
                entry.work as f64 / (now - start) as f64
            } else {
                0.0
            };
            entry.rates = [rate, entry.rates[0]];
            entry.work = 0;
            entry.requests = 0;
        }
        self.window_start = Some(now);
        true
    }

    /// Drops old samples, servers without new ones, and receivers that ask no more.
    fn forget(&mut self, now: Micros) {
        self.servers.retain(|_, entry| {
            let is_old = |point: &Point| now >= point.at + MAX_AGE;
            while entry.samples.front().is_some_and(is_old) {
                entry.samples.pop_front();
            }
            now < entry.seen_at + MAX_AGE
        });
        self.receivers
            .retain(|_, receiver| now < receiver.restarted_at + 2 * REPEAT_INTERVAL);
    }
}

impl Entry {
    fn average_ratio(&mut self, ratio: f64) {
        let log_ratio = self.log_ratio.get_or_insert(ratio.ln());
        *log_ratio += RATIO_WEIGHT * (ratio.ln() - *log_ratio);
    }

    /// Sets the told ratio if it has differed by more than its uncertainty for long enough. Returns
    /// whether it did.
    fn tell_ratio(&mut self, now: Micros, ratio: f64, samples: f64) -> bool {
        let is_same = match self.told {
            Some(told) => (ratio / told.ratio - 1.0).abs() <= MIN_CHANGE.max(0.5 / samples.sqrt()),
            None => false,
        };
        if is_same {
            self.differs_since = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let is_persistent = now >= since + PERSISTENCE;
        let is_first = self.told.is_none() && is_ordinary(milli(ratio));
        if !is_persistent && !is_first {
            return false;
        }
        self.differs_since = None;
        self.told = Some(Told {
            ratio,
            share: self.told.map_or(0.0, |told| told.share),
            samples: samples as u32,
            version: 0,
        });
        true
    }

    /// Whether the server's speed differs from that of ordinary servers.
    fn differs(&self) -> bool {
        self.told
            .is_some_and(|told| !is_ordinary(milli(told.ratio)))
    }

    /// Marks what is told as changed.
    fn set_version(&mut self, version: &mut u64) {
        *version += 1;
        if let Some(told) = &mut self.told {
            told.version = *version;
        }
    }

    /// Sets the told share; it follows from the ratio in a pool of equal servers. Returns whether
    /// it changed.
    fn tell_share(&mut self, has_differences: bool) -> bool {
        let Some(told) = &mut self.told else {
            return false;
        };
        let mut share = 0.0;
        if has_differences {
            let wanted = self.correction / quantize(milli(told.ratio));
            share = ((wanted * SHARE_STEPS).round() / SHARE_STEPS).max(1.0 / SHARE_STEPS);
        }
        let is_same = share == told.share
            || share > 0.0 && (share / told.share - 1.0).abs() < MIN_SHARE_CHANGE;
        if is_same {
            return false;
        }
        told.share = share;
        true
    }
}

/// Corrects the shares of servers whose work took more or less time than that of others.
fn correct_shares(entries: Vec<&mut Entry>) {
    let time = |entry: &Entry| entry.rates[0] * entry.log_ratio.unwrap_or(0.0).exp();
    let mut entries = entries;
    entries.retain(|entry| entry.rates[0] > 0.0);
    if entries.is_empty() {
        return;
    }
    let mean = entries.iter().map(|entry| time(entry)).sum::<f64>() / entries.len() as f64;
    for entry in entries {
        let relative = (time(entry) / mean).min(SHARE_RANGE.1);
        if relative < MIN_RELATIVE_WORK || (relative - 1.0).abs() <= SHARE_TOLERANCE {
            continue;
        }
        let corrected = entry.correction * relative.powf(-SHARE_GAIN);
        entry.correction = corrected.clamp(SHARE_RANGE.0, SHARE_RANGE.1);
    }
}

fn milli(value: f64) -> u32 {
    (value * 1_000.0).round() as u32
}
