//! JSON documents.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use serde::de::DeserializeOwned;

use crate::client::{Call, Http, HttpError};

/// How long a document may take and how large it may be.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Time for the whole exchange.
    pub time: Duration,
    /// Size of the body (bytes).
    pub bytes: usize,
}

/// Why there is no document.
#[derive(Debug, thiserror::Error)]
pub enum JsonError {
    /// There was no whole answer in time.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The server refused.
    #[error("{0}{1} answered with status {2}")]
    Status(SocketAddr, String, StatusCode),
    /// The answer has another form.
    #[error("not the expected document: {0}")]
    Form(#[source] serde_json::Error),
}

impl Http {
    /// Reads the JSON document at `path` within `limits`.
    ///
    /// # Errors
    /// When no whole answer came within the limits, it was a refusal, or it has
    /// another form than `T`.
    pub async fn json<T: DeserializeOwned>(
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
        serde_json::from_slice(&answer.body).map_err(JsonError::Form)
    }
}
