//! The policy of choice: the least expected time to the first token.

use rand::Rng;

use crate::baseline::draw_able;
use crate::policy::{Policy, View, draw};

/// Servers, in rendezvous order, that a hot prefix may be spread over.
const RANKS: usize = 4;
/// Most servers compared in one pick.
const MAX_SAMPLE: usize = 32;

/// Settings of [`ExpectedWait`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScorePolicy {
    /// Servers drawn and compared in each pick, 32 at most.
    pub sample: usize,
    /// Part of the time to the first token that is left when the prefix is cached.
    pub warm: f64,
    /// A server keeps a prefix while its load is at most this multiple of the mean
    /// of the drawn ones.
    pub bound: f64,
    /// Time that another failure domain adds (µs).
    pub detour: f64,
    /// Random part of each score: keeps routers with the same lagging reports from
    /// all choosing the same server.
    pub jitter: f64,
}

impl Default for ScorePolicy {
    fn default() -> Self {
        Self {
            sample: 8,
            warm: 0.5,
            bound: 1.25,
            detour: 1_000.0,
            jitter: 0.1,
        }
    }
}

/// Scores a few drawn servers and those that the prefix is at home on.
///
/// The score is the expected time to the first token: the pool's at the server's
/// estimated load, times the server's slowness, at least the age of what it has not
/// answered yet, and more by its share of errors. A server where the prefix is likely
/// cached scores lower, unless its load is over the bound; then the next one in
/// rendezvous order takes the prefix too.
#[derive(Debug)]
pub struct ExpectedWait {
    policy: ScorePolicy,
}

impl ExpectedWait {
    /// The policy with these settings.
    #[must_use]
    pub fn new(policy: ScorePolicy) -> Self {
        Self { policy }
    }

    fn score(&self, view: &View<'_>, slot: u32, warmth: f64) -> f64 {
        let server = view.server(slot);
        let now = view.now();
        let expected = view.expected_first(load(view, slot) + 1.0 / f64::from(server.slots()));
        let usual = expected * server.slowness(now) * warmth;
        let unanswered = server.unanswered_age(now).unwrap_or(0) as f64;
        let health = 1.0 - server.health().error_share().min(0.9);
        let detour = if server.is_home() {
            0.0
        } else {
            self.policy.detour
        };
        usual.max(unanswered) / (health * health) + detour
    }

    /// The first server in the prefix's rendezvous order whose load is in bounds.
    fn home(&self, view: &View<'_>, mean: f64) -> Option<u32> {
        let prefix = view.pick().prefix;
        if prefix == 0 {
            return None;
        }
        for slot in ranked(view, prefix).into_iter().flatten() {
            let spare = 1.0 / f64::from(view.server(slot).slots());
            if load(view, slot) <= mean * self.policy.bound + spare {
                return Some(slot);
            }
        }
        None
    }
}

impl Default for ExpectedWait {
    fn default() -> Self {
        Self::new(ScorePolicy::default())
    }
}

impl Policy for ExpectedWait {
    fn name(&self) -> &'static str {
        "expected-wait"
    }

    fn pick(&mut self, view: &View<'_>, rng: &mut dyn Rng) -> Option<u32> {
        let mut drawn = [0; MAX_SAMPLE];
        let count = sample(view, rng, self.policy.sample, &mut drawn);
        let drawn = &drawn[..count];
        if drawn.is_empty() {
            return draw_able(view, rng);
        }
        let mean = drawn.iter().map(|slot| load(view, *slot)).sum::<f64>() / count as f64;
        let home = self.home(view, mean);
        let mut best = None;
        for slot in drawn.iter().copied().chain(home) {
            let warmth = if home == Some(slot) {
                self.policy.warm
            } else {
                1.0
            };
            let noise = f64::from(rng.next_u32()) / f64::from(u32::MAX);
            let score = self.score(view, slot, warmth) * (1.0 + self.policy.jitter * noise);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }
}

/// Requests at a server for each of its slots.
fn load(view: &View<'_>, slot: u32) -> f64 {
    let server = view.server(slot);
    server.load().estimate(view.now()) / f64::from(server.slots())
}

/// Draws up to `want` servers that can take the request; without repetition when
/// there are few.
fn sample(view: &View<'_>, rng: &mut dyn Rng, want: usize, drawn: &mut [u32; MAX_SAMPLE]) -> usize {
    let open = view.open();
    let want = want.clamp(1, MAX_SAMPLE).min(open.len());
    if open.is_empty() {
        return 0;
    }
    let start = draw(rng, open.len());
    let few = open.len() <= 2 * MAX_SAMPLE;
    let mut count = 0;
    for step in 0..open.len().min(2 * MAX_SAMPLE) {
        // Few: a walk from a drawn start sees each once. Many: draws rarely repeat.
        let position = if few {
            (start + step) % open.len()
        } else {
            draw(rng, open.len())
        };
        let slot = open[position];
        if !view.can_take(slot) || drawn[..count].contains(&slot) {
            continue;
        }
        drawn[count] = slot;
        count += 1;
        if count == want {
            break;
        }
    }
    count
}

/// The able servers with the highest rendezvous weights for a prefix, best first.
fn ranked(view: &View<'_>, prefix: u64) -> [Option<u32>; RANKS] {
    let mut ranks = [None; RANKS];
    let mut weights = [0; RANKS];
    for slot in view.open().iter().copied() {
        let weight = mix(view.server(slot).hash() ^ prefix);
        if weight <= weights[RANKS - 1] || !view.can_take(slot) {
            continue;
        }
        let mut at = RANKS - 1;
        while at > 0 && weights[at - 1] < weight {
            weights[at] = weights[at - 1];
            ranks[at] = ranks[at - 1];
            at -= 1;
        }
        weights[at] = weight;
        ranks[at] = Some(slot);
    }
    ranks
}

/// Spreads the bits of a hash (the finalizer of SplitMix64).
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
