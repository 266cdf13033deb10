//! Parsing of query strings.

use percent_encoding::percent_decode_str;

use super::problem::ApiError;

/// Returns the decoded value of a query parameter; `None` if it is absent or empty.
pub(super) fn field(query: Option<&str>, name: &str) -> Option<String> {
    for pair in query.unwrap_or_default().split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if key == name && !value.is_empty() {
            return Some(percent_decode_str(value).decode_utf8_lossy().into_owned());
        }
    }
    None
}

/// Returns the value of a numeric query parameter.
pub(super) fn number(query: Option<&str>, name: &str) -> Result<Option<u64>, ApiError> {
    let Some(text) = field(query, name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_error) => Err(ApiError::malformed(
            name,
            &format!("{text:?} is not a version"),
        )),
    }
}
