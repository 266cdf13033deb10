//! Deterministic fold of a budget stream: top-ups, grants, charges, intents.
//!
//! [`Fold`] decides each record from the records before it and from nothing else,
//! so all processes agree without communicating. At every offset and for every
//! budget, in tokens:
//!
//! ```text
//! topped up = charged + held by active routers + held by retired routers + free
//! held      = granted - charged - returned, by router incarnation, never below 0
//! ```
//!
//! # Rules beyond those in `log.proto`
//!
//! - A later copy of an accepted record changes nothing.
//! - A top-up that would take a budget over `u64::MAX` is malformed.
//! - A join of a known incarnation is answered with the incarnation's current phase: a
//!   retired or released one stays so. The identities of the newest
//!   [`MAX_DROPPED_ROUTERS`] released incarnations are kept, so that a late copy of a
//!   join can't bring one back.
//! - A claim with `need > want` or without a sequence number is malformed. A claim on
//!   a budget that was never topped up is granted 0. A claim that is granted 0 also
//!   uses up its number, and a copy of the last claim gets the same answer while the
//!   incarnation is active.
//! - Returns are cumulative: the largest total counts. A return of more than is held
//!   frees no more than that, and the excess is deducted from later grants.
//! - Charge serials start at 1 and are consecutive per incarnation and stream; serials
//!   above the first gap are kept as a set of at most [`MAX_SERIALS`]. A decided
//!   charge uses up its serial whatever its fate, so the first fate is final.
//! - An intent that lost may win later, once the owner has abandoned the key. An
//!   incarnation that abandoned a key never wins it again, even if its intent arrives
//!   after the abandonment.
//! - A retired incarnation wins no intent and gets no grant; its charges still count.
//!   A released incarnation holds nothing, so its charges are void.
//! - A released incarnation is dropped, except for its identity, once all keys that it
//!   executed or abandoned are evicted. Charges by an unknown incarnation are void.
//!
//! A record that is malformed for its kind is rejected on its own; bytes that don't
//! decode as a batch are malformed as a whole.

mod batch;
mod budgets;
mod charges;
mod claims;
mod fates;
mod fold;
mod intents;
mod interner;
mod keys;
mod lifecycle;
mod router;
mod routers;
mod serials;
mod shard;
mod snapshot;
mod view;

pub use batch::BatchFate;
pub use fold::Fold;
pub use routers::MAX_DROPPED_ROUTERS;
pub use serials::MAX_SERIALS;
pub use shard::{CONFIG_STREAM, shard_of, stream_of};
pub use view::{ActiveRouter, RetiredRouter};
