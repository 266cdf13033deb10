//! Declared resources, their validation and their deterministic fold.
