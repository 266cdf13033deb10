//! Deterministic fold of a budget stream: top-ups, grants, charges, intents.
//!
//! [`Fold`] decides every record by the records before it and by nothing else,
//! so that all processes agree without asking each other. At every offset and for
//! every budget, in tokens:
//!
//! ```text
//! topped up = charged + held by active routers + held by retired routers + free
//! held      = granted - charged - returned, by router incarnation, never below 0
//! ```
//!
//! # Rules beyond those in `log.proto`
//!
//! - Of an accepted record, any later copy changes nothing.
//! - A top-up that would take a budget over `u64::MAX` is malformed.
//! - A join of a known incarnation answers what the incarnation is now: once
//!   retired or released it stays so. The identities of released ones are remembered
//!   ([`FORMER_MAX`], the newest), so that a late copy revives nothing.
//! - A claim with `need > want` or without a number is malformed. A claim on a
//!   budget never topped up is granted 0. Also a claim that is granted 0 uses up its
//!   number, and a copy of the last claim gets the same answer while the incarnation
//!   is active.
//! - A return counts by its largest total. What it gives back beyond what is held
//!   frees nothing, and later grants are set off against it.
//! - Charge serials start at 1 and are numbered per incarnation and stream without
//!   gaps; what is above the first gap is kept as a set ([`SERIALS_MAX`]). A decided
//!   charge uses up its serial whatever its fate, so the first fate is final.
//! - An intent that lost may win later, once the owner has abandoned the key. An
//!   incarnation that abandoned a key never wins it again, nor if its intent arrives
//!   only after that.
//! - A retired incarnation wins no intent and gets no grant; its charges still count.
//!   A released one has given up everything: its charges are void.
//! - A released incarnation is forgotten, but for its identity, once all keys that it
//!   ran or abandoned are forgotten. Charges by an unknown incarnation are void.
//!
//! A record that breaks the form of its kind is rejected alone; bytes that are no
//! batch at all are malformed as a whole.

mod batch;
mod budgets;
mod charges;
mod claims;
mod fold;
mod intents;
mod keys;
mod lifecycle;
mod names;
mod reply;
mod router;
mod routers;
mod serials;
mod shard;
mod snapshot;
mod view;

pub use batch::BatchFate;
pub use fold::Fold;
pub use routers::FORMER_MAX;
pub use serials::SERIALS_MAX;
pub use shard::{CONFIG_STREAM, shard_of, stream_of};
pub use view::{ActiveRouter, RetiredRouter};
