//! Finds the key that a deserialization error is about.
//!
//! Errors inside flattened structs come without path and span, so the key is taken
//! from the message or, for a wrong type, found by leaving out one key at a time.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::SettingsError;
use crate::locate;

const NAMING: [&str; 3] = ["missing field `", "unknown field `", "duplicate field `"];

type PathError = serde_path_to_error::Error<toml::de::Error>;

/// Describes `error`, which reading `text` as a `T` gave.
pub(crate) fn explain<T: DeserializeOwned>(
    path: &Path,
    text: &str,
    error: &PathError,
) -> SettingsError {
    let message = error.inner().message();
    let key = key_of::<T>(text, error, message);
    let line = locate::line_of_key(text, &key);
    SettingsError::invalid(path, line, key, message.to_owned())
}

fn key_of<T: DeserializeOwned>(text: &str, error: &PathError, message: &str) -> String {
    let place = match error.path().to_string() {
        root if root == "." => String::new(),
        place => place,
    };
    if let Some(field) = named_field(message) {
        return join(&place, field);
    }
    if !place.is_empty() {
        return place;
    }
    left_out::<T>(text, message).unwrap_or(place)
}

fn named_field(message: &str) -> Option<&str> {
    for prefix in NAMING {
        let Some(rest) = message.strip_prefix(prefix) else {
            continue;
        };
        return rest.split('`').next();
    }
    None
}

fn join(place: &str, field: &str) -> String {
    if place.is_empty() || place == field || place.ends_with(&format!(".{field}")) {
        return if place.is_empty() { field } else { place }.to_owned();
    }
    format!("{place}.{field}")
}

/// The first top-level key without which reading no longer fails with `message`.
fn left_out<T: DeserializeOwned>(text: &str, message: &str) -> Option<String> {
    let table: toml::Table = text.parse().ok()?;
    for key in table.keys() {
        let mut rest = table.clone();
        rest.remove(key);
        let Err(error) = rest.try_into::<T>() else {
            return Some(key.clone());
        };
        if error.message() != message {
            return Some(key.clone());
        }
    }
    None
}
