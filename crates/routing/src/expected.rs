//! The policy of choice: the least expected time to the first token.

use rand::Rng;

use crate::baseline::draw_able;
use crate::policy::{Policy, View, draw};
use crate::seen::Seen;

/// Servers, in rendezvous order, that a hot prefix may be spread over.
const RANKS: usize = 4;
/// Multiple of the expected time after which a server without an answer is stalled.
const STALLED: f64 = 2.0;
/// An odd number with evenly spread bits (the fraction of the golden ratio).
const SPREAD: u128 = 0x9e37_79b9_7f4a_7c15;
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
            jitter: 0.01,
        }
    }
}

/// Scores a few drawn servers and those that the prefix is at home on.
///
/// The score is the expected time to the first token: the pool's at the server's
/// estimated load, times the server's slowness, at least the age of what it has not
/// answered yet, and more by its share of errors. A server where the prefix is likely
/// cached scores lower, unless its load is over the bound; then the next one in
/// rendezvous order takes the prefix too. A prefix that this router has not seen before
/// has no such server: its hash would only unbalance the load.
#[derive(Debug)]
pub struct ExpectedWait {
    policy: ScorePolicy,
    seen: Seen,
}

/// Mean load of the drawn servers.
struct Mean {
    /// Own requests at a server.
    own: f64,
    /// All requests at a server.
    all: f64,
}

impl Mean {
    fn of(view: &View<'_>, drawn: &[u32]) -> Self {
        let count = drawn.len() as f64;
        let loads = drawn.iter().map(|slot| view.server(*slot).load());
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
    /// The policy with these settings.
    #[must_use]
    pub fn new(policy: ScorePolicy) -> Self {
        Self {
            policy,
            seen: Seen::new(),
        }
    }

    fn score(&self, view: &View<'_>, slot: u32, warmth: f64) -> f64 {
        let server = view.server(slot);
        let now = view.now();
        let expected = view.expected_first(view.load(slot) + 1.0 / f64::from(server.slots()));
        let usual = expected * server.slowness(now) * warmth;
        let unanswered = server.unanswered_age(now).unwrap_or(0) as f64;
        let health = 1.0 - server.health().error_share().min(0.9);
        let detour = if server.is_home() {
            0.0
        } else {
            self.policy.detour
        };
        let stalled = if unanswered > STALLED * usual {
            unanswered
        } else {
            0.0
        };
        usual.max(stalled) / (health * health) + detour
    }

    /// The first server in the prefix's rendezvous order whose load is in bounds.
    fn home(&mut self, view: &View<'_>, mean: &Mean) -> Option<u32> {
        let prefix = view.pick().prefix;
        if prefix == 0 || !self.seen.see(prefix, view.now()) {
            return None;
        }
        let ranks = ranked(view, prefix);
        let mut ranks = ranks.into_iter().flatten();
        ranks.find(|slot| self.has_room(view, *slot, mean))
    }

    /// Whether a server is within the bound for prefixes, by this router's own
    /// requests at once and by all requests as reported over time.
    fn has_room(&self, view: &View<'_>, slot: u32, mean: &Mean) -> bool {
        let server = view.server(slot);
        let all = server.load().estimate(view.now());
        if all > mean.all * self.policy.bound {
            return false;
        }
        // With less than one own request at a server on average, the bound is a
        // fraction. Each router then rounds up at its own part of the servers.
        let bound = mean.own * self.policy.bound;
        let part = mix(server.hash() ^ view.seed()) as f64 / u64::MAX as f64;
        let whole = bound.floor() + f64::from(part < bound.fract());
        f64::from(server.load().in_flight()) < whole
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
        let mean = Mean::of(view, drawn);
        let home = self.home(view, &mean);
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
    for (slot, hash) in view.open().iter().copied().zip(view.hashes()) {
        let weight = mix(hash ^ prefix);
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

/// Spreads the bits of a hash: both halves of a wide product.
pub(crate) fn mix(hash: u64) -> u64 {
    let wide = u128::from(hash) * SPREAD;
    (wide >> 64) as u64 ^ wide as u64
}
