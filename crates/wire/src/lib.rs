//! Generated protobuf types of the log records and of the link messages.
//!
//! The sources are `proto/log.proto` (what stands on the platform's log),
//! `proto/link.proto` (what passes between processes) and `proto/rights.proto` (what a
//! fleet keeps of its budgets on the platform's store); the comments there are the
//! specification. `tools/codegen` writes `src/generated`, which is committed
//! so that the build needs no generator.
//!
//! Reading order: `Incarnation`, `Batch` and `Record` in `log.proto`, which all else
//! hangs on, then `Frame` in `link.proto`. `crates/budget` says what a record of a
//! budget stream does, `crates/resource` what a `ChangeSet` does.

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

/// The account of a budget on the platform's store.
#[allow(missing_docs, clippy::all, reason = "generated code")]
pub mod rights {
    include!("generated/swiftlink.rights.rs");
}
