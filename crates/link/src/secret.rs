//! The secret shared by all processes of one fleet.

use std::fmt;
use std::sync::Arc;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// A shared secret. Its `Debug` output hides the text.
#[derive(Clone)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Wraps the secret's text.
    #[must_use]
    pub fn new(text: impl AsRef<str>) -> Self {
        Self(Arc::from(text.as_ref()))
    }

    /// Returns the HMAC-SHA-256 of the parts. Each part is prefixed with its length, so
    /// that different lists of parts never give the same input.
    pub(crate) fn sign(&self, parts: &[&[u8]]) -> Vec<u8> {
        self.mac(parts).finalize().into_bytes().to_vec()
    }

    /// Whether `proof` is the HMAC of the parts, compared in constant time.
    pub(crate) fn verify(&self, parts: &[&[u8]], proof: &[u8]) -> bool {
        self.mac(parts).verify_slice(proof).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let key = self.0.as_bytes();
        let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(***)")
    }
}
