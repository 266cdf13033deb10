//! Client of the platform log: append, read, follow with back-off.
