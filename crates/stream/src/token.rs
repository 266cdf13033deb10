//! Resume tokens, with which a caller resumes its stream at any router.

use std::str::FromStr;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit as _, Mac as _};
use prost::Message as _;
use sha2::Sha256;

/// Length of the truncated HMAC-SHA-256 at the end of a token.
const MAC_BYTES: usize = 16;
/// Domain separator: makes these signatures useless for other purposes of the fleet's secret.
const MAC_DOMAIN: &[u8] = b"swiftlink resume token v1";
/// Longest token text that is decoded.
const MAX_TOKEN_LEN: usize = 2_048;

/// Identifies a resumable stream, with all that a router needs to charge it.
///
/// The caller gets it as signed text. It contains no secret; the signature prevents a caller from
/// forging a token for another workspace's stream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ResumeToken {
    /// Request key, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Workspace that owns the stream.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// Budget that the request is charged to.
    #[prost(string, tag = "3")]
    pub budget: String,
    /// Pool of the backend server.
    #[prost(string, tag = "4")]
    pub pool: String,
    /// Backend server that runs the stream.
    #[prost(string, tag = "5")]
    pub server: String,
    /// Id that the engine assigned to the stream.
    #[prost(string, tag = "6")]
    pub stream: String,
    /// Priority class of the request.
    #[prost(string, tag = "7")]
    pub class: String,
    /// Price at which the request was admitted, in thousandths.
    #[prost(uint32, tag = "8")]
    pub price: u32,
    /// Upper bound of the cost reserved at admission, in budget tokens.
    #[prost(uint64, tag = "9")]
    pub bound: u64,
    /// VM of the router that reserved the cost.
    #[prost(string, tag = "10")]
    pub vm: String,
    /// Epoch of that router's incarnation.
    #[prost(uint64, tag = "11")]
    pub epoch: u64,
    /// Whether the request may run at most once.
    #[prost(bool, tag = "12")]
    pub once: bool,
    /// Whether this is a chat completion rather than a text completion.
    #[prost(bool, tag = "13")]
    pub chat: bool,
}

/// Why a token was rejected. The caller gets no further details.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// The text is malformed, or its signature is not of this fleet.
    #[error("not a resume token of this fleet")]
    Invalid,
    /// The token is valid but belongs to another workspace.
    #[error("the stream belongs to another workspace")]
    Foreign,
}

/// Signing key for tokens, derived from the fleet's secret.
#[derive(Clone)]
pub struct TokenSecret(Hmac<Sha256>);

impl TokenSecret {
    /// Creates the signing key from the fleet's shared secret.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes keys of every length");
        mac.update(MAC_DOMAIN);
        Self(mac)
    }

    fn mac(&self, payload: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(payload);
        mac
    }
}

impl std::fmt::Debug for TokenSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TokenSecret(***)")
    }
}

impl ResumeToken {
    /// Returns the signed token as text: base64url without padding, which contains no dots.
    #[must_use]
    pub fn sign(&self, secret: &TokenSecret) -> String {
        let mut bytes = self.encode_to_vec();
        let mac = secret.mac(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&mac[..MAC_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Parses a signed token that `workspace` sent. The signature is compared in constant time.
    ///
    /// # Errors
    /// When the text is not a token of this fleet, or belongs to another workspace.
    pub fn verify(text: &str, workspace: &str, secret: &TokenSecret) -> Result<Self, TokenError> {
        if text.len() > MAX_TOKEN_LEN {
            return Err(TokenError::Invalid);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_error| TokenError::Invalid)?;
        let split = bytes
            .len()
            .checked_sub(MAC_BYTES)
            .ok_or(TokenError::Invalid)?;
        let (payload, tag) = bytes.split_at(split);
        secret
            .mac(payload)
            .verify_truncated_left(tag)
            .map_err(|_error| TokenError::Invalid)?;
        let token = Self::decode(payload).map_err(|_error| TokenError::Invalid)?;
        if token.workspace != workspace {
            return Err(TokenError::Foreign);
        }
        Ok(token)
    }
}

/// Returns the SSE `id` of chunk `number`: the signed token, a dot, the number.
#[must_use]
pub fn event_id(token: &str, number: u64) -> String {
    format!("{token}.{number}")
}

/// Splits a `Last-Event-ID` into the signed token and the number of the last chunk that the
/// caller received. The token still has to be verified.
#[must_use]
pub fn parse_event_id(id: &str) -> Option<(&str, u64)> {
    let (token, number) = id.rsplit_once('.')?;
    let is_number = !number.is_empty() && number.bytes().all(|byte| byte.is_ascii_digit());
    if token.is_empty() || !is_number {
        return None;
    }
    Some((token, u64::from_str(number).ok()?))
}
