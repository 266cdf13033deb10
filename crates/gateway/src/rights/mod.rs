//! Rights: how much of each workspace's prepaid tokens this router may spend.
//!
//! What a workspace prepaid is shared out between routers. An [`account`] on the store
//! says how much each may spend; it changes only by appends on condition, so two routers
//! never get the same tokens. A router spends from its own part without a message
//! ([`Book`]), and the tasks of [`Claims`] change the accounts: more rights where they run
//! short, fewer where others need them, and what was spent.
//!
//! Where the store can't be reached or all is held, routers [`lend`] to each other: what
//! is lent counts as spent on the lender's side at once, so that the accounts stay right
//! whatever becomes of the message.
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
pub mod lend;
mod rate;
mod spend;
mod witness;

pub use book::{Book, NoRights};
pub use books::Books;
pub use claim::Claims;
pub use spend::Spend;
pub use witness::Witness;
