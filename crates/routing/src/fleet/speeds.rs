//! Speeds of the servers, by the pauses of their streams, and which of them long prompts are
//! kept away from.

use std::time::Duration;

use swiftlink_types::Micros;

use super::Fleet;
use crate::flow::{Flow, ReadTime, Stall};
use crate::note::NEWS_MOST;
use crate::server::{Sent, ServerIdx};

/// Part of a pool's speed up to which servers are kept free of long prompts.
const QUIET_MOST: f64 = 0.4;

/// Times that a server is slower than the usual one, and part of the accepted pause that
/// streams stop there, from which on it is kept free of long prompts: what is learned of a
/// speed varies by a tenth.
const TURN: (f64, f64) = (1.15, 0.9);

/// The same for one that is kept free already. Without long prompts it shows less of
/// them, and each change makes their shared parts be read at other servers.
const STAY: (f64, f64) = (1.07, 0.6);

/// Weight of a prompt in the mean length of those that servers had to read.
const PROMPT_GAIN: f64 = 1.0 / 64.0;

/// What is known of a pool's speed.
#[derive(Debug)]
pub(super) struct Speeds {
    /// Longest pause that its streams may have (µs).
    pause: Option<Micros>,
    stall: Stall,
    /// Whether long prompts may be kept away from some servers.
    may_part: bool,
    read: ReadTime,
    /// Mean length of the prompts that servers had to read, in tokens.
    prompts: f64,
}

impl Speeds {
    pub(super) fn new() -> Self {
        Self {
            pause: None,
            stall: Stall::default(),
            may_part: true,
            read: ReadTime::default(),
            prompts: 0.0,
        }
    }

    /// Time in which a server of ordinary speed reads a token (µs); 0 when unknown.
    pub(super) fn read_time(&self) -> f64 {
        self.read.get()
    }

    /// Takes the time until an answer began, at a server `slower` times slower than others.
    pub(super) fn learn_read(&mut self, sent: &Sent, time: Micros, slower: f64) {
        self.prompts += PROMPT_GAIN * (sent.unread as f64 - self.prompts);
        // Short prompts tell more of the way to the server than of its reading.
        if sent.unread as f64 > self.prompts {
            let tokens = sent.unread + sent.ahead;
            self.read.learn(time, tokens, slower);
        }
    }

    /// Whether prompts make the streams of a server stop for too long.
    fn stalls(&self, slower: f64, was_quiet: bool) -> bool {
        let Some(pause) = self.pause else {
            return false;
        };
        let (least, margin) = if was_quiet { STAY } else { TURN };
        self.may_part && slower >= least && slower * self.stall.get() > pause as f64 * margin
    }
}

impl Fleet {
    /// Takes the longest pause between two events that callers of the pool's streams accept.
    pub fn set_pause(&mut self, pause: Option<Duration>) {
        self.speeds.pause = pause.map(|pause| pause.as_micros() as Micros);
    }

    /// Takes whether long prompts may be kept away from some servers. Routers that don't hear
    /// of each other's requests can't: what they send apart meets at few servers (measured with
    /// 86 routers before servers of 12 slots: 38 in 100 short streams late, 25 without).
    pub fn set_apart(&mut self, may: bool) {
        self.speeds.may_part = may;
        self.compare();
    }

    /// Servers that long prompts are kept away from.
    #[must_use]
    pub fn quiet_len(&self) -> usize {
        let open = self.open.iter().map(|slot| &self.servers[*slot as usize]);
        open.filter(|server| server.is_quiet).count()
    }

    /// Longest pause that prompts cause in the streams of a server of ordinary speed.
    #[must_use]
    pub fn stall(&self) -> Duration {
        Duration::from_micros(self.speeds.stall.get() as u64)
    }

    /// Takes how the events of a stream followed each other.
    pub fn on_flow(&mut self, idx: ServerIdx, flow: Flow) {
        if let Some(server) = self.get_mut(idx)
            && server.news.flows.len() < NEWS_MOST
        {
            server.news.flows.push(flow);
            server.news.is_due = true;
        }
        self.learn_flow(idx, flow);
    }

    pub(super) fn learn_flow(&mut self, idx: ServerIdx, flow: Flow) {
        let Some(server) = self.get_mut(idx) else {
            return;
        };
        server.flow.learn(flow.gap);
        let (slower, is_quiet) = (server.slower, server.is_quiet);
        // Quiet servers don't show what prompts do.
        if !is_quiet {
            self.speeds.stall.learn(flow.longest, slower);
        }
        self.compare();
    }

    /// Compares the servers' speeds, and says where long prompts would stall streams for too
    /// long.
    fn compare(&mut self) {
        let open = self.open.iter().map(|slot| &self.servers[*slot as usize]);
        let mut gaps: Vec<f64> = open.filter_map(|server| server.flow.gap()).collect();
        gaps.sort_by(f64::total_cmp);
        let Some(usual) = gaps.get(gaps.len() / 2).copied() else {
            return;
        };
        let mut slowest = Vec::with_capacity(self.open.len());
        let mut speed = 0.0;
        for slot in &self.open {
            let server = &mut self.servers[*slot as usize];
            server.slower = server.flow.gap().map_or(1.0, |gap| gap / usual);
            let was_quiet = std::mem::take(&mut server.is_quiet);
            speed += 1.0 / server.slower;
            slowest.push((server.slower, *slot, was_quiet));
        }
        slowest.sort_by(|one, two| two.0.total_cmp(&one.0));
        let mut quiet = 0.0;
        for (slower, slot, was_quiet) in slowest {
            let would = quiet + 1.0 / slower;
            if !self.speeds.stalls(slower, was_quiet) || would > speed * QUIET_MOST {
                continue;
            }
            self.servers[slot as usize].is_quiet = true;
            quiet = would;
        }
    }
}
