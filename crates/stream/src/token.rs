//! Resume tokens: what a caller shows to take up its stream at any router.

use std::str::FromStr;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit as _, Mac as _};
use prost::Message as _;
use sha2::Sha256;

/// Bytes of the truncated HMAC-SHA-256 at the end of a token.
const MAC_BYTES: usize = 16;
/// Separates this use of the fleet's secret from every other one.
const MAC_DOMAIN: &[u8] = b"swiftlink resume token v1";
/// Longest token text that is looked at.
const MAX_TEXT: usize = 2_048;

/// A stream that can be resumed, and all a router needs to settle it.
///
/// The caller sees it only as signed text. It holds no secret; the signature is
/// what keeps a caller from naming another workspace's stream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ResumeToken {
    /// The 16 bytes of the request key.
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
    /// The engine's id of the stream.
    #[prost(string, tag = "6")]
    pub stream: String,
    /// Priority class of the request.
    #[prost(string, tag = "7")]
    pub class: String,
    /// Price in thousandths that the request was admitted at.
    #[prost(uint32, tag = "8")]
    pub price: u32,
    /// Largest cost that the request was admitted for, in budget tokens.
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
    /// Whether the caller asked for a chat completion rather than a plain one.
    #[prost(bool, tag = "13")]
    pub chat: bool,
}

/// Why a token was refused. The caller is told no more than this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// Not the text of a token, or one that the fleet did not sign.
    #[error("not a resume token of this fleet")]
    Invalid,
    /// A genuine token of another workspace.
    #[error("the stream belongs to another workspace")]
    Foreign,
}

/// The fleet's secret, ready to sign tokens.
#[derive(Clone)]
pub struct TokenSecret(Hmac<Sha256>);

impl TokenSecret {
    /// Prepares the fleet's shared secret.
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
    /// The token as signed text: base64url without padding, no dots.
    #[must_use]
    pub fn sign(&self, secret: &TokenSecret) -> String {
        let mut bytes = self.encode_to_vec();
        let mac = secret.mac(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&mac[..MAC_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads a signed token shown by `workspace`; the signature is compared in
    /// constant time.
    ///
    /// # Errors
    /// When the text is no token of this fleet, or another workspace's.
    pub fn verify(text: &str, workspace: &str, secret: &TokenSecret) -> Result<Self, TokenError> {
        if text.len() > MAX_TEXT {
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

/// The SSE `id` of chunk `number`: the signed token, a dot, the number.
#[must_use]
pub fn event_id(token: &str, number: u64) -> String {
    format!("{token}.{number}")
}

/// Splits a `Last-Event-ID` into the signed token and the number of the last chunk
/// that the caller has seen. The token still has to be verified.
#[must_use]
pub fn parse_event_id(id: &str) -> Option<(&str, u64)> {
    let (token, number) = id.rsplit_once('.')?;
    let plain = !number.is_empty() && number.bytes().all(|byte| byte.is_ascii_digit());
    if token.is_empty() || !plain {
        return None;
    }
    Some((token, u64::from_str(number).ok()?))
}
