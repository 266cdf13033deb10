//! Declared resources: specifications, validation and a deterministic fold of their changes.
//!
//! Operators declare workspaces, budgets, top-ups, priority classes, pools,
//! backend servers, API keys and the retirement of VMs. A change set on the
//! configuration stream is atomic: all of its changes are accepted or none. Concurrency
//! control is optimistic: each change names the version it is based on, so the first of two
//! concurrent changes wins and the second is rejected with a conflict. [`Fold`] decides change
//! sets, [`Config`] is the resulting configuration.
//!
//! For each change set, `fold` skips duplicates of decided sets (`dedup`), `plan` checks the
//! set against the current configuration with the rules of `validate` and, if it is accepted,
//! applies it to `config`. The outcome is a [`SetFate`] (`verdict`). `spec` defines the fields
//! that operators write.

mod config;
mod dedup;
mod fold;
mod kind;
mod plan;
mod snapshot;
mod spec;
mod validate;
mod verdict;

pub use config::{Config, PoolServer, Resource};
pub use dedup::MAX_DECIDED_SETS;
pub use fold::Fold;
pub use kind::Kind;
pub use spec::{
    Budget, Class, Key, KeyHash, Pool, PoolKind, ReleaseRule, Retirement, Server, Spec, StaleRule,
    TopUp, Workspace,
};
pub use verdict::{Event, Reject, RejectReason, SetFate, Verdict};
