//! Rights: how much of each workspace's prepaid tokens this router may spend.
//!
//! What a workspace prepaid is shared out between routers. An [`account`] on the store
//! says how much each may spend; it changes only by appends on condition, so two routers
//! never get the same tokens. A router spends from its own part without a message
//! ([`LocalQuota`]), and the tasks of [`Claims`] change the accounts: more rights where they run
//! short, fewer where others need them, and what was spent.
//!
//! A request that finds no rights at its router reserves them with one that holds some
//! ([`Reserver`]); they count as reserved there ([`PeerReservations`]), so that the accounts stay right
//! whatever becomes of the messages. [`holders`] says who holds the account of a workspace: all
//! routers of a small fleet, a few of a large one.
//!
//! Rights don't lapse with time: a router that was frozen or cut off may go on with what it
//! has. They end when their process does. The next process on the same VM counts as spent
//! what the stored [`cap`] of its predecessor allowed for the time in between.

pub mod account;
mod book;
mod books;
pub mod cap;
mod caps;
mod claim;
pub mod holders;
mod rate;
mod remote;
mod reservations;
mod spend;
mod witness;

pub use book::{LocalQuota, QuotaError};
pub use books::QuotaTable;
pub use claim::Claims;
pub use remote::{PeerClient, ReserveError, Reserver, Timeouts};
pub use reservations::PeerReservations;
pub use spend::Reservation;
pub use witness::LastSeen;
