//! Authentication of operators by bearer token.

use std::fmt;

use subtle::ConstantTimeEq;
use swiftlink_shell::web::Incoming;

use super::problem::ApiError;

/// The bearer token that every request must carry.
pub(crate) struct Token(Vec<u8>);

impl Token {
    pub(super) fn new(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }

    /// Checks the token of a request. The time of the comparison depends on the lengths only.
    pub(super) fn check(&self, request: &Incoming) -> Result<(), ApiError> {
        let value = request.header("authorization").unwrap_or_default();
        let given = match value.split_once(' ') {
            Some((scheme, given)) if scheme.eq_ignore_ascii_case("bearer") => given.trim(),
            _ => "",
        };
        if bool::from(given.as_bytes().ct_eq(&self.0)) {
            return Ok(());
        }
        Err(ApiError::unauthenticated())
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(***)")
    }
}
