//! Fetches JSON documents.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use serde::de::DeserializeOwned;

use crate::client::{Call, Http, HttpError};

/// Limits of fetching a document.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Time for the whole exchange.
    pub time: Duration,
    /// Largest size of the body in bytes.
    pub bytes: usize,
}

/// Why a document can't be fetched.
#[derive(Debug, thiserror::Error)]
pub enum JsonError {
    /// No complete response arrived within the limits.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The server answered with a status other than 2xx.
    #[error("{0}{1} answered with status {2}")]
    Status(SocketAddr, String, StatusCode),
    /// The body doesn't deserialize into the expected type.
    #[error("not the expected document: {0}")]
    Decode(#[source] serde_json::Error),
}

impl Http {
    /// Fetches the JSON document at `path` within `limits`.
    ///
    /// # Errors
    /// When no complete response arrives within the limits, its status is not 2xx, or its body
    /// doesn't deserialize into `T`.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        limits: Limits,
    ) -> Result<T, JsonError> {
        let call = Call::get(address, path);
        let answer = self.fetch_within(&call, limits).await?;
        if !answer.status.is_success() {
            return Err(JsonError::Status(address, path.to_owned(), answer.status));
        }
        serde_json::from_slice(&answer.body).map_err(JsonError::Decode)
    }
}
