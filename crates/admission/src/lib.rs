//! Grant accounting, grant sizing, priority queue and retry-after estimates.
//!
//! Nothing here does I/O: time, demand and the outcomes of claims are arguments.
//!
//! * A [`Grant`] holds a router's quota on one budget; reserving and settling are
//!   lock-free atomic operations.
//! * A [`Sizing`] policy decides when to claim more quota, how much, and when to
//!   return some. [`shortfall`] decides what to do with a request that finds too little.
//! * A [`Queue`] stands before the dispatch slots. It is bounded, weighted by priority
//!   class and aware of deadlines, and it keeps capacity for the retry times it gives out.
//! * A [`Limiter`] adapts the number of slots so that the backend servers are busy but
//!   requests don't queue there.
//! * [`Observations`] count what a router sees of a pool. A [`LevelController`] finds from the
//!   observations of all routers whether the pool is overloaded, and which [`Shares`] of its
//!   requests are admitted then. A [`Gate`] applies them to each request.

mod baseline;
mod class_queue;
mod gate;
mod grant;
mod level;
mod limiter;
mod load;
mod observations;
mod pool;
mod queue;
mod rate;
mod retry;
mod service;
mod shares;
mod shortfall;
mod sizer;

pub use baseline::{EvenSplit, FixedChunk};
pub use gate::{Decision, Gate, GateRequest, Verdict, WAIT_DIVISOR};
pub use grant::{Demand, Grant, GrantCounters, Reservation};
pub use level::{LevelController, LevelPolicy};
pub use limiter::{Limiter, LimiterPolicy};
pub use load::{ClassLoad, LoadReports, PoolLoad};
pub use observations::{IdleTime, Observations};
pub use pool::{Admission, PoolAggregate, Source, Summary, Targets};
pub use queue::{ClassSpec, Entry, ExpiredEntry, Queue, QueuePolicy, Ticket};
pub use rate::Ewma;
pub use retry::{RetryPolicy, RetrySchedule};
pub use service::{ServiceRate, WaitPredictor};
pub use shares::{ClassShares, OPEN_LEVEL, Shares};
pub use shortfall::{HolderState, Shortfall, ShortfallAction, shortfall};
pub use sizer::{ClaimOutcome, ClaimSize, DemandSizer, SizerPolicy, Sizing, Waiting};
