//! Selects a server for a request and counts the request as sent.

use rand::Rng;

use super::Fleet;
use crate::policy::{PickArgs, View, draw};
use crate::server::{Dispatch, ServerIdx};
use crate::speed::WorkEstimate;

/// A chosen server, and the prompt tokens that it has to process.
pub(super) struct Choice {
    pub(super) idx: ServerIdx,
    /// Tokens of the request itself.
    pub(super) prefill: u64,
    /// Tokens of the prompts in front of it.
    pub(super) backlog: u64,
    /// Estimate of the tokens that it really has to process.
    pub(super) work: WorkEstimate,
}

impl Fleet {
    /// Chooses a server. `None` when none can take the request now.
    pub fn pick(&mut self, args: &PickArgs<'_>, rng: &mut impl Rng) -> Option<ServerIdx> {
        self.choose(args, rng).map(|choice| choice.idx)
    }

    fn choose(&mut self, args: &PickArgs<'_>, rng: &mut impl Rng) -> Option<Choice> {
        if self.is_backoff_over(args.now) {
            self.end_backoffs(args.now);
        }
        if self.cold.has_warmed(args.now) {
            self.cold.advance(args.now);
            self.refresh();
        }
        if self.has_expired_speeds(args.now) {
            self.expire_speeds(args.now);
        }
        let view = View {
            servers: &self.servers,
            open: &self.open,
            hashes: &self.hashes,
            shares: &self.speeds.shares,
            max_share: self.speeds.max_share,
            args,
            pool: &self.pool,
            seed: self.settings.seed,
            cached: &self.cached,
            per_token: self.isolation.prefill_per_token(),
        };
        let probed = probe(&view, &self.ejected, rng);
        let is_cold_needed = self.cold.is_needed(self.open.len());
        let probe_or_cold =
            probed.or_else(|| is_cold_needed.then(|| self.cold.pick(&view, rng))?);
        let chosen = probe_or_cold.or_else(|| self.policy.pick(&view, rng));
        let chosen = chosen.or_else(|| self.cold.pick(&view, rng));
        let chosen = chosen.or_else(|| pick_excluded(&view, &self.excluded));
        if chosen.is_none() && self.working_set.grow() {
            self.refresh();
            return self.choose(args, rng);
        }
        let chosen_last = chosen.or_else(|| last_resort(&view, &self.ejected));
        let index = chosen_last.or_else(|| last_of_version(&view, &self.ejected))?;
        debug_assert!(
            chosen.is_none() || chosen == probed || view.can_take(index),
            "policies choose eligible servers only"
        );
        let prefill = view.prefill_tokens(index);
        Some(Choice {
            prefill,
            work: WorkEstimate::new(args.prompt, prefill, self.policy.is_home(index)),
            backlog: view.backlog(index),
            idx: self.idx(index),
        })
    }

    /// Chooses a server and counts the request as sent to it. `None` when none can take the request
    /// now.
    pub fn send(&mut self, args: &PickArgs<'_>, rng: &mut impl Rng) -> Option<Dispatch> {
        let choice = self.choose(args, rng)?;
        let mut dispatch = self.on_sent(choice.idx, args.now)?;
        dispatch.prefill = choice.prefill;
        dispatch.backlog = choice.backlog;
        dispatch.work = choice.work;
        self.on_prompt(args, &choice);
        Some(dispatch)
    }
}

/// The least loaded of the servers that get only the requests that their version began.
fn pick_excluded(view: &View<'_>, excluded: &[u32]) -> Option<u32> {
    view.args().version?;
    let may_take = |index: &u32| view.server(*index).is_available_to_own() && view.can_take(*index);
    let candidates = excluded.iter().copied().filter(may_take);
    candidates.min_by(|one, two| view.load(*one).total_cmp(&view.load(*two)))
}

/// An ejected server that is due for a probe and may get this request as its probe.
fn probe(view: &View<'_>, ejected: &[u32], rng: &mut dyn Rng) -> Option<u32> {
    if ejected.is_empty() {
        return None;
    }
    let start = draw(rng, ejected.len());
    let (before, after) = ejected.split_at(start);
    let mut indices = after.iter().chain(before).copied();
    indices.find(|index| view.can_probe(*index))
}

/// The server whose ejection ends first, for a request that no other version may take.
fn last_of_version(view: &View<'_>, ejected: &[u32]) -> Option<u32> {
    view.args().version?;
    let candidates = ejected.iter().copied();
    let candidates = candidates.filter(|index| !view.is_excluded(*index));
    candidates.min_by_key(|index| view.server(*index).health.ejected_until())
}

/// The server that was ejected longest ago, among those that refused a connection.
///
/// When links fail for some milliseconds, one after the other, a whole pool may be ejected for a
/// second although all but one of its servers can be reached. Another connection attempt takes a
/// millisecond and spares callers a refusal. With links to three servers failing at random for up
/// to 50 ms, under sixteen callers, some were refused in one run of nine without it, and in none of
/// forty with it.
fn last_resort(view: &View<'_>, ejected: &[u32]) -> Option<u32> {
    let candidates = ejected
        .iter()
        .copied()
        .filter(|index| view.can_reconnect(*index));
    candidates.min_by_key(|index| view.server(*index).health.ejected_until())
}
