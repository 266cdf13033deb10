//! Authenticated request/reply connections between swiftlink processes.
