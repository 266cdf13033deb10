//! Policy that minimizes the expected time to the first token.

use rand::Rng;

use crate::baseline::draw_eligible;
use crate::policy::{Policy, View, draw};
use crate::recent::RecentPrefixes;

/// Servers, in rendezvous order, that a hot prefix may be spread over.
const MAX_RANKS: usize = 4;
/// A server counts as unresponsive when it hasn't answered for this multiple of the expected time.
const UNRESPONSIVE_FACTOR: f64 = 2.0;
/// Fraction of the golden ratio: an odd number with evenly spread bits (Fibonacci hashing).
const GOLDEN_RATIO: u128 = 0x9e37_79b9_7f4a_7c15;
/// Upper bound on the servers compared in one pick.
const MAX_SAMPLE: usize = 32;

/// Settings of [`ExpectedWait`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScorePolicy {
    /// Servers drawn and compared in each pick, 32 at most.
    pub sample: usize,
    /// Factor on the time to the first token when the prefix is cached.
    pub cached_factor: f64,
    /// A server keeps a prefix while its load is at most this multiple of the mean load of the
    /// drawn servers.
    pub bound: f64,
    /// Time that a server in another failure domain adds (µs).
    pub remote_penalty: f64,
    /// Random share of each score: keeps routers that see the same stale reports from all choosing
    /// the same server.
    pub jitter: f64,
}

impl Default for ScorePolicy {
    fn default() -> Self {
        Self {
            sample: 8,
            cached_factor: 0.5,
            bound: 1.25,
            remote_penalty: 1_000.0,
            jitter: 0.01,
        }
    }
}

/// Scores a few random servers and the preferred server of the prefix.
///
/// The score is the expected time to the first token: the pool's time at the server's estimated
/// load, multiplied by the server's slowness, at least the mean age of its unanswered requests once
/// that exceeds `UNRESPONSIVE_FACTOR` times the expected time, and increased by its share of
/// errors. A server that probably has the prefix cached scores lower, unless its load is over the
/// bound; then the next one in rendezvous order takes the prefix too. A prefix that is new to this
/// router has no preferred server: placing it by hash would only unbalance the load.
#[derive(Debug)]
pub struct ExpectedWait {
    policy: ScorePolicy,
    recent: RecentPrefixes,
}

/// Mean load of the drawn servers.
struct MeanLoad {
    /// Requests of this router at a server.
    own: f64,
    /// Requests of all routers at a server.
    all: f64,
}

impl MeanLoad {
    fn of(view: &View<'_>, drawn: &[u32]) -> Self {
        let count = drawn.len() as f64;
        let loads = drawn.iter().map(|index| view.server(*index).load());
        let (own, all) = loads.fold((0.0, 0.0), |(own, all), load| {
            let in_flight = f64::from(load.in_flight());
            (own + in_flight, all + load.estimate(view.now()))
        });
        Self {
            own: own / count,
            all: all / count,
        }
    }
}

impl ExpectedWait {
    /// Creates the policy with these settings.
    #[must_use]
    pub fn new(policy: ScorePolicy) -> Self {
        Self {
            policy,
            recent: RecentPrefixes::new(),
        }
    }

    fn score(&self, view: &View<'_>, index: u32, prefix_factor: f64) -> f64 {
        let server = view.server(index);
        let now = view.now();
        let expected = view.expected_ttft(view.load(index) + 1.0 / f64::from(server.slots()));
        let usual = expected * server.slowness(now) * prefix_factor;
        let unanswered = server.unanswered_age(now).unwrap_or(0) as f64;
        let health = 1.0 - server.health().error_share().min(0.9);
        let remote_penalty = if server.is_local() {
            0.0
        } else {
            self.policy.remote_penalty
        };
        let unresponsive_time = if unanswered > UNRESPONSIVE_FACTOR * usual {
            unanswered
        } else {
            0.0
        };
        usual.max(unresponsive_time) / (health * health) + remote_penalty
    }

    /// The first server in the prefix's rendezvous order whose load is within the bound.
    fn preferred(&mut self, view: &View<'_>, mean: &MeanLoad) -> Option<u32> {
        let prefix = view.args().prefix;
        if prefix == 0 || !self.recent.touch(prefix, view.now()) {
            return None;
        }
        let ranks = ranked(view, prefix);
        let mut ranks = ranks.into_iter().flatten();
        ranks.find(|index| self.is_below_bound(view, *index, mean))
    }

    /// Whether a server is within the load bound for prefixes, both by this router's current
    /// requests and by the reported requests of all routers.
    fn is_below_bound(&self, view: &View<'_>, index: u32, mean: &MeanLoad) -> bool {
        let server = view.server(index);
        let all = server.load().estimate(view.now());
        if all > mean.all * self.policy.bound {
            return false;
        }
        // With less than one own request at a server on average, the bound is a fraction. Each
        // router then rounds it up at a different part of the servers.
        let bound = mean.own * self.policy.bound;
        let threshold = mix(server.hash() ^ view.seed()) as f64 / u64::MAX as f64;
        let rounded = bound.floor() + f64::from(threshold < bound.fract());
        f64::from(server.load().in_flight()) < rounded
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
            return draw_eligible(view, rng);
        }
        let mean = MeanLoad::of(view, drawn);
        let preferred = self.preferred(view, &mean);
        let mut best = None;
        for index in drawn.iter().copied().chain(preferred) {
            let prefix_factor = if preferred == Some(index) {
                self.policy.cached_factor
            } else {
                1.0
            };
            let noise = f64::from(rng.next_u32()) / f64::from(u32::MAX);
            let score = self.score(view, index, prefix_factor) * (1.0 + self.policy.jitter * noise);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, index));
            }
        }
        best.map(|(_, index)| index)
    }
}

/// Draws up to `want` servers that can take the request, without repetition; returns their number.
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
        // In a small pool, a walk from a random start visits each server once. In a large one,
        // random draws rarely repeat.
        let position = if few {
            (start + step) % open.len()
        } else {
            draw(rng, open.len())
        };
        let index = open[position];
        if !view.can_take(index) || drawn[..count].contains(&index) {
            continue;
        }
        drawn[count] = index;
        count += 1;
        if count == want {
            break;
        }
    }
    count
}

/// The eligible servers with the highest rendezvous weights for a prefix, best first.
fn ranked(view: &View<'_>, prefix: u64) -> [Option<u32>; MAX_RANKS] {
    let mut ranks = [None; MAX_RANKS];
    let mut weights = [0; MAX_RANKS];
    for (index, hash) in view.open().iter().copied().zip(view.hashes()) {
        let weight = mix(hash ^ prefix);
        if weight <= weights[MAX_RANKS - 1] || !view.can_take(index) {
            continue;
        }
        let mut at = MAX_RANKS - 1;
        while at > 0 && weights[at - 1] < weight {
            weights[at] = weights[at - 1];
            ranks[at] = ranks[at - 1];
            at -= 1;
        }
        weights[at] = weight;
        ranks[at] = Some(index);
    }
    ranks
}

/// Mixes the bits of a hash: XOR of both halves of a wide product.
pub(crate) fn mix(hash: u64) -> u64 {
    let wide = u128::from(hash) * GOLDEN_RATIO;
    (wide >> 64) as u64 ^ wide as u64
}
