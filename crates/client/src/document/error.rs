//! Errors of a document, with file, line and key.

use std::ops::Range;

/// Why a document can't be used.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// The file can't be read.
    #[error("{file}: can't be read")]
    Read {
        /// The file's name.
        file: String,
        /// Why.
        #[source]
        cause: std::io::Error,
    },
    /// The text is not TOML.
    #[error("{file}:{line}: {detail}")]
    Syntax {
        /// The file's name.
        file: String,
        /// Line, from 1.
        line: usize,
        /// What is wrong.
        detail: String,
    },
    /// A key is unknown, missing or has a wrong value.
    #[error("{file}:{line}: {key}: {detail}")]
    Invalid {
        /// The file's name.
        file: String,
        /// Line, from 1.
        line: usize,
        /// Kind, resource name and field.
        key: String,
        /// What is wrong.
        detail: String,
    },
}

/// Makes errors for one text.
pub(super) struct Faults<'a> {
    pub(super) file: &'a str,
    pub(super) text: &'a str,
}

impl Faults<'_> {
    pub(super) fn syntax(&self, error: &toml::de::Error) -> DocumentError {
        let start = error.span().map_or(0, |span| span.start);
        DocumentError::Syntax {
            file: self.file.to_owned(),
            line: self.line(start),
            detail: error.message().to_owned(),
        }
    }

    pub(super) fn at(&self, span: Range<usize>, key: &str, detail: String) -> DocumentError {
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
