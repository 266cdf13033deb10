//! Errors as readable text.

use std::error::Error;
use std::fmt::Write;

/// Formats `error` and its causes, one per line.
#[must_use]
pub fn error_chain(error: &(dyn Error + 'static)) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    if cause.is_some() {
        text.push_str("\n\nCaused by:");
    }
    while let Some(inner) = cause {
        write!(text, "\n    {inner}").expect("writing to a String can't fail");
        cause = inner.source();
    }
    text
}
