//! Simple routing policies to compare with.

use rand::Rng;

use crate::policy::{Policy, View, draw};

/// Draws made before all servers are looked through.
const DRAWS: usize = 8;

/// Any server, drawn evenly.
#[derive(Debug, Default)]
pub struct Random;

/// One server after the other.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

/// The server with the least load in its last report.
#[derive(Debug, Default)]
pub struct LeastReported;

/// The better of two drawn servers, by own requests in flight.
#[derive(Debug, Default)]
pub struct TwoChoices;

impl Policy for Random {
    fn name(&self) -> &'static str {
        "random"
    }

    fn pick(&mut self, view: &View<'_>, rng: &mut dyn Rng) -> Option<u32> {
        draw_able(view, rng)
    }
}

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn pick(&mut self, view: &View<'_>, _rng: &mut dyn Rng) -> Option<u32> {
        let open = view.open();
        for _ in 0..open.len() {
            let slot = open[self.next % open.len()];
            self.next = (self.next + 1) % open.len();
            if view.can_take(slot) {
                return Some(slot);
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
        let mut equals = 0;
        for slot in view.open().iter().copied() {
            if !view.can_take(slot) {
                continue;
            }
            let load = view.server(slot).load().reported();
            match best {
                Some((least, _)) if load > least => continue,
                Some((least, _)) if load == least => equals += 1,
                _ => equals = 1,
            }
            // Of equal ones each has the same chance.
            if draw(rng, equals) == 0 {
                best = Some((load, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }
}

impl Policy for TwoChoices {
    fn name(&self) -> &'static str {
        "two-choices"
    }

    fn pick(&mut self, view: &View<'_>, rng: &mut dyn Rng) -> Option<u32> {
        let one = draw_able(view, rng)?;
        let two = draw_able(view, rng)?;
        let in_flight = |slot| view.server(slot).load().in_flight();
        Some(if in_flight(two) < in_flight(one) {
            two
        } else {
            one
        })
    }
}

/// A server that can take the request, drawn evenly.
pub(crate) fn draw_able(view: &View<'_>, rng: &mut dyn Rng) -> Option<u32> {
    let open = view.open();
    if open.is_empty() {
        return None;
    }
    for _ in 0..DRAWS {
        let slot = open[draw(rng, open.len())];
        if view.can_take(slot) {
            return Some(slot);
        }
    }
    let able: Vec<u32> = open
        .iter()
        .copied()
        .filter(|slot| view.can_take(*slot))
        .collect();
    if able.is_empty() {
        return None;
    }
    Some(able[draw(rng, able.len())])
}
