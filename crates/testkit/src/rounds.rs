//! Rounds of fault histories: seeds, draws, and a limit on fleets at once.
//!
//! `SWIFTLINK_ROUNDS=N` runs each history with N seeds (default 1);
//! `SWIFTLINK_SEED=S` sets the first seed, the following ones count up from it.

use std::env;
use std::hash::{BuildHasher as _, RandomState};
use std::io::Write as _;

use rand::Rng as _;
use rand_pcg::Pcg64Mcg;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Histories that have a fleet running at once.
const FLEETS: usize = 3;

static PLACES: Semaphore = Semaphore::const_new(FLEETS);

/// Waits for a place among the fleets that may run at once.
///
/// # Panics
/// Never: the places are not closed.
pub async fn place() -> SemaphorePermit<'static> {
    PLACES.acquire().await.expect("nobody closes it")
}

/// Runs the history `name` once per round, and prints each round's seed.
pub async fn rounds(name: &str, history: impl AsyncFn(Draw)) {
    let first = number("SWIFTLINK_SEED").unwrap_or_else(fresh_seed);
    for round in 0..number("SWIFTLINK_ROUNDS").unwrap_or(1).max(1) {
        let seed = first.wrapping_add(round);
        say(&format!(
            "history {name}: round {round} seed {seed}; \
             to repeat: SWIFTLINK_SEED={seed} cargo test --test testsuite {name}"
        ));
        let _place = place().await;
        history(Draw::new(seed)).await;
    }
}

/// Prints a line that is shown for passing tests too.
pub fn say(line: &str) {
    // Written past the capture of test output; a closed stderr changes nothing.
    drop(writeln!(std::io::stderr(), "{line}"));
}

fn number(variable: &str) -> Option<u64> {
    env::var(variable).ok()?.parse().ok()
}

/// A short seed, different in each process.
fn fresh_seed() -> u64 {
    u64::from(RandomState::new().hash_one(std::process::id()) as u32)
}

/// Draws of a seeded generator: equal seeds draw equal values.
#[derive(Clone, Debug)]
pub struct Draw(Pcg64Mcg);

impl Draw {
    /// The draws of `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::new(
            u128::from(seed) << 64 | 0x9e37_79b9_7f4a_7c15,
        ))
    }

    /// A generator of its own for one part of the history.
    pub fn fork(&mut self) -> Self {
        Self::new(self.0.next_u64())
    }

    /// A number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        ((u128::from(self.0.next_u64()) * u128::from(limit)) >> 64) as u64
    }

    /// An index below `len`.
    pub fn index(&mut self, len: usize) -> usize {
        usize::try_from(self.below(len as u64)).expect("below a usize")
    }

    /// An index below `len` other than `not`.
    pub fn other(&mut self, len: usize, not: usize) -> usize {
        (not + 1 + self.index(len - 1)) % len
    }

    /// True in `percent` of 100 cases.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
