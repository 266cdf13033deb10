//! Rounds of fault-injection tests: seeds, a seeded random generator, and a limit on
//! concurrent fleets.
//!
//! `SWIFTLINK_ROUNDS=N` runs each history with N seeds (default 1);
//! `SWIFTLINK_SEED=S` sets the first seed, and the following ones count up from it.

use std::env;
use std::hash::{BuildHasher as _, RandomState};
use std::io::Write as _;

use rand::Rng as _;
use rand_pcg::Pcg64Mcg;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Maximum number of histories that run a fleet at the same time.
const MAX_FLEETS: usize = 3;

static FLEET_PERMITS: Semaphore = Semaphore::const_new(MAX_FLEETS);

/// Waits for a permit to run a fleet.
///
/// # Panics
/// Never: the semaphore is not closed.
pub async fn fleet_permit() -> SemaphorePermit<'static> {
    FLEET_PERMITS
        .acquire()
        .await
        .expect("the semaphore is never closed")
}

/// Runs the history `name` once per round and prints each round's seed.
pub async fn rounds(name: &str, history: impl AsyncFn(SeededRng)) {
    let first = number("SWIFTLINK_SEED").unwrap_or_else(fresh_seed);
    for round in 0..number("SWIFTLINK_ROUNDS").unwrap_or(1).max(1) {
        let seed = first.wrapping_add(round);
        say(&format!(
            "history {name}: round {round} seed {seed}; \
             to repeat: SWIFTLINK_SEED={seed} cargo test --test testsuite {name}"
        ));
        let _permit = fleet_permit().await;
        history(SeededRng::new(seed)).await;
    }
}

/// Prints a line that is shown for passing tests as well.
pub fn say(line: &str) {
    // Writing to stderr directly bypasses the capture of test output. A closed stderr is
    // ignored.
    drop(writeln!(std::io::stderr(), "{line}"));
}

fn number(variable: &str) -> Option<u64> {
    env::var(variable).ok()?.parse().ok()
}

/// Returns a 32-bit seed that differs between processes.
fn fresh_seed() -> u64 {
    u64::from(RandomState::new().hash_one(std::process::id()) as u32)
}

/// A seeded random generator: equal seeds give equal values.
#[derive(Clone, Debug)]
pub struct SeededRng(Pcg64Mcg);

impl SeededRng {
    /// Creates a generator from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::new(
            u128::from(seed) << 64 | 0x9e37_79b9_7f4a_7c15,
        ))
    }

    /// Derives an independent generator for one part of the history.
    pub fn fork(&mut self) -> Self {
        Self::new(self.0.next_u64())
    }

    /// Returns a number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        ((u128::from(self.0.next_u64()) * u128::from(limit)) >> 64) as u64
    }

    /// Returns an index below `len`.
    pub fn index(&mut self, len: usize) -> usize {
        usize::try_from(self.below(len as u64)).expect("below a usize")
    }

    /// Returns an index below `len` other than `not`.
    pub fn other(&mut self, len: usize, not: usize) -> usize {
        (not + 1 + self.index(len - 1)) % len
    }

    /// Returns true with a probability of `percent`.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
