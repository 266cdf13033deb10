//! Drivers that measure the decisions and the real processes.
