//! Errors as text for people.

use std::error::Error;
use std::fmt::Write;

/// `error` and its causes, one a line.
#[must_use]
pub fn chain(error: &(dyn Error + 'static)) -> String {
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
