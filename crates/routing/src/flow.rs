//! What streams show of their servers: how fast events follow each other, and how long
//! they stop while prompts are read.
//!
//! An engine reads long prompts in chunks between the tokens of the streams that it runs. An
//! event that holds several tokens waits for several chunks, so prompts that are read one
//! after the other stretch the pauses of all streams beside them up to a length that the
//! engine's chunks and its speed decide. It is learned here, for a server of ordinary speed,
//! as the *stall* of the pool.

use swiftlink_types::Micros;

/// How the events of a stream followed each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flow {
    /// The length that an eighth of the pauses between events were below. Prompts are read
    /// in some of the pauses only, so it tells the server's own speed.
    pub gap: Micros,
    /// The longest pause.
    pub longest: Micros,
}

/// Least weight of a flow in what is known of its server's speed: the first ones weigh alike.
/// Speeds last, and routers that disagree on them read the same shared parts at several
/// servers.
const GAIN_LEAST: f64 = 0.05;
/// Flows from which on a speed counts: a single one is off by a tenth or more.
const FLOWS_LEAST: u32 = 4;
/// Part of the streams whose longest pauses are below the stall.
const STALL_PART: f64 = 0.9;
/// Largest change of the stall by one stream, as a part of it.
const STALL_STEP: f64 = 0.05;

/// Speed of one server, by the events of its streams.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    /// Logarithm of the time between two events (µs), averaged.
    gap: f64,
    /// Flows that it was taken from.
    flows: u32,
}

impl Pace {
    /// Time between two events (µs), once it is known.
    pub(crate) fn gap(&self) -> Option<f64> {
        (self.flows >= FLOWS_LEAST).then(|| self.gap.exp())
    }

    pub(crate) fn learn(&mut self, gap: Micros) {
        self.flows = self.flows.saturating_add(1);
        let gain = GAIN_LEAST.max(1.0 / f64::from(self.flows));
        self.gap += gain * ((gap.max(1) as f64).ln() - self.gap);
    }
}

/// Part of the times that the time to read a token is below: others hold a wait too.
const READ_PART: f64 = 0.25;
/// Largest change of it by one request, as a part of it.
const READ_STEP: f64 = 0.05;

/// Time in which a server of ordinary speed reads a token of a prompt (µs): a low quantile,
/// followed in steps.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReadTime(f64);

impl ReadTime {
    pub(crate) fn get(self) -> f64 {
        self.0
    }

    /// Takes the time for `tokens` until an answer began, at a server `slower` times slower
    /// than others.
    pub(crate) fn learn(&mut self, time: Micros, tokens: u64, slower: f64) {
        let seen = time as f64 / tokens.max(1) as f64 / slower;
        if self.0 == 0.0 {
            self.0 = seen;
        } else if seen < self.0 {
            self.0 *= 1.0 - READ_STEP * (1.0 - READ_PART);
        } else {
            self.0 *= 1.0 + READ_STEP * READ_PART;
        }
    }
}

/// The longest pause that prompts cause at a server of ordinary speed (µs): a high quantile,
/// followed in steps.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Stall(f64);

impl Stall {
    pub(crate) fn get(self) -> f64 {
        self.0
    }

    /// Takes the longest pause of a stream, of a server `slower` times slower than others.
    pub(crate) fn learn(&mut self, longest: Micros, slower: f64) {
        let pause = longest as f64 / slower;
        if self.0 == 0.0 {
            self.0 = pause;
        } else if pause > self.0 {
            self.0 *= 1.0 + STALL_STEP * STALL_PART;
        } else {
            self.0 *= 1.0 - STALL_STEP * (1.0 - STALL_PART);
        }
    }
}
