//! Placement by the prompt's prefix that keeps long prompts from streams which they would stall.

use rand::Rng;

use crate::baseline::TwoChoices;
use crate::expected::mix;
use crate::policy::{Policy, View};
use crate::rendezvous::bound;

/// Weight of a request in the mean length of prompts.
const GAIN: f64 = 1.0 / 64.0;
/// Weight of the time to read the request's own prompt: all that come after it wait for that
/// too. 2 and 4 measured alike.
const OWN: f64 = 2.0;
/// Part of the time to the first event that may pass before waiting counts. A quarter and a
/// half measured alike.
const FREE: f64 = 0.25;

/// The first server in the prefix's rendezvous order that isn't overloaded, among those for
/// prompts of its length.
///
/// Where the servers of a pool differ in speed, long prompts stall the streams of the slower
/// ones for longer than callers accept ([`View::is_quiet`]). These get prompts that are shorter
/// than the mean, while they have little to read; the others get the rest. Measured where a
/// third of the servers takes 1.3 times as long as the others: of streams with short prompts a
/// quarter paused for too long without this, and one in twelve with it.
///
/// Among the servers that fit, the one with the least reading is chosen: what is ahead there,
/// as far as this router and its peers know, and what it has to read itself. A prefix stays at
/// its home until the wait there takes a good part of the time that the caller gives.
#[derive(Debug, Default)]
pub struct Unmixed {
    plain: TwoChoices,
    /// Mean length of prompts lately, in tokens.
    mean: Option<f64>,
}

impl Unmixed {
    /// Takes a prompt's length; gives the mean of lately, in tokens.
    fn follow(&mut self, length: u64) -> f64 {
        let length = length as f64;
        let mean = self.mean.get_or_insert(length);
        *mean += GAIN * (length - *mean);
        *mean
    }
}

/// Which servers suit prompts of one length.
struct Fit<'a> {
    view: &'a View<'a>,
    /// Whether it goes to a quiet server.
    is_quiet: bool,
    /// Tokens from which on a quiet server has too much to read.
    most: f64,
}

impl<'a> Fit<'a> {
    /// For a prompt that is shorter than the mean, the quiet servers that have less than a
    /// mean prompt to read. Where lengths differ much, few prompts are longer than the mean,
    /// and most tokens are theirs.
    fn new(view: &'a View<'a>, length: u64, mean: f64) -> Self {
        let mut fit = Self {
            view,
            is_quiet: true,
            most: mean,
        };
        let is_short = (length as f64) < mean;
        fit.is_quiet = is_short && view.open().iter().any(|slot| fit.has(*slot));
        fit
    }

    fn has(&self, slot: u32) -> bool {
        if !self.view.can_take(slot) {
            return false;
        }
        let is_quiet = self.view.is_quiet(slot);
        if !self.is_quiet {
            return !is_quiet;
        }
        is_quiet && (self.view.ahead(slot) as f64) < self.most
    }
}

impl Policy for Unmixed {
    fn name(&self) -> &'static str {
        "unmixed"
    }

    fn pick(&mut self, view: &View<'_>, rng: &mut dyn Rng) -> Option<u32> {
        let prefix = view.pick().prefix;
        if prefix == 0 {
            return self.plain.pick(view, rng);
        }
        let prompt = view.pick().prompt;
        let length = prompt.own + prompt.shared;
        let mean = self.follow(length);
        let fit = Fit::new(view, length, mean);
        let bound = bound(view, |slot| fit.has(slot));
        let home = home(view, &fit);
        let mut best: Option<(Rank, u32)> = None;
        for (slot, hash) in view.open().iter().copied().zip(view.hashes()) {
            if !view.can_take(slot) {
                continue;
            }
            let server = view.server(slot);
            let unread = if home == Some(slot) {
                // Other routers send the prefix there too.
                prompt.own
            } else {
                view.unread(slot)
            };
            let own = view.reading(slot, unread);
            let wait = view.reading(slot, view.ahead(slot)) + own - FREE * view.pick().aim as f64;
            let rank = Rank {
                is_fit: fit.has(slot),
                is_free: f64::from(server.load().in_flight()) <= bound,
                work: wait.max(0.0) + OWN * own,
                weight: mix(hash ^ prefix),
            };
            if best.as_ref().is_none_or(|(most, _)| rank.is_better(most)) {
                best = Some((rank, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }
}

/// How well a server suits a request.
struct Rank {
    is_fit: bool,
    is_free: bool,
    /// Reading that it costs the caller and others (µs).
    work: f64,
    weight: u64,
}

impl Rank {
    fn is_better(&self, other: &Self) -> bool {
        let able = (self.is_fit, self.is_free).cmp(&(other.is_fit, other.is_free));
        let less = other.work.total_cmp(&self.work);
        able.then(less).then(self.weight.cmp(&other.weight)).is_gt()
    }
}

/// The first server in the prefix's rendezvous order among those that fit.
fn home(view: &View<'_>, fit: &Fit<'_>) -> Option<u32> {
    let prefix = view.pick().prefix;
    let servers = view.open().iter().copied().zip(view.hashes());
    let able = servers.filter(|(slot, _)| fit.has(*slot));
    let best = able.max_by_key(|(_, hash)| mix(*hash ^ prefix));
    best.map(|(slot, _)| slot)
}
