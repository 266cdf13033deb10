//! Ordered assembly of answer chunks and resume tokens.
