//! Speed of one server as all routers are told it, and a router's own samples of it.

use swiftlink_types::Micros;

use crate::policy::Prompt;

/// Speeds are compared in steps of an eighth of an ordinary server's, so that small changes move
/// nothing.
const STEPS: f64 = 8.0;
/// Steps within which servers count as equally fast: speeds are told with an error of some percent.
const ORDINARY_STEPS: f64 = 1.0;
/// Largest share that is applied.
const MAX_SHARE: f64 = 64.0;
/// Largest speed in steps.
const MAX_STEPS: f64 = 64.0;

/// Time per token of a server relative to an ordinary one, from a ratio in thousandths: 1 exactly
/// for servers that count as equally fast.
pub(crate) fn quantize(ratio_milli: u32) -> f64 {
    let speed = 1_000.0 / f64::from(ratio_milli.max(1));
    let steps = (speed * STEPS).round().clamp(1.0, MAX_STEPS);
    if (steps - STEPS).abs() <= ORDINARY_STEPS {
        return 1.0;
    }
    STEPS / steps
}

/// Whether a server with this ratio counts as ordinary.
pub(crate) fn is_ordinary(ratio_milli: u32) -> bool {
    quantize(ratio_milli) == 1.0
}

/// Speed of a server that all routers know.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SharedSpeed {
    /// Time per token relative to the pool's median, as told (thousandths).
    pub(crate) ratio_milli: u32,
    /// The same in whole steps; 1 for an ordinary server.
    pub(crate) ratio: f64,
    /// Share of the prefixes relative to an ordinary server's.
    pub(crate) share: f64,
    /// When it arrived.
    pub(crate) at: Micros,
}

impl SharedSpeed {
    pub(crate) fn new(ratio_milli: u32, share_milli: u32, at: Micros) -> Self {
        let ratio = quantize(ratio_milli);
        let share = match share_milli {
            0 => 1.0 / ratio,
            told => (f64::from(told) / 1_000.0).min(MAX_SHARE),
        };
        Self {
            ratio_milli,
            ratio,
            share,
            at,
        }
    }
}

/// Tokens that a server has to prefill for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WorkEstimate {
    pub(crate) tokens: u64,
    /// Whether the estimate is good enough to judge the server's speed by.
    pub(crate) is_known: bool,
}

/// The work counts as known when the part that may be cached is at most this fraction of the rest:
/// servers with small caches lose it often.
const MAX_UNCERTAIN_PART: u64 = 4;

impl WorkEstimate {
    /// The estimate for a prompt of which this router expects `prefill` tokens to be processed, at
    /// the home of its prefix or elsewhere. At its home the shared part is taken for cached, since
    /// other routers send the prefix there too.
    pub(crate) fn new(prompt: Prompt, prefill: u64, is_home: bool) -> Self {
        let is_known = prompt.shared.saturating_mul(MAX_UNCERTAIN_PART) <= prompt.own;
        let tokens = match is_known {
            true if is_home => prompt.own,
            true => prefill,
            false => prompt.own + prompt.shared / 2,
        };
        Self { tokens, is_known }
    }
}

/// Sums of a router's requests to a server since they were last taken.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SampleSums {
    /// Requests whose work is known.
    pub(crate) work: u64,
    pub(crate) time: Micros,
    pub(crate) count: u32,
    /// Work of the others.
    pub(crate) untimed_work: u64,
}

/// Requests after which no more are added until the sums are taken.
const MAX_COUNT: u32 = 64;

impl SampleSums {
    pub(crate) fn is_empty(&self) -> bool {
        self.count == 0 && self.untimed_work == 0
    }

    /// Adds a request whose work is known and took `time`.
    pub(crate) fn add(&mut self, work: u64, time: Micros) {
        if self.count < MAX_COUNT {
            self.work += work;
            self.time += time;
            self.count += 1;
        }
    }

    /// Adds the work of a request whose time can't be compared with it.
    pub(crate) fn add_untimed(&mut self, work: u64) {
        self.untimed_work = self.untimed_work.saturating_add(work);
    }
}

/// Prompts of at most this fraction of the mean count as without work.
const SHORT: f64 = 1.0 / 16.0;
/// Weight of a prompt in the mean length.
const EWMA_WEIGHT: f64 = 1.0 / 64.0;
/// Relative growth of the estimate with each short prompt that took longer, so that a change of the
/// network is noticed.
const GROWTH: f64 = 0.01;

/// The part of the time to the first event that doesn't depend on the prompt: the least time of
/// prompts that are too short to matter. Without such prompts it counts as 0.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FixedTime {
    mean_tokens: f64,
    time: Option<f64>,
}

impl FixedTime {
    pub(crate) fn learn(&mut self, tokens: u64, time: Micros) {
        let tokens = tokens as f64;
        self.mean_tokens += EWMA_WEIGHT * (tokens - self.mean_tokens);
        if tokens > self.mean_tokens * SHORT {
            return;
        }
        let known = self
            .time
            .map_or(f64::INFINITY, |known| known * (1.0 + GROWTH));
        self.time = Some(known.min(time as f64));
    }

    /// Whether a prompt is longer than the mean, so that an error in the fixed part matters little.
    pub(crate) fn is_small_beside(&self, tokens: u64) -> bool {
        tokens as f64 >= self.mean_tokens
    }

    /// The fixed part (µs).
    pub(crate) fn get(&self) -> Micros {
        self.time.unwrap_or(0.0) as Micros
    }
}
