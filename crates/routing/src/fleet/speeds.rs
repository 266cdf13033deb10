//! Exchange of speeds with the router that merges them, and the servers' shares of prefixes.

use swiftlink_types::Micros;

use super::Fleet;
use crate::server::{Dispatch, Server, ServerIdx};
use crate::speed::{FixedTime, SharedSpeed};
use crate::speed_table::{ServerSample, ServerSpeed};

/// Age at which a speed that wasn't told again is unknown (µs): all are told again every two minutes.
const MAX_AGE: Micros = 300_000_000;
/// Servers in one call of [`Fleet::take_samples`]: about 3 KB. Others follow in the next one.
const MAX_SAMPLES: usize = 64;

/// What a fleet knows of its servers' shared speeds.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    /// Shares of the open servers, in the order of `Fleet::open`; empty while they are equal, or
    /// not used.
    pub(super) shares: Vec<f64>,
    /// Largest of `shares`.
    pub(super) max_share: f64,
    /// When the oldest speed expires, or earlier.
    expires_at: Option<Micros>,
    /// Servers with samples that weren't taken yet.
    sampled: Vec<ServerIdx>,
    fixed: FixedTime,
}

/// Summary of a pool's shared speeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpeedSummary {
    /// Servers whose speed is known.
    pub known: usize,
    /// Time per token of the slowest and the fastest one relative to the pool's median, in
    /// thousandths; 0 when none is known.
    pub slowest_milli: u32,
    /// See `slowest_milli`.
    pub fastest_milli: u32,
}

impl Fleet {
    /// Takes the samples of speeds since the last call, to be merged with those of other routers. A
    /// server may have two: one without a time for requests whose work isn't known well.
    pub fn take_samples(&mut self) -> Vec<ServerSample> {
        let mut samples = Vec::new();
        let count = self.speeds.sampled.len().min(MAX_SAMPLES);
        let sampled: Vec<ServerIdx> = self.speeds.sampled.drain(..count).collect();
        for idx in sampled {
            let Some(server) = self.get_mut(idx) else {
                continue;
            };
            let sums = std::mem::take(&mut server.samples);
            let timed = (sums.work, sums.time, sums.count);
            for (work, time, count) in [timed, (sums.untimed_work, 0, 0)] {
                if work > 0 {
                    let server = server.instance.clone();
                    samples.push(ServerSample {
                        server,
                        work,
                        time,
                        count,
                    });
                }
            }
        }
        samples.sort_unstable_by(|one, two| one.server.cmp(&two.server));
        samples
    }

    /// Applies speeds that arrived at `now`. Those of unknown instances are ignored. Returns the
    /// number of servers whose speed or share changed.
    pub fn apply_speeds(&mut self, now: Micros, speeds: &[ServerSpeed]) -> usize {
        let mut changed = 0;
        for speed in speeds {
            let Some(index) = self.by_name.get(&speed.server.name) else {
                continue;
            };
            let server = &mut self.servers[*index as usize];
            if server.instance != speed.server || speed.ratio_milli == 0 {
                continue;
            }
            let new = SharedSpeed::new(speed.ratio_milli, speed.share_milli, now);
            let old = server.shared_speed.replace(new);
            let is_same =
                old.is_some_and(|old| old.ratio_milli == new.ratio_milli && old.share == new.share);
            changed += usize::from(!is_same);
        }
        if !speeds.is_empty() {
            self.speeds.expires_at.get_or_insert(now + MAX_AGE);
        }
        if changed > 0 {
            self.refresh_shares();
        }
        changed
    }

    /// Summary of the known speeds, for logs and metrics.
    #[must_use]
    pub fn speed_summary(&self) -> SpeedSummary {
        let indices = self.by_name.values();
        let servers = indices.filter_map(|index| self.servers[*index as usize].shared_speed);
        let mut summary = SpeedSummary::default();
        for speed in servers {
            let ratio = speed.ratio_milli;
            summary.slowest_milli = summary.slowest_milli.max(ratio);
            summary.fastest_milli = match summary.known {
                0 => ratio,
                _ => summary.fastest_milli.min(ratio),
            };
            summary.known += 1;
        }
        summary
    }

    /// Whether some speed may have expired.
    pub(super) fn has_expired_speeds(&self, now: Micros) -> bool {
        self.speeds.expires_at.is_some_and(|at| now >= at)
    }

    /// Discards the speeds that weren't told for too long.
    pub(super) fn expire_speeds(&mut self, now: Micros) {
        let mut oldest = None;
        let mut has_expired = false;
        for server in &mut self.servers {
            let Some(speed) = server.shared_speed else {
                continue;
            };
            if now >= speed.at + MAX_AGE {
                server.shared_speed = None;
                has_expired = true;
                continue;
            }
            oldest = Some(oldest.map_or(speed.at, |at: Micros| at.min(speed.at)));
        }
        self.speeds.expires_at = oldest.map(|at| at + MAX_AGE);
        if has_expired {
            self.refresh_shares();
        }
    }

    /// Lists the shares of the open servers.
    pub(super) fn refresh_shares(&mut self) {
        let open = self.open.iter().map(|index| &self.servers[*index as usize]);
        let shares = &mut self.speeds.shares;
        shares.clear();
        shares.extend(open.map(Server::share));
        self.speeds.max_share = shares.iter().copied().fold(0.0, f64::max);
        // Routers of small fleets know the backlogs and gaps of all from their peers.
        let is_used = !self.isolation.is_enabled();
        if !is_used || shares.iter().all(|share| *share == 1.0) {
            shares.clear();
        }
    }

    /// Time that work takes at a server relative to an ordinary one.
    pub(super) fn time_ratio(&self, server: &Server) -> f64 {
        if self.speeds.shares.is_empty() {
            return server.gap_ratio;
        }
        server.time_ratio()
    }

    /// Samples a server's speed by the time to the first event.
    pub(super) fn sample_speed(&mut self, dispatch: &Dispatch, time: Micros) {
        let work = dispatch.work;
        if work.tokens == 0 {
            return;
        }
        self.speeds.fixed.learn(work.tokens, time);
        let fixed = self.speeds.fixed;
        let Some(server) = self.get_mut(dispatch.idx) else {
            return;
        };
        let is_first = server.samples.is_empty();
        // A wait for a slot says nothing about the speed.
        let has_queue = server
            .load
            .report()
            .is_some_and(|report| report.waiting > 0);
        if work.is_known && !has_queue && fixed.is_small_beside(work.tokens) {
            let time = time.saturating_sub(fixed.get()).max(1);
            server.samples.add(work.tokens, time);
        } else {
            server.samples.add_untimed(work.tokens);
        }
        if is_first {
            self.speeds.sampled.push(dispatch.idx);
        }
    }
}
