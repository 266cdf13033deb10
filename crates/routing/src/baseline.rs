//! Simple routing policies for comparison.

use rand::Rng;

use crate::policy::{Policy, View, draw};

/// Random draws before falling back to a scan of all servers.
const MAX_DRAWS: usize = 8;

/// Any server, chosen uniformly at random.
#[derive(Debug, Default)]
pub struct Random;

/// One server after the other, in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

/// The server with the least load in its last report; ties are broken at random.
#[derive(Debug, Default)]
pub struct LeastReported;

/// The better of two random servers, by own requests in flight (power of two choices). Where
/// servers are known to differ in speed, faster ones are drawn more often.
#[derive(Debug, Default)]
pub struct TwoChoices;

impl Policy for Random {
    fn name(&self) -> &'static str {
        "random"
    }

    fn pick(&mut self, view: &View<'_>, rng: &mut dyn Rng) -> Option<u32> {
        draw_eligible(view, rng)
    }
}

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn pick(&mut self, view: &View<'_>, _rng: &mut dyn Rng) -> Option<u32> {
        let open = view.open();
        for _ in 0..open.len() {
            let index = open[self.next % open.len()];
            self.next = (self.next + 1) % open.len();
            if view.can_take(index) {
                return Some(index);
            }
        }
        None
    }
}

impl Policy for LeastReported {
    fn name(&self) -> &'static str {
        "least-reported"
    }

    fn pick(&mut self, view: &View<'_>, rng: &mut dyn Rng) -> Option<u32> {
        let mut best = None;
        let mut ties = 0;
        for index in view.open().iter().copied() {
            if !view.can_take(index) {
                continue;
            }
            let load = view.server(index).load().reported();
            match best {
                Some((least, _)) if load > least => continue,
                Some((least, _)) if load == least => ties += 1,
                _ => ties = 1,
            }
            // Reservoir sampling: each of the tied servers is equally likely.
            if draw(rng, ties) == 0 {
                best = Some((load, index));
            }
        }
        best.map(|(_, index)| index)
    }
}

impl Policy for TwoChoices {
    fn name(&self) -> &'static str {
        "two-choices"
    }

    fn pick(&mut self, view: &View<'_>, rng: &mut dyn Rng) -> Option<u32> {
        let first = draw_by_share(view, rng)?;
        let second = draw_by_share(view, rng)?;
        let load = |index| {
            let server = view.server(index);
            let share = if view.has_shares() {
                server.share()
            } else {
                1.0
            };
            f64::from(server.load().in_flight()) / share
        };
        Some(if load(second) < load(first) {
            second
        } else {
            first
        })
    }
}

/// A server that can take the request, chosen at random with a probability in proportion to its
/// share.
fn draw_by_share(view: &View<'_>, rng: &mut dyn Rng) -> Option<u32> {
    if view.has_shares() {
        for _ in 0..MAX_DRAWS {
            let position = draw(rng, view.shares.len());
            let threshold = f64::from(rng.next_u32()) / f64::from(u32::MAX) * view.max_share;
            let index = view.open[position];
            if view.shares[position] >= threshold && view.can_take(index) {
                return Some(index);
            }
        }
    }
    draw_eligible(view, rng)
}

/// A server that can take the request, chosen uniformly at random.
pub(crate) fn draw_eligible(view: &View<'_>, rng: &mut dyn Rng) -> Option<u32> {
    let open = view.open();
    if open.is_empty() {
        return None;
    }
    for _ in 0..MAX_DRAWS {
        let index = open[draw(rng, open.len())];
        if view.can_take(index) {
            return Some(index);
        }
    }
    let eligible: Vec<u32> = open
        .iter()
        .copied()
        .filter(|index| view.can_take(*index))
        .collect();
    if eligible.is_empty() {
        return None;
    }
    Some(eligible[draw(rng, eligible.len())])
}
