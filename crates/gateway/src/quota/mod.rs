//! Quota: how many of each workspace's prepaid tokens this router may spend.
//!
//! The prepaid tokens of a workspace are divided between routers. An [`account`] on the store
//! records how many each router may spend. It changes only by conditional appends, so two
//! routers are never granted the same tokens. A router spends from its own grant without a
//! message ([`LocalQuota`]), and the tasks of [`Claims`] change the accounts: they claim quota
//! where it runs short, return it where others need it, and record what was spent.
//!
//! A request that finds too little quota at its router reserves tokens with a router that holds
//! some ([`Reserver`]). They count as reserved there ([`PeerReservations`]), so the accounts stay
//! correct whichever messages are lost. [`holders`] says which routers hold the account of a
//! workspace: all routers of a small fleet, a few of a large one.
//!
//! A router of a large fleet that serves many requests of a workspace reserves them from a
//! [`lease`] instead, which is such a reservation for several requests.
//!
//! A store that goes back to an older copy loses the last claims. So all routers together claim no
//! more than a part of a budget in the seconds that a copy may lack ([`account::growth`]).
//!
//! Quota doesn't expire with time: a router that was frozen or disconnected may continue to spend
//! its grant. The grant ends with the router's process. The next process on the same VM counts as
//! spent what the stored [`cap`] of its predecessor allowed for the time in between.

pub mod account;
pub mod cap;
mod cap_writer;
mod claim;
pub mod holders;
mod last_seen;
pub mod lease;
mod local;
mod peer_reservations;
pub mod pending;
mod rate;
mod releases;
mod reservation;
mod reserver;
mod table;

pub use claim::Claims;
pub use last_seen::LastSeen;
pub use local::{LocalQuota, QuotaError};
pub use peer_reservations::PeerReservations;
pub use pending::RequestQuota;
pub use reservation::Reservation;
pub use reserver::{PeerClient, ReserveError, Reserver, Timeouts};
pub use table::{COPY_LAG, QuotaTable};
