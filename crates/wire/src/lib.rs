//! Generated protobuf types of the log records and of the link messages.
//!
//! The sources are `proto/log.proto` (what stands on the platform's log) and
//! `proto/link.proto` (what passes between processes); the comments there are
//! the specification. `tools/codegen` writes `src/generated`, which is committed
//! so that the build needs no generator.

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
