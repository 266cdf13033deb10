//! Estimates the servers' speeds from their streams, and isolates slow servers from long prompts.

use std::time::Duration;

use swiftlink_types::Micros;

use super::Fleet;
use crate::server::{Dispatch, ServerIdx};
use crate::timing::{PrefillStall, PrefillTime, StreamGaps};
use crate::update::MAX_UPDATE_ITEMS;

/// Largest fraction of a pool's total speed that isolated servers may have.
const MAX_ISOLATED_SHARE: f64 = 0.4;

/// Minimum gap ratio of a server, and minimum stall of its streams as a fraction of the accepted
/// gap, to isolate it. The estimate of a speed varies by a tenth.
const ISOLATE_THRESHOLD: (f64, f64) = (1.15, 0.9);

/// Lower thresholds, of the same two values, at which an isolated server stays isolated
/// (hysteresis). Without long prompts its streams stall less, and each change moves the prefill of
/// shared prompt parts to other servers.
const KEEP_THRESHOLD: (f64, f64) = (1.07, 0.6);

/// Weight of a prompt in the mean prefill length.
const EWMA_WEIGHT: f64 = 1.0 / 64.0;

/// Speed estimates of a pool and the settings of its isolation.
#[derive(Debug)]
pub(super) struct Isolation {
    /// Longest gap between events that callers accept (µs).
    max_gap: Option<Micros>,
    stall: PrefillStall,
    /// Whether servers may be isolated from long prompts.
    is_enabled: bool,
    prefill_time: PrefillTime,
    /// Mean number of prompt tokens that servers had to prefill.
    mean_prefill: f64,
}

impl Isolation {
    pub(super) fn new() -> Self {
        Self {
            max_gap: None,
            stall: PrefillStall::default(),
            is_enabled: true,
            prefill_time: PrefillTime::default(),
            mean_prefill: 0.0,
        }
    }

    /// Prefill time per token at a server of ordinary speed (µs); 0 when unknown.
    pub(super) fn prefill_per_token(&self) -> f64 {
        self.prefill_time.get()
    }

    /// Learns from the time until an answer began, at a server `time_ratio` times slower than
    /// others.
    pub(super) fn learn_prefill(&mut self, dispatch: &Dispatch, time: Micros, time_ratio: f64) {
        self.mean_prefill += EWMA_WEIGHT * (dispatch.prefill as f64 - self.mean_prefill);
        // For short prompts, the network latency outweighs the prefill time.
        if dispatch.prefill as f64 > self.mean_prefill {
            let tokens = dispatch.prefill + dispatch.backlog;
            self.prefill_time.learn(time, tokens, time_ratio);
        }
    }

    /// Whether servers may be isolated, which routers that exchange updates do.
    pub(super) fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Whether prefill stalls the streams of a server for longer than callers accept.
    fn exceeds_max_gap(&self, gap_ratio: f64, was_isolated: bool) -> bool {
        let Some(max_gap) = self.max_gap else {
            return false;
        };
        let (least, margin) = if was_isolated {
            KEEP_THRESHOLD
        } else {
            ISOLATE_THRESHOLD
        };
        self.is_enabled
            && gap_ratio >= least
            && gap_ratio * self.stall.get() > max_gap as f64 * margin
    }
}

impl Fleet {
    /// Sets the longest gap between two events that callers of the pool's streams accept.
    pub fn set_max_gap(&mut self, max_gap: Option<Duration>) {
        self.isolation.max_gap = max_gap.map(|max_gap| max_gap.as_micros() as Micros);
    }

    /// Sets whether servers may be isolated from long prompts; otherwise, the speeds that all routers
    /// know apply. Routers that don't exchange updates
    /// can't do it: their short prompts would all meet at few servers (with 86 routers and servers
    /// of 12 slots, 38 in 100 short streams were late, against 25 without isolation).
    pub fn set_isolation(&mut self, is_enabled: bool) {
        self.isolation.is_enabled = is_enabled;
        self.update_isolated();
        self.refresh_shares();
    }

    /// Number of servers that are isolated from long prompts.
    #[must_use]
    pub fn isolated_len(&self) -> usize {
        let open = self.open.iter().map(|index| &self.servers[*index as usize]);
        open.filter(|server| server.is_isolated).count()
    }

    /// Longest gap that prefill causes in the streams of a server of ordinary speed.
    #[must_use]
    pub fn stall(&self) -> Duration {
        Duration::from_micros(self.isolation.stall.get() as u64)
    }

    /// Learns from the event gaps of a stream, and records them for the peers.
    pub fn on_gaps(&mut self, idx: ServerIdx, gaps: StreamGaps) {
        if let Some(server) = self.get_mut(idx)
            && server.pending.gaps.len() < MAX_UPDATE_ITEMS
        {
            server.pending.gaps.push(gaps);
            server.pending.is_due = true;
        }
        self.learn_gaps(idx, gaps);
    }

    pub(super) fn learn_gaps(&mut self, idx: ServerIdx, gaps: StreamGaps) {
        let Some(server) = self.get_mut(idx) else {
            return;
        };
        server.event_gap.learn(gaps.gap);
        let (gap_ratio, is_isolated) = (server.gap_ratio, server.is_isolated);
        // Isolated servers don't show the effect of long prompts.
        if !is_isolated {
            self.isolation.stall.learn(gaps.longest, gap_ratio);
        }
        self.update_isolated();
    }

    /// Compares the servers' speeds, and isolates those whose streams long prompts would stall for
    /// too long.
    fn update_isolated(&mut self) {
        let open = self.open.iter().map(|index| &self.servers[*index as usize]);
        let mut gaps: Vec<f64> = open.filter_map(|server| server.event_gap.gap()).collect();
        gaps.sort_by(f64::total_cmp);
        let Some(usual) = gaps.get(gaps.len() / 2).copied() else {
            return;
        };
        let mut slowest = Vec::with_capacity(self.open.len());
        let mut speed = 0.0;
        for index in &self.open {
            let server = &mut self.servers[*index as usize];
            server.gap_ratio = server.event_gap.gap().map_or(1.0, |gap| gap / usual);
            let was_isolated = std::mem::take(&mut server.is_isolated);
            speed += 1.0 / server.gap_ratio;
            slowest.push((server.gap_ratio, *index, was_isolated));
        }
        slowest.sort_by(|one, two| two.0.total_cmp(&one.0));
        let mut isolated = 0.0;
        for (gap_ratio, index, was_isolated) in slowest {
            let total = isolated + 1.0 / gap_ratio;
            if !self.isolation.exceeds_max_gap(gap_ratio, was_isolated)
                || total > speed * MAX_ISOLATED_SHARE
            {
                continue;
            }
            self.servers[index as usize].is_isolated = true;
            isolated = total;
        }
    }
}
