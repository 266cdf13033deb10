//! Crowds of callers that don't behave, against daemons as real processes.

mod completions;
