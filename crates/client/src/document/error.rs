//! Errors in a document, with file, line and key.

use std::ops::Range;

/// Error of reading or parsing a document.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// The file can't be read.
    #[error("{file}: can't be read")]
    Read {
        /// Name of the file.
        file: String,
        /// I/O error.
        #[source]
        cause: std::io::Error,
    },
    /// The text is not TOML.
    #[error("{file}:{line}: {detail}")]
    Syntax {
        /// Name of the file.
        file: String,
        /// Line number, starting from 1.
        line: usize,
        /// Description of the error.
        detail: String,
    },
    /// A key is unknown, missing or has an invalid value.
    #[error("{file}:{line}: {key}: {detail}")]
    Invalid {
        /// Name of the file.
        file: String,
        /// Line number, starting from 1.
        line: usize,
        /// Kind, resource name and field.
        key: String,
        /// Description of the error.
        detail: String,
    },
}

/// Source of a document; creates errors with positions in it.
pub(super) struct Source<'a> {
    pub(super) file: &'a str,
    pub(super) text: &'a str,
}

impl Source<'_> {
    pub(super) fn syntax_error(&self, error: &toml::de::Error) -> DocumentError {
        let start = error.span().map_or(0, |span| span.start);
        DocumentError::Syntax {
            file: self.file.to_owned(),
            line: self.line(start),
            detail: error.message().to_owned(),
        }
    }

    pub(super) fn error_at(&self, span: Range<usize>, key: &str, detail: String) -> DocumentError {
        DocumentError::Invalid {
            file: self.file.to_owned(),
            line: self.line(span.start),
            key: key.to_owned(),
            detail,
        }
    }

    fn line(&self, offset: usize) -> usize {
        let head = self.text.as_bytes().iter().take(offset);
        1 + head.filter(|byte| **byte == b'\n').count()
    }
}
