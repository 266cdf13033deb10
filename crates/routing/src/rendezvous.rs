//! Rendezvous hashing of the prompt's prefix with bounded loads.

use rand::Rng;

use crate::baseline::TwoChoices;
use crate::expected::mix;
use crate::policy::{Policy, View};

/// A server gets a prefix while its requests from this router are at most this multiple of the
/// mean, plus [`SLACK_REQUESTS`].
const LOAD_FACTOR: f64 = 1.5;
/// Requests above the bound that don't count as overload: small counts vary.
const SLACK_REQUESTS: f64 = 3.0;

/// Chooses the first server in the prefix's rendezvous order that isn't overloaded.
///
/// All routers send a prefix to the same server without any communication. A request without a
/// prefix goes to the better of two random servers.
#[derive(Debug, Default)]
pub struct Rendezvous {
    fallback: TwoChoices,
}

impl Policy for Rendezvous {
    fn name(&self) -> &'static str {
        "rendezvous"
    }

    fn pick(&mut self, view: &View<'_>, rng: &mut dyn Rng) -> Option<u32> {
        let prefix = view.args().prefix;
        if prefix == 0 {
            return self.fallback.pick(view, rng);
        }
        let bound = bound(view, |_slot| true);
        let mut best = None;
        for (index, hash) in view.open().iter().copied().zip(view.hashes()) {
            if !view.can_take(index) {
                continue;
            }
            let own = f64::from(view.server(index).load().in_flight());
            let rank = (own <= bound, mix(hash ^ prefix));
            if best.is_none_or(|(current, _)| rank > current) {
                best = Some((rank, index));
            }
        }
        best.map(|(_, index)| index)
    }
}

/// Own requests up to which a server isn't overloaded, relative to the servers that `includes`
/// selects.
pub(crate) fn bound(view: &View<'_>, includes: impl Fn(u32) -> bool) -> f64 {
    let mut all = 0;
    let mut servers: u32 = 0;
    for index in view.open().iter().copied() {
        if includes(index) {
            all += view.server(index).load().in_flight();
            servers += 1;
        }
    }
    let mean = f64::from(all) / f64::from(servers.max(1));
    mean * LOAD_FACTOR + SLACK_REQUESTS
}

/// Time until free (µs) up to which a server isn't overloaded, relative to the servers that
/// `includes` selects; `slack` is the time of one prompt.
pub(crate) fn time_bound(view: &View<'_>, slack: f64, includes: impl Fn(u32) -> bool) -> f64 {
    let mut all = 0.0;
    let mut servers: u32 = 0;
    for index in view.open().iter().copied() {
        if includes(index) {
            all += view.time_until_free(index);
            servers += 1;
        }
    }
    let mean = all / f64::from(servers.max(1));
    mean * LOAD_FACTOR + SLACK_REQUESTS * slack
}
