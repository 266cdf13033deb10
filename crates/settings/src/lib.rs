//! Typed TOML settings with errors that name file, key and line.
