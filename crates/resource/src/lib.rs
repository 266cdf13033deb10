//! Declared resources, their validation and their deterministic fold.
//!
//! Operators declare workspaces, budgets, top-ups, priority classes, pools,
//! backend servers, API keys and the retirement of VMs. A change set on the
//! configuration stream is accepted as a whole or rejected as a whole: every change
//! names the version it was made from, so the first of two racing changes wins and the
//! second is a conflict. [`Fold`] decides it, [`Config`] is the result that processes use.
//!
//! The way of a change set: `fold` drops a copy of one decided before (`sets`), `plan`
//! judges it against the configuration with the checks of `validate`, and what `plan`
//! accepts goes into `config`; the outcome is a [`SetFate`] (`verdict`). `spec` has the
//! fields that operators write.

mod config;
mod fold;
mod kind;
mod plan;
mod sets;
mod snapshot;
mod spec;
mod validate;
mod verdict;

pub use config::{Config, PoolServer, Resource};
pub use fold::Fold;
pub use kind::Kind;
pub use sets::SET_MEMORY;
pub use spec::{
    Budget, Class, Key, KeyHash, Pool, PoolKind, ReleaseRule, Retirement, Server, Spec, StaleRule,
    TopUp, Workspace,
};
pub use verdict::{Event, Reject, RejectReason, SetFate, Verdict};
