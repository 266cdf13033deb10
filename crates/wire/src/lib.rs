//! Generated protobuf types of log records, messages between processes and store records.
//!
//! The sources are `proto/log.proto` (records on the platform's log), `proto/link.proto`
//! (messages between processes) and `proto/rights.proto` (records of a fleet's budgets,
//! routers and rollouts in the platform's store); their comments are the specification.
//! `tools/codegen` writes `src/generated`, which is committed so that the build needs no
//! generator.
//!
//! Reading order: `Incarnation`, `Batch` and `Record` in `log.proto`, which the other
//! messages build on, then `Frame` in `link.proto`. `crates/budget` defines the effect of
//! a record on a budget stream, `crates/resource` that of a `ChangeSet`.

/// Records of the streams on the platform's log.
#[allow(missing_docs, clippy::all, reason = "generated code")]
pub mod log {
    include!("generated/swiftlink.log.rs");
}

/// Messages between swiftlink processes.
#[allow(missing_docs, clippy::all, reason = "generated code")]
pub mod link {
    include!("generated/swiftlink.link.rs");
}

/// Records of a fleet's budgets, routers and rollouts in the platform's store.
#[allow(missing_docs, clippy::all, reason = "generated code")]
pub mod rights {
    include!("generated/swiftlink.rights.rs");
}
