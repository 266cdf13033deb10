//! Errors of loading settings.

use std::io;
use std::path::{Path, PathBuf};

use crate::locate;

/// Why settings can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: cannot be read", file.display())]
    Read {
        /// Path as given.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is not TOML.
    #[error("{}:{line}: {detail}", file.display())]
    Syntax {
        /// Path as given.
        file: PathBuf,
        /// Line of the first syntax error, from 1.
        line: usize,
        /// Message of the TOML parser.
        detail: String,
    },
    /// A key is unknown, missing, of the wrong type or out of range.
    #[error("{}:{line}: {key}: {detail}", file.display())]
    Invalid {
        /// Path as given.
        file: PathBuf,
        /// Line of the key, or of the table that lacks it, from 1.
        line: usize,
        /// Path of the key, such as `ledgers[0].address`.
        key: String,
        /// What is wrong with the value.
        detail: String,
    },
}

/// A value that deserializes but fails a check.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {detail}")]
pub struct CheckError {
    /// Path of the key, such as `ledgers[0].address`.
    pub key: String,
    /// What is wrong with the value.
    pub detail: String,
}

impl CheckError {
    /// Creates an error about `key`.
    pub fn new(key: impl Into<String>, detail: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            detail: detail.into(),
        }
    }
}

impl SettingsError {
    pub(crate) fn syntax(path: &Path, text: &str, error: &toml::de::Error) -> Self {
        let offset = error.span().map_or(0, |span| span.start);
        Self::Syntax {
            file: path.into(),
            line: locate::line_at(text, offset),
            detail: error.message().to_owned(),
        }
    }

    pub(crate) fn invalid(path: &Path, line: usize, key: String, detail: String) -> Self {
        Self::Invalid {
            file: path.into(),
            line,
            key,
            detail,
        }
    }
}
