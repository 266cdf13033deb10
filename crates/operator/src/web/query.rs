//! Query strings.

use percent_encoding::percent_decode_str;

use super::problem::Fault;

/// The value of a field of the query, decoded; `None` when absent or empty.
pub(super) fn field(query: Option<&str>, name: &str) -> Option<String> {
    for pair in query.unwrap_or_default().split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if key == name && !value.is_empty() {
            return Some(percent_decode_str(value).decode_utf8_lossy().into_owned());
        }
    }
    None
}

/// The value of a numeric field.
pub(super) fn number(query: Option<&str>, name: &str) -> Result<Option<u64>, Fault> {
    let Some(text) = field(query, name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_error) => Err(Fault::malformed(
            name,
            &format!("{text:?} is not a version"),
        )),
    }
}
