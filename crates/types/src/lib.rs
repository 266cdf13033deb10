//! Names, identifiers, token counts and refusals shared by every swiftlink crate.
//!
//! Nothing here does I/O. Names are shared immutable strings; costs are counted in whole tokens;
//! a request that is not served in full ends in a [`Refusal`], whose [`Outcome`] tells the caller
//! whether the request was executed.
//!
//! Reading order: `name` (names of configured objects), `amount` (the cost of a request), `id`
//! (the idempotency key of a request, and [`Incarnation`], one run of a router process),
//! `instance` (one run of a backend server), `position` (of a record on a store that may come back
//! from a copy), `time`, and `refusal`.

mod amount;
mod id;
mod instance;
mod name;
mod position;
mod refusal;
mod time;

pub use amount::{PRICE_UNIT, Tokens, cost};
pub use id::{Incarnation, KeyError, RequestKey};
pub use instance::ServerInstance;
pub use name::{
    BudgetName, ClassName, DomainName, KeyName, PoolName, RegionName, ServerName, StreamName,
    VersionName, VmName, WorkspaceName,
};
pub use position::{era_of, offset_of, position};
pub use refusal::{OUTCOME_HEADER, Outcome, Problem, Refusal, RefusalKind};
pub use time::{MICROS_PER_MS, Micros, WallMs, wall_ms};
