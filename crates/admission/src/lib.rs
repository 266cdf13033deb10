//! Grant accounting, grant sizing, priority queue and retry-after estimates.
//!
//! Nothing here does I/O: time, demand and the fates of claims are arguments.
//!
//! * A [`Grant`] holds a router's rights on one budget; reserving and settling are
//!   atomic operations without a lock.
//! * A [`Sizing`] policy decides when to claim more rights, how many, and when to
//!   return some. [`shortfall`] decides what a request does that finds none.
//! * A [`Queue`] stands before the dispatch slots: weighted by priority class,
//!   bounded, aware of deadlines, and with an honest time to come back.
//! * A [`Limiter`] keeps the number of slots where the backend servers are busy but
//!   not queueing.

mod baseline;
mod book;
mod grant;
mod lane;
mod limiter;
mod queue;
mod rate;
mod service;
mod shortfall;
mod sizer;

pub use baseline::{EvenSplit, FixedChunk};
pub use book::{Appointments, BookPolicy};
pub use grant::{Demand, Grant, GrantCounters, Reservation};
pub use limiter::{Limiter, LimiterPolicy};
pub use queue::{ClassSpec, Entry, GivenUp, Queue, QueuePolicy, Ticket};
pub use rate::Ewma;
pub use service::{RetryAfter, ServiceRate};
pub use shortfall::{Holding, Shortfall, Step, shortfall};
pub use sizer::{ClaimOutcome, ClaimSize, DemandSizer, SizerPolicy, Sizing, Waiting};
