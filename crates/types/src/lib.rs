//! Names, identifiers, amounts and refusals shared by every swiftlink crate.
//!
//! Nothing here does I/O. Names are shared immutable strings; amounts are whole
//! tokens; a request that is not served in full ends in a [`Refusal`], whose
//! [`Outcome`] tells the caller what is known of the run.
//!
//! Reading order: `name` (what is declared), `amount` (what a request costs), `id`
//! (the key of a request, and [`Incarnation`], one start of a router), `start` (one start of a
//! backend server), `time`, and `refusal`.

mod amount;
mod id;
mod instance;
mod name;
mod refusal;
mod time;

pub use amount::{PRICE_UNIT, Tokens, cost};
pub use id::{Incarnation, KeyError, RequestKey};
pub use instance::ServerInstance;
pub use name::{
    BudgetName, ClassName, DomainName, KeyName, PoolName, RegionName, ServerName, StreamName,
    VersionName, VmName, WorkspaceName,
};
pub use refusal::{OUTCOME_HEADER, Outcome, Problem, Refusal, RefusalKind};
pub use time::{MICROS_PER_MS, Micros, WallMs, wall_ms};
